// Starts a task on a machine that has been chosen for it: queues the command
// and enters the attempt in the cluster state and in every account kept of it.
#pragma once

#include <cstdint>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MaintenanceManager;

// The one way in which a task is started.
class TaskStarter {
 public:
  TaskStarter(LeaderContext& context, MaintenanceManager& maintenance);

  // Starts the next pending task of the job; there must be one. `attempt`: from
  // LeaderContext::NextToken, not 0.
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
