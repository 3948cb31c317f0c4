// A controller's part in deciding which controller is fit to lead: surveys of
// which machines each controller reaches, offers of leadership transfers, and
// which controller defers to which when the leader key is free. Owns no right
// to lead: that is the lease of the key.
//
// Coroutines hold `this` and copies of their arguments: the coordinator must
// outlive the event loop's run.
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

// Surveys reachability and transfers leadership; one per controller.
class LeaderHealthCoordinator {
 public:
  using Peers = std::vector<std::unique_ptr<clients::PeerClient>>;
  struct Callbacks {
    // Hands an event to the leader's core, if that leadership has not ended.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        deliver;
    // Whether this controller could take office now.
    std::function<bool()> may_lead;
    // Gives the leadership up.
    std::function<void(const std::string& why)> step_down;
  };

  LeaderHealthCoordinator(net::Loop& loop, const Settings& settings,
                          const Tuning& tuning, const Catalog& catalog,
                          const Peers& peers, Callbacks callbacks);

  // --- as the leader
  // Asks every controller, this one too, which of the machines it reaches.
  net::Task<void> SurveyReachability(AskReach ask, uint64_t revision);
  // Steps down if the other controller agrees to lead.
  net::Task<void> OfferTransfer(OfferLeadershipTransfer offer,
                                uint64_t revision);
  // This controller has stepped down as unfit.
  void OnLeadershipYielded();

  // --- as one who is asked
  // `reply` must outlive the task.
  net::Task<void> OnReachabilityQuestion(clients::PeerMessage message,
                                         clients::PeerMessage* reply);
  void OnTransferOffer(const clients::PeerMessage& message,
                       clients::PeerMessage* reply);
  void OnDeferCandidacy(const clients::PeerMessage& message);

  // Whether this controller may try to take the free leader key now, given for
  // how long nobody has led. Affects speed only: safety rests on the key.
  bool MayCampaign(double free_for_seconds) const;

 private:
  static constexpr net::Time kNever = -1e9;  // before every time

  // A survey in progress; shared by its coroutines.
  struct Round {
    explicit Round(net::Loop& loop) : done(loop) {}
    net::Event done;
    std::vector<ReachabilityAnswer> answers;  // this controller's first
    size_t pending = 0;
  };
  void FinishOne(Round& round) const;
  void RejectTransfer(const std::string& reason, uint64_t revision);
  clients::PeerClient* FindPeer(const std::string& name) const;
  void AnnounceTransfer(const std::string& to);
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
  LeadershipTransferLog transfers_;
  const double probe_timeout_seconds_;
  const double leader_lease_seconds_;  // of the leader key
  // Until then it leads only if nobody else does.
  net::Time unfit_until_ = kNever;
  net::Time defers_until_ = kNever;  // to other candidates
};

}  // namespace oxbow::app
