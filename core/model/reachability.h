// What the leader knows of whether its answers and commands reach a machine. A
// report that arrives is no proof: only an effect is.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/fencing_token.h"
#include "core/model/settings.h"
#include "core/model/worker_incarnation.h"

namespace oxbow {

// A worker waits so long for an answer to its heartbeat, and so long before it
// tries another controller (protocol, "Workers -> controller nodes"). An answer
// to a heartbeat that is older renews nothing.
inline constexpr double kHeartbeatTimeoutSeconds = 4;
inline constexpr double kRetryPauseSeconds = 1;

enum class ReachabilityState : uint8_t {
  kUnproven,   // nothing of this leader has had an effect yet
  kProven,     // something has, and nothing speaks against it since
  kSuspected,  // an answer had no effect, or reports come as after timeouts
  kDeaf,       // answers go on having none
};

enum class ReachabilityEvent : uint8_t {
  kEffect,    // a message shows what only the leader can have brought about
  kNoEffect,  // a heartbeat made after an answer lacks what that has brought
  kTimeouts,  // reports come as far apart as after an answer waited for,
              // or again after a long silence
  kIncarnationEnded  // an incarnation ended less than a lease after an answered
                     // report
};

// One for each machine, under one leader. What has to reach the machine is
// the answers: only they renew its lease. So a suspicion is settled by a
// question: a token that goes out in answers alone, and that a later report
// must show.
class Reachability {
 public:
  ReachabilityState state() const { return state_; }
  bool deaf() const { return state_ == ReachabilityState::kDeaf; }
  // A question is open: nothing but answers may carry the newest token, or its
  // being shown would prove nothing.
  bool asks() const {
    return deaf() || state_ == ReachabilityState::kSuspected;
  }
  // Since when it is taken for deaf; looked at only if it is.
  Time deaf_since() const { return deaf_since_; }
  // Whether new work may go there.
  bool MayTakeWork() const { return !asks(); }

  // An order left for the machine's address under this token.
  void CommandsSent(FencingToken token) { direct_ = std::max(direct_, token); }
  // Whether the token to be given in the next answer has to be a new one.
  bool WantsQuestion(Time now) const {
    return asks() && now >= asks_from_ && question_ <= direct_;
  }
  void Asked(FencingToken token) { question_ = token; }

  // A message that is news shows `token`, while the leader uses `current` for
  // the machine.
  void Shown(FencingToken token, FencingToken current,
             const WorkerSettings& workers, Time now) {
    if (token >= vain_token_) in_vain_since_ = kNever;
    const bool effect =
        asks() ? question_ > direct_ && token >= question_ : token >= current;
    if (effect && state_ != ReachabilityState::kProven) {
      Change(ReachabilityEvent::kEffect, workers, now);
    }
  }

  // A report that is news has come, `apart` seconds after the one before;
  // called before Shown. `lacks_orders`: commands in the last answer to have no
  // effect.
  void Reported(uint64_t seq, FencingToken token, double apart,
                bool lacks_orders, const WorkerSettings& workers, Time now) {
    const bool after_answer = seq > answer_seq_ && answer_seq_ > 0;
    if (after_answer && (token < answer_token_ || lacks_orders)) {
      Change(ReachabilityEvent::kNoEffect, workers, now);
    }
    // Reports as far apart as that come from a well machine, too, where they
    // are seldom. One more in a row, then: the leases end it anyway.
    constexpr double kEarlySeconds = 0.1;
    constexpr double kLateSeconds = 1.6;  // the way back by a 421, and travel
    constexpr double kLongest = 1.25;
    const double timeout = kHeartbeatTimeoutSeconds + kRetryPauseSeconds;
    const bool as_after_one =
        apart > timeout - kEarlySeconds && apart < timeout + kLateSeconds;
    timeouts_ = as_after_one ? timeouts_ + 1 : 0;
    const double longest = kLongest * workers.heartbeat_interval_seconds;
    const int enough = longest < timeout - 2 * kEarlySeconds ? 2 : 3;
    // After a long silence it may be an old copy of what a machine said that
    // is dead by now; the question makes sure (MustBeOld).
    const bool silent =
        answered_at_ != kNever && apart > workers.lease_seconds / 2;
    if (silent || (longest < timeout + kEarlySeconds && timeouts_ >= enough)) {
      timeouts_ = 0;
      Change(ReachabilityEvent::kTimeouts, workers, now);
    }
  }

  // A new incarnation is shown, and the one before was known to this leader. If
  // it ended for want of heartbeats, answers have yet to prove that they
  // arrive.
  void IncarnationEnded(const WorkerSettings& workers, Time now) {
    constexpr double kSurely = 0.95;  // both clocks drift
    const bool answered = now - answered_at_ < kSurely * workers.lease_seconds;
    // What a new leader meets first may be an incarnation that is just over.
    const bool first = !risen_ && answered_at_ == kNever;
    answer_seq_ = 0;
    in_vain_since_ = kNever;
    answered_at_ = kNever;
    question_ = 0;
    risen_ = true;
    if (answered) {
      Change(ReachabilityEvent::kIncarnationEnded, workers, now);
    } else if (!first) {
      Change(ReachabilityEvent::kNoEffect, workers, now);
    }
  }

  // A report that is news is being answered with this token. `kept`: somebody
  // in its zone may have kept the worker alive meanwhile.
  void Answered(uint64_t seq, FencingToken token, FencingToken shown,
                double lease_seconds, bool kept, Time now) {
    if (kept && now - answered_at_ > lease_seconds / 2) in_vain_since_ = kNever;
    answered_at_ = now;
    answer_seq_ = std::max(answer_seq_, seq);
    answer_token_ = std::max(answer_token_, token);
    if (shown < token && in_vain_since_ == kNever) {
      in_vain_since_ = now;
      vain_token_ = token;
    }
  }
  // Whether a heartbeat of this incarnation and token must be an old one:
  // within the last lease and more any answer that arrived would have made its
  // worker show a higher token, and without one its incarnation would be over.
  // Unless somebody else may have kept it alive: then there was a silence.
  bool MustBeOld(FencingToken token, double lease_seconds, bool kept,
                 Time now) const {
    return in_vain_since_ != kNever && token < vain_token_ &&
           !(kept && now - answered_at_ > lease_seconds / 2) &&
           now > TasksMayLiveUntil(in_vain_since_, lease_seconds) +
                     kHeartbeatTimeoutSeconds;
  }

 private:
  static constexpr Time kNever = -1e9;

  // The one function for a change.
  void Change(ReachabilityEvent event, const WorkerSettings& workers,
              Time now) {
    switch (event) {
      case ReachabilityEvent::kEffect:
        if (deaf()) {
          // One that goes deaf again and again is asked once more after a
          // while, longer each time, or each second of hearing costs it a
          // lease of work.
          constexpr double kForgiven = 3;  // leases
          constexpr int kMostDoublings = 2;
          if (now - fell_at_ > kForgiven * workers.lease_seconds) falls_ = 0;
          fell_at_ = now;
          if (falls_ > 0) {
            asks_from_ = now + workers.lease_seconds / 4 * (1 << falls_);
            question_ = 0;
            state_ = ReachabilityState::kSuspected;
          }
          falls_ = std::min(falls_ + 1, kMostDoublings);
          if (state_ == ReachabilityState::kSuspected) return;
        }
        state_ = ReachabilityState::kProven;
        return;
      case ReachabilityEvent::kNoEffect:
        if (!asks()) question_ = 0;
        if (state_ == ReachabilityState::kSuspected) break;
        if (!deaf()) state_ = ReachabilityState::kSuspected;
        return;
      case ReachabilityEvent::kTimeouts:
        if (asks()) return;
        question_ = 0;
        state_ = ReachabilityState::kSuspected;
        return;
      case ReachabilityEvent::kIncarnationEnded:
        break;
    }
    if (!deaf()) deaf_since_ = now;
    state_ = ReachabilityState::kDeaf;
  }

  ReachabilityState state_ = ReachabilityState::kUnproven;
  FencingToken direct_ = 0;  // the highest token sent to the machine's address
  FencingToken question_ = 0;  // the token that only answers have carried
  uint64_t answer_seq_ = 0;
  FencingToken answer_token_ = 0;
  FencingToken vain_token_ = 0;  // of the first answer without effect
  Time answered_at_ = kNever;
  Time in_vain_since_ = kNever;
  Time deaf_since_ = kNever;
  Time asks_from_ = kNever;
  Time fell_at_ = kNever;
  int falls_ = 0;
  int timeouts_ = 0;
  bool risen_ = false;
};

}  // namespace oxbow
