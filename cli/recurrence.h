// Computes the times of a maintenance window from its recurrence rule and its
// time zone. Only this module uses the recurrence and time-zone libraries. It
// is a shared object that only the command line loads; controllers never do.
#pragma once

#include <string>

#include "core/maintenance/maintenance_window.h"

namespace oxbow::cli {

// The period for which times are computed.
struct Horizon {
  double from = 0;  // s since 1970; times that end before it are left out
  double length =
      0;  // s; if a rule has no time in the period, its next one is used
  size_t most = 0;  // maximum number of times
};

// Sets `times` and `known_until` of the booking. Returns a one-line error that
// names the invalid value, or an empty string.
std::string WorkOutTimes(const Horizon& horizon, MaintenanceWindow* booking);

// The symbol name and the signature under which the shared object exports
// WorkOutTimes.
inline constexpr char kWorkOutTimes[] = "oxbow_work_out_times";
using WorkOutTimesCall = void (*)(const Horizon*, MaintenanceWindow*,
                                  std::string*);

}  // namespace oxbow::cli
