// One controller: owns its components and connects them. Calls run from left to
// right:
//
//   Api -> JobRequestHandler -> LeaderRuntime -> LeaderElection -> StoreWatcher
//
// These components also call the coordinators, which report back through
// callbacks that are set up here. Components are constructed in the order of
// the members. Each may keep references to the members before it, and calls
// later members through callbacks only after Start(). A controller is not
// movable because its components hold references to each other.
#pragma once

#include <memory>

#include "api/api.h"
#include "app/connection_log.h"
#include "app/job_request_handler.h"
#include "app/leader_election.h"
#include "app/leader_health_coordinator.h"
#include "app/leader_runtime.h"
#include "app/record_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/request_forwarder.h"
#include "app/rollout_coordinator.h"
#include "app/store_watcher.h"
#include "app/version_coordinator.h"
#include "app/zone_coordinator.h"
#include "clients/cloud.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace oxbow::app {

// The single controller that a process runs.
class ControllerNode {
 public:
  ControllerNode(net::Loop& loop, const Settings& settings,
                 const Tuning& tuning);

  // Starts all components, which then run on the event loop. The controller
  // must outlive the loop's run.
  void Start();
  // Returns the machine types by name, or null while they are unknown.
  const std::map<std::string, MachineType>* Types() {
    return job_request_handler_.MachineTypes();
  }

 private:
  net::Task<clients::PeerMessage> OnPeer(clients::PeerMessage message);

  const Settings& settings_;
  Catalog catalog_;
  clients::KeyValueStoreClient store_;
  clients::CloudClient cloud_;
  // Distinguishes this process from earlier ones of the same controller.
  const std::string process_incarnation_;
  LeaderHealthCoordinator::Peers peers_;
  StoreWatcher watcher_;
  LeaderHealthCoordinator leader_health_coordinator_;
  ZoneCoordinator zone_coordinator_;
  RecoveryCoordinator recovery_;
  LeaderElection election_;
  LeaderRuntime leader_runtime_;
  VersionCoordinator version_coordinator_;
  RequestForwarder request_forwarder_;
  JobRequestHandler job_request_handler_;
  RolloutCoordinator rollout_coordinator_;
  api::RolloutRoutes rollout_routes_;
  RecordCoordinator record_coordinator_;
  api::RecordRoutes record_routes_;
  api::Api api_;
  clients::PeerServer peer_server_;
  net::HttpServer server_;
  ConnectionLog connection_log_;
};

}  // namespace oxbow::app
