// What the leader knows of a worker's incarnation, and how long its tasks may
// live.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/settings.h"

namespace oxbow {

// What is known of the current incarnation.
enum class IncarnationState : uint8_t {
  kUnknown,  // which incarnation the worker is in is not known
  kAlive,    // a message has shown it
  kExpired,  // it and every one before it are surely over
};

// What may change that.
enum class IncarnationEvent : uint8_t {
  kFailover,  // up to now another leader may have answered a heartbeat
  kShown,  // a message of the worker, of whatever kind, names its incarnation
  kAnswered,  // a heartbeat is being answered, however old
  kExpire,    // a whole lease has passed since anybody can have answered
};

// The last moment at which a task may live whose lease counts from
// `counted_from`, with a margin for the drift of both clocks and the resolution
// of both sides' timers.
inline Time TasksMayLiveUntil(Time counted_from, double lease_seconds) {
  constexpr double kTimerMargin = 0.05;  // s
  return counted_from + lease_seconds * (1 + kMaxClockDriftRate) + kTimerMargin;
}

// A worker kills its tasks when a whole lease has passed since it sent the last
// heartbeat that was answered; in a new incarnation, since that incarnation
// began (protocol, "Leases"). The leader observes neither moment.
// `counted_from_` is an upper bound of both, on the leader's clock:
//
// - A heartbeat was sent before the leader decided on its answer. So it does
// not
//   matter how long the process is stalled before the answer is sent.
// - An incarnation had begun before its first message was made. The response to
//   a command or a probe may show it long before one of its heartbeats arrives:
//   when the leader counted from the last heartbeat answered, it once gave up
//   an incarnation five seconds before its worker did.
// - Another leader's answers were decided on before this one was elected.
class WorkerIncarnation {
 public:
  // The one function for a change. `number` is that of the incarnation for
  // kShown, and ignored otherwise. True when a new incarnation has begun: what
  // was there before is gone.
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
  // 0: none is known.
  uint64_t number() const { return number_; }
  // Whether commands can reach it: it is known, and not known to be over.
  bool alive() const { return state_ == IncarnationState::kAlive; }
  // Whether a message of this incarnation can be news.
  bool MayBeCurrent(uint64_t number) const {
    return number > number_ ||
           (number == number_ && state_ != IncarnationState::kExpired);
  }
  Time MayLiveUntil(double lease_seconds) const {
    return TasksMayLiveUntil(counted_from_, lease_seconds);
  }

 private:
  IncarnationState state_ = IncarnationState::kUnknown;
  uint64_t number_ = 0;
  Time counted_from_ = -1e9;
};

}  // namespace oxbow
