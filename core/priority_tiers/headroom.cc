#include "core/priority_tiers/headroom.h"

#include <algorithm>
#include <cmath>

namespace oxbow {

Resources Larger(const Resources& a, const Resources& b) {
  return {std::max(a.cpus, b.cpus), std::max(a.gpus, b.gpus),
          std::max(a.memory_gb, b.memory_gb)};
}

Resources Smaller(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus),
          std::min(a.memory_gb, b.memory_gb)};
}

std::map<std::string, Resources> LargestLoss(
    const std::map<std::string, Resources>& by_zone,
    const std::map<std::string, Resources>& by_machine) {
  std::map<std::string, Resources> out;
  for (const auto& [zone, here] : by_zone) {
    Resources& loss = out[zone];
    if (const auto it = by_machine.find(zone); it != by_machine.end()) {
      loss = it->second;
    }
    if (by_zone.size() < 2) continue;
    const double others = static_cast<double>(by_zone.size() - 1);
    for (const auto& [other, there] : by_zone) {
      if (other != zone) loss = Larger(loss, there * (1 / others));
    }
  }
  return out;
}

Resources Headroom::Faded(const Zone& zone, Time now) const {
  const double age = std::max(0.0, now - zone.peak_at);
  return zone.peak * std::exp2(-age / half_life_seconds_);
}

void Headroom::OnStart(const std::string& zone, const Resources& need,
                       Time now) {
  Zone& z = zones_[zone];
  if (now - z.since > window_seconds_) {
    z.since = now;
    z.burst = {};
  }
  z.burst += need;
  z.peak = Larger(Faded(z, now), z.burst);
  z.peak_at = now;
}

Resources Headroom::Burst(const std::string& zone, Time now) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? Resources{} : Faded(it->second, now);
}

Resources Headroom::Kept(const std::string& zone, const Resources& total,
                         double share, const Resources& largest_loss,
                         Time now) const {
  return Smaller(total * share, Larger(Burst(zone, now), largest_loss));
}

}  // namespace oxbow
