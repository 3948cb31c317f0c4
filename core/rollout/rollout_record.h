// What is recorded of a rollout: its declaration, its step, and what its user
// has asked for. Plain values; the decisions are class Rollout's.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace oxbow {

// Where a rollout is; changed by class Rollout's owner alone, and recorded
// first.
enum class RolloutStep : uint8_t {
  kDeclared,     // the new job has not been submitted yet
  kAdvancing,    // new replicas start, old ones stop as the floor allows
  kBaking,       // all new ones are healthy, some not for long enough
  kWatching,     // no old one is left; a rollback is still possible
  kPaused,       // by its user, or since the cause of failures is not clear
  kRollingBack,  // old replicas start again, new ones stop
  kDone,
  kRolledBack,
  kFailed,  // its user has ended the old job
};
inline constexpr size_t kRolloutSteps = 9;

// Whether nothing follows the step.
inline bool Ended(RolloutStep step) { return step >= RolloutStep::kDone; }

// What its user has asked for since the step was recorded.
enum class RolloutRequest : uint8_t { kNone, kPause, kResume, kAbort };

// How replicas are checked over HTTP.
struct HealthCheck {
  uint16_t port = 0;
  bool port_per_task = false;  // the port of task n is `port` + n
  std::string path = "/";      // {job} and {task} are substituted
  double interval_seconds = 1;
  double timeout_seconds = 1;
  uint32_t good_in_row = 2;  // to become healthy
  uint32_t bad_in_row = 2;   // to become failing
  // True for a good response; see health_expression/health_expression.h.
  std::string expression = "status == 200";
  // The 90th percentile of the new replicas may be this many times that of the
  // old ones. 0: latency is measured and decides nothing.
  double slow_ratio = 0;
};

// The declaration of a rollout.
struct RolloutSpec {
  std::string id;
  std::string from;           // id of the old job
  std::string to;             // id of the new job
  uint32_t floor = 0;         // healthy replicas, of both jobs together
  uint32_t surge = 1;         // replicas above those of `from`
  double start_seconds = 60;  // from running to the first good checks
  // How long a new replica must be healthy before the floor counts it.
  double bake_seconds = 120;
  double watch_seconds = 300;
  HealthCheck check;
};

// A rollout as the key-value store holds it; written when its step changes and
// when its user asks for something.
struct RolloutRecord {
  std::shared_ptr<const RolloutSpec> spec;  // never null
  RolloutStep step = RolloutStep::kDeclared;
  RolloutStep paused_in = RolloutStep::kDeclared;  // the step to resume
  RolloutRequest request = RolloutRequest::kNone;
  std::string reason;        // of the step, for people
  double declared_wall = 0;  // s since 1970
  uint64_t mod_revision = 0;
};

}  // namespace oxbow
