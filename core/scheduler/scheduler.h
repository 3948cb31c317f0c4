// The scheduling pass: queue positions, feasible machines, score, start; where
// nothing fits, preemption and reservations. Owns the placer and what one pass
// remembers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/placement/placement.h"
#include "core/scheduler/preemption_plan.h"

namespace oxbow {

class MachineHealth;
class CommandDispatcher;
class RolloutManager;
class MaintenanceManager;
class TierManager;
class RebalancingManager;

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
  // `seed`: of the choice between equally good machines.
  Scheduler(LeaderContext& context, const Modules& modules, uint64_t seed);

  // Runs a placement pass now if anything has changed since the last.
  void ScheduleIfNeeded(Time now);
  // Jobs with accelerators that the last pass left without a place, in the order
  // of the queue; a few.
  const std::vector<std::string>& large_waiting() const {
    return large_waiting_;
  }

 private:
  struct GangSlot {
    PreemptionPlan plan;
    bool waits = false;  // for short work to run off
  };
  void ComputeGuaranteedJobs();
  bool Placeable(const Job& job, Time now, bool accounted) const;
  Machine* FindPlace(const Job& job, const std::vector<Machine*>& usable,
                     const ZoneSpread& where, double bandwidth);
  void Start(Job& job, uint32_t task, Machine& machine, uint64_t attempt,
             Time now);
  // The machine for a replica, null for none; nothing while room is being made
  // on a machine that suits it better.
  std::optional<Machine*> FindReplicaPlace(Job& job,
                                           const std::vector<Machine*>& usable,
                                           const ZoneSpread& where,
                                           double bandwidth, Time now);
  void PlaceJob(Job& job, const QueuePosition& from,
                const std::vector<Machine*>& usable, double bandwidth,
                Time now);
  void PlaceGang(Job& job, const QueuePosition& from,
                 const std::vector<Machine*>& usable, double bandwidth,
                 Time now);
  bool MayPreempt(const Job& job, const TaskAttempt& victim, Time now) const;
  double PreemptionCost(const TaskAttempt& victim, Time now) const;
  // Stops a task so that another may run.
  void Preempt(Machine& machine, TaskAttempt& victim, const JobSpec& for_job,
               Time now);
  // The team's limit keeps the job out. What comes after it must not take what
  // the team frees, and less important work of the team makes way.
  void PreemptWithinQuota(Job& job, uint32_t tasks, Time now);
  std::optional<PreemptionPlan> PlanPreemption(const Job& job, Machine& machine,
                                               Resources taken, Time now) const;
  void ExecutePreemption(const PreemptionPlan& plan, const JobSpec& for_job,
                         Time now);
  // False when there is nothing that could be drained.
  bool ReserveByPreemption(Job& job, const std::vector<Machine*>& usable,
                           Time now);
  bool ReserveGangByPreemption(Job& job, const std::vector<Machine*>& usable,
                               Time now);

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  FragmentationIndex& fragmentation_;
  QueueRanking& queue_ranking_;
  RunTimeEstimates& run_times_;
  MachineHealth& machine_health_;
  CommandDispatcher& dispatcher_;
  RolloutManager& rollout_manager_;
  MaintenanceManager& maintenance_;
  TierManager& tier_manager_;
  RebalancingManager& rebalancing_;
  Placer placer_;
  std::set<const Job*> over_share_;  // in this pass
  bool part_is_held_ = false;        // in this pass, for a gang
  // Work with accelerators that the last pass left without a place, in turn.
  std::vector<std::string> large_waiting_;
  Time next_schedule_ = 0;
};

}  // namespace oxbow
