// The leader's knowledge of a worker's incarnation, and the time until which
// the tasks of that incarnation may be running.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/settings.h"

namespace oxbow {

// The state of the worker's current incarnation.
enum class IncarnationState : uint8_t {
  kUnknown,  // no message has shown which incarnation is current
  kAlive,    // a message has shown the incarnation
  kExpired,  // the incarnation and all earlier ones have certainly ended
};

// Events that may change the state.
enum class IncarnationEvent : uint8_t {
  kFailover,  // another leader may have answered heartbeats until now
  kShown,     // a message of the worker, of any kind, names its incarnation
  kAnswered,  // a heartbeat, of any age, is being answered
  kExpire,    // a whole lease has passed since a heartbeat can have been
              // answered
};

// The latest time at which a task may still be running if its worker's lease
// counts from `counted_from`. Includes a margin for the drift of both clocks
// and the resolution of the timers on both sides.
inline Time TasksMayLiveUntil(Time counted_from, double lease_seconds) {
  constexpr double kTimerMargin = 0.05;  // s
  return counted_from + lease_seconds * (1 + kMaxClockDriftRate) + kTimerMargin;
}

// A worker kills its tasks when a whole lease has passed since it sent the last
// heartbeat that was answered; in a new incarnation, since that incarnation
// began (protocol, "Leases"). The leader observes neither moment.
// `counted_from_` is an upper bound of both, on the leader's clock:
//
// - A heartbeat was sent before the leader decided on its answer, so it does
//   not matter how long the process is stalled before the answer is sent.
// - An incarnation had begun before its first message was sent. The response to
//   a command or a probe may show the incarnation long before one of its
//   heartbeats arrives. When the leader counted only from the last answered
//   heartbeat, it once considered an incarnation expired five seconds before
//   the worker did.
// - Another leader decided on its answers before this one was elected.
class WorkerIncarnation {
 public:
  // Applies an event. `number` is the number of the incarnation for kShown, and
  // ignored for other events. Returns true if a new incarnation has begun:
  // nothing that was on the machine before is there any more.
  bool Change(IncarnationEvent event, uint64_t number, Time now) {
    switch (event) {
      case IncarnationEvent::kShown:
        if (number <= number_) return false;
        number_ = number;
        state_ = IncarnationState::kAlive;
        break;
      case IncarnationEvent::kExpire:
        state_ = IncarnationState::kExpired;
        return false;
      case IncarnationEvent::kFailover:
      case IncarnationEvent::kAnswered:
        break;
    }
    counted_from_ = std::max(counted_from_, now);
    return event == IncarnationEvent::kShown;
  }

  IncarnationState state() const { return state_; }
  // The number of the current incarnation; 0 if none is known.
  uint64_t number() const { return number_; }
  // Whether the current incarnation is known and not known to have ended, so
  // that commands can be sent to it.
  bool alive() const { return state_ == IncarnationState::kAlive; }
  // Whether a message of the incarnation `number` can contain new information:
  // false if it is from an incarnation that has ended.
  bool MayBeCurrent(uint64_t number) const {
    return number > number_ ||
           (number == number_ && state_ != IncarnationState::kExpired);
  }
  // The latest time at which tasks of the current incarnation may be running.
  Time MayLiveUntil(double lease_seconds) const {
    return TasksMayLiveUntil(counted_from_, lease_seconds);
  }

 private:
  IncarnationState state_ = IncarnationState::kUnknown;
  uint64_t number_ = 0;
  Time counted_from_ = -1e9;
};

}  // namespace oxbow
