// What is on each machine: tasks adopted, claimed, seen to run and to exit, and
// when it is certain that one is gone.

#include <algorithm>
#include <utility>

#include "core/leader/leader.h"
#include "core/leader/machine_limits.h"

namespace oxbow {
namespace {

TaskState StateOf(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kFetching:
      return TaskState::kFetching;
    case TaskPhase::kWaiting:
      return TaskState::kWaiting;
    case TaskPhase::kRunning:
      return TaskState::kRunning;
    case TaskPhase::kSaving:
      return TaskState::kSaving;
    case TaskPhase::kExited:
      return TaskState::kPending;
  }
  return TaskState::kPending;
}

bool SameAttempt(const WorkerCommand& command, const TaskAttempt& attempt) {
  return command.task == attempt.task && command.attempt == attempt.attempt &&
         command.job_id == attempt.job_id;
}

}  // namespace

bool Leader::IsCurrent(const Machine& machine,
                       const TaskAttempt& attempt) const {
  if (attempt.job == nullptr) return false;
  const TaskSlot& slot = attempt.job->task(attempt.task);
  return slot.machine == machine.index() && slot.attempt == attempt.attempt;
}

void Leader::AdoptRunningTask(Machine& machine, const TaskStatus& task,
                              Time now) {
  TaskAttempt attempt;
  attempt.job_id = task.job_id;
  attempt.task = task.task;
  attempt.attempt = task.attempt;
  attempt.last_seq = machine.seq;
  attempt.phase = TaskPhase::kFetching;
  attempt.started = now;
  const auto it = jobs_.find(task.job_id);
  if (it != jobs_.end() && task.task < it->second->size()) {
    attempt.job = it->second.get();
    Job& job = *attempt.job;
    if (task.phase != TaskPhase::kExited) {
      machine.QueueImage(job.spec().image, job.spec().image_gb, now);
    }
    AssignTask(job, machine, attempt, task.phase != TaskPhase::kExited);
  }
  const bool there = task.phase != TaskPhase::kExited;
  UpdateAttempt(machine, AddAttempt(machine, std::move(attempt), there), task,
                now);
}

void Leader::AssignTask(Job& job, Machine& machine, TaskAttempt& attempt,
                        bool there) {
  const TaskSlot& slot = job.task(attempt.task);
  // Of two attempts that are shown the later one counts, also one that has
  // exited. The other may be what an old copy says of a machine that has shown
  // nothing of this leader: heard first by a new one, it had the living task
  // killed as a second copy, or hid that the task is done.
  const bool by_hearsay =
      slot.state != TaskState::kPending && slot.state != TaskState::kDone &&
      slot.machine >= 0 && slot.attempt < attempt.attempt &&
      !machines_[static_cast<size_t>(slot.machine)]->reported;
  if (by_hearsay) job.ChangeTask(attempt.task, TaskState::kPending);
  if (job.task(attempt.task).state != TaskState::kPending) return;
  job.Place(attempt.task, machine.index(), attempt.attempt);
  if (there) job.ChangeTask(attempt.task, TaskState::kStarting);
}

TaskAttempt& Leader::AddAttempt(Machine& machine, TaskAttempt attempt,
                                bool there) {
  if (attempt.job != nullptr)
    attempt.job->ChangePresence(machine.index(), 0, 1);
  if (IsOrphaned(attempt)) ++machine.orphaned_tasks;
  TaskAttempt& added =
      machine.task_attempts.emplace(KeyOf(attempt), std::move(attempt))
          .first->second;
  if (added.job != nullptr && there) ChargeQuota(machine, added);
  return added;
}

void Leader::UpdateAttempt(Machine& machine, TaskAttempt& attempt,
                           const TaskStatus& task, Time now) {
  attempt.start_progress = StartProgress::kSettled;
  const bool has_image =
      task.phase != TaskPhase::kFetching &&
      !(task.phase == TaskPhase::kExited && task.reason != ExitReason::kDone);
  if (attempt.job != nullptr && has_image &&
      attempt.phase == TaskPhase::kFetching) {
    machine.ImageCached(attempt.job->spec().image, attempt.job->spec().image_gb,
                        now);
  }
  if (task.phase == TaskPhase::kExited) {
    if (attempt.phase != TaskPhase::kExited)
      OnExit(machine, attempt, task, now);
    return;
  }
  if (task.phase == TaskPhase::kRunning &&
      attempt.phase != TaskPhase::kRunning) {
    attempt.running_since = now;
    LogDetail([&] {
      return "task " + attempt.job_id + "/" + std::to_string(attempt.task) +
             " runs on " + machine.host() + " after " +
             std::to_string(now - attempt.started) + " s";
    });
  }
  attempt.phase = task.phase;
  const bool wanted = IsCurrent(machine, attempt) && attempt.job->live();
  if (IsCurrent(machine, attempt)) {
    const TaskState state = StateOf(task.phase);
    const TaskState known = attempt.job->task(attempt.task).state;
    // A gang that lost a task is reported as running until it exits.
    if (known != state && !(known == TaskState::kSaving)) {
      if (state > known) attempt.job->ChangeTask(attempt.task, state);
    }
  }
  // Of a job that is cancelled, over or unknown, or a second copy.
  const bool recording = attempt.job != nullptr &&
                         IsCurrent(machine, attempt) &&
                         (attempt.job->state() == JobState::kRecordingAbort ||
                          attempt.job->state() == JobState::kRecordingDone);
  if (attempt.job == nullptr && !MayStopUnknownTask(attempt, now)) return;
  if (!wanted && !recording && !attempt.stopping)
    QueueStop(machine, attempt, 0, now);
}

// What a task holds of its machine and of its team's limit.
void Leader::ChargeQuota(Machine& machine, TaskAttempt& attempt) {
  const JobSpec& spec = attempt.job->spec();
  attempt.need = spec.need;
  attempt.holds = true;
  machine.used += attempt.need;
  machine.used_by[static_cast<size_t>(spec.priority)] += attempt.need;
  if (spec.kind == JobKind::kService) machine.staying += attempt.need;
  if (spec.kind != JobKind::kArray) machine.lasting += attempt.need;
  if (attempt.stopping) machine.leaving += attempt.need;
  if (attempt.job->team() >= 0)
    quotas_[attempt.job->team()].used += attempt.need;
  tiers_.Hold(attempt.job->tier, attempt.need);
  attempt.job->ChangePresence(machine.index(), 1, 0);
}

void Leader::ReleaseQuota(Machine& machine, TaskAttempt& attempt) {
  if (!attempt.holds) return;
  const JobSpec& spec = attempt.job->spec();
  machine.used -= attempt.need;
  machine.used_by[static_cast<size_t>(spec.priority)] -= attempt.need;
  if (spec.kind == JobKind::kService) machine.staying -= attempt.need;
  if (spec.kind != JobKind::kArray) machine.lasting -= attempt.need;
  if (attempt.stopping) machine.leaving -= attempt.need;
  if (attempt.job->team() >= 0)
    quotas_[attempt.job->team()].used -= attempt.need;
  tiers_.Release(attempt.job->tier, attempt.need);
  attempt.job->ChangePresence(machine.index(), -1, 0);
  attempt.need = {};
  attempt.holds = false;
  if (spec.priority == Priority::kProduction) urgent_dirty_ = true;
  if (attempt.phase == TaskPhase::kFetching) {
    // The fetch is given up when no task waits for it any more.
    const bool shared = std::any_of(
        machine.task_attempts.begin(), machine.task_attempts.end(),
        [&](const auto& e) {
          return &e.second != &attempt && e.second.job != nullptr &&
                 e.second.phase == TaskPhase::kFetching &&
                 e.second.job->spec().image == attempt.job->spec().image;
        });
    if (!shared) machine.DropQueuedImage(attempt.job->spec().image);
  }
  dirty_ = true;
}

void Leader::SetStopping(Machine& machine, TaskAttempt& attempt,
                         bool stopping) {
  if (attempt.stopping == stopping) return;
  attempt.stopping = stopping;
  if (stopping && attempt.job != nullptr && !in_rollout_.empty()) {
    const auto it = in_rollout_.find(attempt.job_id);
    if (it != in_rollout_.end()) {
      rollouts_.at(it->second).NoteStopping(KeyOf(attempt));
    }
  }
  if (!attempt.holds) return;
  if (stopping) {
    machine.leaving += attempt.need;
  } else {
    machine.leaving -= attempt.need;
  }
}

void Leader::OnExit(Machine& machine, TaskAttempt& attempt,
                    const TaskStatus& task, Time now) {
  ReleaseQuota(machine, attempt);
  if (IsOrphaned(attempt)) --machine.orphaned_tasks;
  const bool was_running = attempt.phase == TaskPhase::kRunning;
  attempt.phase = TaskPhase::kExited;
  attempt.reason = task.reason;
  Job* job = attempt.job;
  if (job == nullptr || !IsCurrent(machine, attempt) || !job->live()) {
    if (job != nullptr || MayStopUnknownTask(attempt, now))
      QueueForget(machine, attempt);
    if (job != nullptr) {
      // Its place may be the last that holds the job's record.
      if (IsCurrent(machine, attempt) && task.reason != ExitReason::kDone &&
          job->task(attempt.task).state != TaskState::kDone) {
        job->ChangeTask(attempt.task, TaskState::kPending);
      }
      RetireIfClear(*job);
    }
    return;
  }
  const JobSpec& spec = job->spec();
  const bool service = spec.kind == JobKind::kService;
  if (task.reason == ExitReason::kDone && !service) {
    if (was_running) {
      ClassStats& stats = class_stats_[spec.job_class];
      const double run = now - attempt.running_since;
      ++stats.seen;
      stats.run_seconds += (run - stats.run_seconds) / std::min(stats.seen, 50);
    }
    job->errors = 0;
    if (job->task(attempt.task).state != TaskState::kDone) {
      job->ChangeTask(attempt.task, TaskState::kDone);
    }
    // Kept on the machine, uncleared, until the job's end is recorded: a new
    // leader learns from it that this task need not run again.
    if (job->finished()) FinishJob(*job, TerminalState::kDone);
    return;
  }
  if (job->task(attempt.task).state != TaskState::kPending) {
    job->ChangeTask(attempt.task, TaskState::kPending);
  }
  LogDetail([&] {
    return "task " + spec.id + "/" + std::to_string(attempt.task) + " left " +
           machine.host() + ", reason " +
           std::to_string(static_cast<int>(task.reason));
  });
  switch (task.reason) {
    case ExitReason::kError: {
      ++job->errors;
      if (std::find(machine.failed_jobs.begin(), machine.failed_jobs.end(),
                    spec.id) == machine.failed_jobs.end()) {
        machine.failed_jobs.push_back(spec.id);
      }
      // One job's errors may be the job's own fault. Several jobs' are the
      // machine's, unless these jobs fail everywhere.
      constexpr size_t kJobsThatAccuse = 2;
      // Two jobs with a mistake each would have every machine distrusted that
      // they come to, and nothing could be placed any more.
      if (machine.failed_jobs.size() >= kJobsThatAccuse) {
        machine.failed_jobs.clear();
        RemoveMachine(machine, LossCause::kDistrusted, now);
      }
      const double backoff = settings_.workers.heartbeat_interval_seconds *
                             (1 << std::min<uint32_t>(job->errors, 6));
      // Many tasks of one array failing at once are one event.
      job->not_before = std::max(
          job->not_before,
          now + std::min(backoff, 2 * kDistrustLeases *
                                      settings_.workers.lease_seconds));
      break;
    }
    case ExitReason::kNoRoom:
    case ExitReason::kUnknownTask:
    case ExitReason::kBusy:
      job->not_before =
          std::max(job->not_before,
                   now + settings_.workers.heartbeat_interval_seconds / 2);
      break;
    default:
      break;
  }
  if (spec.kind == JobKind::kGang && spec.tasks > 1 &&
      !HasLaterAttempt(*job, attempt.attempt)) {
    // The gang is broken; what is left of it goes too, and the next attempt
    // starts once every task of this one is surely gone.
    StopTasks(*job, 0, now);
  }
  QueueForget(machine, attempt);
}

// A later attempt begins when the one before is surely over: the exit that a
// new leader hears is an old one, and breaks no gang that lives.
bool Leader::HasLaterAttempt(const Job& job, uint64_t attempt) const {
  const auto all = AttemptsOf(job);
  return std::any_of(all.begin(), all.end(), [attempt](const auto& e) {
    return e.second.attempt > attempt;
  });
}

void Leader::RemoveAttempt(Machine& machine, const TaskAttemptKey& key) {
  const auto it = machine.task_attempts.find(key);
  if (it == machine.task_attempts.end()) return;
  TaskAttempt& attempt = it->second;
  ReleaseQuota(machine, attempt);
  if (IsOrphaned(attempt)) --machine.orphaned_tasks;
  Job* job = attempt.job;
  if (job != nullptr && IsCurrent(machine, attempt)) {
    const TaskState state = job->task(attempt.task).state;
    if (state != TaskState::kDone && state != TaskState::kPending) {
      job->ChangeTask(attempt.task, TaskState::kPending);
    }
  }
  std::erase_if(machine.queue, [&](const WorkerCommand& command) {
    return SameAttempt(command, attempt);
  });
  machine.task_attempts.erase(it);
  if (job != nullptr) {
    job->ChangePresence(machine.index(), 0, -1);
    RetireIfClear(*job);
  }
  dirty_ = true;
}

// Everything on the machine is surely gone, and nothing sent to it before can
// be executed any more: its incarnation has changed, expired, or the machine is
// deleted.
void Leader::MarkAllLost(Machine& machine, const char* why) {
  if (!machine.task_attempts.empty()) {
    Log("lost " + std::to_string(machine.task_attempts.size()) + " tasks on " +
        machine.host() + ": " + why);
  }
  machine.batch.reset();
  machine.batch_lost = false;
  machine.queue.clear();
  std::vector<TaskAttemptKey> keys;
  for (const auto& [key, attempt] : machine.task_attempts) keys.push_back(key);
  for (const TaskAttemptKey& key : keys) RemoveAttempt(machine, key);
  // Nothing is left of it but what rounding may have left.
  machine.used = machine.staying = machine.lasting = machine.leaving = {};
  machine.used_by = {};
  dirty_ = true;
}

std::vector<std::pair<Machine*, TaskAttemptKey>> Leader::AttemptsOf(
    const Job& job) const {
  std::vector<std::pair<Machine*, TaskAttemptKey>> out;
  for (const auto& [index, presence] : job.presence()) {
    Machine* machine = machines_[static_cast<size_t>(index)].get();
    for (auto it = machine->task_attempts.lower_bound({job.id(), 0, 0});
         it != machine->task_attempts.end() && it->first.job_id == job.id();
         ++it) {
      out.emplace_back(machine, it->first);
    }
  }
  return out;
}

}  // namespace oxbow
