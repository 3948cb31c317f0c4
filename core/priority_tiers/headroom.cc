#include "core/priority_tiers/headroom.h"

#include <algorithm>
#include <cmath>

namespace oxbow {

Resources Larger(const Resources& first, const Resources& second) {
  return {std::max(first.cpus, second.cpus), std::max(first.gpus, second.gpus),
          std::max(first.memory_gb, second.memory_gb)};
}

Resources Smaller(const Resources& first, const Resources& second) {
  return {std::min(first.cpus, second.cpus), std::min(first.gpus, second.gpus),
          std::min(first.memory_gb, second.memory_gb)};
}

std::map<std::string, Resources> LargestLoss(
    const std::map<std::string, Resources>& by_zone,
    const std::map<std::string, Resources>& by_machine) {
  std::map<std::string, Resources> losses;
  for (const auto& [zone, use] : by_zone) {
    Resources& loss = losses[zone];
    if (const auto it = by_machine.find(zone); it != by_machine.end()) {
      loss = it->second;
    }
    if (by_zone.size() < 2) continue;
    const double others = static_cast<double>(by_zone.size() - 1);
    for (const auto& [other, other_use] : by_zone) {
      if (other != zone) loss = Larger(loss, other_use * (1 / others));
    }
  }
  return losses;
}

Resources Headroom::Decayed(const Zone& zone, Time now) const {
  const double age = std::max(0.0, now - zone.peak_at);
  return zone.peak * std::exp2(-age / half_life_seconds_);
}

void Headroom::OnStart(const std::string& zone, const Resources& need,
                       Time now) {
  Zone& state = zones_[zone];
  if (now - state.burst_since > window_seconds_) {
    state.burst_since = now;
    state.burst = {};
  }
  state.burst += need;
  state.peak = Larger(Decayed(state, now), state.burst);
  state.peak_at = now;
}

Resources Headroom::Burst(const std::string& zone, Time now) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? Resources{} : Decayed(it->second, now);
}

Resources Headroom::Reserved(const std::string& zone, const Resources& total,
                             double share, const Resources& largest_loss,
                             Time now) const {
  return Smaller(total * share, Larger(Burst(zone, now), largest_loss));
}

}  // namespace oxbow
