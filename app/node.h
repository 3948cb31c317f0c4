// One controller: the rooms of which it is made, and who may call whom.
//
//   Users -> Dealings -> Election -> Follower
//   FitnessDesk, RecoveryDesk, RolloutDesk: reached by the others, reach back
//   through seams that are wired here.
#pragma once

#include <memory>

#include "api/api.h"
#include "app/dealings.h"
#include "app/election.h"
#include "app/fitness_desk.h"
#include "app/follower.h"
#include "app/record_desk.h"
#include "app/recovery_desk.h"
#include "app/rollout_desk.h"
#include "app/users.h"
#include "app/version_desk.h"
#include "app/zone_desk.h"
#include "clients/cloud.h"
#include "clients/peer.h"
#include "clients/state.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace oxbow::app {

class Node {
 public:
  Node(net::Loop& loop, const Settings& settings, const Tuning& tuning);

  // Starts everything; the loop does the rest.
  void Start();
  const std::map<std::string, MachineType>* Types() { return users_.Types(); }

 private:
  net::Task<clients::PeerMessage> OnPeer(clients::PeerMessage message);

  const Settings& settings_;
  Catalog catalog_;
  clients::StateClient state_;
  clients::CloudClient cloud_;
  const std::string life_;  // incarnation of this process
  FitnessDesk::Peers peers_;
  Follower follower_;
  FitnessDesk fitness_desk_;
  ZoneDesk zone_desk_;
  RecoveryDesk recovery_;
  Election election_;
  Dealings dealings_;
  VersionDesk version_desk_;
  Users users_;
  RolloutDesk rollout_desk_;
  api::RolloutRoutes rollout_routes_;
  RecordDesk record_desk_;
  api::RecordRoutes record_routes_;
  api::Api api_;
  clients::PeerServer peer_server_;
  net::HttpServer server_;
};

}  // namespace oxbow::app
