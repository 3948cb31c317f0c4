// The modules of one leadership and how they are connected. A subsystem is
// registered here and nowhere else: its member, and its line in the constructor
// with the modules that it calls.
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
#include "core/worker_sessions/worker_sessions.h"

namespace oxbow {

// Owned by the Leader. The modules refer to one another, so it can't be moved.
class LeaderModules : private ClusterState::Observer {
 public:
  // See Leader.
  LeaderModules(const Settings& settings, const Tuning& tuning,
                Catalog& catalog, uint64_t revision, Time now,
                double wall_minus_steady, uint64_t seed,
                const std::optional<std::set<std::string>>& delegates);
  LeaderModules(const LeaderModules&) = delete;
  LeaderModules& operator=(const LeaderModules&) = delete;

  // State that the modules share. Constructed in this order; a module may keep
  // references to later ones, but call them only once all are constructed.
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
