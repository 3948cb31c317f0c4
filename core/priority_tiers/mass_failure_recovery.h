// Return after many tasks are lost at once: the best tier first, then one after
// the other, so that what lower tiers fetch does not fill the links that the
// best one comes back over. Every step ends by itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

enum class RecoveryStep : uint8_t {
  kCalm,         // every tier may start
  kLoss,         // more may be found lost; only the best tier starts
  kPublicFirst,  // the best tier comes back, the others wait
  kNextTier,     // the others are let in one by one
  kRest,         // every tier may start, and none waits again so soon
};

// All times in s, shares of the best tier's replicas.
struct RecoveryLimits {
  double loss_share = 0.04;   // missing: a loss
  double least_lost = 3;      // replicas; fewer are no mass failure
  double back_share = 0.998;  // running: it is back
  double loss_seconds = 5;    // without a further loss, the extent is known
  double most_loss_seconds = 10;
  double most_public_seconds = 40;
  double most_wave_seconds = 5;    // for one tier
  double most_waves_seconds = 30;  // for all of them
  // Starts with a fetch in a wave, as a share of the machines.
  double fetch_share = 0.25;

  // In leases, so that all waits together stay below twelve of them.
  static RecoveryLimits From(const WorkerSettings& workers);
  // The longest that a lower tier waits for others in one go.
  double LongestWait() const {
    return most_loss_seconds + most_public_seconds + most_waves_seconds;
  }
};

// What the leader sees, at one moment.
struct RecoveryView {
  // Replicas of the best tier that were there before, of services that are not
  // new; those that have a place; those that run.
  double wanted = 0;
  double placed = 0;
  double running = 0;
  // By place of the tier: whether one of its jobs waits.
  std::vector<bool> waiting;
  size_t machines = 0;  // that take new work
};

class Recovery {
 public:
  explicit Recovery(const RecoveryLimits& limits) : limits_(limits) {}

  // Derived from what is there and from nothing that only one leader knows: a
  // new one goes on from the truth.
  void Review(const RecoveryView& view, Time now);

  RecoveryStep step() const { return step_; }
  // Whether lower tiers wait.
  bool holds() const {
    return step_ == RecoveryStep::kLoss ||
           step_ == RecoveryStep::kPublicFirst ||
           step_ == RecoveryStep::kNextTier;
  }
  // Whether jobs of the tier at that place may start tasks.
  bool MayStart(size_t place) const { return !holds() || place <= released_; }
  // Whether a start of that tier may bring a fetch with it.
  bool MayFetch(size_t place) const {
    return !holds() || place == 0 || fetches_left_ > 0;
  }
  void NoteFetch(size_t place) {
    if (holds() && place > 0 && fetches_left_ > 0) --fetches_left_;
  }

 private:
  // The one function for a change.
  void Change(RecoveryStep next, Time now);
  void NextWave(const RecoveryView& view, Time now);
  bool Missing(const RecoveryView& view) const;
  bool Back(const RecoveryView& view) const;

  RecoveryLimits limits_;
  RecoveryStep step_ = RecoveryStep::kCalm;
  Time since_ = 0;       // in this step
  Time held_since_ = 0;  // lower tiers wait
  Time rest_until_ = 0;
  Time worse_at_ = 0;    // when the loss was last seen to grow
  double worst_ = 0;     // missing then
  size_t released_ = 0;  // the last place that may start
  Time wave_since_ = 0;
  Time refilled_at_ = 0;
  size_t fetches_left_ = 0;
};

}  // namespace oxbow
