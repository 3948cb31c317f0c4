// The modules of one leadership and the references between them. A new
// subsystem is registered in this class only: as a member, and with its
// initializer in the constructor, which names the modules that it calls.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaler/autoscaler.h"
#include "core/cluster_state/cluster_state.h"
#include "core/command_dispatch/command_dispatcher.h"
#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/leader_context/actions.h"
#include "core/leader_context/leader_context.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/priority_tiers/tier_manager.h"
#include "core/read_consistency/read_consistency_gate.h"
#include "core/rebalancing/rebalancing_manager.h"
#include "core/reconciliation/reconciler.h"
#include "core/rollout/rollout_manager.h"
#include "core/scheduler/scheduler.h"
#include "core/store_writes/write_queue.h"
#include "core/worker_sessions/machine_health.h"
#include "core/worker_sessions/machine_lifecycle.h"
#include "core/worker_sessions/worker_leases.h"
#include "core/worker_sessions/worker_sessions.h"

namespace oxbow {

// Owned by the Leader. Not movable, since the modules refer to one another.
class LeaderModules : private ClusterState::Observer {
 public:
  // The parameters are those of the constructor of Leader.
  LeaderModules(const Settings& settings, const Tuning& tuning,
                Catalog& catalog, uint64_t revision, Time now,
                double wall_minus_steady, uint64_t seed,
                const std::optional<std::set<std::string>>& delegates);
  LeaderModules(const LeaderModules&) = delete;
  LeaderModules& operator=(const LeaderModules&) = delete;

  // State that the modules share. The members are constructed in the order of
  // their declaration. A module may keep references to members that are
  // constructed later, but may use them only once all are constructed.
  std::vector<Action> actions;
  LeaderContext context;
  ReadConsistencyGate consistency_gate;
  WriteQueue writes;
  ClusterState cluster;
  LivenessMonitor liveness;
  FragmentationIndex fragmentation;
  TierPolicy tiers;
  QueueRanking queue_ranking;
  RunTimeEstimates run_times;

  // Subsystems.
  MachineHealth machine_health;
  CommandDispatcher dispatcher;
  DependencyCoordinator dependencies;
  JobLifecycle job_lifecycle;
  RolloutManager rollout_manager;
  MaintenanceManager maintenance;
  TierManager tier_manager;
  Reconciler reconciler;
  MachineLifecycle machine_lifecycle;
  WorkerLeases worker_leases;
  WorkerSessions worker_sessions;
  RebalancingManager rebalancing;
  Autoscaler autoscaler;
  Scheduler scheduler;

 private:
  // ClusterState::Observer
  void OnCapacityCharged(const Job& job, const Resources& need) override;
  void OnCapacityReleased(const Job& job, const Resources& need) override;
  void OnAttemptStopping(const TaskAttempt& attempt) override;
  void OnAttemptRemoved(Job& job) override;
};

}  // namespace oxbow
