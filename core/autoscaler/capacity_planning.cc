#include "core/autoscaler/capacity_planning.h"

#include <algorithm>
#include <cmath>

#include "core/placement/placement.h"

namespace oxbow {
namespace {

int TasksThatFit(const Resources& need, const Resources& room) {
  return static_cast<int>(need.TimesIn(room, kMaxTasks));
}

bool KindAllowed(const JobSpec& spec, const MachinePool& kind) {
  return spec.AllowsType(kind.type) && spec.AllowsZone(kind.zone) &&
         (!kind.spot || spec.spot);
}

// How many more tasks of the job the zone may take.
int ZoneLimit(const JobSpec& spec, const ZoneSpread& where,
              const std::string& zone) {
  if (spec.one_zone && where.total() != where.InZone(zone)) return 0;
  if (spec.spread) return SpreadLimit(spec.tasks) - where.InZone(zone);
  return static_cast<int>(kMaxTasks);
}

}  // namespace

std::map<MachinePool, int> PlanScaleOut(const AutoscalerInput& input) {
  std::map<MachinePool, int> rent;
  std::map<std::string, int> new_in_zone;
  std::vector<PoolCapacity> rooms = input.rooms;
  int asked = 0;
  for (const PoolDemand& demand : input.demand) {
    const JobSpec& spec = *demand.spec;
    ZoneSpread where{demand.per_zone};
    int left = demand.tasks;
    const auto fill = [&](PoolCapacity& room) {
      if (left <= 0 || !KindAllowed(spec, room.kind)) return 0;
      const int n = std::min({left, TasksThatFit(spec.need, room.free),
                              ZoneLimit(spec, where, room.kind.zone)});
      if (n <= 0) return 0;
      room.free -= spec.need * n;
      where.Add(room.kind.zone, n);
      left -= n;
      return n;
    };
    for (PoolCapacity& room : rooms) fill(room);
    while (left > 0 && asked < input.most_machines) {
      // The kind with the least price for each task it would take.
      const MachineType* best_type = nullptr;
      MachinePool best;
      double best_cost = 0;
      for (const auto& [name, type] : *input.types) {
        const int fit = TasksThatFit(spec.need, type.total);
        if (fit == 0) continue;
        for (const std::string& zone : type.zones) {
          for (const bool spot : {true, false}) {
            const MachinePool kind{name, zone, spot};
            if (!KindAllowed(spec, kind) || input.refused.contains(kind)) {
              continue;
            }
            const int n = std::min(fit, ZoneLimit(spec, where, zone));
            if (n <= 0) continue;
            const double price = spot ? type.spot_price : type.price;
            // A machine is bought whole, yet what one job leaves free the
            // next ones use: count the share that the tasks take, and a
            // little for the rest.
            const double share =
                std::min(1.0, static_cast<double>(std::min(n, left)) / fit);
            constexpr double kRest = 0.15;
            double cost =
                price * (share + kRest * (1 - share)) / std::min(n, left);
            // Zones in balance, so that the loss of one takes less.
            constexpr double kBalance = 0.02;
            cost *= 1 + kBalance * new_in_zone[zone];
            if (spec.need.gpus <= 0 && type.total.gpus > 0) {
              constexpr double kAccelerator = 1.5;
              cost *= kAccelerator;
            }
            if (best_type == nullptr || cost < best_cost) {
              best_type = &type;
              best = kind;
              best_cost = cost;
            }
          }
        }
      }
      if (best_type == nullptr) break;
      rooms.push_back({best, best_type->total});
      ++rent[best];
      ++new_in_zone[best.zone];
      ++asked;
      if (fill(rooms.back()) == 0) break;
    }
  }
  return rent;
}

}  // namespace oxbow
