// Filters the machines on which a task may start and picks the one with the
// highest score. The selector owns the Placer, and with it the random generator
// that breaks ties between equal scores. It changes neither jobs nor machines.
#pragma once

#include <cstdint>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/placement/placement.h"

namespace oxbow {

class TierManager;

// Finds the machine for one task at a time.
class MachineSelector {
 public:
  // `seed` initializes the random choice between machines of equal score.
  MachineSelector(LeaderContext& context, const TierManager& tier_manager,
                  uint64_t seed);

  // Returns the best of `candidates` for one more task of the job, or null if
  // the task may not start on any of them now. `spread` is the zone
  // distribution of the job's tasks; `mean_bandwidth` is
  // SchedulingPass::mean_bandwidth, in GB/s. Draws a random number if there is
  // at least one feasible machine.
  Machine* FindMachine(const Job& job, const std::vector<Machine*>& candidates,
                       const ZoneSpread& spread, double mean_bandwidth);

  // Whether a task of the job would fragment the machine's free accelerators or
  // could not start in time on it. See Placer::FragmentsWholeMachine.
  bool FragmentsWholeMachine(const JobSpec& spec, const Machine& machine) const;

 private:
  const QueueRanking& queue_ranking_;
  const TierManager& tier_manager_;
  Placer placer_;
};

}  // namespace oxbow
