// Which of the other controllers a user's request is forwarded to, and when one
// that gives no answer is asked again. No I/O: the caller reports the outcomes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// Whether requests wait for a peer.
enum class PeerState : uint8_t {
  kAnswers,  // as far as is known
  kResting,  // gave no answer: no request waits for it until its rest is over
  kOnTrial,  // the rest is over, and a request of its own finds out
};

// What changes that.
enum class PeerEvent : uint8_t { kAnswer, kSilence, kTrial };

// Peers are numbered from 0, in the order of the caller.
class PeerSelector {
 public:
  // `rest_seconds`: after the first silence; doubled with each further one up
  // to `max_rest_seconds`. `fruitless_per_second`: how many requests a second
  // may be forwarded though none of the earlier ones was answered.
  PeerSelector(size_t peers, double rest_seconds, double max_rest_seconds,
               double fruitless_per_second);

  // Whether a request may be forwarded. In an outage that all controllers
  // share, forwarding each would only add to the load. Limited by their number
  // and not by a pause: a pause that is renewed by every unanswered request can
  // keep out, for ever, the one that another controller could answer.
  bool MayForwardRequest(Time now);
  // All peers, the one that helped last first: a request asks one after the
  // other, so that an answer does not depend on whose turn it is.
  std::vector<size_t> PreferenceOrder() const;
  // Whether a request may wait for this one.
  bool IsResponsive(size_t peer) const {
    return peers_[peer].state == PeerState::kAnswers;
  }
  // Whether to find out, on nobody's behalf, if a peer whose rest is over
  // answers again. True begins the trial: OnPeerAnswered() or OnPeerSilent()
  // has to follow. If users waited for trials, each request of an unlucky one
  // could be a trial.
  bool MayProbe(size_t peer, Time now);
  void OnPeerAnswered(size_t peer);
  void OnPeerSilent(size_t peer, Time now);
  // The peer had what was asked for.
  void OnRequestResolved(size_t peer);

  PeerState state(size_t peer) const { return peers_[peer].state; }

 private:
  struct Peer {
    PeerState state = PeerState::kAnswers;
    Time until = 0;
    double rest_seconds = 0;  // the length of the next rest
  };
  // The only function that changes a state.
  void Change(Peer& peer, PeerEvent event);

  std::vector<Peer> peers_;
  const double rest_seconds_;
  const double max_rest_seconds_;
  const double fruitless_per_second_;
  double fruitless_allowance_;  // requests that may be forwarded now
  Time allowance_updated_at_ = 0;
  size_t preferred_ = 0;  // the peer that helped last
};

}  // namespace oxbow
