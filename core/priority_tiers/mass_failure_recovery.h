// Recovery after many tasks are lost at once: the best tier starts first, then
// one tier after the other, so that the images that lower tiers fetch do not
// fill the links over which the best one recovers. Every step ends by itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// The steps of a recovery, in this order.
enum class RecoveryStep : uint8_t {
  kNormal,          // every tier may start
  kAssessingLoss,   // more may be found lost; only the best tier starts
  kBestTierFirst,   // the best tier recovers, the others wait
  kReleasingTiers,  // the others may start, one tier after the other
  kCooldown,        // every tier may start, and none is made to wait again yet
};

// Shares are of the best tier's replicas.
struct RecoveryLimits {
  double loss_share = 0.04;   // missing: a mass failure
  double min_lost = 3;        // replicas; fewer are no mass failure
  double back_share = 0.998;  // running: the tier has recovered
  double loss_seconds = 5;    // without a further loss, the extent is known
  double max_loss_seconds = 10;
  double max_best_tier_seconds = 40;
  double max_wave_seconds = 5;    // for one tier
  double max_waves_seconds = 30;  // for all of them
  // Starts with a fetch in a wave, as a share of the machines.
  double fetch_share = 0.25;

  // In worker leases, so that all waits together stay below twelve of them.
  static RecoveryLimits From(const WorkerSettings& workers);
  // The longest that a lower tier waits for others without a break.
  double LongestWait() const {
    return max_loss_seconds + max_best_tier_seconds + max_waves_seconds;
  }
};

// The state of the cluster at one moment.
struct RecoveryObservation {
  // Replicas of the best tier's services that are not new: all, those that are
  // placed, and those that run.
  double wanted = 0;
  double placed = 0;
  double running = 0;
  // Whether a job of the tier waits, the best tier first.
  std::vector<bool> tier_waits;
  size_t machines = 0;  // that take new work

  double Missing() const { return wanted - placed; }
};

// A state machine, reviewed in each scheduling pass.
class MassFailureRecovery {
 public:
  explicit MassFailureRecovery(const RecoveryLimits& limits)
      : limits_(limits) {}

  // Depends only on what is observed and on time, and on nothing that an
  // earlier leader knew: a new leader continues from the same state.
  void Review(const RecoveryObservation& observation, Time now);

  RecoveryStep step() const { return step_; }
  // Whether lower tiers wait.
  bool delays_lower_tiers() const {
    return step_ == RecoveryStep::kAssessingLoss ||
           step_ == RecoveryStep::kBestTierFirst ||
           step_ == RecoveryStep::kReleasingTiers;
  }
  // Whether jobs of the tier at that place may start tasks.
  bool MayStart(size_t place) const {
    return !delays_lower_tiers() || place <= last_released_;
  }
  // Whether a start of that tier may begin a fetch.
  bool MayFetch(size_t place) const {
    return !delays_lower_tiers() || place == 0 || fetches_left_ > 0;
  }
  // A start of that tier has begun a fetch.
  void NoteFetch(size_t place) {
    if (delays_lower_tiers() && place > 0 && fetches_left_ > 0) --fetches_left_;
  }

 private:
  // The one function for changes of the step.
  void Change(RecoveryStep next, Time now);
  bool IsMassFailure(const RecoveryObservation& observation) const;
  bool BestTierIsBack(const RecoveryObservation& observation) const;
  // The best tier has had its time.
  bool IsOverdue(Time now) const;
  void NoteWorse(double missing, Time now);
  void ReleaseNextTier(const RecoveryObservation& observation, Time now);
  void RefillFetches(const RecoveryObservation& observation, Time now);
  void ReviewNormal(const RecoveryObservation& observation, Time now);
  bool LossIsAssessed(const RecoveryObservation& observation, Time now);
  void ReviewBestTierFirst(const RecoveryObservation& observation, Time now);
  void ReviewReleasingTiers(const RecoveryObservation& observation, Time now);

  RecoveryLimits limits_;
  RecoveryStep step_ = RecoveryStep::kNormal;
  Time step_since_ = 0;
  Time waiting_since_ = 0;  // lower tiers
  Time cooldown_until_ = 0;
  double max_missing_ = 0;
  Time last_worse_at_ = 0;    // when max_missing_ last grew
  size_t last_released_ = 0;  // the last place that may start
  Time wave_since_ = 0;
  Time fetches_refilled_at_ = 0;
  size_t fetches_left_ = 0;
};

}  // namespace oxbow
