// A rollout: one service replaces another while a floor of healthy replicas is
// kept. Decides how many replicas of each may exist, which must stop and which
// step follows; knows nothing of machines, clocks or sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/rollout/build_assessment.h"
#include "core/rollout/replica_health.h"
#include "core/rollout/rollout_record.h"

namespace oxbow {

// Both jobs at the moment of a review.
struct RolloutObservation {
  bool from_live = false;
  bool to_known = false;  // the new job has been submitted, and may have ended
  bool to_live = false;
  uint32_t from_tasks = 0;
  uint32_t to_tasks = 0;
  std::vector<ReplicaObservation> replicas;
};

// What a review decides.
struct RolloutPlan {
  std::vector<TaskAttemptKey> stop;
  // The step to record; nothing changes before it is.
  std::optional<RolloutStep> next;
  std::string reason;  // of the next step
};

// Replicas of both jobs by what the checks have shown.
struct RolloutCounts {
  uint32_t old_present = 0;
  uint32_t new_present = 0;
  uint32_t old_running = 0;
  uint32_t old_healthy = 0;
  uint32_t new_healthy = 0;
  uint32_t new_baked = 0;  // healthy for long enough to count for the floor
};

// How many replicas of each job may exist, including those that are stopping.
struct RolloutReplicaLimits {
  uint32_t max_new = 0;
  uint32_t max_old = 0;
};

// One rollout under one leader. Its owner reviews it regularly, makes the
// checks that are due, and has the steps that it decides recorded.
class Rollout {
 public:
  // Assumes nothing about health: a new leader stops nothing and advances
  // nothing before its own checks have passed.
  Rollout(const RolloutRecord& record, Time now);

  const RolloutSpec& spec() const { return *record_.spec; }
  const RolloutRecord& record() const { return record_; }
  RolloutStep step() const { return record_.step; }

  // Applies a record read from the key-value store: a step that has been
  // recorded, or a request of its user. Older records are ignored.
  void OnRecord(const RolloutRecord& record, Time now);
  // A check of the replica has ended.
  void OnCheck(const TaskAttemptKey& key, const CheckOutcome& outcome,
               Time now);
  // Checks of one replica are at least so far apart, s: what the leader's
  // processor allows when many replicas are to be checked.
  void SetPace(double pace_seconds) { pace_seconds_ = pace_seconds; }
  // Replicas that are due for a check, at most `most`. They count as being
  // checked until OnCheck.
  std::vector<TaskAttemptKey> TakeDueChecks(size_t most, Time now);
  // Updates the replicas and the limits; decides the next step and what stops.
  RolloutPlan Review(const RolloutObservation& observation, Time now);

  // How many replicas may exist, including those that are stopping.
  uint32_t MaxNewReplicas() const { return limits_ ? limits_->max_new : 0; }
  uint32_t MaxOldReplicas() const {
    return limits_ ? limits_->max_old : UINT32_MAX;
  }
  // Whether the floor allows the replica to be stopped. Every reason to stop
  // one, except its user's cancellation, is decided here.
  bool MayStop(const TaskAttemptKey& key, Time now) const;
  // A stop of the replica has been decided.
  void NoteStopping(const TaskAttemptKey& key);
  RolloutCounts Count(Time now) const;
  size_t replicas() const { return replicas_.size(); }

 private:
  struct StepChange {
    RolloutStep next;
    std::string reason;
  };

  CheckPolicy Policy() const;
  // Replicas that count for the floor.
  uint32_t FloorCount(Time now) const;
  void UpdateReplicas(const RolloutObservation& observation, Time now);
  // Whether this leader has a check result of every running replica.
  bool AllChecked() const;
  // Nothing: the step stays.
  std::optional<StepChange> NextStep(const RolloutObservation& observation,
                                     Time now) const;
  std::optional<StepChange> StepOfRollback(
      const RolloutObservation& observation, Time now) const;
  std::optional<StepChange> StepOnRequest(
      const RolloutObservation& observation) const;
  StepChange FirstStep(const RolloutObservation& observation) const;
  std::optional<StepChange> StepByHealth(const RolloutObservation& observation,
                                         Time now) const;
  RolloutReplicaLimits LimitsNow(const RolloutObservation& observation,
                                 Time now) const;
  std::vector<TaskAttemptKey> ReplicasToStop(Time now) const;
  // Of the old or the new ones, in the order in which they are stopped.
  std::vector<TaskAttemptKey> StopOrder(bool is_new, Time now) const;

  RolloutRecord record_;
  ReplicaHealthMap replicas_;
  std::optional<RolloutReplicaLimits> limits_;  // since the first review
  Time step_since_;
  double pace_seconds_ = 0;
  CheckLatencies latencies_;
};

}  // namespace oxbow
