// Starts a task on the machine that was chosen for it: queues the start command
// and records the attempt in the cluster state, the job, the priority tiers and
// the maintenance windows.
#pragma once

#include <cstdint>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MaintenanceManager;

// Every start of a task goes through this class.
class TaskStarter {
 public:
  TaskStarter(LeaderContext& context, MaintenanceManager& maintenance);

  // Starts the next pending task of the job; there must be one. `attempt` is a
  // number from LeaderContext::NextToken and must not be 0.
  void StartNextTask(Job& job, Machine& machine, uint64_t attempt, Time now);

 private:
  void LogStart(const Job& job, uint32_t task, const Machine& machine,
                Time now);

  LeaderContext& context_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  MaintenanceManager& maintenance_;
};

}  // namespace oxbow
