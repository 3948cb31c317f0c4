// What the tiers mean for one scheduling pass: order, reserved headroom,
// shares, turns of jobs that have waited long, and which tiers may start after
// a mass failure. Preemption is not decided here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/settings.h"
#include "core/priority_tiers/headroom.h"
#include "core/priority_tiers/mass_failure_recovery.h"
#include "core/priority_tiers/tier_set.h"

namespace oxbow {

// What a tier uses in one zone.
struct TierUse {
  Resources in_zone;
  Resources on_one_machine;  // the most that it uses on any
};

// The state of the cluster at the beginning of a pass.
struct TierObservation {
  std::map<std::string, Resources> total;  // by zone, of machines in use
  std::map<std::string, Resources> free;
  // A job that waits in this pass.
  struct Waiting {
    const Job* job = nullptr;
    uint8_t place = 0;
    double waited_seconds = 0;
    bool has_begun = false;  // some task of it has a place or is done
  };
  std::vector<Waiting> waiting;
  // Replicas of the best tier; see RecoveryObservation.
  double best_wanted = 0;
  double best_placed = 0;
  double best_running = 0;
  size_t machines = 0;
};

// A tier is named by its place in the order of ranks, the best being 0.
class TierPolicy {
 public:
  // `on`: whether the operators have enabled tiers.
  TierPolicy(const Settings& settings, bool on);

  // Null or a set of one tier only: nothing is changed. Returns whether jobs
  // have to be classified again.
  bool SetTiers(std::shared_ptr<const TierSet> set);
  bool active() const { return on_ && set_->size() > 1; }
  const TierSet& set() const { return *set_; }
  uint8_t Classify(const JobSpec& spec) const {
    return active() ? set_->Classify(spec) : 0;
  }

  // What each tier uses, changed by these alone.
  void AddUsage(uint8_t place, const Resources& need);
  void SubtractUsage(uint8_t place, const Resources& need);
  void ClearUsage();  // before everything is entered again
  const Resources& held(uint8_t place) const { return held_[place]; }

  // What a tier that reserves headroom uses in each zone; to be called now and
  // then.
  void UpdateLargestLoss(uint8_t place,
                         const std::map<std::string, TierUse>& use_by_zone);
  bool ReservesHeadroom(uint8_t place) const {
    return active() && set_->at(place).headroom_share > 0;
  }

  // Begins a scheduling pass.
  void BeginPass(const TierObservation& observation, Time now);
  // The job's place in the queue among jobs that can't stop one another; least
  // first. One that has waited too long comes next after the best tier.
  int RankOf(const Job& job, uint8_t place) const;
  // Whether the job may start tasks in this pass at all.
  bool MayStart(const Job& job, uint8_t place) const;
  // Whether one more task keeps the tier within its share while others wait.
  // What is refused may ask again once all others have been served.
  bool WithinShare(const Job& job, uint8_t place, const Resources& need) const;
  void OnOtherTiersServed() { others_served_ = true; }
  // Whether the headroom of better tiers stays free, and a fetch may begin.
  bool MayUse(const Job& job, uint8_t place, const std::string& zone,
              const Resources& need, bool fetches) const;
  // Capacity that is taken within the pass, and given back.
  void TakeCapacity(const std::string& zone, const Resources& need);
  void ReturnCapacity(const std::string& zone, const Resources& need);
  // A task was started; its capacity has been taken before.
  void OnTaskStarted(const Job& job, uint8_t place, const std::string& zone,
                     const Resources& need, bool fetches, Time now);
  // All starts of the job's turn are made.
  void EndTurn(const Job& job, uint8_t place, Time now);
  bool HasTurn(const Job& job, uint8_t place) const {
    return active() && turns_[place].job == &job;
  }
  // The job is about to be destroyed.
  void OnJobRemoved(const Job& job);

  // The headroom of all tiers better than that one, in the zone.
  Resources HeadroomOfBetterTiers(uint8_t place, const std::string& zone) const;
  const MassFailureRecovery& recovery() const { return recovery_; }

 private:
  static constexpr Time kNever = -1e18;  // a turn may be given at once
  struct Turn {
    const Job* job = nullptr;  // in this pass
    Time not_before = kNever;
  };
  void ReserveHeadroom(const TierObservation& observation, Time now);
  // Gives one job of each lower tier a turn in each worker lease, the one that
  // has waited longest: enough that none starves, too little to take the
  // capacity from better tiers.
  void GiveTurns(const TierObservation& observation, Time now);

  const double lease_seconds_;
  const bool on_;
  const RecoveryLimits limits_;
  std::shared_ptr<const TierSet> set_;
  std::vector<Resources> held_;
  std::vector<Headroom> headroom_;
  std::vector<std::map<std::string, Resources>> largest_losses_;  // by zone
  std::vector<Turn> turns_;
  MassFailureRecovery recovery_;
  // In this pass.
  std::map<std::string, Resources> free_;
  Resources total_;
  std::vector<std::map<std::string, Resources>> headroom_by_zone_;
  std::vector<uint32_t> waiting_;  // jobs of each tier
  bool others_served_ = false;
};

}  // namespace oxbow
