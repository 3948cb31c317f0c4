// Carries out what the leader decides: owns the core while this controller
// leads, hands events to it, and carries out the actions that come of them:
// orders, writes, rentals, deletions, checks. Does nothing without a look at
// the right to lead.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/election.h"
#include "app/follower.h"
#include "app/leader_health_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/zone_coordinator.h"
#include "clients/cloud.h"
#include "clients/health.h"
#include "clients/state.h"
#include "clients/worker.h"
#include "core/controller/controller.h"
#include "core/tiers/tiers.h"
#include "net/loop.h"

namespace oxbow::app {

class LeaderService {
 public:
  LeaderService(net::Loop& loop, const Settings& settings, const Tuning& tuning,
                Catalog& catalog, clients::StateClient& state,
                clients::CloudClient& cloud, Follower& follower,
                Election& election,
                LeaderHealthCoordinator& leader_health_coordinator,
                ZoneCoordinator& zone_coordinator,
                RecoveryCoordinator& recovery);
  void Start();

  bool in_office() const { return controller_ != nullptr; }
  // `delegates`: see Controller.
  void TakeOffice(uint64_t revision,
                  const std::optional<std::set<std::string>>& delegates);
  void LeaveOffice();
  // The core, if this controller may act as the leader now; else null.
  Controller* Leading();

  // Hands an event to the core, if the leadership it belongs to still stands,
  // and carries out what comes of it. A defect in the core ends the leadership
  // instead of the process: the next leader rebuilds from what is recorded.
  void Tell(uint64_t revision, const std::function<void(Controller&)>& event);
  // A record the core may want to know of has been taken in.
  void RecordTaken(const std::string& key);
  void TypesKnown(const std::vector<MachineType>& types);
  // Carries out what the core has asked for since.
  void Perform();
  // Cancels a job and waits for its end to be recorded; kNone if it was not in
  // time. The caller has found this controller leading.
  net::Task<TerminalState> Cancel(std::string id);

 private:
  // Shows the leader the time of day, before every event.
  void LookAtClocks();
  struct TerminalStateWaiter {
    explicit TerminalStateWaiter(net::Loop& loop) : event(loop) {}
    net::Event event;
    TerminalState state = TerminalState::kNone;
  };

  // Reads the tiers that are recorded; every controller does, so that its own
  // leadership begins with the last version known.
  void FollowTiers();
  net::Task<void> TickLoop();
  net::Task<void> ListLoop();
  void TellWaiters(const JobTerminated& end);
  net::Task<void> DoSend(SendOrders orders, uint64_t revision);
  net::Task<void> DoProbe(Probe probe, uint64_t revision);
  net::Task<void> DoWrite(WriteTransaction txn, uint64_t revision);
  net::Task<void> DoRead(ReadKeys read, uint64_t revision);
  net::Task<void> DoReadEnd(std::string id, uint64_t revision);
  net::Task<void> DoRent(RentMachines rent, uint64_t revision);
  net::Task<void> DoCheck(CheckInstance check, uint64_t revision);
  net::Task<void> DoReadDelegates(uint64_t revision);
  net::Task<void> DoDelete(std::vector<std::string> hosts, uint64_t revision);

  net::Loop& loop_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  clients::StateClient& state_;
  clients::CloudClient& cloud_;
  Follower& follower_;
  Election& election_;
  LeaderHealthCoordinator& leader_health_coordinator_;
  ZoneCoordinator& zone_coordinator_;
  RecoveryCoordinator& recovery_;
  clients::WorkerClients workers_;
  clients::HealthClient health_;
  TiersInForce tiers_;
  std::unique_ptr<Controller> controller_;
  bool performing_ = false;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<TerminalStateWaiter>>>
      terminal_waiters_;
};

}  // namespace oxbow::app
