// What tiers mean for one pass of placement: order, kept room, shares, turns of
// those that have waited long, and who may start after a mass failure. Stops
// nothing: who may be stopped for whom is not asked here.
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

// A tier's room in one zone.
struct TierHolding {
  Resources in_zone;
  Resources on_one_machine;  // the most there is
};

// The leader's picture at the beginning of a pass.
struct TierView {
  std::map<std::string, Resources> total;  // by zone, of machines in use
  std::map<std::string, Resources> free;
  // What waits in this pass.
  struct Waiting {
    const Job* job = nullptr;
    uint8_t place = 0;
    double waited_seconds = 0;
    bool begun = false;  // some task of it has a place or is done
  };
  std::vector<Waiting> waiting;
  double best_wanted = 0;  // see RecoveryView
  double best_placed = 0;
  double best_running = 0;
  size_t machines = 0;
};

class TierPolicy {
 public:
  TierPolicy(const Settings& settings, bool on);

  // Null or a set of one tier only: nothing is changed. Returns whether jobs
  // have to be classified anew.
  bool Use(std::shared_ptr<const TierSet> set);
  bool active() const { return on_ && set_->size() > 1; }
  const TierSet& set() const { return *set_; }
  uint8_t Classify(const JobSpec& spec) const {
    return active() ? set_->Classify(spec) : 0;
  }

  // What each tier holds, changed by these alone.
  void Hold(uint8_t place, const Resources& need);
  void Release(uint8_t place, const Resources& need);
  void ForgetHeld();  // before all is entered anew
  const Resources& held(uint8_t place) const { return held_[place]; }

  // Where the tier that keeps room holds what; now and then. By zone.
  void Survey(uint8_t place, const std::map<std::string, TierHolding>& where);
  bool Keeps(uint8_t place) const {
    return active() && set_->at(place).kept_share > 0;
  }

  void Begin(const TierView& view, Time now);
  // The job's place in the queue among jobs that can't stop one another; least
  // first. One that has waited too long comes next after the best tier.
  int RankOf(const Job& job, uint8_t place) const;
  // Whether the job may start tasks in this pass at all.
  bool MayStart(const Job& job, uint8_t place) const;
  // Whether one more task keeps the tier within its share while others wait.
  // What is refused may ask again once all others have been served.
  bool WithinShare(const Job& job, uint8_t place, const Resources& need) const;
  void OthersServed() { others_served_ = true; }
  // Whether the room kept for better tiers stays whole, and a fetch may begin.
  bool MayUse(const Job& job, uint8_t place, const std::string& zone,
              const Resources& need, bool fetches) const;
  // Room spoken for within the pass, and given back.
  void Take(const std::string& zone, const Resources& need);
  void Give(const std::string& zone, const Resources& need);
  // A task was started; its room has been taken before.
  void Started(const Job& job, uint8_t place, const std::string& zone,
               const Resources& need, bool fetches, Time now);
  // All starts of the job's turn are made.
  void TurnUsed(const Job& job, uint8_t place, Time now);
  bool HasTurn(const Job& job, uint8_t place) const {
    return active() && turns_[place].job == &job;
  }
  void Forget(const Job& job);

  // Kept free for tiers better than that one, in the zone.
  Resources KeptAgainst(uint8_t place, const std::string& zone) const;
  const Recovery& recovery() const { return recovery_; }

 private:
  struct Turn {
    const Job* job = nullptr;  // in this pass
    Time not_before = -1e18;
  };
  void GiveTurns(const TierView& view, Time now);

  const double lease_seconds_;
  const bool on_;
  const RecoveryLimits limits_;
  std::shared_ptr<const TierSet> set_;
  std::vector<Resources> held_;
  std::vector<Headroom> headroom_;
  std::vector<std::map<std::string, Resources>> losses_;  // by zone
  std::vector<Turn> turns_;
  Recovery recovery_;
  // In this pass.
  std::map<std::string, Resources> free_;
  Resources total_;
  std::vector<std::map<std::string, Resources>> kept_;  // by zone
  std::vector<uint32_t> waiting_;                       // jobs
  bool others_served_ = false;
};

}  // namespace oxbow
