// Forwards users' requests to the other controllers: to the leader, and, when
// this one can't reach the key-value store, to whichever can answer. Owns no
// request; decides only which controllers are asked.
//
// Coroutines hold `this` and copies of messages, and may outlive the call that
// started them: the forwarder must outlive the event loop's run.
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

  // Asks one peer after the other until one of them can answer. kNo: none
  // could. Peers do not forward the message any further.
  net::Task<clients::PeerMessage> AskPeers(clients::PeerMessage message,
                                           double interval_seconds,
                                           double timeout_seconds);
  // Asks the leader, unless it has not answered lately. Not ok: no answer.
  net::Task<clients::PeerClient::Answer> AskLeader(clients::PeerMessage message,
                                                   double timeout_seconds);

 private:
  // A request that is being forwarded; shared by its coroutines.
  struct Round {
    explicit Round(net::Loop& loop) : changed(loop) {}
    net::Event changed;
    size_t asked = 0;     // peers
    size_t finished = 0;  // peers, with an answer or without
    bool answered = false;
    clients::PeerMessage answer;
  };
  // Whether the peer may be waited for; if not, has it probed now and then.
  bool IsResponsive(size_t peer);
  net::Task<void> ProbePeer(size_t peer);
  net::Task<void> AskPeer(std::shared_ptr<Round> round, size_t peer,
                          clients::PeerMessage message, double timeout_seconds);
  void RecordOutcome(size_t peer, bool answered);

  net::Loop& loop_;
  const Settings& settings_;
  LeaderElection& election_;
  const LeaderHealthCoordinator::Peers& peers_;
  PeerSelector choice_;  // by index into peers_
};

}  // namespace oxbow::app
