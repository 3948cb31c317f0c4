// Computes the periods in which work may start from the maintenance windows
// that apply to it. Pure functions; times are true time in seconds since 1970.
#pragma once

#include <vector>

#include "core/maintenance/maintenance_window.h"

namespace oxbow {

// A period in which work may start.
struct StartPeriod {
  double from = 0;
  double to = 0;  // exclusive
  // The window that opens the period, and the window or peak that ends it; null
  // if there is none.
  const MaintenanceWindow* opened_by = nullptr;
  const MaintenanceWindow* closed_by = nullptr;
};

// All start periods for one set of windows. The windows must outlive the plan,
// which points to them.
struct StartPlan {
  std::vector<StartPeriod>
      periods;  // ascending, neither overlapping nor adjacent
  // Length of the longest period, except one without a beginning.
  double longest_seconds = 0;
  // A window whose `known_until` limits the plan; null if there is none.
  const MaintenanceWindow* horizon = nullptr;

  // The last period that begins at or before `time`; null if there is none.
  const StartPeriod* LatestAt(double time) const;
  // Beginning of the first period after `time` in which the work may start; 0
  // if there is none.
  double NextStart(const JobSpec& spec, double run_seconds, double time) const;
  // Whether work that needs `needed_seconds` fits into no period and `period`
  // is one of the longest. Such work may start in it although it does not fit.
  bool IsLongestFor(double needed_seconds, const StartPeriod& period) const;
};

StartPlan BuildStartPlan(const std::vector<const MaintenanceWindow*>& windows);

// How many seconds of the period must be left for the work to start in it.
double SecondsNeeded(const JobSpec& spec, double run_seconds,
                     const StartPeriod& period);

// Whether the work writes checkpoints, so that it can be saved and stopped.
inline bool CanSave(const JobSpec& spec) { return spec.checkpoint_seconds > 0; }

}  // namespace oxbow
