// Schedules the tasks of job arrays and services, each task by itself. It picks
// a machine and starts the task; where no machine has capacity, it preempts
// other tasks or reserves capacity. It keeps no state between scheduling
// passes.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/placement/placement.h"
#include "core/scheduler/machine_selector.h"
#include "core/scheduler/preemption_planner.h"
#include "core/scheduler/reservations.h"
#include "core/scheduler/scheduling_pass.h"
#include "core/scheduler/task_starter.h"

namespace oxbow {

class MaintenanceManager;
class RebalancingManager;
class RolloutManager;
class TierManager;

// Schedules one job array or service at a time within a pass.
class TaskScheduler {
 public:
  // The modules that this class calls.
  struct Modules {
    const RolloutManager& rollout_manager;
    MaintenanceManager& maintenance;
    const TierManager& tier_manager;
    RebalancingManager& rebalancing;
    MachineSelector& machine_selector;
    TaskStarter& task_starter;
    PreemptionPlanner& preemption_planner;
    Reservations& reservations;
  };
  TaskScheduler(LeaderContext& context, const Modules& modules);

  // Starts as many tasks of the job as are admitted and fit. `position` is the
  // job's position in the queue.
  void Schedule(Job& job, const QueuePosition& position, SchedulingPass& pass);

 private:
  struct MachineChoice {
    Machine* machine = nullptr;  // null if no machine was found
    // Tasks are being preempted on a suitable machine. No further task of the
    // job starts until they are gone.
    bool preemption_in_progress = false;
  };

  // Whether the maintenance windows, the team's quota and the tier let one more
  // task start now. If the quota forbids it, a service may preempt tasks of its
  // own team.
  bool Admitted(Job& job, SchedulingPass& pass);
  MachineChoice ChooseMachine(Job& job, const ZoneSpread& spread,
                              const SchedulingPass& pass);
  MachineChoice ChooseReplicaMachine(Job& job, const ZoneSpread& spread,
                                     const SchedulingPass& pass);
  // Machines on which a replica neither blocks accelerators that other work
  // could use nor would soon be moved away again.
  std::vector<Machine*> PreferredReplicaMachines(
      const JobSpec& spec, const SchedulingPass& pass) const;
  // Whether fetching the image on the machine takes longer than the job's
  // objective allows it to wait.
  bool FetchExceedsWaitSlo(const JobSpec& spec, const Machine& machine,
                           double mean_bandwidth) const;
  // Starts up to `max_tasks` tasks on the machine and returns how many were
  // started, or nullopt if this leadership has run out of attempt numbers.
  std::optional<uint32_t> StartTasksOn(Job& job, Machine& machine,
                                       uint32_t max_tasks, ZoneSpread& spread,
                                       Time now);
  // How many tasks to start on the machine before a machine is chosen again.
  uint32_t BatchSize(const Job& job, const Machine& machine,
                     uint32_t max_tasks) const;
  bool MayStartOn(Job& job, const Machine& machine,
                  const ZoneSpread& spread) const;

  LeaderContext& context_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  const QueueRanking& queue_ranking_;
  const RolloutManager& rollout_manager_;
  MaintenanceManager& maintenance_;
  const TierManager& tier_manager_;
  RebalancingManager& rebalancing_;
  MachineSelector& machine_selector_;
  TaskStarter& task_starter_;
  PreemptionPlanner& preemption_planner_;
  Reservations& reservations_;
};

}  // namespace oxbow
