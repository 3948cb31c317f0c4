// When and where replicas may be consolidated: after a while without demand,
// and on no machine that accelerator work could still use.
#pragma once

#include "core/cluster_state/cluster_state.h"
#include "core/model/settings.h"
#include "core/placement/placement.h"

namespace oxbow {

// Whether no job has arrived or waited for so long that idle capacity costs
// more than the time it would save the next job.
inline bool IsQuiescent(const ClusterState& cluster, const Settings& settings,
                        const Tuning& tuning, Time now) {
  return now - cluster.last_demand() >
         tuning.idle_return_leases * settings.workers.lease_seconds;
}

// Whether replicas may be consolidated on the machine while the cluster is
// quiescent.
inline bool IsConsolidationTarget(const ClusterState& cluster,
                                  const Machine& machine) {
  return machine.total().gpus <= 0 ||
         AcceleratorWorkBlocked(machine, cluster.largest_accelerator_task());
}

}  // namespace oxbow
