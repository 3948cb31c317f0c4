// A controller's part in the question of who is fit to lead: the leader's
// rounds and offers carried out, the other controllers' answered, and who lets
// whom go first when the key is free. Owns no right to lead: that is the lease.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clients/peer.h"
#include "clients/reach_client.h"
#include "core/leader/leader.h"
#include "core/leader_health/leader_health.h"

namespace oxbow::app {

class LeaderHealthCoordinator {
 public:
  using Peers = std::vector<std::unique_ptr<clients::PeerClient>>;
  struct Callbacks {
    // Hands an event to the leader's core, if that leadership still stands.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        tell;
    // Whether this controller could take office now.
    std::function<bool()> may_lead;
    std::function<void(const std::string& why)> step_down;
  };

  LeaderHealthCoordinator(net::Loop& loop, const Settings& settings,
                          const Tuning& tuning, const Catalog& catalog,
                          const Peers& peers, Callbacks callbacks);

  // --- as the leader
  net::Task<void> SurveyReachability(AskReach ask, uint64_t revision);
  net::Task<void> OfferTransfer(OfferLeadershipTransfer offer,
                                uint64_t revision);
  // It has stepped down as unfit.
  void OnLeadershipYielded();

  // --- as one who is asked
  net::Task<void> OnReach(clients::PeerMessage message,
                          clients::PeerMessage* reply);
  void OnOffer(const clients::PeerMessage& message,
               clients::PeerMessage* reply);
  void OnStandAside(const clients::PeerMessage& message);

  // Whether it may go for the free key now. `free_for`: s that nobody has led.
  // Costs speed only: whoever finds the key free may write it.
  bool MaySeek(double free_for) const;

 private:
  struct Round {
    explicit Round(net::Loop& loop) : done(loop) {}
    net::Event done;
    std::vector<Reach> answers;  // this controller's first
    size_t left = 0;
  };
  net::Task<void> AskSelf(std::shared_ptr<Round> round,
                          std::vector<std::string> endpoints,
                          uint64_t revision);
  net::Task<void> AskPeer(std::shared_ptr<Round> round, size_t slot,
                          clients::PeerClient* peer, clients::PeerMessage ask,
                          size_t count);

  net::Loop& loop_;
  const Settings& settings_;
  const Catalog& catalog_;
  const Peers& peers_;
  Callbacks callbacks_;
  clients::ReachClient reach_;
  LeadershipTransferLog leadership_transfers_;
  const double probe_seconds_;         // for a worker's answer
  const double leader_lease_seconds_;  // of the leader key
  net::Time unfit_until_ = -1e9;
  net::Time others_first_until_ = -1e9;
};

}  // namespace oxbow::app
