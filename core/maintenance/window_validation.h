// Validates a maintenance window before it is recorded.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/maintenance/maintenance_window.h"
#include "core/model/settings.h"

namespace oxbow {

// The state that a window is validated against.
struct WindowValidationContext {
  const Settings* settings = nullptr;
  // Names of the tiers in force. Absent if the tiers are not known; names of
  // tiers are then not validated.
  std::optional<std::vector<std::string>> tiers;
  Resources fleet;  // total of all machines; zero if unknown
  double wall = 0;  // s since 1970
  std::vector<MaintenanceWindow> others;      // in force, without this one
  std::optional<MaintenanceWindow> replaces;  // its version in force
};

// The reason why a window can't be recorded: a field and what is wrong with its
// value.
struct WindowError {
  std::string field;
  std::string problem;
};

// `field: problem`, on one line.
std::string Render(const WindowError& error);

// Minimum time in seconds between recording a window and its first effect.
double MinimumNoticeSeconds(const Settings& settings);

// The first error; nothing if the window can be recorded.
std::optional<WindowError> FindWindowError(
    const MaintenanceWindow& window, const WindowValidationContext& context);

}  // namespace oxbow
