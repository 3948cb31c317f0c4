// Whether the checks show a fault of the new build, or one that may as well be
// the network's or the check's own. Pure functions of what was observed.
#pragma once

#include <cstdint>
#include <string>

#include "core/rollout/latency.h"
#include "core/rollout/replica_health.h"

namespace oxbow {

// What follows for the rollout.
enum class BuildVerdict : uint8_t {
  kAcceptable,
  kUnclear,  // failures that may not be the new build's: pause
  kBad,      // roll back
};

// A verdict and its reason.
struct BuildAssessment {
  BuildVerdict verdict = BuildVerdict::kAcceptable;
  std::string reason;  // for people; empty if acceptable
};

// Latencies of the good checks of either build.
struct CheckLatencies {
  LatencyHistogram old_build;
  LatencyHistogram new_build;
};

// Assesses the new build by all replicas of both jobs.
BuildAssessment AssessBuild(const ReplicaHealthMap& replicas,
                            const CheckLatencies& latencies,
                            const CheckPolicy& policy, Time now);

}  // namespace oxbow
