#include "core/autoscaler/capacity_planning.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace oxbow {
namespace {

// A machine is paid for whole, yet what one job leaves free is used by the next
// ones: the share that the tasks take counts, and this much of the rest.
constexpr double kUnusedShareWeight = 0.15;
// For each machine planned in a zone already: keeps zones balanced, so that the
// loss of one takes less.
constexpr double kZoneBalanceWeight = 0.02;
// Work without accelerators avoids machines that have them.
constexpr double kUnusedAcceleratorFactor = 1.5;

int TasksThatFit(const Resources& need, const Resources& capacity) {
  return static_cast<int>(need.TimesIn(capacity, kMaxTasks));
}

bool PoolAllowed(const JobSpec& spec, const MachinePool& pool) {
  return spec.AllowsType(pool.type) && spec.AllowsZone(pool.zone) &&
         (!pool.spot || spec.spot);
}

// How many more tasks of the job the zone may take.
int ZoneLimit(const JobSpec& spec, const ZoneSpread& zones,
              const std::string& zone) {
  if (spec.one_zone && zones.total() != zones.InZone(zone)) return 0;
  if (spec.spread) return SpreadLimit(spec.tasks) - zones.InZone(zone);
  return static_cast<int>(kMaxTasks);
}

// One job's demand, as far as it is not packed yet.
struct RemainingDemand {
  const JobSpec& spec;
  ZoneSpread zones;
  int tasks = 0;
};

struct PoolOffer {
  MachinePool pool;
  const MachineType* type = nullptr;
  double cost_per_task = 0;
};

class ScaleOutPlanner {
 public:
  explicit ScaleOutPlanner(const ScaleOutInput& input)
      : input_(input), capacity_(input.capacity) {}

  void Add(const PoolDemand& demand);
  std::map<MachinePool, int> TakePlan() { return std::move(plan_); }

 private:
  // Packs tasks into the capacity; returns how many.
  static int Pack(RemainingDemand& demand, MachineCapacity& capacity);
  std::optional<PoolOffer> CheapestPool(const RemainingDemand& demand);
  // Nothing: the pool can't take any task of the demand.
  std::optional<PoolOffer> OfferOf(const RemainingDemand& demand,
                                   const MachineType& type, MachinePool pool);

  const ScaleOutInput& input_;
  std::vector<MachineCapacity> capacity_;
  std::map<MachinePool, int> plan_;
  std::map<std::string, int> new_machines_in_zone_;
  int new_machines_ = 0;
};

int ScaleOutPlanner::Pack(RemainingDemand& demand, MachineCapacity& capacity) {
  const JobSpec& spec = demand.spec;
  if (demand.tasks <= 0 || !PoolAllowed(spec, capacity.pool)) return 0;
  const int packed =
      std::min({demand.tasks, TasksThatFit(spec.need, capacity.free),
                ZoneLimit(spec, demand.zones, capacity.pool.zone)});
  if (packed <= 0) return 0;
  capacity.free -= spec.need * packed;
  demand.zones.Add(capacity.pool.zone, packed);
  demand.tasks -= packed;
  return packed;
}

std::optional<PoolOffer> ScaleOutPlanner::OfferOf(const RemainingDemand& demand,
                                                  const MachineType& type,
                                                  MachinePool pool) {
  const JobSpec& spec = demand.spec;
  if (!PoolAllowed(spec, pool) || input_.refused.contains(pool)) {
    return std::nullopt;
  }
  const int fit = TasksThatFit(spec.need, type.total);
  const int allowed = std::min(fit, ZoneLimit(spec, demand.zones, pool.zone));
  if (allowed <= 0) return std::nullopt;
  const int tasks = std::min(allowed, demand.tasks);
  const double price = pool.spot ? type.spot_price : type.price;
  const double share = std::min(1.0, static_cast<double>(tasks) / fit);
  double cost = price * (share + kUnusedShareWeight * (1 - share)) / tasks;
  cost *= 1 + kZoneBalanceWeight * new_machines_in_zone_[pool.zone];
  if (spec.need.gpus <= 0 && type.total.gpus > 0) {
    cost *= kUnusedAcceleratorFactor;
  }
  return PoolOffer{std::move(pool), &type, cost};
}

std::optional<PoolOffer> ScaleOutPlanner::CheapestPool(
    const RemainingDemand& demand) {
  std::optional<PoolOffer> cheapest;
  for (const auto& [name, type] : *input_.types) {
    if (TasksThatFit(demand.spec.need, type.total) == 0) continue;
    for (const std::string& zone : type.zones) {
      for (const bool spot : {true, false}) {
        std::optional<PoolOffer> offer =
            OfferOf(demand, type, {name, zone, spot});
        if (!offer) continue;
        if (!cheapest || offer->cost_per_task < cheapest->cost_per_task) {
          cheapest = std::move(offer);
        }
      }
    }
  }
  return cheapest;
}

void ScaleOutPlanner::Add(const PoolDemand& demand) {
  RemainingDemand remaining{*demand.spec, demand.zones, demand.tasks};
  for (MachineCapacity& capacity : capacity_) Pack(remaining, capacity);
  while (remaining.tasks > 0 && new_machines_ < input_.max_new_machines) {
    const std::optional<PoolOffer> offer = CheapestPool(remaining);
    if (!offer) return;
    capacity_.push_back({offer->pool, offer->type->total});
    ++plan_[offer->pool];
    ++new_machines_in_zone_[offer->pool.zone];
    ++new_machines_;
    if (Pack(remaining, capacity_.back()) == 0) return;
  }
}

}  // namespace

std::map<MachinePool, int> PlanScaleOut(const ScaleOutInput& input) {
  ScaleOutPlanner planner(input);
  for (const PoolDemand& demand : input.demand) planner.Add(demand);
  return planner.TakePlan();
}

}  // namespace oxbow
