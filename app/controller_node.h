// One controller: the rooms of which it is made, and who may call whom.
//
//   Users -> LeaderRuntime -> Election -> Follower
//   LeaderHealthCoordinator, RecoveryCoordinator, RolloutCoordinator: reached
//   by the others, reach back through seams that are wired here.
#pragma once

#include <memory>

#include "api/api.h"
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

class ControllerNode {
 public:
  ControllerNode(net::Loop& loop, const Settings& settings,
                 const Tuning& tuning);

  // Starts everything; the loop does the rest.
  void Start();
  const std::map<std::string, MachineType>* Types() {
    return job_request_handler_.MachineTypes();
  }

 private:
  net::Task<clients::PeerMessage> OnPeer(clients::PeerMessage message);

  const Settings& settings_;
  Catalog catalog_;
  clients::KeyValueStoreClient store_;
  clients::CloudClient cloud_;
  const std::string process_incarnation_;  // incarnation of this process
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
};

}  // namespace oxbow::app
