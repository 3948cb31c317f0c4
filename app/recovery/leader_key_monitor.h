// Finds orphaned leader keys. A store that has lost data may hold a leader key
// whose owner has ended and whose lease the store has lost, so that the key
// would never expire.
#pragma once

#include <cstdint>
#include <functional>

#include "app/recovery/recovery_context.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "net/task.h"

namespace oxbow::app {

// Monitors the leader key that the catalog holds now.
class LeaderKeyMonitor {
 public:
  using OrphanedKeyHandler = std::function<void(uint64_t mod_revision)>;

  // `context` must outlive this object. `on_orphaned_key` is called with the
  // key's revision once it is certain that no controller holds the key.
  LeaderKeyMonitor(const RecoveryContext& context,
                   OrphanedKeyHandler on_orphaned_key);

  void Start() { leader_confirmed_at_ = context_.loop.Now(); }

  // Asks the controller that the key names whether it holds the key. If that
  // controller has not confirmed it for the length of a leader lease, checks
  // whether the key is orphaned.
  net::Task<void> CheckLeader();
  // Whether no controller can hold the key any more because its lease does not
  // exist. The key is taken by value, since the coroutine uses it across a
  // suspension.
  net::Task<bool> IsOrphaned(clients::KeyValue leader_key);

 private:
  // The client of the controller that the key names; null if that is not one of
  // the peers.
  clients::PeerClient* NamedPeer() const;
  double LeaderLeaseSeconds() const;
  // Whether the key has been observed for so long that its lease must have
  // ended if its owner has, and the lease has not been probed since.
  bool IsProbeDue(uint64_t mod_revision);

  const RecoveryContext& context_;
  const OrphanedKeyHandler on_orphaned_key_;
  uint64_t observed_revision_ = 0;  // of the leader key observed last
  net::Time observed_since_ = 0;    // when the key was first observed
  bool is_lease_probed_ = false;    // whether its lease was probed since then
  // When the named controller last confirmed that it holds the key.
  net::Time leader_confirmed_at_ = 0;
};

}  // namespace oxbow::app
