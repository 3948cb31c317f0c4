// The parts of the controller that the classes of the leader election share.
// The LeaderElection owns the only instance. The objects referred to live as
// long as the process, so a coroutine may use them across a suspension.
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

// References to other parts of the controller, and queries derived from them.
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
  // Stops all work that this controller does as the leader. It does not change
  // the right to lead.
  std::function<void()> stop_leading;

  // Whether this controller may act as the leader at this moment.
  bool IsValidLeader() const {
    return leadership.MayActAsLeader(loop.Refresh());
  }

  // The record that this process writes to the leader key. `may_lead`: whether
  // it leads from the moment the key is written; if not, it only renews
  // workers' leases until it is known that no other controller leads.
  LeaderRecord LeaderRecordFor(bool may_lead) const {
    return {settings.node, incarnation, 0, !may_lead};
  }
};

}  // namespace oxbow::app
