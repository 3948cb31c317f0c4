// The stored state of a rollout: its declaration, its current step and the
// latest request of its user. Plain data; class Rollout makes the decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace oxbow {

// The step that a rollout is in. Class Rollout decides on the next step; it
// takes effect only after it has been recorded in the key-value store.
enum class RolloutStep : uint8_t {
  kDeclared,     // waits for the new job to be submitted
  kAdvancing,    // new replicas start; old ones stop as far as the floor allows
  kBaking,       // all new replicas are healthy, but some not for long enough
  kWatching,     // no old replica is left; a rollback is still possible
  kPaused,       // by its user, or because the cause of failures is unclear
  kRollingBack,  // old replicas start again, new replicas stop
  kDone,
  kRolledBack,
  kFailed,  // the old job has ended, or another rollout contains one of the
            // jobs
};
// Number of enumerators of RolloutStep.
inline constexpr size_t kRolloutSteps = 9;

// Whether the step is final.
inline bool Ended(RolloutStep step) { return step >= RolloutStep::kDone; }

// A request of the user that no recorded step has fulfilled yet.
enum class RolloutRequest : uint8_t { kNone, kPause, kResume, kAbort };

// How replicas are checked over HTTP.
struct HealthCheck {
  uint16_t port = 0;
  bool port_per_task = false;  // the port of task n is `port` + n
  std::string path = "/";      // {job} and {task} are replaced by their values
  double interval_seconds = 1;
  double timeout_seconds = 1;
  uint32_t good_in_row = 2;  // consecutive passes to become healthy
  uint32_t bad_in_row = 2;   // consecutive failures to become failing
  // Evaluates to true for a good response; see
  // health_expression/health_expression.h.
  std::string expression = "status == 200";
  // The 90th percentile of the new replicas' latencies may be at most this many
  // times that of the old replicas. 0: latency is measured but does not affect
  // the rollout.
  double slow_ratio = 0;
};

// The declaration of a rollout as its user wrote it.
struct RolloutSpec {
  std::string id;
  std::string from;  // id of the old job
  std::string to;    // id of the new job
  // Minimum number of healthy replicas of both jobs together.
  uint32_t floor = 0;
  // Number of replicas that may exist beyond the task count of `from`.
  uint32_t surge = 1;
  // Time that a running replica has to pass its first checks.
  double start_seconds = 60;
  // How long a new replica must be healthy before it counts toward the floor.
  double bake_seconds = 120;
  // How long the new replicas are watched after the last old one has stopped.
  double watch_seconds = 300;
  HealthCheck check;
};

// A rollout as stored in the key-value store. Written when its step changes and
// when its user makes a request.
struct RolloutRecord {
  std::shared_ptr<const RolloutSpec> spec;  // never null
  RolloutStep step = RolloutStep::kDeclared;
  // The step to return to when a paused rollout is resumed.
  RolloutStep paused_in = RolloutStep::kDeclared;
  RolloutRequest request = RolloutRequest::kNone;
  std::string reason;        // why the step was taken, for people
  double declared_wall = 0;  // s since 1970
  uint64_t mod_revision = 0;
};

}  // namespace oxbow
