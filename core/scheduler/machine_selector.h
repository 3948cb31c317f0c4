// Filters the machines on which a task may start and picks the one with the
// highest score. Owns the placer and with it the random choice between machines
// of equal score. Changes neither jobs nor machines.
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
  // `seed`: of the choice between machines of equal score.
  MachineSelector(LeaderContext& context, const TierManager& tier_manager,
                  uint64_t seed);

  // The best of `candidates` for one more task of the job; null if it may not
  // start on any of them now. `spread`: where the job's tasks are.
  // `mean_bandwidth`: SchedulingPass::mean_bandwidth. Draws a random number if
  // there is at least one feasible machine.
  Machine* FindMachine(const Job& job, const std::vector<Machine*>& candidates,
                       const ZoneSpread& spread, double mean_bandwidth);

  // Whether a task of the job would fragment the accelerators of a machine that
  // is whole, or could not be ready on it in time. See Placer.
  bool FragmentsWholeMachine(const JobSpec& spec, const Machine& machine) const;

 private:
  const QueueRanking& queue_ranking_;
  const TierManager& tier_manager_;
  Placer placer_;
};

}  // namespace oxbow
