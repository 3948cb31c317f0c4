// Gives TierPolicy the state of the cluster, and applies its decisions to
// placement and to the autoscaler. Owns nothing.
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

// One per leadership. Called by the scheduler, the autoscaler and the leader.
class TierManager {
 public:
  // The modules that it calls.
  struct Modules {
    RolloutManager& rollout_manager;
  };
  TierManager(LeaderContext& context, const Modules& modules);

  // Begins a scheduling pass. `order`: the jobs that wait; `usable`: the
  // machines that take new work; `accounted`: whether every machine is
  // accounted for.
  void BeginPass(const std::vector<Job*>& order,
                 const std::vector<Machine*>& usable, bool accounted, Time now);
  // Whether the job may use that capacity of the machine.
  bool TierAllowsPlacement(const Job& job, const Machine& machine) const;
  // Whether the plan preempts nothing and would only use reserved headroom.
  bool UsesReservedHeadroom(const Job& job, const Machine& machine,
                            const PreemptionPlan& plan) const;
  // Measures what the tiers that reserve headroom use; now and then.
  void UpdateTierUsage();
  // Subtracts the headroom from the capacity: jobs that wait can't use it.
  void ReserveTierHeadroom(ScaleOutInput& input) const;
  // The tiers in force, at the beginning and whenever they change. Running
  // tasks move to their new tier and are not stopped.
  void SetTiers(std::shared_ptr<const TierSet> set);

 private:
  void ObserveBestTier(Time now, TierObservation& observation) const;
  void LogRecoveryStep(RecoveryStep before);
  std::map<std::string, TierUse> UseByZone(uint8_t tier) const;

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  RolloutManager& rollout_manager_;
};

}  // namespace oxbow
