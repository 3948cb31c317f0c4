// Whether a maintenance window can be recorded.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/maintenance/maintenance_window.h"
#include "core/model/settings.h"

namespace oxbow {

// What a window is validated against.
struct WindowValidationContext {
  const Settings* settings = nullptr;
  // Names in force; absent when the tiers are not known: names of tiers are
  // then not validated.
  std::optional<std::vector<std::string>> tiers;
  Resources fleet;  // of all machines together; zero when it is not known
  double wall = 0;  // s since 1970
  std::vector<MaintenanceWindow> others;      // in force, without this one
  std::optional<MaintenanceWindow> replaces;  // its version in force
};

// The value for which a window can't be recorded.
struct WindowError {
  std::string field;
  std::string problem;
};

// `field: problem`, on one line.
std::string Render(const WindowError& error);

// A window has no effect sooner than this after it is recorded, s.
double MinimumNoticeSeconds(const Settings& settings);

// The first error; nothing if the window can be recorded.
std::optional<WindowError> FindWindowError(
    const MaintenanceWindow& window, const WindowValidationContext& context);

}  // namespace oxbow
