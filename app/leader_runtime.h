// The leader's service: owns the core while this controller leads, hands events
// to it, and carries out the actions that come of them: commands, writes,
// rentals, deletions, checks. Does nothing without a look at
// the right to lead.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/leader_election.h"
#include "app/leader_health_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/store_watcher.h"
#include "app/zone_coordinator.h"
#include "clients/cloud.h"
#include "clients/health.h"
#include "clients/key_value_store.h"
#include "clients/worker.h"
#include "core/leader/leader.h"
#include "core/priority_tiers/tier_set.h"
#include "net/loop.h"

namespace oxbow::app {

class LeaderRuntime {
 public:
  LeaderRuntime(net::Loop& loop, const Settings& settings, const Tuning& tuning,
                Catalog& catalog, clients::KeyValueStoreClient& state,
                clients::CloudClient& cloud, StoreWatcher& watcher,
                LeaderElection& election,
                LeaderHealthCoordinator& leader_health_coordinator,
                ZoneCoordinator& zone_coordinator,
                RecoveryCoordinator& recovery);
  void Start();

  bool is_leading() const { return leader_ != nullptr; }
  // `delegates`: see Leader.
  void StartLeading(uint64_t revision,
                    const std::optional<std::set<std::string>>& delegates);
  void StopLeading();
  // The core, if this controller may act as the leader now; else null.
  Leader* ActiveLeader();

  // Hands an event to the core, if the leadership it belongs to still stands,
  // and carries out what comes of it. A defect in the core ends the leadership
  // instead of the process: the next leader rebuilds from what is recorded.
  void Deliver(uint64_t revision, const std::function<void(Leader&)>& event);
  // A record the core may want to know of has been taken in.
  void RecordTaken(const std::string& key);
  void TypesKnown(const std::vector<MachineType>& types);
  // Carries out what the core has asked for since.
  void ExecuteActions();
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
  void NotifyWaiters(const JobTerminated& end);
  net::Task<void> SendCommandsToWorker(SendCommands commands,
                                       uint64_t revision);
  net::Task<void> ProbeWorker(Probe probe, uint64_t revision);
  net::Task<void> ExecuteCompareAndSwap(CompareAndSwap txn, uint64_t revision);
  net::Task<void> ReadStoreKeys(ReadKeys read, uint64_t revision);
  net::Task<void> ReadJobTerminalState(std::string id, uint64_t revision);
  net::Task<void> RequestMachines(RequestScaleOut rent, uint64_t revision);
  net::Task<void> CheckInstanceHealth(CheckInstance check, uint64_t revision);
  net::Task<void> ReadZoneDelegates(uint64_t revision);
  net::Task<void> DeleteCloudMachines(std::vector<std::string> hosts,
                                      uint64_t revision);

  net::Loop& loop_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  clients::CloudClient& cloud_;
  StoreWatcher& watcher_;
  LeaderElection& election_;
  LeaderHealthCoordinator& leader_health_coordinator_;
  ZoneCoordinator& zone_coordinator_;
  RecoveryCoordinator& recovery_;
  clients::WorkerClients workers_;
  clients::HealthClient health_;
  TiersInForce tiers_;
  std::unique_ptr<Leader> leader_;
  bool executing_actions_ = false;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<TerminalStateWaiter>>>
      terminal_waiters_;
};

}  // namespace oxbow::app
