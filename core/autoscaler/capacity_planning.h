// Capacity planning: how many machines of which pool to request so that tasks
// without a place get one. A pure function of its input; knows nothing of the
// cloud, of time or of requests under way.
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

// Machines that the cloud treats alike: one request asks for machines of one
// pool.
struct MachinePool {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachinePool&) const = default;
};

// Free capacity of one machine that is up, booting or requested.
struct MachineCapacity {
  MachinePool pool;
  Resources free;
};

// Tasks of one job that have no place.
struct PoolDemand {
  const JobSpec* spec = nullptr;
  int tasks = 0;
  // Where the job's placed tasks are, for `spread` and `one_zone`.
  ZoneSpread zones = {};
};

// What a plan is made of. `types` and the specs must outlive the call.
struct ScaleOutInput {
  const std::map<std::string, MachineType>* types = nullptr;
  std::vector<MachineCapacity> capacity;  // filled in this order
  std::vector<PoolDemand> demand;         // in the order of placement
  std::set<MachinePool> refused;          // pools without machines at present
  int max_new_machines = 0;               // of all pools together
};

// Packs the demand into the capacity that exists; what is left is packed into
// new machines of the pool that costs least for it. Returns the number of
// machines to request of each pool; no pool is listed with zero.
std::map<MachinePool, int> PlanScaleOut(const ScaleOutInput& input);

}  // namespace oxbow
