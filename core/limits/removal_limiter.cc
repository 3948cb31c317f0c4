#include "core/limits/removal_limiter.h"

#include <algorithm>
#include <cmath>

namespace oxbow {
namespace {

constexpr std::array<std::string_view, kRemovalCauses> kNames = {
    "silent", "unlisted", "never up", "idle", "moved", "distrusted"};

// How many a share allows. One always, or a small fleet could never replace a
// dead machine.
int Allowance(double share, int basis) {
  return std::max(1, static_cast<int>(std::floor(share * basis)));
}

}  // namespace

std::string_view NameOf(RemovalCause cause) {
  return kNames[static_cast<size_t>(cause)];
}

std::string_view NameOf(RemovalDecision decision) {
  switch (decision) {
    case RemovalDecision::kAllowed:
      return "allowed";
    case RemovalDecision::kFleetLimit:
      return "the fleet's share";
    case RemovalDecision::kZoneLimit:
      return "the zone's share";
    case RemovalDecision::kServiceLimit:
      return "a service's share";
  }
  return "";
}

void RemovalLimiter::Forget(Time now) {
  while (!entries_.empty() &&
         entries_.front().at <= now - limits_.window_seconds) {
    const CapacityRemoval& loss = entries_.front().loss;
    --by_cause_[static_cast<size_t>(loss.cause)];
    const auto zone = by_zone_.find({loss.cause, loss.zone});
    if (--zone->second == 0) by_zone_.erase(zone);
    for (const CapacityRemoval::AffectedService& part : loss.services) {
      const auto service = by_service_.find(part.job);
      service->second -= part.replicas;
      if (service->second <= 0) by_service_.erase(service);
    }
    entries_.pop_front();
  }
}

int RemovalLimiter::CountInWindow(RemovalCause cause, Time now) {
  Forget(now);
  return by_cause_[static_cast<size_t>(cause)];
}

RemovalDecision RemovalLimiter::RequestRemoval(const CapacityRemoval& loss,
                                               int fleet, int zone, Time now) {
  Forget(now);
  const auto cause = static_cast<size_t>(loss.cause);
  const RemovalDecision decision = Decide(loss, fleet, zone);
  if (decision != RemovalDecision::kAllowed) {
    ++refused_[cause];
    return decision;
  }
  refused_[cause] = 0;
  Count(loss, now);
  return decision;
}

RemovalDecision RemovalLimiter::Decide(const CapacityRemoval& loss, int fleet,
                                       int zone) const {
  const auto cause = static_cast<size_t>(loss.cause);
  const int asked = by_cause_[cause];
  if (asked + 1 > Allowance(limits_.fleet[cause], fleet + asked)) {
    return RemovalDecision::kFleetLimit;
  }
  const auto it = by_zone_.find({loss.cause, loss.zone});
  const int asked_in_zone = it == by_zone_.end() ? 0 : it->second;
  const double zone_share = std::max(limits_.zone, limits_.fleet[cause]);
  if (asked_in_zone + 1 > Allowance(zone_share, zone + asked_in_zone)) {
    return RemovalDecision::kZoneLimit;
  }
  for (const CapacityRemoval::AffectedService& part : loss.services) {
    const auto taken = by_service_.find(part.job);
    const int before = taken == by_service_.end() ? 0 : taken->second;
    // The first act may take everything: where all replicas are on one machine,
    // that one must still be replaceable.
    if (before > 0 &&
        before + part.replicas > Allowance(limits_.service, part.size)) {
      return RemovalDecision::kServiceLimit;
    }
  }
  return RemovalDecision::kAllowed;
}

void RemovalLimiter::Count(const CapacityRemoval& loss, Time now) {
  ++by_cause_[static_cast<size_t>(loss.cause)];
  ++by_zone_[{loss.cause, loss.zone}];
  for (const CapacityRemoval::AffectedService& part : loss.services) {
    by_service_[part.job] += part.replicas;
  }
  entries_.push_back({now, loss});
}

}  // namespace oxbow
