// The scheduling pass: queue positions, usable machines, then for each job in
// turn score and start, and where nothing fits preempt or reserve. Composes the
// classes that do these steps and remembers between passes only when the next
// one is due and which large jobs the last one left waiting.
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
  // The modules that it calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
    MaintenanceManager& maintenance;
    TierManager& tier_manager;
    RebalancingManager& rebalancing;
  };
  // `seed`: of the choice between machines of equal score.
  Scheduler(LeaderContext& context, const Modules& modules, uint64_t seed);

  // Runs a scheduling pass now if anything has changed since the last one and
  // the next one is due. After a long pass none is, until a tick.
  void ScheduleIfNeeded(Time now);
  // Ticks leave all other events their turn in between: the pause after a long
  // pass is over, and a round that is unfinished goes on.
  void OnTick(Time now);

  // Ids of jobs with accelerators that the last pass left waiting for capacity,
  // in the order of the queue; a few.
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
  // The jobs' turns, in the order of the queue, until the pass is over.
  void ServeQueue(const std::vector<QueuedJob>& queue, SchedulingPass& pass);

  // Marks the jobs that are within the guaranteed quota of their team.
  void ComputeGuaranteedJobs();
  void ResetQuotas();
  std::vector<Job*> SchedulableJobs(const SchedulingPass& pass) const;
  bool IsSchedulable(const Job& job, const SchedulingPass& pass) const;
  std::vector<Machine*> UsableMachines(Time now) const;
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
  bool paused_ = false;  // until the next tick
  SchedulingCounters counters_;
};

}  // namespace oxbow
