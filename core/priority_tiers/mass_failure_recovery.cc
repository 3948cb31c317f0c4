#include "core/priority_tiers/mass_failure_recovery.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum RecoveryStep;

constexpr std::array kChanges = {
    std::pair{kCalm, kLoss},
    std::pair{kLoss, kPublicFirst},
    std::pair{kPublicFirst, kNextTier},
    std::pair{kPublicFirst, kLoss},
    std::pair{kNextTier, kRest},
    std::pair{kRest, kCalm},
};

}  // namespace

RecoveryLimits RecoveryLimits::From(const WorkerSettings& workers) {
  RecoveryLimits limits;
  const double lease = workers.lease_seconds;
  limits.loss_seconds = 0.5 * lease;
  limits.most_loss_seconds = lease;
  limits.most_public_seconds = 4 * lease;
  limits.most_wave_seconds = 0.5 * lease;
  limits.most_waves_seconds = 3 * lease;
  return limits;
}

void Recovery::Change(RecoveryStep next, Time now) {
  CheckedChange(step_, next, kChanges, "recovery");
  since_ = now;
  if (next == kLoss) released_ = 0;
  if (next == kRest) {
    rest_until_ = now + std::min(now - held_since_, limits_.LongestWait());
  }
}

bool Recovery::Missing(const RecoveryView& view) const {
  const double lost = view.wanted - view.placed;
  return lost >= limits_.least_lost && lost >= limits_.loss_share * view.wanted;
}

bool Recovery::Back(const RecoveryView& view) const {
  return view.running >= limits_.back_share * view.wanted;
}

void Recovery::NextWave(const RecoveryView& view, Time now) {
  wave_since_ = now;
  // One that nobody waits for needs no wave of its own.
  do {
    ++released_;
  } while (released_ + 1 < view.waiting.size() && !view.waiting[released_]);
}

void Recovery::Review(const RecoveryView& view, Time now) {
  const size_t tiers = view.waiting.size();
  if (step_ == kRest) {
    // However often machines die, lower tiers have as long as they waited.
    if (now < rest_until_) return;
    Change(kCalm, now);
  }
  if (step_ == kCalm) {
    if (tiers < 2 || !Missing(view)) return;
    held_since_ = worse_at_ = now;
    worst_ = view.wanted - view.placed;
    Change(kLoss, now);
    return;
  }
  // Set anew with other tiers, or with none: what has been let in stays so.
  if (tiers < 2) released_ = 0;
  const double missing = view.wanted - view.placed;
  const bool late = now - held_since_ >=
                    limits_.most_loss_seconds + limits_.most_public_seconds;
  if (step_ == kLoss) {
    if (missing > worst_) {
      worst_ = missing;
      worse_at_ = now;
    }
    if (!late && !Back(view) && now - worse_at_ < limits_.loss_seconds &&
        now - since_ < limits_.most_loss_seconds) {
      return;
    }
    Change(kPublicFirst, now);
  }
  if (step_ == kPublicFirst) {
    // A second zone or group goes down meanwhile: its extent is awaited too,
    // within the same bound.
    if (!late && missing > worst_ + limits_.least_lost) {
      worst_ = missing;
      worse_at_ = now;
      Change(kLoss, now);
      return;
    }
    if (!late && !Back(view)) return;
    Change(kNextTier, now);
    refilled_at_ = now;
    fetches_left_ = static_cast<size_t>(
        std::ceil(limits_.fetch_share * static_cast<double>(view.machines)));
    if (tiers > 1) NextWave(view, now);
    return;
  }
  const double lower = static_cast<double>(std::max<size_t>(tiers, 2) - 1);
  const double wave =
      std::min(limits_.most_wave_seconds, limits_.most_waves_seconds / lower);
  // A budget in each wave's time, not a heap that grows.
  if (now - refilled_at_ >= wave) {
    refilled_at_ = now;
    fetches_left_ = static_cast<size_t>(
        std::ceil(limits_.fetch_share * static_cast<double>(view.machines)));
  }
  const bool served =
      released_ < tiers && !view.waiting[released_] && now > wave_since_;
  const bool last = released_ + 1 >= tiers;
  const bool over = now - wave_since_ >= wave;
  if (now - since_ >= limits_.most_waves_seconds ||
      (last && (served || over))) {
    Change(kRest, now);
    return;
  }
  if (served || over) NextWave(view, now);
}

}  // namespace oxbow
