// References to the components of one controller that the request-handling
// classes use. The struct owns none of them; each lives as long as the
// controller.
#pragma once

#include "app/leader_election.h"
#include "app/leader_runtime.h"
#include "app/recovery_coordinator.h"
#include "app/request_forwarder.h"
#include "app/store_watcher.h"
#include "app/version_coordinator.h"
#include "app/zone_coordinator.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/settings.h"
#include "net/loop.h"

namespace oxbow::app {

// The components of one controller that are used to handle requests.
struct RequestContext {
  net::Loop& loop;
  const Settings& settings;
  Catalog& catalog;
  clients::KeyValueStoreClient& store;
  StoreWatcher& watcher;
  LeaderElection& election;
  LeaderRuntime& leader_runtime;
  ZoneCoordinator& zone_coordinator;
  RecoveryCoordinator& recovery;
  VersionCoordinator& versions;
  RequestForwarder& forwarder;
};

}  // namespace oxbow::app
