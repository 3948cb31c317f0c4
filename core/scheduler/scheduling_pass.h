// The values shared by the steps of one scheduling pass. Created at the
// beginning of the pass and discarded at its end.
#pragma once

#include <set>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/scheduler/scheduling_work.h"

namespace oxbow {

// Filled in by Scheduler. TaskScheduler and GangScheduler write only the last
// three fields.
struct SchedulingPass {
  Time now = 0;
  // Every recorded machine has reported to this leader or is gone, so no task
  // runs without this leader knowing of it.
  bool all_machines_accounted_for = false;
  // Machines that may be given new tasks, in the order of the cluster state.
  std::vector<Machine*> usable_machines;
  // Mean bandwidth of the image fetches measured on all machines, in GB/s.
  double mean_bandwidth = 1;
  // Jobs that were refused because their tier has used up its share. They are
  // tried once more when all other jobs have been served.
  std::set<const Job*> jobs_over_tier_share;
  // Capacity has been reserved for a part of a gang. Only one gang may have a
  // partial reservation, since several could wait for each other forever.
  bool partial_gang_reserved = false;
  // The work that this pass has done so far.
  SchedulingWork work;
};

}  // namespace oxbow
