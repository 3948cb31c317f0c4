// How long a machine may be silent before the leader reacts. Derived from the
// settings in one place, so that the order of the timeouts holds for every
// ratio of heartbeat interval to lease.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/model/settings.h"

namespace oxbow {

// Why settings give no usable timeouts.
enum class TimeoutConflict : uint8_t {
  kLeaseTooShort,    // for two heartbeats
  kOutOfOrder,       // the timeouts, among themselves
  kGivenUpTooEarly,  // before others that fell silent with it are overdue
};

// For the operators, in the words of their settings.
inline std::string_view Describe(TimeoutConflict conflict) {
  switch (conflict) {
    case TimeoutConflict::kLeaseTooShort:
      return "workers.lease_s is less than two of the longest report intervals";
    case TimeoutConflict::kOutOfOrder:
      return "the timeouts for a silent machine are out of order";
    case TimeoutConflict::kGivenUpTooEarly:
      return "a machine would be given up before others count as silent";
  }
  return "";
}

// Seconds since the last message. Heartbeats come every `report_s`, give or
// take a quarter (protocol, "Workers -> controller nodes").
struct SilenceTimeouts {
  double overdue = 0;  // a heartbeat should have been there: counts as silent
  double asked = 0;    // the other controllers are asked whether they reach it
  double suspect = 0;  // gets no new work
  double give_up = 0;  // may be deleted for silence

  static constexpr double kLatest =
      1.25;  // of a heartbeat: the longest interval
  static constexpr double kOverdue = 1.2;  // one in four hundred, at any time
  static constexpr double kAsked = 1.4;    // leaves time for an answer
  static constexpr double kSuspect = 1.6;  // at least
  static constexpr double kGiveUp = 2.5;   // at least, see below

  // When many machines fall silent at once, the last heartbeats of the first
  // and of the last of them lie up to kLatest intervals apart. When the first
  // is given up all of them must count as overdue already, or a network fault
  // looks like one dead machine after another: 459 living machines were once
  // deleted within 17 s.
  static SilenceTimeouts From(const WorkerSettings& workers,
                              const Tuning& tuning) {
    const double heartbeat = workers.heartbeat_interval_seconds;
    const double lease = workers.lease_seconds;
    SilenceTimeouts timeouts;
    timeouts.overdue = kOverdue * heartbeat;
    timeouts.asked = kAsked * heartbeat;
    timeouts.suspect =
        std::max(kSuspect * heartbeat, tuning.suspect_ratio * lease);
    timeouts.give_up =
        std::max({kGiveUp * heartbeat, tuning.give_up_ratio * lease,
                  timeouts.suspect + heartbeat / 4});
    return timeouts;
  }

  // The first conflict with the order that the rules on silence rely on, if
  // any.
  std::optional<TimeoutConflict> FindConflict(
      const WorkerSettings& workers) const {
    if (workers.lease_seconds <
        2 * kLatest * workers.heartbeat_interval_seconds) {
      return TimeoutConflict::kLeaseTooShort;
    }
    if (!(overdue < asked && asked < suspect && suspect < give_up)) {
      return TimeoutConflict::kOutOfOrder;
    }
    if (give_up - kLatest * workers.heartbeat_interval_seconds < overdue) {
      return TimeoutConflict::kGivenUpTooEarly;
    }
    return std::nullopt;
  }
};

}  // namespace oxbow
