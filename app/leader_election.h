// Who leads: seeks the key when it is free, renews its lease, asks for and
// gives promises in an outage. Owns the right to lead and nothing that is done
// with it; whoever acts as the leader asks Valid() at that moment.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "app/leader_health_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/store_watcher.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/catalog/catalog.h"
#include "core/lease/leadership.h"
#include "net/loop.h"

namespace oxbow::app {

class LeaderElection {
 public:
  struct Callbacks {
    std::function<bool()> is_leading;
    // With the controllers that may hold a right to keep their zone's workers,
    // as read after the key was won; nothing if that is not known.
    std::function<void(uint64_t revision,
                       const std::optional<std::set<std::string>>& delegates)>
        start_leading;
    std::function<void()> stop_leading;
  };
  LeaderElection(net::Loop& loop, const Settings& settings,
                 const Tuning& tuning, clients::KeyValueStoreClient& state,
                 const Catalog& catalog, StoreWatcher& watcher,
                 const LeaderHealthCoordinator& leader_health_coordinator,
                 const LeaderHealthCoordinator::Peers& peers,
                 RecoveryCoordinator& recovery, std::string incarnation,
                 Callbacks callbacks);
  void Start();

  // Whether this controller may act as the leader at this moment.
  bool Valid() { return leadership_.Valid(loop_.Refresh()); }
  // The lease of the leader key of that revision; 0 if it is not held any more.
  uint64_t LeaseOf(uint64_t revision) const {
    return leadership_.revision() == revision ? leadership_.lease_id() : 0;
  }
  void StepDown(const std::string& why);
  // The key-value store has lost data: whoever leads by it has to be waited
  // for.
  void StateLost();
  // Another controller has opened a new epoch.
  void OtherEpoch();
  // The leader key of that stamp has outlived its lease.
  void Orphaned(uint64_t mod_revision) {
    orphaned_key_mod_revision_ = mod_revision;
  }
  // Whether it could take office, were the key free.
  bool MayLead();
  // Empty when not known; null when it is this controller or not known.
  std::string LeaderName() const;
  clients::PeerClient* LeaderPeer();

  // Whose right to keep a zone's workers is recorded; nothing if not known.
  net::Task<std::optional<std::set<std::string>>> ReadDelegates();

  // --- as one who is asked
  LeaderRole Role() const { return leadership_.Role(loop_.Now()); }
  net::Task<bool> Promise();
  net::Task<bool> PromiseToDelegate(const clients::PeerMessage& ask);
  void DelegationReleased(const clients::PeerMessage& over) {
    leadership_.DelegationReleased(over.node, over.text, over.mod_revision);
  }

  // --- renewing workers' leases while nobody leads
  // Whether a heartbeat of a worker that has seen a token of that term may be
  // answered here, without commands. Being asked is what makes a controller
  // seek the others' promises.
  bool MayRenew(uint64_t term);
  // Whether the right to lead rests on the lease of the key, not on promises.
  bool ByLease() {
    return leadership_.Valid(loop_.Refresh()) &&
           leadership_.state() == LeaderState::kLeading;
  }

 private:
  net::Task<void> Run();
  // `leads`: it is proven that it may, as far as is known now.
  net::Task<void> Seek(bool leads);
  // Asks for the delegation while it is wanted, and lets go once it is not.
  void AskForDelegation(net::Time now);
  net::Task<void> AskToDelegate(clients::PeerClient* peer, uint64_t number,
                                net::Time sent);
  // Opens a new epoch and takes the key in it.
  net::Task<void> Reopen();
  net::Task<bool> CloseEpochs(const RecoveryCoordinator::Opening& opening,
                              std::vector<Mutation>* mutations);
  // Whether the transaction that was sent has made this controller leader.
  // Looks, if it was not answered; `before` is the stamp that the key had.
  net::Task<clients::StoreResult> Take(std::vector<Precondition> preconditions,
                                       std::vector<Mutation> mutations,
                                       uint64_t lease_id, uint64_t before);
  net::Task<void> Renew();
  // The lease is lost, and the right stands: the key is written again.
  net::Task<bool> Retake();
  bool LeaseLost(uint64_t lease_id);
  net::Task<void> AskPromise(clients::PeerClient* peer);
  net::Task<void> MeetPeers();
  net::Task<void> ProbeState();

  net::Loop& loop_;
  const Settings& settings_;
  const std::string incarnation_;  // of this process
  const double lease_seconds_;     // of the leader key
  clients::KeyValueStoreClient& store_;
  const Catalog& catalog_;
  StoreWatcher& watcher_;
  const LeaderHealthCoordinator& leader_health_coordinator_;
  const LeaderHealthCoordinator::Peers& peers_;
  RecoveryCoordinator& recovery_;
  Callbacks callbacks_;
  Leadership leadership_;
  net::Time met_from_;  // when the others began to be asked who leads
  uint64_t orphaned_key_mod_revision_ = 0;  // of a leader key that is nobody's
  uint64_t lease_missing_ = 0;  // once: a lease that ended before its time
  bool meeting_ = false;
  bool reopening_ = false;
  bool renewing_ = false;
  bool probing_ = false;
  net::Time next_renewal_ = 0;
  net::Time next_promise_ = 0;
  net::Time key_free_since_ = 1e18;
  bool met_once_ = false;        // every other controller has been asked
  net::Time wanted_until_ = -1;  // workers ask here that nobody answers
  net::Time next_delegation_ = 0;
};

}  // namespace oxbow::app
