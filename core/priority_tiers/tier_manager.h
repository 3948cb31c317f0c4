// Connects TierPolicy to the rest of the leader: passes it the state of the
// cluster, and applies its decisions to placement and to the autoscaler. Keeps
// no state of its own.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/autoscaler/capacity_planning.h"
#include "core/leader_context/leader_context.h"
#include "core/scheduler/preemption_plan.h"

namespace oxbow {

class RolloutManager;

// One per leadership. Called by Scheduler, Autoscaler and Leader.
class TierManager {
 public:
  // The modules that this class calls.
  struct Modules {
    RolloutManager& rollout_manager;
  };
  TierManager(LeaderContext& context, const Modules& modules);

  // Begins a scheduling pass. `waiting_jobs` are the jobs that wait for a
  // start, and `usable_machines` the machines that accept new tasks.
  // `all_machines_accounted_for`: as in SchedulingPass.
  void BeginPass(const std::vector<Job*>& waiting_jobs,
                 const std::vector<Machine*>& usable_machines,
                 bool all_machines_accounted_for, Time now);
  // Whether the job's tier allows one more of its tasks on the machine: the
  // headroom of better tiers stays free, or capacity is reserved for the job.
  bool TierAllowsPlacement(const Job& job, const Machine& machine) const;
  // Whether the plan preempts nothing and would only use headroom that is
  // reserved for better tiers.
  bool UsesReservedHeadroom(const Job& job, const Machine& machine,
                            const PreemptionPlan& plan) const;
  // Updates the usage of the tiers that reserve headroom. Called periodically.
  void UpdateTierUsage();
  // Subtracts the reserved headroom from the free capacity that the autoscaler
  // sees, since waiting jobs cannot use it.
  void ReserveTierHeadroom(ScaleOutInput& input) const;
  // Sets the tiers in force. Called at the beginning of a leadership and
  // whenever the tiers change. Running tasks are assigned to their new tier and
  // are not stopped.
  void SetTiers(std::shared_ptr<const TierSet> set);

 private:
  // Adds the replicas of the best tier to the observation.
  void ObserveBestTier(Time now, TierObservation& observation) const;
  // Logs the recovery's step if it differs from `before`.
  void LogRecoveryStep(RecoveryStep before);
  std::map<std::string, TierUse> UseByZone(uint8_t tier) const;

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  RolloutManager& rollout_manager_;
};

}  // namespace oxbow
