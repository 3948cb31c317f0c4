// What to rent and what to return.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/placement/placement.h"

namespace oxbow {

// One kind of machine the cloud can be asked for.
struct MachinePool {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachinePool&) const = default;
};

// Room that exists or is on its way.
struct PoolCapacity {
  MachinePool kind;
  Resources free;
};

// Tasks of one job that have no place.
struct PoolDemand {
  const JobSpec* spec = nullptr;
  int tasks = 0;
  // Tasks of the job per zone, for `spread` and `one_zone`.
  std::vector<ZoneTaskCount> per_zone;
};

struct AutoscalerInput {
  const std::map<std::string, MachineType>* types = nullptr;
  std::vector<PoolCapacity> rooms;
  std::vector<PoolDemand> demand;  // in the order of placement
  // Kinds the cloud has just refused.
  std::map<MachinePool, bool> refused;
  int most_machines = 0;  // how many to ask for at once
};

// Packs the demand into the room there is; what is left is packed into new
// machines of the kind that costs least for it. Returns how many of each.
std::map<MachinePool, int> PlanScaleOut(const AutoscalerInput& input);

}  // namespace oxbow
