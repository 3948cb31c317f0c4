// What each class of the leader election works with. The LeaderElection owns
// the one instance; the objects referred to live as long as the process, so a
// coroutine may use them over a suspension.
#pragma once

#include <functional>
#include <string>

#include "app/leader_health_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/store_watcher.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/lease/leadership.h"
#include "core/model/settings.h"
#include "net/loop.h"

namespace oxbow::app {

// References to the rest of the controller, and what follows from them.
struct ElectionContext {
  net::Loop& loop;
  const Settings& settings;
  const std::string incarnation;  // of this process
  const double lease_seconds;     // of the leader key
  clients::KeyValueStoreClient& store;
  const Catalog& catalog;
  StoreWatcher& watcher;
  const LeaderHealthCoordinator::Peers& peers;
  RecoveryCoordinator& recovery;
  Leadership& leadership;
  // Ends what is done as the leader; the right to lead is not changed.
  std::function<void()> stop_leading;

  // Whether this controller may act as the leader at this moment.
  bool IsValidLeader() const {
    return leadership.MayActAsLeader(loop.Refresh());
  }

  // The leader key of this process. `may_lead`: it may do so now, as far as is
  // known; else it only renews workers' leases until it may.
  LeaderRecord LeaderRecordFor(bool may_lead) const {
    return {settings.node, incarnation, 0, !may_lead};
  }
};

}  // namespace oxbow::app
