// How long silence is taken for nothing, for a sign, for an end. Derived from
// the settings in one place, so that the order of the three can't be lost to
// another ratio of report to lease.
#pragma once

#include <algorithm>
#include <string>

#include "core/model/settings.h"

namespace oxbow {

// Seconds since the last message. Reports come every `report_s`, give or take
// a quarter (protocol, "Workers -> controller nodes").
struct SilenceTimeouts {
  double overdue = 0;  // a heartbeat should have been there: counts as silent
  double asked = 0;    // the other controllers are asked whether they hear it
  double suspect = 0;  // gets nothing new
  double give_up = 0;  // may be deleted for silence

  static constexpr double kLatest =
      1.25;  // of a heartbeat: the longest interval
  static constexpr double kOverdue = 1.2;  // one in four hundred, at any time
  static constexpr double kAsked = 1.4;    // leaves time for an answer
  static constexpr double kSuspect = 1.6;  // at least
  static constexpr double kGiveUp = 2.5;   // at least, see below

  // When many machines fall silent at once, the last reports of the first and
  // of the last of them lie up to kLatest reports apart. At the moment that
  // the first is given up all of them must count as overdue already, or what
  // is really the network looks like one dead machine, and then another one:
  // 459 living machines were deleted so within 17 s.
  static SilenceTimeouts From(const WorkerSettings& workers,
                              const Tuning& tuning) {
    const double heartbeat = workers.heartbeat_interval_seconds;
    const double lease = workers.lease_seconds;
    SilenceTimeouts p;
    p.overdue = kOverdue * heartbeat;
    p.asked = kAsked * heartbeat;
    p.suspect = std::max(kSuspect * heartbeat, tuning.suspect_ratio * lease);
    p.give_up = std::max({kGiveUp * heartbeat, tuning.give_up_ratio * lease,
                          p.suspect + heartbeat / 4});
    return p;
  }

  // Empty if the order holds that the rules on silence rest on; else what
  // stands against it.
  std::string Check(const WorkerSettings& workers) const {
    if (workers.lease_seconds <
        2 * kLatest * workers.heartbeat_interval_seconds) {
      return "workers.lease_s is less than two of the longest report intervals";
    }
    if (!(overdue < asked && asked < suspect && suspect < give_up)) {
      return "the timeouts for a silent machine are out of order";
    }
    if (give_up - kLatest * workers.heartbeat_interval_seconds < overdue) {
      return "a machine would be given up before others count as silent";
    }
    return {};
  }
};

}  // namespace oxbow
