// Selects the other controllers to which a user's request is forwarded, and
// backs off from controllers that give no answer. No I/O: the caller reports
// the outcomes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// Whether requests wait for the answer of a peer.
enum class PeerState : uint8_t {
  kResponsive,  // as far as is known
  kBackingOff,  // the peer gave no answer: no request waits for it
  kProbing,     // the back-off has ended, and a probe that no user waits for
                // finds out whether the peer answers again
};

// The events that change the state.
enum class PeerEvent : uint8_t { kPeerAnswered, kPeerSilent, kProbeStarted };

// The state machines of all peers, a circuit breaker for each. Peers are
// numbered from 0, in the order of the caller.
class PeerSelector {
 public:
  // `initial_backoff_seconds`: the back-off after the first missing answer; it
  // doubles with each further one up to `max_backoff_seconds`.
  // `unresolved_per_second`: how many requests per second may be forwarded if
  // no peer can resolve any of them.
  PeerSelector(size_t peers, double initial_backoff_seconds,
               double max_backoff_seconds, double unresolved_per_second);

  // Whether a request may be forwarded; if so, it is counted. In an outage that
  // affects all controllers, forwarding every request would only add to the
  // load. The rate is limited rather than a pause made after each failure: a
  // pause that every unresolved request renews could keep out for ever a
  // request that another controller could resolve.
  bool MayForwardRequest(Time now);
  // All peers, starting with the peer that resolved a request last. A request
  // asks all of them in turn, so its result does not depend on the order.
  std::vector<size_t> PreferenceOrder() const;
  // Whether a request may wait for this peer.
  bool IsResponsive(size_t peer) const {
    return peers_[peer].state == PeerState::kResponsive;
  }
  // Whether to probe a peer whose back-off has ended. If true, the probe has
  // begun, and the caller has to call OnPeerAnswered or OnPeerSilent. No user's
  // request waits for a probe: otherwise every request of one user could happen
  // to be a probe.
  bool MayProbe(size_t peer, Time now);
  // The peer has answered a request or probe.
  void OnPeerAnswered(size_t peer);
  // The peer has not answered a request or probe.
  void OnPeerSilent(size_t peer, Time now);
  // The peer could resolve the request that was forwarded to it.
  void OnRequestResolved(size_t peer);

  PeerState state(size_t peer) const { return peers_[peer].state; }

 private:
  struct Peer {
    PeerState state = PeerState::kResponsive;
    Time backoff_ends_at = 0;
    double next_backoff_seconds = 0;
  };
  // The only function that changes the state of a peer.
  void Change(Peer& peer, PeerEvent event);

  std::vector<Peer> peers_;
  const double initial_backoff_seconds_;
  const double max_backoff_seconds_;
  const double unresolved_per_second_;
  double unresolved_allowance_;  // requests that may be forwarded now
  Time allowance_updated_at_ = 0;
  size_t preferred_ = 0;  // the peer that resolved a request last
};

}  // namespace oxbow
