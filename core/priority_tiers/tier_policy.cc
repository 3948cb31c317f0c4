#include "core/priority_tiers/tier_policy.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

constexpr double kBurstLeases = 1;
constexpr double kHalfLifeLeases = 30;
constexpr double kEpsilon = 1e-6;

// Whether what is left is enough in each dimension that the task takes. One
// that takes no accelerators costs nobody any.
bool Leaves(const Resources& free, const Resources& need,
            const Resources& kept) {
  const auto enough = [](double have, double take, double keep) {
    return take <= 0 || keep <= 0 || have - take >= keep - kEpsilon;
  };
  return enough(free.cpus, need.cpus, kept.cpus) &&
         enough(free.gpus, need.gpus, kept.gpus) &&
         enough(free.memory_gb, need.memory_gb, kept.memory_gb);
}

}  // namespace

TierPolicy::TierPolicy(const Settings& settings, bool on)
    : lease_seconds_(settings.workers.lease_seconds),
      on_(on),
      limits_(RecoveryLimits::From(settings.workers)),
      recovery_(limits_) {
  Use(nullptr);
}

bool TierPolicy::Use(std::shared_ptr<const TierSet> set) {
  if (set == nullptr) set = std::make_shared<const TierSet>();
  if (set_ != nullptr && *set == *set_) {
    // The same tiers under another version: what was measured stays.
    set_ = std::move(set);
    return false;
  }
  set_ = std::move(set);
  const size_t n = set_->size();
  held_.assign(n, {});
  headroom_.assign(n, Headroom(kBurstLeases * lease_seconds_,
                               kHalfLifeLeases * lease_seconds_));
  losses_.assign(n, {});
  turns_.assign(n, {});
  kept_.assign(n, {});
  waiting_.assign(n, 0);
  // A recovery under way goes on from what is there, under its own bounds.
  return true;
}

void TierPolicy::Hold(uint8_t place, const Resources& need) {
  held_[place] += need;
}

void TierPolicy::Release(uint8_t place, const Resources& need) {
  held_[place] -= need;
}

void TierPolicy::ForgetHeld() { held_.assign(set_->size(), {}); }

void TierPolicy::Survey(uint8_t place,
                        const std::map<std::string, TierHolding>& where) {
  std::map<std::string, Resources> by_zone;
  std::map<std::string, Resources> by_machine;
  for (const auto& [zone, holding] : where) {
    by_zone[zone] = holding.in_zone;
    by_machine[zone] = holding.on_one_machine;
  }
  losses_[place] = LargestLoss(by_zone, by_machine);
}

void TierPolicy::Begin(const TierView& view, Time now) {
  others_served_ = false;
  if (!active()) return;
  free_ = view.free;
  total_ = {};
  for (const auto& [zone, total] : view.total) total_ += total;
  for (size_t place = 0; place < set_->size(); ++place) {
    kept_[place].clear();
    const double share = set_->at(place).kept_share;
    if (share <= 0) continue;
    for (const auto& [zone, total] : view.total) {
      const auto loss = losses_[place].find(zone);
      kept_[place][zone] = headroom_[place].Kept(
          zone, total, share,
          loss == losses_[place].end() ? Resources{} : loss->second, now);
    }
  }
  std::fill(waiting_.begin(), waiting_.end(), 0);
  for (const TierView::Waiting& w : view.waiting) ++waiting_[w.place];
  RecoveryView seen{
      view.best_wanted, view.best_placed, view.best_running, {}, view.machines};
  for (const uint32_t jobs : waiting_) seen.waiting.push_back(jobs > 0);
  recovery_.Review(seen, now);
  GiveTurns(view, now);
}

// One job of a tier in a lease, the one that has waited longest: enough that
// nobody starves, too little to take the room from those who come first.
void TierPolicy::GiveTurns(const TierView& view, Time now) {
  std::vector<double> longest(turns_.size(), 0);
  for (Turn& turn : turns_) turn.job = nullptr;
  for (const TierView::Waiting& w : view.waiting) {
    if (w.place == 0 || w.begun || now < turns_[w.place].not_before) continue;
    if (w.waited_seconds < set_->at(w.place).floor_seconds) continue;
    if (w.waited_seconds <= longest[w.place]) continue;
    longest[w.place] = w.waited_seconds;
    turns_[w.place].job = w.job;
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
  const double share = set_->at(place).most_share;
  if (share >= 1) return true;
  bool others = false;
  for (size_t other = 0; other < waiting_.size(); ++other) {
    others = others || (other != place && waiting_[other] > 0);
  }
  if (!others) return true;
  const Resources most = total_ * share;
  const Resources want = held_[place] + need;
  return (need.cpus <= 0 || want.cpus <= most.cpus + kEpsilon) &&
         (need.gpus <= 0 || want.gpus <= most.gpus + kEpsilon);
}

Resources TierPolicy::KeptAgainst(uint8_t place,
                                  const std::string& zone) const {
  Resources kept;
  if (!active()) return kept;
  for (size_t better = 0; better < place; ++better) {
    const auto it = kept_[better].find(zone);
    if (it != kept_[better].end()) kept += it->second;
  }
  return kept;
}

bool TierPolicy::MayUse(const Job& job, uint8_t place, const std::string& zone,
                        const Resources& need, bool fetches) const {
  if (!active() || place == 0 || HasTurn(job, place)) return true;
  if (fetches && !recovery_.MayFetch(place)) return false;
  const auto free = free_.find(zone);
  if (free == free_.end()) return true;
  return Leaves(free->second, need, KeptAgainst(place, zone));
}

void TierPolicy::Take(const std::string& zone, const Resources& need) {
  if (active()) free_[zone] -= need;
}

void TierPolicy::Give(const std::string& zone, const Resources& need) {
  if (active()) free_[zone] += need;
}

void TierPolicy::Started(const Job& job, uint8_t place, const std::string& zone,
                         const Resources& need, bool fetches, Time now) {
  if (!active()) return;
  if (Keeps(place)) headroom_[place].OnStart(zone, need, now);
  if (fetches) recovery_.NoteFetch(place);
  // Of a gang all tasks are the turn; of others the first one is.
  if (HasTurn(job, place) && job.spec().kind != JobKind::kGang) {
    TurnUsed(job, place, now);
  }
}

void TierPolicy::TurnUsed(const Job& job, uint8_t place, Time now) {
  if (!HasTurn(job, place)) return;
  turns_[place] = {nullptr, now + lease_seconds_};
}

void TierPolicy::Forget(const Job& job) {
  for (Turn& turn : turns_) {
    if (turn.job == &job) turn.job = nullptr;
  }
}

}  // namespace oxbow
