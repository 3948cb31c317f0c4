// How long a machine may be silent before the leader reacts. All timeouts are
// derived from the settings here, so that their order is the same for every
// ratio of the heartbeat interval to the lease.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/model/settings.h"

namespace oxbow {

// Why settings result in no usable timeouts.
enum class TimeoutConflict : uint8_t {
  kLeaseTooShort,  // the lease is too short for two heartbeats
  kOutOfOrder,     // the timeouts are not in the required order
  // A silent machine would be given up before other machines that became silent
  // at the same time count as overdue.
  kGivenUpTooEarly,
};

// A description for operators, which uses the names of their settings.
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

// Timeouts in seconds since a machine's last message. Heartbeats are sent every
// `report_s`, with a jitter of up to a quarter (protocol, "Workers ->
// controller nodes").
struct SilenceTimeouts {
  double overdue = 0;  // a heartbeat is missing: the machine counts as silent
  double asked = 0;    // the other controllers are asked whether they reach it
  double suspect = 0;  // the machine gets no new tasks
  double give_up = 0;  // the machine may be deleted because of its silence

  // The following are multiples of the heartbeat interval.
  // The longest interval between two heartbeats.
  static constexpr double kLatest = 1.25;
  // At any time, one in four hundred healthy machines exceeds this.
  static constexpr double kOverdue = 1.2;
  // Leaves time for the answers of the other controllers.
  static constexpr double kAsked = 1.4;
  static constexpr double kSuspect = 1.6;  // lower bound
  static constexpr double kGiveUp = 2.5;   // lower bound; see From

  // Derives the timeouts from the settings.
  // When many machines become silent at once, the last heartbeats of the first
  // and of the last of them are up to kLatest intervals apart. By the time the
  // first one is given up, all of them have to count as overdue. Otherwise a
  // network fault looks like machines that fail one after another: 459 healthy
  // machines were once deleted within 17 s.
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

  // The first violation of the order that the handling of silent machines
  // relies on, if any.
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
