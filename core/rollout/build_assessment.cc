#include "core/rollout/build_assessment.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

// Latencies are compared only once each build has this many samples.
constexpr uint64_t kMinLatencySamples = 100;
constexpr double kLatencyQuantile = 0.9;
// A replica with this many relapses is considered unable to stay healthy.
constexpr uint32_t kMaxRelapses = 3;

std::string TaskText(const TaskAttemptKey& key) {
  return "task " + std::to_string(key.task) + " of " + key.job_id;
}

// Whether the checks of the replica tell anything about the new build. A
// replica on an unreachable machine does not: its failures may be the
// network's.
bool ReflectsNewBuild(const ReplicaHealth& replica) {
  const ReplicaObservation& observed = replica.observed();
  return observed.is_new && !observed.stopping && observed.reachable;
}

bool AnyHealthy(const ReplicaHealthMap& replicas, const CheckPolicy& policy,
                Time now) {
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto& entry) {
    return entry.second.Healthy(policy, now);
  });
}

// Returns a running old replica in the zone whose checks fail as well; null if
// there is none. One failure fewer than for "failing" is enough.
const TaskAttemptKey* OldReplicaFailingIn(const std::string& zone,
                                          const ReplicaHealthMap& replicas,
                                          const CheckPolicy& policy) {
  const uint32_t min_bad_in_row =
      std::max(1U, policy.spec.check.bad_in_row - 1);
  for (const auto& [key, replica] : replicas) {
    const ReplicaObservation& observed = replica.observed();
    if (!observed.is_new && observed.running && !observed.stopping &&
        observed.zone == zone && replica.bad_in_row() >= min_bad_in_row) {
      return &key;
    }
  }
  return nullptr;
}

BuildAssessment AssessFailure(const TaskAttemptKey& key,
                              const ReplicaHealth& failing,
                              const ReplicaHealthMap& replicas,
                              const CheckPolicy& policy, Time now) {
  std::string reason = TaskText(key);
  reason +=
      failing.answered() ? " fails its check" : " does not answer its check";
  // If an old replica in the same zone fails the same check, the network or the
  // check itself may be at fault.
  const std::string& zone = failing.observed().zone;
  if (const TaskAttemptKey* old_key =
          OldReplicaFailingIn(zone, replicas, policy)) {
    reason += ", and so does the old task " + std::to_string(old_key->task) +
              " in " + zone;
    return {BuildVerdict::kUnclear, std::move(reason)};
  }
  if (!failing.answered() && !AnyHealthy(replicas, policy, now)) {
    reason += ", and no other replica passes its check";
    return {BuildVerdict::kUnclear, std::move(reason)};
  }
  return {BuildVerdict::kBad, std::move(reason)};
}

bool NewBuildTooSlow(const CheckLatencies& latencies, double slow_ratio) {
  return slow_ratio > 0 && latencies.old_build.count() >= kMinLatencySamples &&
         latencies.new_build.count() >= kMinLatencySamples &&
         latencies.new_build.Quantile(kLatencyQuantile) >
             slow_ratio * latencies.old_build.Quantile(kLatencyQuantile);
}

}  // namespace

BuildAssessment AssessBuild(const ReplicaHealthMap& replicas,
                            const CheckLatencies& latencies,
                            const CheckPolicy& policy, Time now) {
  for (const auto& [key, replica] : replicas) {
    if (ReflectsNewBuild(replica) && replica.failing()) {
      return AssessFailure(key, replica, replicas, policy, now);
    }
  }
  // A replica that alternately passes and fails its checks would delay the
  // rollout forever.
  for (const auto& [key, replica] : replicas) {
    if (ReflectsNewBuild(replica) && replica.observed().running &&
        replica.relapses() >= kMaxRelapses) {
      return {BuildVerdict::kBad, TaskText(key) + " does not stay healthy"};
    }
  }
  if (NewBuildTooSlow(latencies, policy.spec.check.slow_ratio)) {
    return {BuildVerdict::kBad, "the new replicas answer too slowly"};
  }
  return {};
}

}  // namespace oxbow
