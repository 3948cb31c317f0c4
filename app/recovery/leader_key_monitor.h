// Finds leader keys that belong to nobody: a store that has lost data may hold
// a key whose holder has ended and whose lease it has forgotten, so that the
// key would never go away.
#pragma once

#include <cstdint>
#include <functional>

#include "app/recovery/recovery_context.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "net/task.h"

namespace oxbow::app {

// Observes one leader key at a time.
class LeaderKeyMonitor {
 public:
  using OrphanedKeyHandler = std::function<void(uint64_t mod_revision)>;

  // `context` must outlive this object. `on_orphaned_key` is called with the
  // key's revision once it is certain that nobody holds it.
  LeaderKeyMonitor(const RecoveryContext& context,
                   OrphanedKeyHandler on_orphaned_key);

  void Start() { leader_confirmed_at_ = context_.loop.Now(); }

  // Whether the leader that the key names still says that it leads; looks at
  // the key's lease once it has not for as long as that lasts.
  net::Task<void> CheckLeader();
  // Whether nobody can hold the key any more: it has outlived its lease. The
  // key is taken by value, to be owned over the suspension.
  net::Task<bool> IsOrphaned(clients::KeyValue leader_key);

 private:
  clients::PeerClient* NamedPeer() const;
  double LeaderLeaseSeconds() const;
  // Whether the key's lease must have ended by now if its holder has, and has
  // not been asked about since.
  bool IsProbeDue(uint64_t mod_revision);

  const RecoveryContext& context_;
  const OrphanedKeyHandler on_orphaned_key_;
  uint64_t observed_revision_ = 0;  // of a leader key, and since when
  net::Time observed_since_ = 0;
  bool is_lease_probed_ = false;
  net::Time leader_confirmed_at_ = 0;  // the named one said that it leads
};

}  // namespace oxbow::app
