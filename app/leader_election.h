// Who leads: seeks the leader key when it is free, renews its lease, asks for
// and gives promises in an outage of the store. Owns the right to lead and
// nothing that is done with it; whoever acts as the leader asks
// MayActAsLeader() at that moment.
//
// Coroutines: Start() spawns detached loops that use this object, which
// therefore lives as long as the event loop. A task that is returned is awaited
// by its caller.
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

// The part of one controller in the election.
class LeaderElection {
 public:
  struct Callbacks {
    std::function<bool()> is_leading;
    // With the controllers that may hold a right to renew their zone's workers'
    // leases, as read after the key was won; nothing if that is not known.
    std::function<void(uint64_t revision,
                       const std::optional<std::set<std::string>>& delegates)>
        start_leading;
    std::function<void()> stop_leading;
  };
  // All arguments by reference must outlive this object. `incarnation`: of this
  // process.
  LeaderElection(net::Loop& loop, const Settings& settings,
                 const Tuning& tuning, clients::KeyValueStoreClient& store,
                 const Catalog& catalog, StoreWatcher& watcher,
                 const LeaderHealthCoordinator& leader_health_coordinator,
                 const LeaderHealthCoordinator::Peers& peers,
                 RecoveryCoordinator& recovery, std::string incarnation,
                 Callbacks callbacks);
  void Start();

  // Whether this controller may act as the leader at this moment.
  bool MayActAsLeader() { return context_.IsValidLeader(); }
  // Whether the right to lead rests on the lease of the key, not on promises.
  bool ByLease() {
    return MayActAsLeader() && leadership_.state() == LeaderState::kLeading;
  }
  // Whether it could lead, were the key free.
  bool MayLead();
  // The lease of the leader key of that revision; 0 if it is not held any more.
  uint64_t LeaseOf(uint64_t revision) const {
    return leadership_.revision() == revision ? leadership_.lease_id() : 0;
  }
  // Empty when not known.
  std::string LeaderName() const;
  // Null when it is this controller or not known.
  clients::PeerClient* LeaderPeer();

  // `reason`: for the log.
  void StepDown(const std::string& reason);
  // The store has lost data: whoever leads by it has to be waited for.
  void OnStoreLoss();
  // Another controller has opened a new epoch.
  void OnLaterEpoch();
  // The leader key of that revision has outlived its lease.
  void OnOrphanedKey(uint64_t mod_revision) {
    orphaned_key_revision_ = mod_revision;
  }

  // Who has a recorded right to renew a zone's workers' leases; nothing if that
  // is not known.
  net::Task<std::optional<std::set<std::string>>> ReadDelegates();

  // --- requests of other controllers
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
  // Whether a heartbeat of a worker that has seen a token of that term may be
  // answered here, without commands. Being asked is what makes a controller
  // seek the others' promises.
  bool MayRenewWorkerLeases(uint64_t term);

 private:
  // What to do about a leader key that may be taken.
  struct SeekPlan {
    bool seeks = false;
    bool may_lead = false;  // it is proven that it may, as far as is known
  };

  net::Task<void> Run();
  // One round of the loop; seconds until the next, or nothing: at once.
  net::Task<std::optional<double>> RunRound();
  // The round of a leader whose right is valid.
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
  uint64_t orphaned_key_revision_ = 0;  // of a leader key that is nobody's
  std::optional<net::Time> key_free_since_;
};

}  // namespace oxbow::app
