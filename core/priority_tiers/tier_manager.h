// Feeds the priority tiers with the state of the cluster, and applies what they
// say to placement. Owns nothing; the policy is TierPolicy.
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

#include "core/autoscaler/capacity_planning.h"
#include "core/leader_context/leader_context.h"
#include "core/scheduler/preemption_plan.h"

namespace oxbow {

class RolloutManager;

class TierManager {
 public:
  // The modules that it calls.
  struct Modules {
    RolloutManager& rollout_manager;
  };
  TierManager(LeaderContext& context, const Modules& modules);

  void BeginTiers(const std::vector<Job*>& order,
                  const std::vector<Machine*>& usable, bool accounted,
                  Time now);
  // Whether the job may take that room on the machine.
  bool TierAllows(const Job& job, const Machine& machine) const;
  // Whether what makes room for the job would only take kept room.
  bool UsesReservedHeadroom(const Job& job, const Machine& machine,
                            const PreemptionPlan& plan) const;
  void SurveyTiers();
  // Room that is kept is not there for those who wait.
  void ReserveTierHeadroom(AutoscalerInput& input) const;
  // The tiers in force, at the beginning and whenever they change. Running
  // work moves to its new tier as it is.
  void UseTiers(std::shared_ptr<const TierSet> set);

 private:

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  RolloutManager& rollout_manager_;
};

}  // namespace oxbow
