// What the leader believes of a worker's session, and how long its tasks may
// live.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/settings.h"

namespace oxbow {

enum class SessionState : uint8_t {
  kUnheard,  // which session the worker is in is not known
  kAlive,    // a message has shown it
  kOver,     // it and every one before it are surely over
};

enum class SessionEvent : uint8_t {
  kTakeover,  // up to now another leader may have answered a report
  kShown,     // a message of the worker, by whatever way, names its session
  kAnswered,  // a report is being answered, whatever its age
  kRanOut,    // a whole lease has passed since anybody can have answered
};

// The last moment at which a task may be there whose session counts from
// `counted_from`, with room for both clocks' drift and the steps of both sides'
// timers.
inline Time TasksMayLiveUntil(Time counted_from, double lease_s) {
  constexpr double kTimerMargin = 0.05;  // s
  return counted_from + lease_s * (1 + kDrift) + kTimerMargin;
}

// A worker kills its tasks when a whole lease has passed since it sent the
// last report that was answered; in a new session, since that session began
// (protocol, "Leases"). The leader sees neither moment. `counted_from` is an
// upper bound of both, on the leader's clock:
//
// - a report was sent before the leader decided on its answer, so it does not
//   matter how long the process is stalled before the answer's bytes leave;
// - a session had begun before its first message was made. An order that gets
//   through, or a probe, may show it long before one of its reports is heard:
//   counting from the last report answered, the leader once gave up a session
//   five seconds before its worker did;
// - another leader's answers were decided before this one took office.
class Session {
 public:
  // The one function for a change. `number` is of the session shown, and is
  // not looked at otherwise. True when a new session has begun, so what was
  // there before is gone.
  bool Change(SessionEvent event, uint64_t number, Time now) {
    switch (event) {
      case SessionEvent::kShown:
        if (number <= number_) return false;
        number_ = number;
        state_ = SessionState::kAlive;
        break;
      case SessionEvent::kRanOut:
        state_ = SessionState::kOver;
        return false;
      case SessionEvent::kTakeover:
      case SessionEvent::kAnswered:
        break;
    }
    counted_from_ = std::max(counted_from_, now);
    return event == SessionEvent::kShown;
  }

  SessionState state() const { return state_; }
  // 0: none has been heard.
  uint64_t number() const { return number_; }
  // Whether orders can reach it: it is known, and not known to be over.
  bool alive() const { return state_ == SessionState::kAlive; }
  // Whether a message of this session can be news.
  bool MayBeNews(uint64_t number) const {
    return number > number_ ||
           (number == number_ && state_ != SessionState::kOver);
  }
  Time MayLiveUntil(double lease_s) const {
    return TasksMayLiveUntil(counted_from_, lease_s);
  }

 private:
  SessionState state_ = SessionState::kUnheard;
  uint64_t number_ = 0;
  Time counted_from_ = -1e9;
};

}  // namespace oxbow
