// Hands users' requests to the other controllers: to the leader, and, when this
// one cannot reach the key-value store, to whoever can tell. Owns no request;
// decides nothing but whom to ask.
#pragma once

#include <memory>

#include "app/leader_election.h"
#include "app/leader_health_coordinator.h"
#include "clients/peer.h"
#include "core/model/settings.h"
#include "core/recovery/peer_choice.h"
#include "net/loop.h"

namespace oxbow::app {

class RequestForwarder {
 public:
  RequestForwarder(net::Loop& loop, const Settings& settings,
                   LeaderElection& election,
                   const LeaderHealthCoordinator::Peers& peers);

  // From one peer after the other, `apart` s apart, until one of them can tell,
  // for `within` s. kNo: none could. It goes no further than to them.
  net::Task<clients::PeerMessage> Ask(clients::PeerMessage message,
                                      double apart, double within);
  // Asks the leader, unless it rests after a silence. Not ok: no answer.
  net::Task<clients::PeerClient::Answer> AskLeader(clients::PeerMessage message,
                                                   double timeout);

 private:
  // A request that is handed on: whom it was given to, and what came of it.
  struct Round {
    explicit Round(net::Loop& loop) : news(loop) {}
    net::Event news;
    size_t asked = 0;
    size_t settled = 0;
    bool helped = false;
    clients::PeerMessage answer;
  };
  // Whether the peer may be waited for; else sees to it that it is tried.
  bool IsResponsive(size_t peer);
  net::Task<void> Try(size_t peer);
  net::Task<void> AskOne(std::shared_ptr<Round> round, size_t peer,
                         clients::PeerMessage message, double within);

  net::Loop& loop_;
  const Settings& settings_;
  LeaderElection& election_;
  const LeaderHealthCoordinator::Peers& peers_;
  PeerChoice choice_;  // among peers_
};

}  // namespace oxbow::app
