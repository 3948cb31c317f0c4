// Applies the priority tiers to one scheduling pass. Decides the order of the
// tiers in the queue, the headroom reserved for each tier, the share of the
// capacity that each tier may use, the turns of jobs that have waited long, and
// which tiers may start tasks after a mass failure. Preemption is decided
// elsewhere, by PreemptionPlanner.
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
  Resources on_one_machine;  // the most that it uses on any one machine
};

// The state of the cluster at the beginning of a scheduling pass.
struct TierObservation {
  // Capacity of the machines that accept new tasks, by zone: all of it, and the
  // free part.
  std::map<std::string, Resources> total;
  std::map<std::string, Resources> free;
  // A job that waits in this pass.
  struct Waiting {
    const Job* job = nullptr;
    uint8_t place = 0;  // of its tier
    double waited_seconds = 0;
    // At least one task of the job is placed on a machine or is done.
    bool has_begun = false;
  };
  std::vector<Waiting> waiting;
  // Replicas of the best tier's services, as in RecoveryObservation.
  double best_wanted = 0;
  double best_placed = 0;
  double best_running = 0;
  size_t machines = 0;  // machines that accept new tasks
};

// The policy for one leadership. A tier is identified by its `place`, its index
// in the order of ranks; 0 is the best tier.
class TierPolicy {
 public:
  // `on`: whether the operators have enabled tiers.
  TierPolicy(const Settings& settings, bool on);

  // Sets the tiers in force. With null, or a set of only one tier, the policy
  // is inactive and restricts nothing. Returns whether the tiers have changed,
  // so that jobs have to be classified again.
  bool SetTiers(std::shared_ptr<const TierSet> set);
  bool active() const { return on_ && set_->size() > 1; }
  const TierSet& set() const { return *set_; }
  uint8_t Classify(const JobSpec& spec) const {
    return active() ? set_->Classify(spec) : 0;
  }

  // Track the capacity that the tasks of each tier use, which `held` returns.
  void AddUsage(uint8_t place, const Resources& need);
  void SubtractUsage(uint8_t place, const Resources& need);
  // Resets the usage of all tiers. The caller then adds all tasks again.
  void ClearUsage();
  const Resources& held(uint8_t place) const { return held_[place]; }

  // Updates the largest possible loss of a tier that reserves headroom, from
  // what the tier uses in each zone. Called periodically.
  void UpdateLargestLoss(uint8_t place,
                         const std::map<std::string, TierUse>& use_by_zone);
  bool ReservesHeadroom(uint8_t place) const {
    return active() && set_->at(place).headroom_share > 0;
  }

  // Begins a scheduling pass.
  void BeginPass(const TierObservation& observation, Time now);
  // The value of QueuePosition::tier for the job; the smallest is served first.
  // A job that has a turn comes directly after the best tier.
  int RankOf(const Job& job, uint8_t place) const;
  // Whether the job may start tasks in this pass at all. False for a tier that
  // waits during a recovery, unless the job has a turn.
  bool MayStart(const Job& job, uint8_t place) const;
  // Whether the tier stays within its share with one more task that needs
  // `need`. The share limits a tier only while jobs of other tiers wait. Jobs
  // that are refused can be tried again after OnOtherTiersServed.
  bool WithinShare(const Job& job, uint8_t place, const Resources& need) const;
  // Called when the jobs of all tiers have been served in this pass.
  void OnOtherTiersServed() { others_served_ = true; }
  // Whether a task that needs `need` may start in the zone: the headroom of
  // better tiers stays free, and an image fetch may begin if `fetches`.
  bool MayUse(const Job& job, uint8_t place, const std::string& zone,
              const Resources& need, bool fetches) const;
  // Subtract capacity from, or return it to, the free capacity of the zone in
  // this pass.
  void TakeCapacity(const std::string& zone, const Resources& need);
  void ReturnCapacity(const std::string& zone, const Resources& need);
  // Records that a task was started. Its capacity has already been subtracted
  // by TakeCapacity. `fetches`: the start begins an image fetch.
  void OnTaskStarted(const Job& job, uint8_t place, const std::string& zone,
                     const Resources& need, bool fetches, Time now);
  // Ends the job's turn, if it has one: all its starts have been made.
  void EndTurn(const Job& job, uint8_t place, Time now);
  // Whether the job has a turn: it has waited long, so in this pass it is
  // exempt from the limits on its tier.
  bool HasTurn(const Job& job, uint8_t place) const {
    return active() && turns_[place].job == &job;
  }
  // Drops all references to the job, which is about to be destroyed.
  void OnJobRemoved(const Job& job);

  // The headroom of all tiers better than `place`, in the zone.
  Resources HeadroomOfBetterTiers(uint8_t place, const std::string& zone) const;
  const MassFailureRecovery& recovery() const { return recovery_; }

 private:
  static constexpr Time kNever = -1e18;  // before any real time
  struct Turn {
    const Job* job =
        nullptr;  // the job that has the turn in this pass, or null
    Time not_before = kNever;  // when the tier may get its next turn
  };
  void ReserveHeadroom(const TierObservation& observation, Time now);
  // Assigns a turn to at most one job of each lower tier per worker lease: the
  // job that has waited longest. That is enough to prevent starvation, and too
  // little to take the capacity from better tiers.
  void AssignTurns(const TierObservation& observation, Time now);

  const double lease_seconds_;
  const bool on_;
  const RecoveryLimits limits_;
  std::shared_ptr<const TierSet> set_;
  // The vectors below are indexed by place.
  std::vector<Resources> held_;
  std::vector<Headroom> headroom_;
  std::vector<std::map<std::string, Resources>> largest_losses_;  // by zone
  std::vector<Turn> turns_;
  MassFailureRecovery recovery_;
  // State of the current pass.
  std::map<std::string, Resources> free_;  // by zone
  Resources total_;                        // of all zones
  std::vector<std::map<std::string, Resources>> headroom_by_zone_;
  std::vector<uint32_t> waiting_;  // number of waiting jobs of each tier
  bool others_served_ = false;
};

}  // namespace oxbow
