#include "core/priority_tiers/tier_policy.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

// In worker leases; see Headroom.
constexpr double kBurstLeases = 1;
constexpr double kHalfLifeLeases = 30;
// Amounts are compared up to rounding.
constexpr double kEpsilon = 1e-6;

// Whether the reserved amount stays free of each resource that the task needs.
bool LeavesReserved(const Resources& free, const Resources& need,
                    const Resources& reserved) {
  const auto leaves = [](double free_amount, double needed, double kept) {
    return needed <= 0 || kept <= 0 || free_amount - needed >= kept - kEpsilon;
  };
  return leaves(free.cpus, need.cpus, reserved.cpus) &&
         leaves(free.gpus, need.gpus, reserved.gpus) &&
         leaves(free.memory_gb, need.memory_gb, reserved.memory_gb);
}

// `waiting`: jobs of each tier.
bool OtherTiersWait(const std::vector<uint32_t>& waiting, uint8_t place) {
  for (size_t other = 0; other < waiting.size(); ++other) {
    if (other != place && waiting[other] > 0) return true;
  }
  return false;
}

}  // namespace

TierPolicy::TierPolicy(const Settings& settings, bool on)
    : lease_seconds_(settings.workers.lease_seconds),
      on_(on),
      limits_(RecoveryLimits::From(settings.workers)),
      recovery_(limits_) {
  SetTiers(nullptr);
}

bool TierPolicy::SetTiers(std::shared_ptr<const TierSet> set) {
  if (set == nullptr) set = std::make_shared<const TierSet>();
  if (set_ != nullptr && *set == *set_) {
    // The same tiers under another version: the measurements stay valid.
    set_ = std::move(set);
    return false;
  }
  set_ = std::move(set);
  const size_t tiers = set_->size();
  held_.assign(tiers, {});
  headroom_.assign(tiers, Headroom(kBurstLeases * lease_seconds_,
                                   kHalfLifeLeases * lease_seconds_));
  largest_losses_.assign(tiers, {});
  turns_.assign(tiers, {});
  headroom_by_zone_.assign(tiers, {});
  waiting_.assign(tiers, 0);
  // A recovery in progress goes on under its own bounds.
  return true;
}

void TierPolicy::AddUsage(uint8_t place, const Resources& need) {
  held_[place] += need;
}

void TierPolicy::SubtractUsage(uint8_t place, const Resources& need) {
  held_[place] -= need;
}

void TierPolicy::ClearUsage() { held_.assign(set_->size(), {}); }

void TierPolicy::UpdateLargestLoss(
    uint8_t place, const std::map<std::string, TierUse>& use_by_zone) {
  std::map<std::string, Resources> by_zone;
  std::map<std::string, Resources> by_machine;
  for (const auto& [zone, use] : use_by_zone) {
    by_zone[zone] = use.in_zone;
    by_machine[zone] = use.on_one_machine;
  }
  largest_losses_[place] = LargestLoss(by_zone, by_machine);
}

void TierPolicy::BeginPass(const TierObservation& observation, Time now) {
  others_served_ = false;
  if (!active()) return;
  free_ = observation.free;
  total_ = {};
  for (const auto& [zone, total] : observation.total) total_ += total;
  ReserveHeadroom(observation, now);
  std::fill(waiting_.begin(), waiting_.end(), 0);
  for (const TierObservation::Waiting& waiting : observation.waiting) {
    ++waiting_[waiting.place];
  }
  RecoveryObservation best_tier{observation.best_wanted,
                                observation.best_placed,
                                observation.best_running,
                                {},
                                observation.machines};
  for (const uint32_t jobs : waiting_) {
    best_tier.tier_waits.push_back(jobs > 0);
  }
  recovery_.Review(best_tier, now);
  GiveTurns(observation, now);
}

void TierPolicy::ReserveHeadroom(const TierObservation& observation, Time now) {
  for (size_t place = 0; place < set_->size(); ++place) {
    headroom_by_zone_[place].clear();
    const double share = set_->at(place).headroom_share;
    if (share <= 0) continue;
    for (const auto& [zone, total] : observation.total) {
      const auto loss = largest_losses_[place].find(zone);
      headroom_by_zone_[place][zone] = headroom_[place].Reserved(
          zone, total, share,
          loss == largest_losses_[place].end() ? Resources{} : loss->second,
          now);
    }
  }
}

void TierPolicy::GiveTurns(const TierObservation& observation, Time now) {
  std::vector<double> longest(turns_.size(), 0);
  for (Turn& turn : turns_) turn.job = nullptr;
  for (const TierObservation::Waiting& waiting : observation.waiting) {
    const uint8_t place = waiting.place;
    if (place == 0 || waiting.has_begun || now < turns_[place].not_before)
      continue;
    if (waiting.waited_seconds < set_->at(place).turn_wait_seconds) continue;
    if (waiting.waited_seconds <= longest[place]) continue;
    longest[place] = waiting.waited_seconds;
    turns_[place].job = waiting.job;
  }
}

int TierPolicy::RankOf(const Job& job, uint8_t place) const {
  if (!active()) return 0;
  return HasTurn(job, place) ? 1 : 2 * place;
}

bool TierPolicy::MayStart(const Job& job, uint8_t place) const {
  if (!active()) return true;
  return recovery_.MayStart(place) || HasTurn(job, place);
}

bool TierPolicy::WithinShare(const Job& job, uint8_t place,
                             const Resources& need) const {
  if (!active() || others_served_ || HasTurn(job, place)) return true;
  const double share = set_->at(place).max_share;
  if (share >= 1) return true;
  if (!OtherTiersWait(waiting_, place)) return true;
  const Resources most = total_ * share;
  const Resources want = held_[place] + need;
  return (need.cpus <= 0 || want.cpus <= most.cpus + kEpsilon) &&
         (need.gpus <= 0 || want.gpus <= most.gpus + kEpsilon);
}

Resources TierPolicy::HeadroomOfBetterTiers(uint8_t place,
                                            const std::string& zone) const {
  Resources reserved;
  if (!active()) return reserved;
  for (size_t better = 0; better < place; ++better) {
    const auto it = headroom_by_zone_[better].find(zone);
    if (it != headroom_by_zone_[better].end()) reserved += it->second;
  }
  return reserved;
}

bool TierPolicy::MayUse(const Job& job, uint8_t place, const std::string& zone,
                        const Resources& need, bool fetches) const {
  if (!active() || place == 0 || HasTurn(job, place)) return true;
  if (fetches && !recovery_.MayFetch(place)) return false;
  const auto free = free_.find(zone);
  if (free == free_.end()) return true;
  return LeavesReserved(free->second, need, HeadroomOfBetterTiers(place, zone));
}

void TierPolicy::TakeCapacity(const std::string& zone, const Resources& need) {
  if (active()) free_[zone] -= need;
}

void TierPolicy::ReturnCapacity(const std::string& zone,
                                const Resources& need) {
  if (active()) free_[zone] += need;
}

void TierPolicy::OnTaskStarted(const Job& job, uint8_t place,
                               const std::string& zone, const Resources& need,
                               bool fetches, Time now) {
  if (!active()) return;
  if (ReservesHeadroom(place)) headroom_[place].OnStart(zone, need, now);
  if (fetches) recovery_.NoteFetch(place);
  // The turn of a gang is all of its tasks; of another job, one task.
  if (HasTurn(job, place) && job.spec().kind != JobKind::kGang) {
    EndTurn(job, place, now);
  }
}

void TierPolicy::EndTurn(const Job& job, uint8_t place, Time now) {
  if (!HasTurn(job, place)) return;
  turns_[place] = {nullptr, now + lease_seconds_};
}

void TierPolicy::OnJobRemoved(const Job& job) {
  for (Turn& turn : turns_) {
    if (turn.job == &job) turn.job = nullptr;
  }
}

}  // namespace oxbow
