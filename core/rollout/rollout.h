// A rollout: one service takes the place of another, held to a floor of
// healthy instances. Decides how many replicas of each may be there and which
// must go; knows nothing of machines, time sources or sockets.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/rollout/latency.h"

namespace oxbow {

enum class RolloutStep : uint8_t {
  kDeclared,     // the new job has not been submitted yet
  kAdvancing,    // new replicas come, old ones go as the floor allows
  kBaking,       // all new ones pass, some not for long enough
  kWatching,     // no old one is left; the way back is still open
  kPaused,       // by its user, or since a verdict would be a guess
  kRollingBack,  // the old ones come back, the new ones go
  kDone,
  kRolledBack,
  kFailed,  // its user took one of the jobs away
};
inline constexpr size_t kRolloutSteps = 9;

// What its user has asked for since the step was recorded.
enum class RolloutRequest : uint8_t { kNone, kPause, kResume, kAbort };

struct HealthCheck {
  uint16_t port = 0;
  bool port_per_task = false;  // the port of task n is `port` + n
  std::string path = "/";      // {job} and {task} are put in
  double interval_seconds = 1;
  double timeout_seconds = 1;
  uint32_t good_in_row = 2;
  uint32_t bad_in_row = 2;
  std::string verdict = "status == 200";  // an expression, see script/verdict.h
  // The new ones' 90th percentile may be this many times that of the old ones.
  // 0: latency is measured and decides nothing.
  double slow_ratio = 0;
};

struct RolloutSpec {
  std::string id;
  std::string from;  // job ids
  std::string to;
  uint32_t floor = 0;         // healthy instances, of both jobs together
  uint32_t surge = 1;         // replicas above those of `from`
  double start_seconds = 60;  // from running to the first good checks
  double bake_seconds =
      120;  // how long one must pass before it counts for the floor
  double watch_seconds = 300;
  HealthCheck check;
};

// A rollout as the key-value store holds it, written at changes of step only.
struct RolloutRecord {
  std::shared_ptr<const RolloutSpec> spec;
  RolloutStep step = RolloutStep::kDeclared;
  RolloutStep paused_in = RolloutStep::kDeclared;
  RolloutRequest request = RolloutRequest::kNone;
  std::string reason;
  double declared_wall = 0;
  uint64_t mod_revision = 0;
};

inline bool Ended(RolloutStep step) { return step >= RolloutStep::kDone; }

// A replica as the leader sees it at this moment.
struct InstanceView {
  TaskAttemptKey key;
  bool is_new = false;
  bool running = false;
  bool stopping = false;
  bool heard = false;    // its machine has reported lately
  Time last_heard = 0;   // when it did
  bool leaving = false;  // its machine is being drained
  std::string zone;
};

struct RolloutView {
  bool from_live = false;
  bool to_known = false;
  bool to_live = false;
  uint32_t from_tasks = 0;
  uint32_t to_tasks = 0;
  std::vector<InstanceView> instances;
};

struct RolloutPlan {
  std::vector<TaskAttemptKey> stop;
  // The step to record; nothing changes before it is.
  std::optional<RolloutStep> next;
  std::string reason;
};

struct CheckOutcome {
  bool answered = false;  // an HTTP response came in time
  bool good = false;
  double latency_seconds = 0;
};

struct RolloutCounts {
  uint32_t old_there = 0;
  uint32_t new_there = 0;
  uint32_t old_running = 0;
  uint32_t old_healthy = 0;
  uint32_t new_healthy = 0;
  uint32_t new_baked = 0;
};

class Rollout {
 public:
  // Starts without any belief in health: a new leader stops nothing and
  // advances nothing before it has seen the instances answer.
  Rollout(const RolloutRecord& record, Time now);

  const RolloutSpec& spec() const { return *record_.spec; }
  const RolloutRecord& record() const { return record_; }
  RolloutStep step() const { return record_.step; }

  // Takes in a record read from the key-value store: a step that has been
  // recorded, or a wish of its user.
  void OnRecord(const RolloutRecord& record, Time now);
  void OnCheck(const TaskAttemptKey& key, const CheckOutcome& outcome,
               Time now);
  // Checks of one instance are at least so far apart, s: what the leader's
  // processor allows when many are to be checked.
  void SetPace(double pace_seconds) { pace_seconds_ = pace_seconds; }
  // Instances that are due for a check, at most so many; they count as being
  // checked from here on.
  std::vector<TaskAttemptKey> TakeDue(size_t most, Time now);
  RolloutPlan Review(const RolloutView& view, Time now);

  // How many replicas may be there, those on their way out included.
  uint32_t MostOfNew() const { return most_new_; }
  uint32_t MostOfOld() const { return most_old_; }
  // The floor's one place: whether the instance may be stopped for whatever
  // reason short of its user's own cancellation.
  bool MayStop(const TaskAttemptKey& key, Time now) const;
  void NoteStopping(const TaskAttemptKey& key);
  RolloutCounts Count(Time now) const;
  size_t instances() const { return instances_.size(); }
  const LatencyHistogram& old_latency() const { return old_latency_; }
  const LatencyHistogram& new_latency() const { return new_latency_; }

 private:
  enum class Health : uint8_t { kUnknown, kHealthy, kFailing };
  struct Instance {
    InstanceView view;
    Health health = Health::kUnknown;
    uint32_t good = 0;  // in a row
    uint32_t bad = 0;
    bool answered = false;  // at the latest check
    bool checking = false;
    Time heard_at_start = 0;  // of the check under way
    Time first_bad = 0;       // when the row of bad ones began
    // Its machine was heard within the row, before another bad check began.
    bool proven = false;
    uint32_t relapses = 0;  // from good to a bad answer, since it has baked
    Time seen_running = -1;
    Time healthy_since = 0;
    Time last_good = -1e9;
    Time next_check = 0;
  };

  double Interval() const;
  void ChangeHealth(Instance& instance, Health next, Time now);
  void Take(const RolloutView& view, Time now);
  // Passes now: its latest check was good and is not old.
  bool Healthy(const Instance& instance, Time now) const;
  bool Baked(const Instance& instance, Time now) const;
  // Whether the floor may rest on it.
  bool Counts(const Instance& instance, Time now) const;
  uint32_t Counted(Time now) const;
  // Every instance that runs has been looked at by this leader.
  bool AllSeen() const;
  // Why the new ones fail, if they do; `pause` when it can't be blamed on them.
  struct HealthExpression {
    bool fails = false;
    bool pause = false;
    std::string why;
  };
  HealthExpression Judge(Time now) const;
  RolloutPlan Next(const RolloutView& view, Time now) const;
  void Limit(const RolloutView& view, Time now);
  std::vector<TaskAttemptKey> Victims(Time now) const;

  RolloutRecord record_;
  std::map<TaskAttemptKey, Instance> instances_;
  uint32_t most_new_ = 0;
  uint32_t most_old_ = UINT32_MAX;
  bool limited_ = false;  // the limits have been set once
  Time step_since_;
  double pace_seconds_ = 0;
  LatencyHistogram old_latency_;
  LatencyHistogram new_latency_;
};

}  // namespace oxbow
