// Leader election among the controllers: campaigns for the leader key in the
// key-value store when it may be taken, renews the key's lease, and exchanges
// promises with the other controllers while the store is unavailable. This
// class decides only whether this controller may lead; code that acts as the
// leader must check MayActAsLeader() immediately before each act.
//
// Start() spawns detached coroutines that use this object, so it must live as
// long as the event loop runs. The caller awaits each task that a function
// returns.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "app/election/delegation_requester.h"
#include "app/election/election_context.h"
#include "app/election/epoch_election.h"
#include "app/election/leader_key_writer.h"
#include "app/election/lease_renewer.h"
#include "app/election/peer_role_survey.h"
#include "app/election/promise_exchange.h"
#include "app/leader_health_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/store_watcher.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/catalog/catalog.h"
#include "core/lease/leadership.h"
#include "net/loop.h"

namespace oxbow::app {

// One controller's participation in the leader election.
class LeaderElection {
 public:
  struct Callbacks {
    std::function<bool()> is_leading;
    // Called when this controller begins to lead. `revision` is that of the
    // leader key. `delegates` names the controllers that may hold the right to
    // renew the leases of their zone's workers, as read after the key was won;
    // it is nullopt if they are not known.
    std::function<void(uint64_t revision,
                       const std::optional<std::set<std::string>>& delegates)>
        start_leading;
    std::function<void()> stop_leading;
  };
  // All arguments passed by reference must outlive this object. `incarnation`
  // identifies this process among the successive processes of this controller.
  LeaderElection(net::Loop& loop, const Settings& settings,
                 const Tuning& tuning, clients::KeyValueStoreClient& store,
                 const Catalog& catalog, StoreWatcher& watcher,
                 const LeaderHealthCoordinator& leader_health_coordinator,
                 const LeaderHealthCoordinator::Peers& peers,
                 RecoveryCoordinator& recovery, std::string incarnation,
                 Callbacks callbacks);
  // Starts the election loop and the survey of the other controllers' roles.
  // Must be called once.
  void Start();

  // Whether this controller may act as the leader at this moment.
  bool MayActAsLeader() { return context_.IsValidLeader(); }
  // Whether this controller may act as the leader because it holds the leader
  // key's lease, and not because of other controllers' promises.
  bool ByLease() {
    return MayActAsLeader() && leadership_.state() == LeaderState::kLeading;
  }
  // Whether this controller could lead if the leader key were free.
  bool MayLead();
  // The id of the lease on the leader key written at `revision`; 0 if this
  // controller no longer holds that key.
  uint64_t LeaseOf(uint64_t revision) const {
    return leadership_.revision() == revision ? leadership_.lease_id() : 0;
  }
  // The name of the controller that holds the leader key; empty if the catalog
  // has no leader key.
  std::string LeaderName() const;
  // The client for the controller that holds the leader key; null if that is
  // this controller or is not known.
  clients::PeerClient* LeaderPeer();

  // Gives up the leader key and ends this controller's leadership, if it has
  // one. `reason` is logged.
  void StepDown(const std::string& reason);
  // Must be called when the key-value store has lost data. The key of a leader
  // may be among the lost data. Before this controller campaigns again, all
  // others must have told their roles, or the longest promise must have
  // expired.
  void OnStoreLoss();
  // Must be called when another controller has opened a new store epoch.
  void OnLaterEpoch();
  // Must be called when the leader key written at `mod_revision` still exists
  // although its lease has ended.
  void OnOrphanedKey(uint64_t mod_revision) {
    orphaned_key_revision_ = mod_revision;
  }

  // Reads which controllers have a recorded right to renew the leases of their
  // zone's workers; nullopt if that is not known.
  net::Task<std::optional<std::set<std::string>>> ReadDelegates();

  // --- requests from other controllers
  LeaderRole Role() const { return leadership_.Role(context_.loop.Now()); }
  // Whether this controller promises not to seek leadership for a while.
  net::Task<bool> Promise() { return promise_exchange_.Promise(); }
  net::Task<bool> PromiseToDelegate(clients::PeerMessage request) {
    return promise_exchange_.PromiseToDelegate(std::move(request));
  }
  void OnDelegationReleased(const clients::PeerMessage& release) {
    leadership_.DelegationReleased(release.node, release.text,
                                   release.mod_revision);
  }

  // --- renewing workers' leases while nobody leads
  // Whether this controller may answer, without commands, the heartbeat of a
  // worker that has seen a token of `term`. A call may also report an
  // unanswered worker to DelegationRequester, which then requests the other
  // controllers' promises.
  bool MayRenewWorkerLeases(uint64_t term);

 private:
  // Whether and how to campaign for the leader key.
  struct SeekPlan {
    bool seeks = false;
    // Whether this controller is known to be allowed to lead with the key. If
    // not, it may hold the key only to renew workers' leases.
    bool may_lead = false;
  };

  net::Task<void> Run();
  // Runs one round of the loop. Returns the seconds to wait before the next
  // round, or nullopt to start it at once.
  net::Task<std::optional<double>> RunRound();
  // Runs the round of a controller that may act as the leader.
  net::Task<void> Lead(net::Time now);
  void UpdateKeyFreeSince(net::Time now);
  SeekPlan PlanSeek(net::Time now) const;
  net::Task<void> Seek(bool may_lead);
  void OnKeyWon(uint64_t revision, const LeaderRecord& record,
                const EpochOpening& founding);
  net::Task<void> EndLease(uint64_t lease_id);

  const LeaderHealthCoordinator& leader_health_coordinator_;
  const Callbacks callbacks_;
  Leadership leadership_;
  const ElectionContext context_;
  LeaderKeyWriter key_writer_;
  PromiseExchange promise_exchange_;
  LeaseRenewer lease_renewer_;
  EpochElection epoch_election_;
  PeerRoleSurvey peer_role_survey_;
  DelegationRequester delegation_requester_;
  std::mt19937 random_{std::random_device{}()};
  // The revision of a leader key that still exists although its lease has
  // ended; 0 if there is none.
  uint64_t orphaned_key_revision_ = 0;
  std::optional<net::Time> key_free_since_;
};

}  // namespace oxbow::app
