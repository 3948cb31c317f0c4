// What the leader believes of a worker's incarnation, and how long its tasks
// may live.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/settings.h"

namespace oxbow {

enum class IncarnationState : uint8_t {
  kUnheard,  // which incarnation the worker is in is not known
  kAlive,    // a message has shown it
  kExpired,  // it and every one before it are surely over
};

enum class IncarnationEvent : uint8_t {
  kFailover,  // up to now another leader may have answered a heartbeat
  kShown,     // a message of the worker, by whatever way, names its incarnation
  kAnswered,  // a heartbeat is being answered, whatever its age
  kExpire,    // a whole lease has passed since anybody can have answered
};

// The last moment at which a task may be there whose incarnation counts from
// `counted_from`, with room for both clocks' drift and the steps of both sides'
// timers.
inline Time TasksMayLiveUntil(Time counted_from, double lease_seconds) {
  constexpr double kTimerMargin = 0.05;  // s
  return counted_from + lease_seconds * (1 + kDrift) + kTimerMargin;
}

// A worker kills its tasks when a whole lease has passed since it sent the
// last heartbeat that was answered; in a new incarnation, since that
// incarnation began (protocol, "Leases"). The leader sees neither moment.
// `counted_from` is an upper bound of both, on the leader's clock:
//
// - a heartbeat was sent before the leader decided on its answer, so it does
// not
//   matter how long the process is stalled before the answer's bytes leave;
// - an incarnation had begun before its first message was made. A command that
// gets
//   through, or a probe, may show it long before one of its heartbeats is
//   heard: counting from the last heartbeat answered, the leader once gave up
//   an incarnation five seconds before its worker did;
// - another leader's answers were decided before this one took office.
class WorkerIncarnation {
 public:
  // The one function for a change. `number` is of the incarnation shown, and is
  // not looked at otherwise. True when a new incarnation has begun, so what was
  // there before is gone.
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
  // 0: none has been heard.
  uint64_t number() const { return number_; }
  // Whether commands can reach it: it is known, and not known to be over.
  bool alive() const { return state_ == IncarnationState::kAlive; }
  // Whether a message of this incarnation can be news.
  bool MayBeNews(uint64_t number) const {
    return number > number_ ||
           (number == number_ && state_ != IncarnationState::kExpired);
  }
  Time MayLiveUntil(double lease_seconds) const {
    return TasksMayLiveUntil(counted_from_, lease_seconds);
  }

 private:
  IncarnationState state_ = IncarnationState::kUnheard;
  uint64_t number_ = 0;
  Time counted_from_ = -1e9;
};

}  // namespace oxbow
