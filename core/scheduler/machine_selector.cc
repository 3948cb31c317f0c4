#include "core/scheduler/machine_selector.h"

#include "core/priority_tiers/tier_manager.h"

namespace oxbow {

MachineSelector::MachineSelector(LeaderContext& context,
                                 const TierManager& tier_manager, uint64_t seed)
    : queue_ranking_(context.queue_ranking),
      tier_manager_(tier_manager),
      placer_(context.tuning, seed) {
  if (context.tuning.fragmentation_weight > 0)
    placer_.SetFragmentation(&context.fragmentation);
}

Machine* MachineSelector::FindMachine(const Job& job,
                                      const std::vector<Machine*>& candidates,
                                      const ZoneSpread& spread,
                                      double mean_bandwidth) {
  const JobSpec& spec = job.spec();
  std::vector<Machine*> feasible;
  for (Machine* machine : candidates) {
    if (spec.need.FitsIn(machine->CapacityFor(&job, job.priority())) &&
        ConstraintsAllow(spec, *machine, spread) &&
        tier_manager_.TierAllowsPlacement(job, *machine)) {
      feasible.push_back(machine);
    }
  }
  const PlacementRequest request = {
      .job = job,
      .spread = spread,
      .count_on_machine =
          [&](const Machine& machine) {
            return ClusterState::CountOn(job, machine);
          },
      .mean_bandwidth = mean_bandwidth,
      .wait_slo_seconds = queue_ranking_.WaitSloSeconds(spec)};
  return placer_.Choose(request, feasible);
}

bool MachineSelector::FragmentsWholeMachine(const JobSpec& spec,
                                            const Machine& machine) const {
  return placer_.FragmentsWholeMachine(spec, machine,
                                       queue_ranking_.WaitSloSeconds(spec));
}

}  // namespace oxbow
