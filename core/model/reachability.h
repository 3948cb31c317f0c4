// Whether the leader's responses and commands reach a machine. A heartbeat that
// arrives is no proof: in an asymmetric partition a worker's messages get
// through while nothing gets back to it. Only an effect proves delivery.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/fencing_token.h"
#include "core/model/settings.h"
#include "core/model/worker_incarnation.h"

namespace oxbow {

// A worker waits so long for the response to its heartbeat, and so long before
// it tries another controller (protocol, "Workers -> controller nodes"). A
// response to an older heartbeat renews nothing.
inline constexpr double kHeartbeatTimeoutSeconds = 4;
inline constexpr double kRetryPauseSeconds = 1;

// Whether responses and commands get through to a machine, as far as is proven.
enum class ReachabilityState : uint8_t {
  kUnproven,   // nothing of this leader has had an effect yet
  kProven,     // something has, and nothing contradicts it since
  kSuspected,  // a response had no effect, or heartbeats come as far apart as
               // after timeouts
  kReceivesNoResponses,  // responses keep having no effect
};

// What may change that.
enum class ReachabilityEvent : uint8_t {
  kEffectShown,     // a message shows what only this leader can have caused
  kEffectMissing,   // a heartbeat made after a response lacks its effect
  kTimeoutPattern,  // heartbeats come as far apart as after a response that did
                    // not arrive, or again after a long silence
  kIncarnationEnded,  // an incarnation ended less than a lease after the
                      // response to one of its heartbeats
};

// One for each machine, under one leader. What has to reach the machine is the
// heartbeat responses: only they renew its lease. So a suspicion is settled by
// a delivery check: a new fencing token that is sent in heartbeat responses
// alone, and that a later heartbeat has to show.
class Reachability {
 public:
  // What matters here of a new heartbeat.
  struct HeartbeatFacts {
    uint64_t seq = 0;
    FencingToken shown_token = 0;
    double seconds_since_last = 0;
    // Start commands in the response before it have had no effect.
    bool lacks_command_effects = false;
  };
  // What matters here of the response to a new heartbeat.
  struct ResponseFacts {
    uint64_t heartbeat_seq = 0;
    FencingToken sent_token = 0;
    FencingToken shown_token = 0;  // by the heartbeat
    // A delegate in the machine's zone may have renewed its lease meanwhile.
    bool may_be_renewed_by_delegate = false;
  };

  ReachabilityState state() const { return state_; }
  // Whether the machine sends heartbeats but is taken to receive no response.
  bool receives_no_responses() const {
    return state_ == ReachabilityState::kReceivesNoResponses;
  }
  // Since when; meaningful only while receives_no_responses().
  Time receives_none_since() const { return receives_none_since_; }
  // Whether delivery has to be proven by a check. Meanwhile nothing but
  // heartbeat responses may carry the newest token, or showing it would prove
  // nothing.
  bool needs_proof() const {
    return receives_no_responses() || state_ == ReachabilityState::kSuspected;
  }
  // Whether new work may be placed there.
  bool MayTakeWork() const { return !needs_proof(); }

  // Commands were sent to the machine's address under this token.
  void OnCommandsSent(FencingToken token) {
    direct_token_ = std::max(direct_token_, token);
  }
  // Whether the next response has to carry a new token, as a delivery check.
  bool NeedsDeliveryCheck(Time now) const {
    return needs_proof() && now >= checks_from_ &&
           check_token_ <= direct_token_;
  }
  void OnDeliveryCheckSent(FencingToken token) { check_token_ = token; }

  // A new message of the worker shows `token`, while the leader uses `current`
  // for the machine. For a heartbeat, called after OnHeartbeat.
  void OnTokenShown(FencingToken token, FencingToken current,
                    const WorkerSettings& workers, Time now);
  // A new heartbeat has come.
  void OnHeartbeat(const HeartbeatFacts& heartbeat,
                   const WorkerSettings& workers, Time now);
  // A new incarnation is shown, and the one before was known to this leader. If
  // that one ended for want of responses, they have yet to prove that they
  // arrive.
  void OnIncarnationEnded(const WorkerSettings& workers, Time now);
  // A new heartbeat is being answered.
  void OnResponse(const ResponseFacts& response, double lease_seconds,
                  Time now);
  // Whether a heartbeat of the present incarnation with this token must be an
  // old one that was delayed: in the last lease and longer any response that
  // arrived would have made the worker show a higher token, and without one its
  // incarnation would be over. Not if a delegate may have renewed its lease
  // while this leader was silent.
  bool IsStaleHeartbeat(FencingToken token, double lease_seconds,
                        bool may_be_renewed_by_delegate, Time now) const;

 private:
  static constexpr Time kNever = -1e9;

  // The one function for a change of state.
  void Change(ReachabilityEvent event, const WorkerSettings& workers, Time now);
  // A machine that received nothing does again. Whether it has lost contact so
  // often lately that it has to prove delivery once more, later.
  bool MustProveAgain(const WorkerSettings& workers, Time now);
  bool ShowsTimeoutPattern(double seconds_since_last,
                           const WorkerSettings& workers);

  ReachabilityState state_ = ReachabilityState::kUnproven;
  FencingToken direct_token_ = 0;  // the highest sent to the machine's address
  FencingToken check_token_ = 0;   // the one of the delivery check
  // Of the latest response.
  uint64_t response_seq_ = 0;
  FencingToken response_token_ = 0;
  Time responded_at_ = kNever;
  // Of the first response whose token has not been shown since.
  FencingToken unshown_token_ = 0;
  Time unshown_since_ = kNever;
  Time receives_none_since_ = kNever;
  Time checks_from_ = kNever;  // no delivery check before
  Time recovered_at_ = kNever;
  int recoveries_ = 0;  // recent ones, bounded
  int timeouts_in_a_row_ = 0;
  bool has_restarted_ = false;  // an incarnation has ended under this leader
};

}  // namespace oxbow
