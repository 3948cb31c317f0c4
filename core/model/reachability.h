// Tracks whether the leader's responses and commands reach a machine. The
// arrival of heartbeats does not prove it: in an asymmetric partition a
// worker's messages arrive while nothing reaches the worker. Delivery is proven
// only by an effect that shows up in a later message of the worker.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/fencing_token.h"
#include "core/model/settings.h"
#include "core/model/worker_incarnation.h"

namespace oxbow {

// How long a worker waits for the response to its heartbeat, and how long it
// then pauses before it tries another controller; s. Both are defined by the
// protocol ("Workers -> controller nodes"). A response to an older heartbeat
// does not renew the worker's lease.
inline constexpr double kHeartbeatTimeoutSeconds = 4;
inline constexpr double kRetryPauseSeconds = 1;

// Whether responses and commands reach a machine, as far as is known.
enum class ReachabilityState : uint8_t {
  kUnproven,  // no message of this leader has had an effect yet
  kProven,    // one has, and nothing has contradicted it since
  // A response had no effect, or the intervals between heartbeats are those of
  // a worker whose requests time out.
  kSuspected,
  kReceivesNoResponses,  // responses have repeatedly had no effect
};

// Events that may change the ReachabilityState.
enum class ReachabilityEvent : uint8_t {
  // A message shows an effect that only this leader can have caused.
  kEffectShown,
  // A heartbeat that was sent after a response lacks the effect of that
  // response.
  kEffectMissing,
  // The interval between heartbeats is that of a worker which waits for a
  // response until it times out, or a heartbeat has arrived after a long
  // silence.
  kTimeoutPattern,
  // An incarnation ended less than a lease after one of its heartbeats was
  // answered.
  kIncarnationEnded,
};

// One object exists per machine and leadership. The messages that have to reach
// the machine are the responses to its heartbeats, since only they renew its
// lease. So a suspicion is resolved by a delivery check: the leader sends a new
// fencing token in heartbeat responses only, and a later heartbeat has to show
// that token.
class Reachability {
 public:
  // The relevant facts about a new heartbeat.
  struct HeartbeatFacts {
    uint64_t seq = 0;
    FencingToken shown_token = 0;
    double seconds_since_last = 0;
    // Start commands in the previous response have had no effect.
    bool lacks_command_effects = false;
  };
  // The relevant facts about the response to a new heartbeat.
  struct ResponseFacts {
    uint64_t heartbeat_seq = 0;
    FencingToken sent_token = 0;
    FencingToken shown_token = 0;  // the one that the heartbeat shows
    // A controller with a delegated lease for the machine's zone may have
    // renewed the worker's lease meanwhile.
    bool may_be_renewed_by_delegate = false;
  };

  ReachabilityState state() const { return state_; }
  // Whether the machine sends heartbeats but is considered to receive no
  // responses.
  bool receives_no_responses() const {
    return state_ == ReachabilityState::kReceivesNoResponses;
  }
  // Since when that is so; valid only while receives_no_responses().
  Time receives_none_since() const { return receives_none_since_; }
  // Whether delivery has to be proven by a delivery check. Meanwhile the newest
  // token may be sent in heartbeat responses only: otherwise a heartbeat that
  // shows it would not prove that responses arrive.
  bool needs_proof() const {
    return receives_no_responses() || state_ == ReachabilityState::kSuspected;
  }
  // Whether new tasks may be placed on the machine.
  bool MayTakeWork() const { return !needs_proof(); }

  // Commands were sent directly to the machine's address with this token.
  void OnCommandsSent(FencingToken token) {
    direct_token_ = std::max(direct_token_, token);
  }
  // Whether the next heartbeat response has to carry a new token as a delivery
  // check.
  bool NeedsDeliveryCheck(Time now) const {
    return needs_proof() && now >= checks_from_ &&
           check_token_ <= direct_token_;
  }
  void OnDeliveryCheckSent(FencingToken token) { check_token_ = token; }

  // A new message of the worker shows `token`; `current` is the token that the
  // leader uses for the machine. For a heartbeat, to be called after
  // OnHeartbeat.
  void OnTokenShown(FencingToken token, FencingToken current,
                    const WorkerSettings& workers, Time now);
  // A new heartbeat has arrived.
  void OnHeartbeat(const HeartbeatFacts& heartbeat,
                   const WorkerSettings& workers, Time now);
  // A message shows a new incarnation, and this leader knew the previous one.
  // If that one ended because the worker received no responses, delivery has to
  // be proven again.
  void OnIncarnationEnded(const WorkerSettings& workers, Time now);
  // A new heartbeat is being answered.
  void OnResponse(const ResponseFacts& response, double lease_seconds,
                  Time now);
  // Whether a heartbeat of the current incarnation with this token must be an
  // old one that was delayed. Responses with a higher token have been sent for
  // longer than a lease: if one of them had arrived, the worker would show that
  // token, and if none had, the incarnation would have ended. This does not
  // hold if a controller with a delegated lease may have renewed the worker's
  // lease while this leader did not answer.
  bool IsStaleHeartbeat(FencingToken token, double lease_seconds,
                        bool may_be_renewed_by_delegate, Time now) const;

 private:
  static constexpr Time kNever = -1e9;

  // Every change of the state goes through this function.
  void Change(ReachabilityEvent event, const WorkerSettings& workers, Time now);
  // To be called when a machine that received no responses receives them again.
  // Returns whether it has lost contact so often recently that it has to prove
  // delivery once more, after a pause.
  bool MustProveAgain(const WorkerSettings& workers, Time now);
  // Whether the time since the previous heartbeat, s, is that of a worker whose
  // requests time out, or that of a long silence.
  bool ShowsTimeoutPattern(double seconds_since_last,
                           const WorkerSettings& workers);

  ReachabilityState state_ = ReachabilityState::kUnproven;
  FencingToken direct_token_ = 0;  // the highest sent to the machine's address
  FencingToken check_token_ = 0;   // sent as a delivery check; 0 if none
  // The latest response.
  uint64_t response_seq_ = 0;  // the number of its heartbeat
  FencingToken response_token_ = 0;
  Time responded_at_ = kNever;
  // The first response whose token no message has shown since.
  FencingToken unshown_token_ = 0;
  Time unshown_since_ = kNever;
  Time receives_none_since_ = kNever;
  Time checks_from_ = kNever;  // no delivery check is sent before
  Time recovered_at_ = kNever;
  int recoveries_ = 0;  // recent ones, up to a limit
  int consecutive_timeouts_ = 0;
  bool has_restarted_ = false;  // an incarnation has ended under this leader
};

}  // namespace oxbow
