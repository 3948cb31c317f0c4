// Judges the new build by the health checks: whether failures are caused by the
// build, or may be caused by the network or by the check itself. Pure functions
// of the observations.
#pragma once

#include <cstdint>
#include <string>

#include "core/rollout/latency.h"
#include "core/rollout/replica_health.h"

namespace oxbow {

// What the assessment means for the rollout.
enum class BuildVerdict : uint8_t {
  kAcceptable,
  kUnclear,  // the new build may not be the cause of failures: pause
  kBad,      // the new build is faulty or too slow: roll back
};

// A verdict and its reason.
struct BuildAssessment {
  BuildVerdict verdict = BuildVerdict::kAcceptable;
  std::string reason;  // for people; empty if acceptable
};

// Latencies of the good checks of each build.
struct CheckLatencies {
  LatencyHistogram old_build;
  LatencyHistogram new_build;
};

// Assesses the new build by the replicas of both jobs.
BuildAssessment AssessBuild(const ReplicaHealthMap& replicas,
                            const CheckLatencies& latencies,
                            const CheckPolicy& policy, Time now);

}  // namespace oxbow
