// Preemption: decides which running tasks may be stopped so that a job can
// start, computes the cost, and stops them. No task is stopped if a rollout
// needs it to keep its service above the minimum of healthy replicas. The
// planner keeps no state of its own between calls.
#pragma once

#include <optional>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/scheduler/preemption_plan.h"

namespace oxbow {

class CommandDispatcher;
class RolloutManager;

// Plans preemptions and carries them out.
class PreemptionPlanner {
 public:
  // The modules that this class calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    const RolloutManager& rollout_manager;
  };
  PreemptionPlanner(LeaderContext& context, const Modules& modules);

  // Returns the cheapest plan that makes room for one more task of the job on
  // `machine`. Capacity that is about to be released counts as free. Of the
  // free capacity, `taken` is left out, since the caller has other uses for it.
  // Returns nullopt if stopping every preemptible task would not suffice.
  std::optional<PreemptionPlan> Plan(const Job& job, Machine& machine,
                                     Resources taken, Time now) const;

  // Stops the plan's victims, except those that are gone by now, are stopping
  // already, or may not be disrupted any more because of a rollout.
  void Execute(const PreemptionPlan& plan, const JobSpec& for_job, Time now);

  // Called when the maximum of the team's quota prevents `tasks` tasks of the
  // job from starting. Stops tasks of the same team that have lower priority if
  // that lets the job start. Also reserves quota for the job for the rest of
  // the round, so that later jobs of the team may start only if they fit beside
  // it once it has started, or are estimated to end before it can start. Does
  // neither if the job could not start even with every victim stopped, or not
  // beside the quota that is reserved for earlier jobs.
  void PreemptWithinQuota(Job& job, uint32_t tasks, Time now);
  // Called when the maximum of the team's quota prevents tasks of an array from
  // starting. No quota is reserved for the array: its tasks start in turn as
  // earlier tasks of the team end.
  void RecordRoundRobinJob(const Job& job);

 private:
  // A task that may be stopped.
  struct Victim {
    double cost = 0;  // as CostOf
    Machine* machine = nullptr;
    TaskAttemptKey key;
    // Orders victims by cost, then by machine index and task, so that the
    // choice does not depend on memory addresses.
    bool operator<(const Victim& other) const;
  };
  // How the team of a waiting job uses its quota.
  struct TeamUsage {
    Resources released;    // used by tasks that are stopping
    Resources persistent;  // used by service tasks that may not be stopped
    // Used by all other tasks, without those that started only because they fit
    // beside quota reserved for another job.
    Resources transient;
    std::vector<Victim> victims;
  };

  // Whether the job may preempt the victim, by priority or because the victim's
  // team uses more than its guaranteed quota.
  bool MayPreempt(const Job& job, const TaskAttempt& victim, Time now) const;
  // The work that is lost if the victim is stopped, in core seconds weighted by
  // priority.
  double CostOf(const TaskAttempt& victim, Time now) const;
  // The most capacity that preemption could make available to the job on the
  // machine. `available` is the capacity without preemption.
  static Resources CapacityUpperBound(const Job& job, const Machine& machine,
                                      Resources available);
  // The tasks on the machine that the job may preempt, the cheapest first.
  std::vector<Victim> VictimsOn(const Job& job, Machine& machine,
                                Time now) const;
  TeamUsage UsageOfTeam(const Job& job, Time now) const;
  // A lower bound, in seconds, of the time until the arrays that come before
  // this job in turn have run all of their waiting tasks. `persistent`: as
  // TeamUsage::persistent.
  double RoundRobinSecondsBefore(const QuotaUsage& team,
                                 const Resources& persistent) const;
  // How many of `tasks` fit into the maximum of the team's quota beside
  // `persistent`. For a gang, either all of them or none.
  uint32_t TasksWithinMaximum(const Job& job, uint32_t tasks,
                              const Resources& persistent) const;
  void StopVictims(const std::vector<Victim>& victims, const JobSpec& for_job,
                   Time now);
  // Stops the attempt. If it belongs to a gang, stops the whole gang.
  void Preempt(Machine& machine, TaskAttempt& victim, const JobSpec& for_job,
               Time now);

  LeaderContext& context_;
  ClusterState& cluster_;
  CommandDispatcher& dispatcher_;
  const RolloutManager& rollout_manager_;
};

}  // namespace oxbow
