// What operators book: windows in which heavy work may start, and peaks in
// which it may not. Times are true time in s since 1970, UTC; time zones and
// rules of recurrence were worked out when the booking was made.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace oxbow {

enum class BookingKind : uint8_t {
  kWindow,  // work that it names starts within it only
  kPeak,    // work that it names does not start within it
};

// What becomes of work that is expected past the end of its chance to start,
// or is caught there since its estimate was wrong.
enum class Overrun : uint8_t {
  kRunOn,        // it starts, and runs on
  kSaveAndStop,  // it starts, and is saved and stopped; what can't save runs on
  kHoldBack,     // it does not start; what was caught runs on
};

// `to` is no longer part of it.
struct UtcInterval {
  double from = 0;
  double to = 0;
  double length() const { return to - from; }
};

// Which work is meant: all that is given must match. An empty list asks
// nothing; of the two amounts one above is enough, and a negative one asks
// nothing. Amounts are of all tasks of a job together.
struct WorkRule {
  std::vector<std::string> classes;
  std::vector<std::string> teams;
  std::vector<std::string> tiers;
  double cores_above = -1;
  double accelerators_above = -1;

  bool AsksForSize() const {
    return cores_above >= 0 || accelerators_above >= 0;
  }
  // Whether it asks for anything; one that does not would mean all work.
  bool Asks() const {
    return !classes.empty() || !teams.empty() || !tiers.empty() ||
           AsksForSize();
  }
  // `tier`: of the job, by the tiers in force; empty for none. Live services
  // and production work are never meant.
  bool Matches(const JobSpec& spec, const std::string& tier) const;
};

struct MaintenanceWindow {
  std::string id;
  BookingKind kind = BookingKind::kWindow;
  WorkRule work;
  // Of the fleet's cores and accelerators, what work that it names may hold at
  // once when it starts within this window. 1 for peaks.
  double room_share = 1;
  Overrun overrun = Overrun::kHoldBack;

  // As its author wrote it: local time in a named zone. Kept beside the times
  // so that they can be worked out anew.
  std::string zone;
  std::string starts;               // 2026-03-29T02:30:00
  std::string rule;                 // RRULE of RFC 5545; empty: once
  std::vector<std::string> except;  // EXDATE, local like `starts`
  double length_seconds = 0;

  // Ascending, not overlapping.
  std::vector<UtcInterval> times;
  // Up to where `times` tells everything; 0: for ever. Past it, work that the
  // booking names is not surely allowed, and does not start.
  double known_until = 0;
};

}  // namespace oxbow
