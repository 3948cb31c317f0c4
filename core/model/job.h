// Jobs and their tasks, as stored and as their leader sees them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// An array runs independent tasks, a gang all of them at once, a service until
// it is cancelled.
enum class JobKind : uint8_t { kArray, kGang, kService };
// Highest first.
enum class Priority : uint8_t { kProduction, kHigh, kNormal, kLow };
inline constexpr size_t kPriorities = 4;
// How a job ended; kNone while it has not.
enum class TerminalState : uint8_t { kNone, kDone, kAborted };

inline constexpr uint32_t kMaxTasks = 100'000;

// Amounts of one machine, task or team: processor cores, accelerators, GB of
// memory.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& resources) {
    cpus += resources.cpus;
    gpus += resources.gpus;
    memory_gb += resources.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& resources) {
    cpus -= resources.cpus;
    gpus -= resources.gpus;
    memory_gb -= resources.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(const Resources& amount, double factor) {
    return {amount.cpus * factor, amount.gpus * factor,
            amount.memory_gb * factor};
  }
  // Whether this much fits into the given capacity, up to rounding.
  bool FitsIn(const Resources& capacity) const {
    constexpr double kEpsilon = 1e-6;
    return cpus <= capacity.cpus + kEpsilon &&
           gpus <= capacity.gpus + kEpsilon &&
           memory_gb <= capacity.memory_gb + kEpsilon;
  }
  // How many times this much fits, up to `most`.
  uint32_t TimesIn(const Resources& capacity, uint32_t most) const {
    constexpr double kEpsilon = 1e-6;
    double times = most;
    if (cpus > 0) times = std::min(times, capacity.cpus / cpus);
    if (gpus > 0) times = std::min(times, capacity.gpus / gpus);
    if (memory_gb > 0) times = std::min(times, capacity.memory_gb / memory_gb);
    return times <= 0 ? 0 : static_cast<uint32_t>(times + kEpsilon);
  }
};

// A job as its user has described it; never changed after it was accepted.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 1;
  Resources need;  // of each task
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // absent: any
  std::optional<std::string> zone;                // absent: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_seconds = 0;
  double checkpoint_seconds = 0;
  double save_seconds = 0;
  std::optional<double> deadline_seconds;
  std::vector<std::string> dependencies;  // jobs that have to be done before

  bool AllowsType(const std::string& type) const;
  bool AllowsZone(const std::string& candidate) const {
    return !zone || *zone == candidate;
  }
};

// A job as the key-value store holds it.
struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  double submitted_wall = 0;
  TerminalState terminal_state = TerminalState::kNone;
  uint64_t mod_revision = 0;
  // Of a job that had to wait for others: when they were all recorded as done.
  double released_wall = 0;
};

// A job with unfinished dependencies, as the key-value store holds it: under a
// key of its own, which versions without dependencies never read, so that none
// of them can start it.
struct WaitingRecord {
  std::shared_ptr<const JobSpec> spec;
  double submitted_wall = 0;
  uint64_t mod_revision = 0;
};

// The record of a job that has ended. `compact`: without the fields that may be
// long and that only starting tasks needs; so a job that was accepted when the
// key-value store took larger values can still be recorded as ended.
JobRecord TerminatedRecord(const JobRecord& record, TerminalState state,
                           bool compact);

// The state of a task's current attempt, as the leader knows it.
enum class TaskState : uint8_t {
  kPending,   // on no machine, to be placed
  kStarting,  // start sent or queued, not yet seen
  kFetching,
  kWaiting,
  kRunning,
  kSaving,
  kDone,
};

// The life of a job under one leader. The terminal states are entered only once
// they are recorded.
enum class JobState : uint8_t {
  kAccepted,
  kRecordingDone,   // all tasks done, the record is being written
  kRecordingAbort,  // cancel asked for, the record is being written
  kDone,
  kAborted,
};

// One task of a job: its current attempt and where that is.
struct TaskSlot {
  uint64_t attempt = 0;
  int32_t machine = -1;
  TaskState state = TaskState::kPending;
  bool queued = false;  // is in Job::pending_
};

// What one machine has of a job.
struct Presence {
  int charged_attempts = 0;  // attempts that are, or may be, there
  int listed = 0;  // these, and the exits that the worker still reports
};

// When a job should be complete: by the first of its class's service-level
// objectives, and by the last that counts.
struct DueTimes {
  Time first = 1e18;
  Time last = 1e18;
};

// What a job inherits from those that need it, directly or through others.
struct Inherited {
  Priority priority = Priority::kLow;
  // The job's own end, so that what comes after it is still in time.
  DueTimes due;
};

// A job as its leader sees it.
class Job {
 public:
  Job(const JobRecord& record, int team, Time submitted, Time queued_since);

  const JobSpec& spec() const { return *spec_; }
  const std::string& id() const { return spec_->id; }
  int team() const { return team_; }
  Time submitted() const { return submitted_; }
  // Since when it may be placed: its release if it had dependencies.
  Time queued_since() const { return queued_since_; }
  // Its own, or that of a more important job that needs it.
  Priority priority() const {
    return std::min(spec_->priority, inherited_.priority);
  }
  // By when it has to end for the sake of those that need it.
  const DueTimes& needed_by() const { return inherited_.due; }
  void set_inherited(const Inherited& inherited) { inherited_ = inherited; }
  JobState state() const { return state_; }
  const TaskSlot& task(uint32_t i) const { return tasks_[i]; }
  uint32_t size() const { return static_cast<uint32_t>(tasks_.size()); }
  uint32_t done() const { return done_; }
  uint32_t running() const { return running_; }
  // Tasks that are, or may be, on a machine.
  uint32_t placed() const { return placed_; }
  uint32_t unplaced() const { return size() - placed_ - done_; }
  bool finished() const { return done_ == size(); }
  // A service never ends by itself, so a replica that says done is restarted.
  bool live() const { return state_ == JobState::kAccepted; }
  // Done or cancelled, and recorded as such.
  bool terminal_state_recorded() const {
    return state_ == JobState::kDone || state_ == JobState::kAborted;
  }

  // The one function for a job's change of state.
  void Change(JobState next);
  // The one function for a task's change of state.
  void ChangeTask(uint32_t task, TaskState next);
  void Place(uint32_t task, int32_t machine, uint64_t attempt);

  // Where the job's attempts are, by the index of the machine; kept equal
  // to the machines' task attempts, so that nobody has to search them all.
  const std::map<int32_t, Presence>& presence() const { return presence_; }
  int charged_attempts() const { return charged_attempts_; }
  // The one function for a change of it.
  void ChangePresence(int32_t machine, int charged_attempts, int listed);

  // The next task to place, without taking it; -1 when there is none.
  int64_t PeekPending();
  void PopPending();

  Time not_before = 0;              // backs off a job that fails everywhere
  uint32_t consecutive_errors = 0;  // in a row, without a task that ran well
  bool within_guarantee = false;
  uint8_t tier = 0;      // its index in the set of priority tiers in force
  Time ended_at = -1e9;  // since when its end is recorded, if known
  // Accepted before this leader: its tasks may be on machines that have not
  // reported yet.
  bool accepted_before_leadership = true;

 private:
  std::shared_ptr<const JobSpec> spec_;
  int team_;
  Time submitted_;
  Time queued_since_;
  Inherited inherited_;
  JobState state_ = JobState::kAccepted;
  std::vector<TaskSlot> tasks_;
  std::vector<uint32_t> pending_;
  uint32_t done_ = 0;
  uint32_t running_ = 0;
  uint32_t placed_ = 0;
  std::map<int32_t, Presence> presence_;
  int charged_attempts_ = 0;
};

}  // namespace oxbow
