// Decides when and where replicas may be consolidated: when there has been no
// demand for some time, and only on machines that tasks with accelerators can't
// use anyway.
#pragma once

#include "core/cluster_state/cluster_state.h"
#include "core/model/settings.h"
#include "core/placement/placement.h"

namespace oxbow {

// Whether the cluster is quiescent: no job has arrived or waited for a time
// after which idle capacity costs more than it would save the next job in
// waiting.
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
