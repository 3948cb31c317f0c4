#include "core/rollout/build_assessment.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

// Latencies are compared once there are so many of each build.
constexpr uint64_t kMinLatencySamples = 100;
constexpr double kLatencyQuantile = 0.9;
// A replica with so many relapses is taken as one that never stays healthy.
constexpr uint32_t kMaxRelapses = 3;

std::string TaskText(const TaskAttemptKey& key) {
  return "task " + std::to_string(key.task) + " of " + key.job_id;
}

// A replica whose machine is not reachable is no fault of the build.
bool ShowsBuild(const ReplicaHealth& replica) {
  const ReplicaObservation& observed = replica.observed();
  return observed.is_new && !observed.stopping && observed.reachable;
}

bool AnyHealthy(const ReplicaHealthMap& replicas, const CheckPolicy& policy,
                Time now) {
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto& entry) {
    return entry.second.Healthy(policy, now);
  });
}

// An old replica in the zone that fails its checks too; null for none.
const TaskAttemptKey* OldReplicaFailingIn(const std::string& zone,
                                          const ReplicaHealthMap& replicas,
                                          const CheckPolicy& policy) {
  const uint32_t bad_enough = std::max(1U, policy.spec.check.bad_in_row - 1);
  for (const auto& [key, replica] : replicas) {
    const ReplicaObservation& observed = replica.observed();
    if (!observed.is_new && observed.running && !observed.stopping &&
        observed.zone == zone && replica.bad_in_row() >= bad_enough) {
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
  // An old replica beside it fails the same check: the network, or the check
  // itself, is at fault.
  const std::string& zone = failing.observed().zone;
  if (const TaskAttemptKey* old_key =
          OldReplicaFailingIn(zone, replicas, policy)) {
    reason += ", and so does the old task " + std::to_string(old_key->task) +
              " in " + zone;
    return {BuildVerdict::kUnclear, std::move(reason)};
  }
  if (!failing.answered() && !AnyHealthy(replicas, policy, now)) {
    reason += ", and nothing else passes it either";
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
    if (ShowsBuild(replica) && replica.failing()) {
      return AssessFailure(key, replica, replicas, policy, now);
    }
  }
  // One that passes and fails in turn would delay the rollout for ever.
  for (const auto& [key, replica] : replicas) {
    if (ShowsBuild(replica) && replica.observed().running &&
        replica.relapses() >= kMaxRelapses) {
      return {BuildVerdict::kBad, TaskText(key) + " does not stay healthy"};
    }
  }
  if (NewBuildTooSlow(latencies, policy.spec.check.slow_ratio)) {
    return {BuildVerdict::kBad, "the new instances answer too slowly"};
  }
  return {};
}

}  // namespace oxbow
