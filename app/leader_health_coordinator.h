// Helps the controllers to choose a leader that reaches the machines: surveys
// which machines each controller reaches, offers leadership transfers, and
// makes controllers defer to others when the leader key is free. It does not
// grant the right to lead, which comes from the lease of the leader key.
//
// Coroutines hold `this` and copies of their arguments, so the coordinator must
// live as long as the event loop runs.
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
    // Delivers an event to the Leader unless the leadership of `revision` has
    // ended.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        deliver;
    // Whether this controller could lead now if the leader key were free.
    std::function<bool()> may_lead;
    // Gives up the leadership. `why` is logged.
    std::function<void(const std::string& why)> step_down;
  };

  LeaderHealthCoordinator(net::Loop& loop, const Settings& settings,
                          const Tuning& tuning, const Catalog& catalog,
                          const Peers& peers, Callbacks callbacks);

  // --- as the leader
  // Asks every controller, including this one, which of the machines it
  // reaches, and delivers the answers to the Leader.
  net::Task<void> SurveyReachability(AskReach ask, uint64_t revision);
  // Offers the leadership to another controller, and steps down if that one
  // accepts.
  net::Task<void> OfferTransfer(OfferLeadershipTransfer offer,
                                uint64_t revision);
  // Must be called when this controller has stepped down because it is unfit to
  // lead.
  void OnLeadershipYielded();

  // --- requests from other controllers
  // `reply` must outlive the task.
  net::Task<void> OnReachabilityQuestion(clients::PeerMessage message,
                                         clients::PeerMessage* reply);
  void OnTransferOffer(const clients::PeerMessage& message,
                       clients::PeerMessage* reply);
  void OnDeferCandidacy(const clients::PeerMessage& message);

  // Whether this controller may try to take the leader key now, which has been
  // free for `free_for_seconds`. This affects only how soon a suitable leader
  // is elected; safety rests on the key.
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
  // Until this time the controller campaigns only if no other one has taken the
  // free key.
  net::Time unfit_until_ = kNever;
  // Until this time the controller leaves the key to other candidates.
  net::Time defers_until_ = kNever;
};

}  // namespace oxbow::app
