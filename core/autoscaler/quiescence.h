// When and where replicas may be packed closer: no demand for a while, and no
// machine that accelerator work could still use.
#pragma once

#include "core/cluster_state/cluster_state.h"
#include "core/model/settings.h"
#include "core/placement/placement.h"

namespace oxbow {

// No job has come or waited for so long that capacity kept for the next one
// costs more than it saves.
inline bool IsQuiescent(const ClusterState& cluster, const Settings& settings,
                        const Tuning& tuning, Time now) {
  return now - cluster.last_demand() >
         tuning.idle_return_leases * settings.workers.lease_seconds;
}

// Whether replicas may be gathered on the machine while the cluster is
// quiescent.
inline bool IsConsolidationTarget(const ClusterState& cluster,
                                  const Machine& machine) {
  return machine.total().gpus <= 0 ||
         AcceleratorWorkBlocked(machine, cluster.largest_accelerator_task());
}

}  // namespace oxbow
