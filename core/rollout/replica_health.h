// Health of one replica in a rollout, by the checks that this leader has made.
// A new leader starts without any: it assumes nothing about health.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/rollout/rollout_record.h"

namespace oxbow {

// A replica at the moment of a review.
struct ReplicaObservation {
  TaskAttemptKey key;
  bool is_new = false;
  bool running = false;
  bool stopping = false;
  bool reachable = false;       // its machine has sent a heartbeat lately
  Time last_heartbeat = 0;      // of its machine
  bool machine_leaves = false;  // its machine is being drained
  std::string zone;
};

// The result of one health check.
struct CheckOutcome {
  bool answered = false;  // an HTTP response came in time
  bool good = false;
  double latency_seconds = 0;
};

// What checks are judged by.
struct CheckPolicy {
  const RolloutSpec& spec;
  double interval_seconds;  // between two checks of one replica
};

// State of one replica: unknown, healthy or failing, by rows of equal results.
class ReplicaHealth {
 public:
  void Observe(const ReplicaObservation& observed, Time now);
  bool IsDue(Time now) const {
    return observed_.running && !checking_ && now >= next_check_;
  }
  void BeginCheck();
  void OnCheck(const CheckOutcome& outcome, const CheckPolicy& policy,
               Time now);
  void NoteStopping() { observed_.stopping = true; }

  const ReplicaObservation& observed() const { return observed_; }
  bool failing() const { return health_ == Health::kFailing; }
  // Whether the latest check was answered.
  bool answered() const { return answered_; }
  bool checked() const { return good_in_row_ > 0 || bad_in_row_ > 0; }
  uint32_t bad_in_row() const { return bad_in_row_; }
  // Changes from a good check to a bad answer since it was last baked.
  uint32_t relapses() const { return relapses_; }
  // Its latest check was good and is recent.
  bool Healthy(const CheckPolicy& policy, Time now) const;
  // Healthy without a gap for the time that the declaration asks for.
  bool Baked(const CheckPolicy& policy, Time now) const;
  // A new replica counts for the floor only once it has baked: a check may pass
  // now and fail two minutes later.
  bool CountsForFloor(const CheckPolicy& policy, Time now) const;

 private:
  enum class Health : uint8_t { kUnknown, kHealthy, kFailing };
  static constexpr Time kNotSeenRunning = -1;

  void ChangeHealth(Health next, Time now);
  void OnGoodCheck(const CheckPolicy& policy, Time now);
  void OnBadCheck(bool answered, const CheckPolicy& policy, Time now);

  ReplicaObservation observed_;
  Health health_ = Health::kUnknown;
  uint32_t good_in_row_ = 0;
  uint32_t bad_in_row_ = 0;
  bool answered_ = false;
  bool checking_ = false;
  Time heartbeat_at_check_ = 0;  // the last one before the check under way
  Time first_bad_ = 0;           // of the row of bad checks
  // The row of bad checks is the replica's own fault, not the network's.
  bool failure_confirmed_ = false;
  uint32_t relapses_ = 0;
  Time running_since_ = kNotSeenRunning;
  Time healthy_since_ = 0;
  std::optional<Time> last_good_;
  Time next_check_ = 0;
};

using ReplicaHealthMap = std::map<TaskAttemptKey, ReplicaHealth>;

}  // namespace oxbow
