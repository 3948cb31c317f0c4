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
    std::pair{kNormal, kAssessingLoss},
    std::pair{kAssessingLoss, kBestTierFirst},
    std::pair{kBestTierFirst, kReleasingTiers},
    std::pair{kBestTierFirst, kAssessingLoss},
    std::pair{kReleasingTiers, kCooldown},
    std::pair{kCooldown, kNormal},
};

}  // namespace

RecoveryLimits RecoveryLimits::From(const WorkerSettings& workers) {
  RecoveryLimits limits;
  const double lease = workers.lease_seconds;
  limits.loss_seconds = 0.5 * lease;
  limits.max_loss_seconds = lease;
  limits.max_best_tier_seconds = 4 * lease;
  limits.max_wave_seconds = 0.5 * lease;
  limits.max_waves_seconds = 3 * lease;
  return limits;
}

void MassFailureRecovery::Change(RecoveryStep next, Time now) {
  CheckedTransition(step_, next, kChanges, "mass failure recovery");
  step_since_ = now;
  if (next == kAssessingLoss) last_released_ = 0;
  if (next == kCooldown) {
    cooldown_until_ =
        now + std::min(now - waiting_since_, limits_.LongestWait());
  }
}

bool MassFailureRecovery::IsMassFailure(
    const RecoveryObservation& observation) const {
  const double missing = observation.Missing();
  return missing >= limits_.min_lost &&
         missing >= limits_.loss_share * observation.wanted;
}

bool MassFailureRecovery::BestTierIsBack(
    const RecoveryObservation& observation) const {
  return observation.running >= limits_.back_share * observation.wanted;
}

bool MassFailureRecovery::IsOverdue(Time now) const {
  return now - waiting_since_ >=
         limits_.max_loss_seconds + limits_.max_best_tier_seconds;
}

void MassFailureRecovery::NoteWorse(double missing, Time now) {
  max_missing_ = missing;
  last_worse_at_ = now;
}

void MassFailureRecovery::ReleaseNextTier(
    const RecoveryObservation& observation, Time now) {
  wave_since_ = now;
  // A tier of which no job waits needs no wave of its own.
  do {
    ++last_released_;
  } while (last_released_ + 1 < observation.tier_waits.size() &&
           !observation.tier_waits[last_released_]);
}

void MassFailureRecovery::RefillFetches(const RecoveryObservation& observation,
                                        Time now) {
  fetches_refilled_at_ = now;
  fetches_left_ = static_cast<size_t>(std::ceil(
      limits_.fetch_share * static_cast<double>(observation.machines)));
}

void MassFailureRecovery::Review(const RecoveryObservation& observation,
                                 Time now) {
  if (step_ == kCooldown) {
    // However often machines fail, lower tiers may start for as long as they
    // have waited.
    if (now < cooldown_until_) return;
    Change(kNormal, now);
  }
  if (step_ == kNormal) {
    ReviewNormal(observation, now);
    return;
  }
  // The tiers have changed, or there are none: what has been released stays so.
  if (observation.tier_waits.size() < 2) last_released_ = 0;
  if (step_ == kAssessingLoss && !LossIsAssessed(observation, now)) return;
  if (step_ == kAssessingLoss) Change(kBestTierFirst, now);
  if (step_ == kBestTierFirst) {
    ReviewBestTierFirst(observation, now);
  } else {
    ReviewReleasingTiers(observation, now);
  }
}

void MassFailureRecovery::ReviewNormal(const RecoveryObservation& observation,
                                       Time now) {
  if (observation.tier_waits.size() < 2 || !IsMassFailure(observation)) return;
  waiting_since_ = now;
  NoteWorse(observation.Missing(), now);
  Change(kAssessingLoss, now);
}

bool MassFailureRecovery::LossIsAssessed(const RecoveryObservation& observation,
                                         Time now) {
  if (observation.Missing() > max_missing_) {
    NoteWorse(observation.Missing(), now);
  }
  return IsOverdue(now) || BestTierIsBack(observation) ||
         now - last_worse_at_ >= limits_.loss_seconds ||
         now - step_since_ >= limits_.max_loss_seconds;
}

void MassFailureRecovery::ReviewBestTierFirst(
    const RecoveryObservation& observation, Time now) {
  const bool overdue = IsOverdue(now);
  // A second zone or group of machines fails meanwhile: its extent is awaited
  // too, within the same bound.
  if (!overdue && observation.Missing() > max_missing_ + limits_.min_lost) {
    NoteWorse(observation.Missing(), now);
    Change(kAssessingLoss, now);
    return;
  }
  if (!overdue && !BestTierIsBack(observation)) return;
  Change(kReleasingTiers, now);
  RefillFetches(observation, now);
  if (observation.tier_waits.size() > 1) ReleaseNextTier(observation, now);
}

void MassFailureRecovery::ReviewReleasingTiers(
    const RecoveryObservation& observation, Time now) {
  const size_t tiers = observation.tier_waits.size();
  const auto lower_tiers = static_cast<double>(std::max<size_t>(tiers, 2) - 1);
  const double wave_seconds = std::min(limits_.max_wave_seconds,
                                       limits_.max_waves_seconds / lower_tiers);
  // A budget for each wave; what is left of it does not add up.
  if (now - fetches_refilled_at_ >= wave_seconds) {
    RefillFetches(observation, now);
  }
  const bool served = last_released_ < tiers &&
                      !observation.tier_waits[last_released_] &&
                      now > wave_since_;
  const bool last = last_released_ + 1 >= tiers;
  const bool wave_over = now - wave_since_ >= wave_seconds;
  if (now - step_since_ >= limits_.max_waves_seconds ||
      (last && (served || wave_over))) {
    Change(kCooldown, now);
    return;
  }
  if (served || wave_over) ReleaseNextTier(observation, now);
}

}  // namespace oxbow
