#include "core/rollout/replica_health.h"

namespace oxbow {

void ReplicaHealth::Observe(const ReplicaObservation& observed, Time now) {
  observed_ = observed;
  if (observed.running && running_since_ < 0) {
    running_since_ = now;
    next_check_ = now;
  }
}

void ReplicaHealth::BeginCheck() {
  checking_ = true;
  heartbeat_at_check_ = observed_.last_heartbeat;
}

void ReplicaHealth::ChangeHealth(Health next, Time now) {
  if (health_ == next) return;
  health_ = next;
  if (next == Health::kHealthy) healthy_since_ = now;
}

void ReplicaHealth::OnCheck(const CheckOutcome& outcome,
                            const CheckPolicy& policy, Time now) {
  checking_ = false;
  answered_ = outcome.answered;
  next_check_ = now + policy.interval_seconds;
  if (outcome.good) {
    OnGoodCheck(policy, now);
  } else {
    OnBadCheck(outcome.answered, policy, now);
  }
}

void ReplicaHealth::OnGoodCheck(const CheckPolicy& policy, Time now) {
  // A bad check restarts the bake time, so a flapping replica never counts
  // toward the floor.
  if (bad_in_row_ > 0) healthy_since_ = now;
  ++good_in_row_;
  bad_in_row_ = 0;
  failure_confirmed_ = false;
  last_good_ = now;
  if (Baked(policy, now)) relapses_ = 0;
  if (good_in_row_ >= policy.spec.check.good_in_row) {
    ChangeHealth(Health::kHealthy, now);
  }
}

void ReplicaHealth::OnBadCheck(bool answered, const CheckPolicy& policy,
                               Time now) {
  if (good_in_row_ > 0 && answered) ++relapses_;
  good_in_row_ = 0;
  if (bad_in_row_++ == 0) first_bad_ = now;
  // A check without a response is held against the build only if the machine
  // sent a heartbeat after the first of the consecutive bad checks and before
  // this check began. Behind a network partition no replica responds, and when
  // the partition heals, a heartbeat may arrive just before the next check.
  if (answered || heartbeat_at_check_ > first_bad_) failure_confirmed_ = true;
  // A replica that has not been healthy or failing yet is still starting until
  // its start time has passed.
  const bool starting = health_ == Health::kUnknown &&
                        now - running_since_ < policy.spec.start_seconds;
  if (bad_in_row_ >= policy.spec.check.bad_in_row && failure_confirmed_ &&
      !starting) {
    ChangeHealth(Health::kFailing, now);
  }
}

bool ReplicaHealth::Healthy(const CheckPolicy& policy, Time now) const {
  if (!observed_.running || observed_.stopping) return false;
  if (health_ != Health::kHealthy || bad_in_row_ > 0) return false;
  const double max_age_seconds =
      2 * (policy.interval_seconds + policy.spec.check.timeout_seconds);
  return last_good_ && now - *last_good_ <= max_age_seconds;
}

bool ReplicaHealth::Baked(const CheckPolicy& policy, Time now) const {
  return Healthy(policy, now) &&
         now - healthy_since_ >= policy.spec.bake_seconds;
}

bool ReplicaHealth::CountsForFloor(const CheckPolicy& policy, Time now) const {
  return observed_.is_new ? Baked(policy, now) : Healthy(policy, now);
}

}  // namespace oxbow
