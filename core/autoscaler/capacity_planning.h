// Capacity planning: how many machines of which pool to request for the tasks
// that no machine has room for. PlanScaleOut is a pure function of its input:
// it does no I/O and does not depend on the time or on requests in progress.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/placement/placement.h"

namespace oxbow {

// A kind of machine that the cloud offers: a type in a zone, as a spot instance
// or not. Each request to the cloud is for machines of one pool.
struct MachinePool {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachinePool&) const = default;
};

// The free capacity of one machine that is up, booting or requested.
struct MachineCapacity {
  MachinePool pool;
  Resources free;
};

// The tasks of one job for which machines are needed.
struct PoolDemand {
  const JobSpec* spec = nullptr;
  int tasks = 0;
  // The zones of the job's tasks that are placed already, for the `spread` and
  // `one_zone` constraints of the job.
  ZoneSpread zones = {};
};

// The input of PlanScaleOut. `types` and the job specs must outlive the call.
struct ScaleOutInput {
  const std::map<std::string, MachineType>* types = nullptr;
  std::vector<MachineCapacity> capacity;  // filled in this order
  std::vector<PoolDemand> demand;         // served in this order
  std::set<MachinePool> refused;          // pools that had no machines lately
  int max_new_machines = 0;               // for all pools together
};

// Packs the demand into the existing capacity, and what is left into new
// machines of the pool that costs least for it. Returns the number of machines
// to request from each pool; pools from which none are requested are not
// listed.
std::map<MachinePool, int> PlanScaleOut(const ScaleOutInput& input);

}  // namespace oxbow
