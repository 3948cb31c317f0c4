// A maintenance window as operators record it: a window in which heavy work may
// start, or a peak in which it may not. Times are true time in s since 1970,
// UTC; time zones and recurrence rules were expanded when it was recorded.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace oxbow {

// Whether work starts within the times or outside of them.
enum class WindowKind : uint8_t {
  kWindow,  // work that it applies to starts within it only
  kPeak,    // work that it applies to does not start within it
};

// What becomes of work that is expected to run past the end of the period in
// which it may start, or does so because its estimate was wrong.
enum class Overrun : uint8_t {
  kRunOn,        // it starts, and runs on
  kSaveAndStop,  // it starts, and is saved and stopped; what can't save runs on
  kHoldBack,     // it does not start; what has started runs on
};

// A half-open interval of true time.
struct UtcInterval {
  double from = 0;
  double to = 0;  // exclusive
  double length() const { return to - from; }
};

// Which work is meant: all that is given must match. An empty list matches
// everything; of the two amounts one above is enough, and a negative one is not
// given. Amounts are of all tasks of a job together.
struct WorkSelector {
  std::vector<std::string> classes;
  std::vector<std::string> teams;
  std::vector<std::string> tiers;
  double cores_above = -1;
  double accelerators_above = -1;

  bool AsksForSize() const {
    return cores_above >= 0 || accelerators_above >= 0;
  }
  // Whether anything is given; otherwise the rule would mean all work.
  bool Asks() const {
    return !classes.empty() || !teams.empty() || !tiers.empty() ||
           AsksForSize();
  }
  // `tier`: of the job, by the tiers in force; empty for none. Live services
  // and production work are never meant.
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

  // As its author wrote it: local time in a named zone. Stored beside the times
  // so that they can be computed again.
  std::string zone;
  std::string starts;               // 2026-03-29T02:30:00
  std::string rule;                 // RRULE of RFC 5545; empty: once
  std::vector<std::string> except;  // EXDATE, local like `starts`
  double length_seconds = 0;

  // Ascending, not overlapping.
  std::vector<UtcInterval> times;
  // Up to where `times` is complete; 0: for ever. Past it, work that the window
  // applies to is not surely allowed, and does not start.
  double known_until = 0;
};

}  // namespace oxbow
