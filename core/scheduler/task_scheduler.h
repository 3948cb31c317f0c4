// Schedules the tasks of job arrays and services, each task by itself: picks a
// machine, starts the task, and where there is none preempts or reserves. Holds
// no state between passes.
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
  // The modules that it calls.
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

  // Starts as many tasks of the job as may start and fit. `position`: its
  // position in the queue.
  void Schedule(Job& job, const QueuePosition& position, SchedulingPass& pass);

 private:
  struct MachineChoice {
    Machine* machine = nullptr;  // null for none
    // Capacity is being made on a suitable machine; nothing starts until then.
    bool preemption_in_progress = false;
  };

  // Whether rollouts, operators, quota and tier let one more task start now.
  bool Admitted(Job& job, SchedulingPass& pass);
  MachineChoice ChooseMachine(Job& job, const ZoneSpread& spread,
                              const SchedulingPass& pass);
  MachineChoice ChooseReplicaMachine(Job& job, const ZoneSpread& spread,
                                     const SchedulingPass& pass);
  // Machines on which a replica would neither keep accelerators from other
  // work nor be moved away again soon.
  std::vector<Machine*> PreferredReplicaMachines(
      const JobSpec& spec, const SchedulingPass& pass) const;
  // Whether to fetch the image there takes longer than the job may wait.
  bool FetchExceedsWaitSlo(const JobSpec& spec, const Machine& machine,
                           double mean_bandwidth) const;
  // Starts up to `most` tasks on the machine and returns how many; nothing if
  // this leadership has no numbers left.
  std::optional<uint32_t> StartTasksOn(Job& job, Machine& machine,
                                       uint32_t most, ZoneSpread& spread,
                                       Time now);
  // How many tasks to start on the machine before asking again.
  uint32_t BatchSize(const Job& job, const Machine& machine,
                     uint32_t most) const;
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
