// Jobs and their tasks: their stored records and the leader's view of them.
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

// The tasks of an array are independent of one another. Those of a gang run at
// the same time. A service runs its tasks (replicas) until it is cancelled: a
// replica that exits as done is restarted.
enum class JobKind : uint8_t { kArray, kGang, kService };
// The highest priority comes first.
enum class Priority : uint8_t { kProduction, kHigh, kNormal, kLow };
inline constexpr size_t kPriorities = 4;
// How a job ended; kNone as long as it has not ended.
enum class TerminalState : uint8_t { kNone, kDone, kAborted };

inline constexpr uint32_t kMaxTasks = 100'000;

// Amounts of resources, of a machine, task or team.
struct Resources {
  double cpus = 0;  // processor cores
  double gpus = 0;  // accelerators
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
  // Whether these amounts fit into the capacity, up to rounding errors.
  bool FitsIn(const Resources& capacity) const {
    constexpr double kEpsilon = 1e-6;
    return cpus <= capacity.cpus + kEpsilon &&
           gpus <= capacity.gpus + kEpsilon &&
           memory_gb <= capacity.memory_gb + kEpsilon;
  }
  // How many times these amounts fit into the capacity, but at most `most`.
  uint32_t TimesIn(const Resources& capacity, uint32_t most) const {
    constexpr double kEpsilon = 1e-6;
    double times = most;
    if (cpus > 0) times = std::min(times, capacity.cpus / cpus);
    if (gpus > 0) times = std::min(times, capacity.gpus / gpus);
    if (memory_gb > 0) times = std::min(times, capacity.memory_gb / memory_gb);
    return times <= 0 ? 0 : static_cast<uint32_t>(times + kEpsilon);
  }
};

// The user's description of a job; immutable once the job is accepted.
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
  bool one_zone = false;  // all tasks have to be in the same zone
  bool spread = false;    // the tasks are to be spread over the zones
  bool spot = false;      // may run on spot machines
  double estimate_seconds = 0;
  double checkpoint_seconds = 0;
  double save_seconds = 0;
  std::optional<double> deadline_seconds;
  std::vector<std::string> dependencies;  // IDs of jobs that must be done first

  bool AllowsType(const std::string& type) const;
  bool AllowsZone(const std::string& candidate) const {
    return !zone || *zone == candidate;
  }
};

// The stored record of a job.
struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  double submitted_wall = 0;  // s since 1970
  TerminalState terminal_state = TerminalState::kNone;
  uint64_t mod_revision = 0;
  // When all its dependencies were recorded as done, s since 1970; 0 if it has
  // none.
  double released_wall = 0;
};

// The stored record of a job with unfinished dependencies. It has a key prefix
// of its own, which program versions without support for dependencies never
// read, so that they can't start the job.
struct WaitingRecord {
  std::shared_ptr<const JobSpec> spec;
  double submitted_wall = 0;  // s since 1970
  uint64_t mod_revision = 0;
};

// The record of the job with the terminal state set. `compact`: without the
// long fields that are needed only to start tasks, so that the end of a job can
// be recorded even if the store accepted larger values when the job was
// submitted.
JobRecord TerminatedRecord(const JobRecord& record, TerminalState state,
                           bool compact);

// The state of a task's current attempt, as far as the leader knows.
enum class TaskState : uint8_t {
  kPending,   // on no machine; has to be placed
  kStarting,  // the start is queued or sent; not reported by the worker yet
  kFetching,  // the following four as in TaskPhase
  kWaiting,
  kRunning,
  kSaving,
  kDone,
};

// The state of a job under one leader. kDone and kAborted are entered only once
// they are recorded in the store.
enum class JobState : uint8_t {
  kAccepted,
  kRecordingDone,   // all tasks are done; the record is being written
  kRecordingAbort,  // cancellation requested; the record is being written
  kDone,
  kAborted,
};

// One task of a job: its current attempt and the machine of that attempt.
struct TaskSlot {
  uint64_t attempt = 0;
  int32_t machine = -1;  // its index; -1 if there is none
  TaskState state = TaskState::kPending;
  bool queued = false;  // whether the task is in Job::pending_
};

// The number of attempts of a job on one machine.
struct Presence {
  int charged_attempts = 0;  // attempts that are, or may be, on the machine
  int listed = 0;  // the same, plus those whose exit the worker still reports
};

// When a job should be complete according to the service-level objectives of
// its class: by the first of them, and by the last one that applies. Far in the
// future if there is none.
struct DueTimes {
  Time first = 1e18;
  Time last = 1e18;
};

// What a job inherits from the jobs that depend on it, directly or indirectly.
struct Inherited {
  Priority priority = Priority::kLow;
  // When the job has to end so that the jobs that depend on it meet their due
  // times.
  DueTimes due;
};

// The leader's view of a job. Owned by ClusterState.
class Job {
 public:
  Job(const JobRecord& record, int team, Time submitted, Time queued_since);

  const JobSpec& spec() const { return *spec_; }
  const std::string& id() const { return spec_->id; }
  int team() const { return team_; }
  Time submitted() const { return submitted_; }
  // Since when the job may be placed: its submission, or its release if it had
  // dependencies.
  Time queued_since() const { return queued_since_; }
  // The job's own priority, or a higher one of a job that depends on it.
  Priority priority() const {
    return std::min(spec_->priority, inherited_.priority);
  }
  // When the job has to end for the jobs that depend on it.
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
  // Whether all tasks are done.
  bool finished() const { return done_ == size(); }
  // Whether the job is to run: neither its end nor its cancellation is being
  // recorded.
  bool live() const { return state_ == JobState::kAccepted; }
  // Whether the job is done or cancelled, and recorded as such.
  bool terminal_state_recorded() const {
    return state_ == JobState::kDone || state_ == JobState::kAborted;
  }

  // Changes the job's state. Throws IllegalTransition if that is not allowed.
  void Change(JobState next);
  // Changes the task's state. Throws IllegalTransition if that is not allowed.
  void ChangeTask(uint32_t task, TaskState next);
  // Sets the task's current attempt and the index of its machine.
  void Place(uint32_t task, int32_t machine, uint64_t attempt);

  // The number of the job's attempts by the index of their machine. An index
  // over Machine::task_attempts that saves searching all machines.
  const std::map<int32_t, Presence>& presence() const { return presence_; }
  // The sum of Presence::charged_attempts over all machines.
  int charged_attempts() const { return charged_attempts_; }
  // Adds to the numbers of attempts on a machine. Throws IllegalTransition if a
  // number would become negative.
  void ChangePresence(int32_t machine, int charged_attempts, int listed);

  // The next task to place, which stays in the list; -1 if there is none.
  int64_t PeekPending();
  // Removes the task that PeekPending has returned from the list.
  void PopPending();

  Time not_before = 0;  // no new attempt before, after repeated errors
  uint32_t consecutive_errors =
      0;  // consecutive errors without a successful task
  bool within_guarantee = false;  // of its team's quota
  uint8_t tier = 0;               // index in the set of priority tiers in force
  Time ended_at = -1e9;  // when its end was recorded, as far as is known
  // The job was accepted under a previous leader, so its tasks may be on
  // machines that have not reported yet.
  bool accepted_before_leadership = true;

 private:
  std::shared_ptr<const JobSpec> spec_;
  int team_;
  Time submitted_;
  Time queued_since_;
  Inherited inherited_;
  JobState state_ = JobState::kAccepted;
  std::vector<TaskSlot> tasks_;
  // Tasks to place, the next one at the back. May contain tasks that have been
  // placed since.
  std::vector<uint32_t> pending_;
  uint32_t done_ = 0;
  uint32_t running_ = 0;
  uint32_t placed_ = 0;
  std::map<int32_t, Presence> presence_;
  int charged_attempts_ = 0;
};

}  // namespace oxbow
