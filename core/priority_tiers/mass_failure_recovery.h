// Recovery after many tasks are lost at once. The best tier starts its tasks
// first, then the other tiers follow one at a time, so that image fetches of
// lower tiers do not take the network bandwidth that the best tier needs to
// recover. Every step has a time limit, so a recovery always ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// The steps of a recovery, in order.
enum class RecoveryStep : uint8_t {
  kNormal,          // every tier may start tasks
  kAssessingLoss,   // further losses may be detected; only the best tier starts
  kBestTierFirst,   // the best tier recovers; the lower tiers wait
  kReleasingTiers,  // the lower tiers may start again, one tier at a time
  kCooldown,        // every tier may start; no new recovery begins yet
};

// Thresholds and time limits of a recovery. Unless stated otherwise, shares are
// shares of the best tier's replicas.
struct RecoveryLimits {
  double loss_share = 0.04;   // a mass failure: at least this share is missing
  double min_lost = 3;        // and at least this many replicas are missing
  double back_share = 0.998;  // recovered: at least this share is running
  // The loss counts as fully known after this long without a further loss, and
  // at the latest after `max_loss_seconds`.
  double loss_seconds = 5;
  double max_loss_seconds = 10;
  double max_best_tier_seconds = 40;  // the longest that lower tiers then wait
  // A wave is the time for which one released tier starts before the next.
  double max_wave_seconds = 5;    // for one wave
  double max_waves_seconds = 30;  // for all waves together
  // Starts that begin an image fetch, per wave, as a share of the machines.
  double fetch_share = 0.25;

  // The time limits as multiples of the worker lease, so that all waits
  // together stay below twelve leases.
  static RecoveryLimits From(const WorkerSettings& workers);
  // The longest time, in seconds, that a lower tier waits without a break.
  double LongestWait() const {
    return max_loss_seconds + max_best_tier_seconds + max_waves_seconds;
  }
};

// The state of the cluster at one moment.
struct RecoveryObservation {
  // Numbers of replicas of the best tier's services, without services that were
  // submitted only recently: all replicas, those that are placed on a machine,
  // and those that are running.
  double wanted = 0;
  double placed = 0;
  double running = 0;
  // For each tier, the best first: whether a job of the tier is waiting.
  std::vector<bool> tier_waits;
  size_t machines = 0;  // machines that accept new tasks

  double Missing() const { return wanted - placed; }
};

// The state machine of the recovery. Reviewed in each scheduling pass.
class MassFailureRecovery {
 public:
  explicit MassFailureRecovery(const RecoveryLimits& limits)
      : limits_(limits) {}

  // Advances the recovery by what is observed now. Needs no information from an
  // earlier leader: a new leader detects the mass failure from its own
  // observations and continues the recovery.
  void Review(const RecoveryObservation& observation, Time now);

  RecoveryStep step() const { return step_; }
  // Whether a recovery makes lower tiers wait.
  bool delays_lower_tiers() const {
    return step_ == RecoveryStep::kAssessingLoss ||
           step_ == RecoveryStep::kBestTierFirst ||
           step_ == RecoveryStep::kReleasingTiers;
  }
  // Whether jobs of the tier may start tasks. `place` is the tier's index in
  // rank order; 0 is the best tier.
  bool MayStart(size_t place) const {
    return !delays_lower_tiers() || place <= last_released_;
  }
  // Whether a task start of that tier may begin an image fetch.
  bool MayFetch(size_t place) const {
    return !delays_lower_tiers() || place == 0 || fetches_left_ > 0;
  }
  // Records that a task start of that tier has begun an image fetch.
  void NoteFetch(size_t place) {
    if (delays_lower_tiers() && place > 0 && fetches_left_ > 0) --fetches_left_;
  }

 private:
  // Every change of `step_` goes through this function.
  void Change(RecoveryStep next, Time now);
  bool IsMassFailure(const RecoveryObservation& observation) const;
  bool BestTierIsBack(const RecoveryObservation& observation) const;
  // Whether the time for which lower tiers may wait for the best one is over.
  bool IsOverdue(Time now) const;
  // Records that more replicas are missing than before.
  void RecordFurtherLoss(double missing, Time now);
  // Releases the next tier of which a job waits, and begins its wave.
  void ReleaseNextTier(const RecoveryObservation& observation, Time now);
  // Resets the number of image fetches that lower tiers may begin in a wave.
  void RefillFetches(const RecoveryObservation& observation, Time now);
  void ReviewNormal(const RecoveryObservation& observation, Time now);
  // Whether the extent of the loss is known, or has been awaited long enough.
  bool LossIsAssessed(const RecoveryObservation& observation, Time now);
  void ReviewBestTierFirst(const RecoveryObservation& observation, Time now);
  void ReviewReleasingTiers(const RecoveryObservation& observation, Time now);

  RecoveryLimits limits_;
  RecoveryStep step_ = RecoveryStep::kNormal;
  Time step_since_ = 0;
  Time waiting_since_ = 0;  // since when the lower tiers wait
  Time cooldown_until_ = 0;
  double max_missing_ = 0;    // replicas
  Time last_loss_at_ = 0;     // when max_missing_ last grew
  size_t last_released_ = 0;  // index of the lowest tier that may start
  Time wave_since_ = 0;
  Time fetches_refilled_at_ = 0;
  size_t fetches_left_ = 0;
};

}  // namespace oxbow
