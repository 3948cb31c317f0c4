// The periods in which work may start, given the maintenance windows that apply
// to it. Pure functions; times are true time in s since 1970.
#pragma once

#include <vector>

#include "core/maintenance/maintenance_window.h"

namespace oxbow {

// A period in which work may start.
struct StartPeriod {
  double from = 0;
  double to = 0;  // exclusive
  // The window that opens it and the window or peak that ends it; null: none.
  const MaintenanceWindow* opened_by = nullptr;
  const MaintenanceWindow* closed_by = nullptr;
};

// All periods of one set of windows. Points into the windows: these must
// outlive it.
struct StartPlan {
  std::vector<StartPeriod> periods;  // ascending, not touching
  double longest_seconds = 0;        // of the periods that have a beginning
  // The window whose known times bound the plan; null for none.
  const MaintenanceWindow* horizon = nullptr;

  // The last period that begins at the time or before; null for none.
  const StartPeriod* LatestAt(double time) const;
  // Where the first period after the time begins in which the work may start;
  // 0 for none.
  double NextStart(const JobSpec& spec, double run_seconds, double time) const;
  // Whether work that needs so long may start in the period although it does
  // not fit: it fits into no period, and this is one of the longest.
  bool IsLongestFor(double needed_seconds, const StartPeriod& period) const;
};

StartPlan BuildStartPlan(const std::vector<const MaintenanceWindow*>& windows);

// How much of the period must be left for the work to start in it, s.
double SecondsNeeded(const JobSpec& spec, double run_seconds,
                     const StartPeriod& period);

// Whether the work can be saved and stopped.
inline bool CanSave(const JobSpec& spec) { return spec.checkpoint_seconds > 0; }

}  // namespace oxbow
