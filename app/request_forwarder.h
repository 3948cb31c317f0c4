// Forwards users' requests to other controllers: to the leader or, when this
// controller can't answer itself, to any peer that can. Decides only which
// controllers are asked and how long they are waited for.
//
// Coroutines hold `this` and copies of messages, and may outlive the call that
// started them, so the forwarder must live as long as the event loop runs.
#pragma once

#include <memory>

#include "app/leader_election.h"
#include "app/leader_health_coordinator.h"
#include "clients/peer.h"
#include "core/model/settings.h"
#include "core/recovery/peer_selector.h"
#include "net/loop.h"

namespace oxbow::app {

// Asks other controllers on behalf of users; one per controller.
class RequestForwarder {
 public:
  RequestForwarder(net::Loop& loop, const Settings& settings,
                   LeaderElection& election,
                   const LeaderHealthCoordinator::Peers& peers);

  // Asks one peer after the other, at most `interval_seconds` apart, until one
  // of them can answer. The reply's `answer` is kNo if none could within
  // `timeout_seconds`. Peers do not forward the message any further.
  net::Task<clients::PeerMessage> AskPeers(clients::PeerMessage message,
                                           double interval_seconds,
                                           double timeout_seconds);
  // Asks the leader, unless it is known not to respond. The result is not `ok`
  // if there is no answer.
  net::Task<clients::PeerClient::Answer> AskLeader(clients::PeerMessage message,
                                                   double timeout_seconds);

 private:
  // A request that is being forwarded; shared by its coroutines.
  struct Round {
    explicit Round(net::Loop& loop) : changed(loop) {}
    net::Event changed;
    size_t asked = 0;     // peers that were asked
    size_t finished = 0;  // peers that have answered or failed to
    bool answered = false;
    clients::PeerMessage answer;
  };
  // Whether requests may wait for the peer. If not, this probes the peer at
  // intervals.
  bool IsResponsive(size_t peer);
  net::Task<void> ProbePeer(size_t peer);
  net::Task<void> AskPeer(std::shared_ptr<Round> round, size_t peer,
                          clients::PeerMessage message, double timeout_seconds);
  void RecordOutcome(size_t peer, bool answered);

  net::Loop& loop_;
  const Settings& settings_;
  LeaderElection& election_;
  const LeaderHealthCoordinator::Peers& peers_;
  PeerSelector peer_selector_;  // identifies peers by their index in peers_
};

}  // namespace oxbow::app
