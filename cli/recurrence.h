// Computes the times of a maintenance window from its recurrence rule and its
// time zone: the one place that uses the libraries for them. Only the command
// line needs it, so it is a module of its own that controllers never load.
#pragma once

#include <string>

#include "core/maintenance/maintenance_window.h"

namespace oxbow::cli {

// Up to when times are worked out.
struct Horizon {
  double from = 0;    // what ends before it is left out, s since 1970
  double length = 0;  // s; a rule that has no time in it gets its next one
  size_t most = 0;    // times
};

// Fills `times` and `known_until`; returns what is wrong with the rule, in one
// line that names the value, or nothing.
std::string WorkOutTimes(const Horizon& horizon, MaintenanceWindow* booking);

// The name and the form under which the module offers it.
inline constexpr char kWorkOutTimes[] = "oxbow_work_out_times";
using WorkOutTimesCall = void (*)(const Horizon*, MaintenanceWindow*,
                                  std::string*);

}  // namespace oxbow::cli
