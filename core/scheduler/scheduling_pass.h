// The values that every step of one scheduling pass works with. Created at the
// beginning of the pass and discarded at its end.
#pragma once

#include <set>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/scheduler/scheduling_work.h"

namespace oxbow {

// Written by the scheduler that runs the pass and, where a field says so, by
// the schedulers that it calls.
struct SchedulingPass {
  Time now = 0;
  // Every recorded machine has reported to this leader or is gone, so no task
  // can be running where this leader does not know of it.
  bool all_machines_accounted_for = false;
  // Machines that may be given new tasks, in the order of the cluster state.
  std::vector<Machine*> usable_machines;
  // Of the image fetches measured on all machines, GB/s.
  double mean_bandwidth = 1;
  // Jobs that were refused since their tier has used up its share. They are
  // tried once more when all other jobs have been served.
  std::set<const Job*> jobs_over_tier_share;
  // Capacity for a part of a gang has been reserved. Only one gang may have a
  // partial reservation, or gangs could wait for one another for ever.
  bool partial_gang_reserved = false;
  SchedulingWork work;
};

}  // namespace oxbow
