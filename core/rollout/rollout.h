// The policy of a rollout: one service replaces another while a minimum number
// of healthy replicas, the floor, is kept. Decides how many replicas of each
// service may exist, which replicas must stop and which step comes next. It
// performs no I/O and reads no clock.
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

// The state of both jobs at the time of a review.
struct RolloutObservation {
  bool from_live = false;
  bool to_known = false;  // the new job has been submitted; it may have ended
  bool to_live = false;
  uint32_t from_tasks = 0;
  uint32_t to_tasks = 0;
  std::vector<ReplicaObservation> replicas;
};

// The decisions of a review.
struct RolloutPlan {
  std::vector<TaskAttemptKey> stop;  // the replicas to stop now
  // The next step, if any. It takes effect only after it has been recorded.
  std::optional<RolloutStep> next;
  std::string reason;  // of the next step
};

// Numbers of replicas of both jobs, by the results of their health checks.
struct RolloutCounts {
  uint32_t old_present = 0;
  uint32_t new_present = 0;
  uint32_t old_running = 0;
  uint32_t old_healthy = 0;
  uint32_t new_healthy = 0;
  uint32_t new_baked = 0;  // healthy for long enough to count toward the floor
};

// Maximum numbers of replicas of each job, including those that are stopping.
struct RolloutReplicaLimits {
  uint32_t max_new = 0;
  uint32_t max_old = 0;
};

// One rollout under one leader. Its owner calls Review regularly, carries out
// the health checks that are due, and records the steps that Review decides on.
class Rollout {
 public:
  // Starts without any health state: a new leader stops no replica and does not
  // advance the rollout before its own checks have passed.
  Rollout(const RolloutRecord& record, Time now);

  const RolloutSpec& spec() const { return *record_.spec; }
  const RolloutRecord& record() const { return record_; }
  RolloutStep step() const { return record_.step; }

  // Applies a newer record of this rollout, with a new step or a new request of
  // its user. Records that are not newer are ignored.
  void OnRecord(const RolloutRecord& record, Time now);
  // A health check of the replica has ended. Ignored for unknown replicas.
  void OnCheck(const TaskAttemptKey& key, const CheckOutcome& outcome,
               Time now);
  // Sets the minimum time between two checks of one replica. The leader's CPU
  // budget for checks may not allow the declared interval if there are many
  // replicas.
  void SetMinCheckInterval(double min_check_interval_seconds) {
    min_check_interval_seconds_ = min_check_interval_seconds;
  }
  // Returns up to `most` replicas that are due for a check. Each counts as
  // being checked until OnCheck is called for it.
  std::vector<TaskAttemptKey> TakeDueChecks(size_t most, Time now);
  // Updates the replicas and the limits from the observation, and decides on
  // the next step or on the replicas to stop.
  RolloutPlan Review(const RolloutObservation& observation, Time now);

  // Maximum numbers of replicas, including those that are stopping. Before the
  // first review no new replica may start, and old ones are not limited.
  uint32_t MaxNewReplicas() const { return limits_ ? limits_->max_new : 0; }
  uint32_t MaxOldReplicas() const {
    return limits_ ? limits_->max_old : UINT32_MAX;
  }
  // Whether the floor allows the replica to be stopped. Must be asked before
  // every stop other than a cancellation by the user.
  bool MayStop(const TaskAttemptKey& key, Time now) const;
  // Marks a replica that is about to be stopped; it no longer counts toward the
  // floor.
  void MarkStopping(const TaskAttemptKey& key);
  RolloutCounts Count(Time now) const;
  // Number of replicas of both jobs at the last review.
  size_t replicas() const { return replicas_.size(); }

 private:
  struct StepChange {
    RolloutStep next;
    std::string reason;
  };

  CheckPolicy Policy() const;
  // Number of replicas that count toward the floor.
  uint32_t FloorCount(Time now) const;
  void UpdateReplicas(const RolloutObservation& observation, Time now);
  // Whether this leader has a check result of every running replica that is not
  // stopping.
  bool AllChecked() const;
  // These return the next step; nothing if the current step continues.
  std::optional<StepChange> NextStep(const RolloutObservation& observation,
                                     Time now) const;
  std::optional<StepChange> StepWhileRollingBack(
      const RolloutObservation& observation, Time now) const;
  std::optional<StepChange> StepOnRequest(
      const RolloutObservation& observation) const;
  StepChange FirstStep(const RolloutObservation& observation) const;
  std::optional<StepChange> StepByHealth(const RolloutObservation& observation,
                                         Time now) const;
  RolloutReplicaLimits LimitsNow(const RolloutObservation& observation,
                                 Time now) const;
  std::vector<TaskAttemptKey> ReplicasToStop(Time now) const;
  // The new or the old replicas that are not stopping, in the order in which
  // they should be stopped.
  std::vector<TaskAttemptKey> StopOrder(bool is_new, Time now) const;

  RolloutRecord record_;
  ReplicaHealthMap replicas_;
  std::optional<RolloutReplicaLimits> limits_;  // set by the first review
  Time step_since_;
  double min_check_interval_seconds_ = 0;
  CheckLatencies latencies_;  // of the checks that passed
};

}  // namespace oxbow
