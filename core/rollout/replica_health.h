// Health of one replica in a rollout, judged by the checks that this leader has
// made. A new leader starts without results and assumes nothing about health.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/rollout/rollout_record.h"

namespace oxbow {

// The state of a replica at the time of a review.
struct ReplicaObservation {
  TaskAttemptKey key;
  bool is_new = false;
  bool running = false;
  bool stopping = false;
  bool reachable = false;         // its machine has sent a heartbeat recently
  Time last_heartbeat = 0;        // when its machine last sent one
  bool machine_draining = false;  // its machine is not up, or is being drained
  std::string zone;
};

// The result of one health check.
struct CheckOutcome {
  bool answered = false;  // an HTTP response arrived before the timeout
  bool good = false;      // the response satisfied the health expression
  double latency_seconds = 0;
};

// The parameters by which check results are judged.
struct CheckPolicy {
  const RolloutSpec& spec;
  double interval_seconds;  // between two checks of one replica
};

// The health of one replica. It is unknown at first and becomes healthy or
// failing after a declared number of consecutive good or bad checks.
class ReplicaHealth {
 public:
  // Takes over the state of the replica as of a review.
  void Observe(const ReplicaObservation& observed, Time now);
  // Whether a check should begin now.
  bool IsDue(Time now) const {
    return observed_.running && !checking_ && now >= next_check_;
  }
  void BeginCheck();
  void OnCheck(const CheckOutcome& outcome, const CheckPolicy& policy,
               Time now);
  void MarkStopping() { observed_.stopping = true; }

  const ReplicaObservation& observed() const { return observed_; }
  bool failing() const { return health_ == Health::kFailing; }
  // Whether the latest check was answered.
  bool answered() const { return answered_; }
  bool checked() const { return good_in_row_ > 0 || bad_in_row_ > 0; }
  // Number of consecutive bad checks up to now.
  uint32_t bad_in_row() const { return bad_in_row_; }
  // How often a good check was followed by a bad response since the replica was
  // last baked. Checks without a response do not count.
  uint32_t relapses() const { return relapses_; }
  // Whether the replica is running, enough consecutive checks were good, and
  // the latest good check is recent.
  bool Healthy(const CheckPolicy& policy, Time now) const;
  // Whether the replica has been healthy without interruption for the declared
  // bake time.
  bool Baked(const CheckPolicy& policy, Time now) const;
  // Whether the replica counts toward the floor. A new replica must be baked,
  // because a check may pass now and fail two minutes later; an old replica
  // only needs to be healthy.
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
  // Time of the machine's last heartbeat before the check in progress began.
  Time heartbeat_at_check_ = 0;
  Time first_bad_ = 0;  // first of the current consecutive bad checks
  // The current consecutive bad checks are the replica's fault and not the
  // network's.
  bool failure_confirmed_ = false;
  uint32_t relapses_ = 0;
  Time running_since_ = kNotSeenRunning;
  Time healthy_since_ = 0;
  std::optional<Time> last_good_;
  Time next_check_ = 0;
};

using ReplicaHealthMap = std::map<TaskAttemptKey, ReplicaHealth>;

}  // namespace oxbow
