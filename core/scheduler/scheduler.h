// The scheduling pass. It orders the queue of waiting jobs, collects the usable
// machines, and then for each job scores machines and starts tasks; where
// nothing fits it preempts tasks or reserves capacity. The scheduler composes
// the classes that do these steps. Between passes it keeps only when the next
// one is due, the progress of the current round (see SchedulingRound), the jobs
// with accelerators that the last pass left waiting, and counters.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/scheduler/gang_scheduler.h"
#include "core/scheduler/machine_selector.h"
#include "core/scheduler/preemption_planner.h"
#include "core/scheduler/reservations.h"
#include "core/scheduler/scheduling_pass.h"
#include "core/scheduler/scheduling_round.h"
#include "core/scheduler/scheduling_work.h"
#include "core/scheduler/task_scheduler.h"
#include "core/scheduler/task_starter.h"

namespace oxbow {

class CommandDispatcher;
class MachineHealth;
class MaintenanceManager;
class RebalancingManager;
class RolloutManager;
class TierManager;

// Runs the scheduling passes of one leadership.
class Scheduler {
 public:
  // The modules that this class calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
    MaintenanceManager& maintenance;
    TierManager& tier_manager;
    RebalancingManager& rebalancing;
  };
  // `seed` initializes the random choice between machines of equal score.
  Scheduler(LeaderContext& context, const Modules& modules, uint64_t seed);

  // Runs a scheduling pass now if the cluster state has changed since the last
  // pass and the next one is due. After a long pass none is due until the next
  // tick.
  void ScheduleIfNeeded(Time now);
  // Ends the pause after a long pass, and continues an unfinished round. All
  // other pending events are handled between two ticks, so a long round does
  // not hold them up.
  void OnTick(Time now);

  // Ids of the first few jobs in the queue that need accelerators and that the
  // last pass left waiting for capacity, in queue order.
  const std::vector<std::string>& waiting_accelerator_jobs() const {
    return large_waiting_;
  }
  const SchedulingCounters& counters() const { return counters_; }

 private:
  struct QueuedJob {
    QueuePosition position;
    Job* job = nullptr;
  };

  bool PassIsDue(Time now) const;
  void StartPass(Time now);
  void RunPass(Time now);
  // Schedules the jobs in queue order until the pass reaches its work limit.
  void ServeQueue(const std::vector<QueuedJob>& queue, SchedulingPass& pass);

  // Marks the jobs that are within the guaranteed quota of their team.
  void ComputeGuaranteedJobs();
  // Clears the quota reserved for waiting jobs, when a round begins.
  void ResetQuotas();
  std::vector<Job*> SchedulableJobs(const SchedulingPass& pass) const;
  bool IsSchedulable(const Job& job, const SchedulingPass& pass) const;
  std::vector<Machine*> UsableMachines(Time now) const;
  // The mean bandwidth of image fetches over all machines, in GB/s.
  double MeasuredBandwidth() const;
  std::vector<QueuedJob> BuildQueue(const std::vector<Job*>& jobs,
                                    Time now) const;
  void ScheduleJob(const QueuedJob& queued, SchedulingPass& pass);
  void RecordLargeWaiting(const std::vector<QueuedJob>& queue);

  LeaderContext& context_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  MachineHealth& machine_health_;
  CommandDispatcher& dispatcher_;
  RolloutManager& rollout_manager_;
  MaintenanceManager& maintenance_;
  TierManager& tier_manager_;
  RebalancingManager& rebalancing_;
  MachineSelector machine_selector_;
  TaskStarter task_starter_;
  PreemptionPlanner preemption_planner_;
  Reservations reservations_;
  GangScheduler gang_scheduler_;
  TaskScheduler task_scheduler_;
  std::vector<std::string> large_waiting_;
  Time next_pass_ = 0;
  SchedulingRound round_;
  bool paused_ = false;  // no pass starts until the next tick
  SchedulingCounters counters_;
};

}  // namespace oxbow
