// Whether a booking can be taken.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/maintenance/maintenance_window.h"
#include "core/model/settings.h"

namespace oxbow {

struct BookingContext {
  const Settings* settings = nullptr;
  // Names in force; absent when tiers are not known: their names are not
  // looked at then.
  std::optional<std::vector<std::string>> tiers;
  Resources fleet;  // of all machines together; zero when it is not known
  double wall = 0;  // s since 1970
  std::vector<MaintenanceWindow> others;      // in force, without this one
  std::optional<MaintenanceWindow> replaces;  // its version in force
};

// Sooner than this after it is recorded no booking binds anybody, s.
double BookingNotice(const Settings& settings);

// Empty, or one line that names the value it can't be taken for.
std::string WhyNoBooking(const MaintenanceWindow& booking,
                         const BookingContext& context);

}  // namespace oxbow
