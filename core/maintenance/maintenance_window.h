// A maintenance window as operators record it: either a window, the only time
// in which the work that it applies to may start, or a peak, in which that work
// may not start. Times are true time in seconds since 1970 (UTC); time zones
// and recurrence rules were expanded when the window was recorded.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace oxbow {

// Whether work may start within the times or outside of them.
enum class WindowKind : uint8_t {
  kWindow,  // work that it applies to starts only within it
  kPeak,    // work that it applies to does not start within it
};

// What happens to work that runs past the end of the period in which it may
// start, or is expected to.
enum class Overrun : uint8_t {
  kRunOn,  // it starts, and continues after the end
  // It starts, and is saved and stopped at the end; work that can't save
  // continues.
  kSaveAndStop,
  kHoldBack,  // it does not start; work that has started continues
};

// A half-open interval of true time.
struct UtcInterval {
  double from = 0;
  double to = 0;  // exclusive
  double length() const { return to - from; }
};

// Selects the jobs that a window applies to. All given criteria must match, but
// of the two size criteria one is enough. An empty list or a negative amount
// means that the criterion is not given. Amounts are totals of all tasks of a
// job.
struct WorkSelector {
  std::vector<std::string> classes;
  std::vector<std::string> teams;
  std::vector<std::string> tiers;
  double cores_above = -1;
  double accelerators_above = -1;

  bool HasSizeCriteria() const {
    return cores_above >= 0 || accelerators_above >= 0;
  }
  // Whether any criterion is given. A selector without criteria matches
  // nothing.
  bool HasCriteria() const {
    return !classes.empty() || !teams.empty() || !tiers.empty() ||
           HasSizeCriteria();
  }
  // Whether the job is selected. `tier`: the job's tier by the tiers in force;
  // empty for none. Services and production work never match.
  bool Matches(const JobSpec& spec, const std::string& tier) const;
};

// One window or peak.
struct MaintenanceWindow {
  std::string id;
  WindowKind kind = WindowKind::kWindow;
  WorkSelector work;
  // The share of the fleet's cores and accelerators that the window's work may
  // use at once. 1 for peaks.
  double capacity_share = 1;
  Overrun overrun = Overrun::kHoldBack;

  // The declaration as its author wrote it, in local time of a named time zone.
  // Stored beside `times` so that these can be computed again.
  std::string zone;
  std::string starts;               // 2026-03-29T02:30:00
  std::string rule;                 // RRULE of RFC 5545; empty: once
  std::vector<std::string> except;  // EXDATE, local like `starts`
  double length_seconds = 0;

  // Ascending, not overlapping.
  std::vector<UtcInterval> times;
  // `times` is complete up to this time; 0: forever. After it, work that the
  // window applies to does not start, because it may not be allowed.
  double known_until = 0;
};

}  // namespace oxbow
