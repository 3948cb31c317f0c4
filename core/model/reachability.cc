#include "core/model/reachability.h"

#include <algorithm>

namespace oxbow {

void Reachability::OnTokenShown(FencingToken token, FencingToken current,
                                const WorkerSettings& workers, Time now) {
  if (token >= unshown_token_) unshown_since_ = kNever;
  const bool effect =
      needs_proof() ? check_token_ > direct_token_ && token >= check_token_
                    : token >= current;
  if (effect && state_ != ReachabilityState::kProven) {
    Change(ReachabilityEvent::kEffectShown, workers, now);
  }
}

void Reachability::OnHeartbeat(const HeartbeatFacts& heartbeat,
                               const WorkerSettings& workers, Time now) {
  const bool after_response =
      heartbeat.seq > response_seq_ && response_seq_ > 0;
  if (after_response && (heartbeat.shown_token < response_token_ ||
                         heartbeat.lacks_command_effects)) {
    Change(ReachabilityEvent::kEffectMissing, workers, now);
  }
  if (ShowsTimeoutPattern(heartbeat.seconds_since_last, workers)) {
    timeouts_in_a_row_ = 0;
    Change(ReachabilityEvent::kTimeoutPattern, workers, now);
  }
}

// Whether the time between heartbeats is that of a worker which waits for each
// response in vain.
bool Reachability::ShowsTimeoutPattern(double seconds_since_last,
                                       const WorkerSettings& workers) {
  constexpr double kEarlySeconds = 0.1;
  constexpr double kLateSeconds = 1.6;  // the way back by a 421, and travel
  constexpr double kLongestInterval = 1.25;  // of the configured interval
  const double timeout = kHeartbeatTimeoutSeconds + kRetryPauseSeconds;
  const bool as_after_timeout = seconds_since_last > timeout - kEarlySeconds &&
                                seconds_since_last < timeout + kLateSeconds;
  timeouts_in_a_row_ = as_after_timeout ? timeouts_in_a_row_ + 1 : 0;
  // Heartbeats that far apart come from a healthy machine, too, where the
  // interval is long. One more in a row, then: the lease ends it anyway.
  const double longest = kLongestInterval * workers.heartbeat_interval_seconds;
  const int enough = longest < timeout - 2 * kEarlySeconds ? 2 : 3;
  // After a long silence it may be a delayed copy of a message of a machine
  // that is dead by now; the delivery check settles it (IsStaleHeartbeat).
  const bool long_silence =
      responded_at_ != kNever && seconds_since_last > workers.lease_seconds / 2;
  return long_silence ||
         (longest < timeout + kEarlySeconds && timeouts_in_a_row_ >= enough);
}

void Reachability::OnIncarnationEnded(const WorkerSettings& workers, Time now) {
  constexpr double kSurely = 0.95;  // both clocks drift
  const bool recently_answered =
      now - responded_at_ < kSurely * workers.lease_seconds;
  // What a new leader receives first may be of an incarnation that is just
  // over.
  const bool first = !has_restarted_ && responded_at_ == kNever;
  response_seq_ = 0;
  unshown_since_ = kNever;
  responded_at_ = kNever;
  check_token_ = 0;
  has_restarted_ = true;
  if (recently_answered) {
    Change(ReachabilityEvent::kIncarnationEnded, workers, now);
  } else if (!first) {
    Change(ReachabilityEvent::kEffectMissing, workers, now);
  }
}

void Reachability::OnResponse(const ResponseFacts& response,
                              double lease_seconds, Time now) {
  if (response.may_be_renewed_by_delegate &&
      now - responded_at_ > lease_seconds / 2) {
    unshown_since_ = kNever;
  }
  responded_at_ = now;
  response_seq_ = std::max(response_seq_, response.heartbeat_seq);
  response_token_ = std::max(response_token_, response.sent_token);
  if (response.shown_token < response.sent_token && unshown_since_ == kNever) {
    unshown_since_ = now;
    unshown_token_ = response.sent_token;
  }
}

bool Reachability::IsStaleHeartbeat(FencingToken token, double lease_seconds,
                                    bool may_be_renewed_by_delegate,
                                    Time now) const {
  const bool delegate_may_have_renewed =
      may_be_renewed_by_delegate && now - responded_at_ > lease_seconds / 2;
  return unshown_since_ != kNever && token < unshown_token_ &&
         !delegate_may_have_renewed &&
         now > TasksMayLiveUntil(unshown_since_, lease_seconds) +
                   kHeartbeatTimeoutSeconds;
}

void Reachability::Change(ReachabilityEvent event,
                          const WorkerSettings& workers, Time now) {
  switch (event) {
    case ReachabilityEvent::kEffectShown:
      state_ = receives_no_responses() && MustProveAgain(workers, now)
                   ? ReachabilityState::kSuspected
                   : ReachabilityState::kProven;
      return;
    case ReachabilityEvent::kEffectMissing:
      if (state_ == ReachabilityState::kSuspected) break;
      if (receives_no_responses()) return;
      check_token_ = 0;
      state_ = ReachabilityState::kSuspected;
      return;
    case ReachabilityEvent::kTimeoutPattern:
      if (needs_proof()) return;
      check_token_ = 0;
      state_ = ReachabilityState::kSuspected;
      return;
    case ReachabilityEvent::kIncarnationEnded:
      break;
  }
  if (!receives_no_responses()) receives_none_since_ = now;
  state_ = ReachabilityState::kReceivesNoResponses;
}

// A machine that loses contact again and again has to prove delivery once more
// after a while, longer each time: each second in which it receives responses
// would otherwise cost it a lease of work.
bool Reachability::MustProveAgain(const WorkerSettings& workers, Time now) {
  constexpr double kForgottenAfterLeases = 3;
  constexpr int kMaxDoublings = 2;
  if (now - recovered_at_ > kForgottenAfterLeases * workers.lease_seconds) {
    recoveries_ = 0;
  }
  recovered_at_ = now;
  const bool again = recoveries_ > 0;
  if (again) {
    checks_from_ = now + workers.lease_seconds / 4 * (1 << recoveries_);
    check_token_ = 0;
  }
  recoveries_ = std::min(recoveries_ + 1, kMaxDoublings);
  return again;
}

}  // namespace oxbow
