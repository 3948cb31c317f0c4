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

bool SameAttempt(const WorkerCommand& o, const TaskAttempt& r) {
  return o.task == r.task && o.attempt == r.attempt && o.job_id == r.job_id;
}

}  // namespace

bool Leader::IsCurrent(const Machine& m, const TaskAttempt& r) const {
  if (r.job == nullptr) return false;
  const TaskSlot& slot = r.job->task(r.task);
  return slot.machine == m.index() && slot.attempt == r.attempt;
}

void Leader::AdoptRunningTask(Machine& m, const TaskStatus& task, Time now) {
  TaskAttempt r;
  r.job_id = task.job_id;
  r.task = task.task;
  r.attempt = task.attempt;
  r.last_seq = m.seq;
  r.phase = TaskPhase::kFetching;
  r.started = now;
  const auto it = jobs_.find(task.job_id);
  if (it != jobs_.end() && task.task < it->second->size()) {
    r.job = it->second.get();
    Job& job = *r.job;
    if (task.phase != TaskPhase::kExited) {
      m.QueueImage(job.spec().image, job.spec().image_gb, now);
    }
    AssignTask(job, m, r, task.phase != TaskPhase::kExited);
  }
  const bool there = task.phase != TaskPhase::kExited;
  UpdateAttempt(m, AddAttempt(m, std::move(r), there), task, now);
}

void Leader::AssignTask(Job& job, Machine& m, TaskAttempt& r, bool there) {
  const TaskSlot& slot = job.task(r.task);
  // Of two attempts that are shown the later one counts, also one that has
  // exited. The other may be what an old copy says of a machine that has shown
  // nothing of this leader: heard first by a new one, it had the living task
  // killed as a second copy, or hid that the task is done.
  const bool by_hearsay =
      slot.state != TaskState::kPending && slot.state != TaskState::kDone &&
      slot.machine >= 0 && slot.attempt < r.attempt &&
      !machines_[static_cast<size_t>(slot.machine)]->reported;
  if (by_hearsay) job.ChangeTask(r.task, TaskState::kPending);
  if (job.task(r.task).state != TaskState::kPending) return;
  job.Place(r.task, m.index(), r.attempt);
  if (there) job.ChangeTask(r.task, TaskState::kStarting);
}

TaskAttempt& Leader::AddAttempt(Machine& m, TaskAttempt r, bool there) {
  if (r.job != nullptr) r.job->ChangePresence(m.index(), 0, 1);
  if (IsOrphaned(r)) ++m.orphaned_tasks;
  TaskAttempt& added =
      m.task_attempts.emplace(KeyOf(r), std::move(r)).first->second;
  if (added.job != nullptr && there) ChargeQuota(m, added);
  return added;
}

void Leader::UpdateAttempt(Machine& m, TaskAttempt& r, const TaskStatus& task,
                           Time now) {
  r.start_progress = StartProgress::kSettled;
  const bool has_image =
      task.phase != TaskPhase::kFetching &&
      !(task.phase == TaskPhase::kExited && task.reason != ExitReason::kDone);
  if (r.job != nullptr && has_image && r.phase == TaskPhase::kFetching) {
    m.ImageCached(r.job->spec().image, r.job->spec().image_gb, now);
  }
  if (task.phase == TaskPhase::kExited) {
    if (r.phase != TaskPhase::kExited) OnExit(m, r, task, now);
    return;
  }
  if (task.phase == TaskPhase::kRunning && r.phase != TaskPhase::kRunning) {
    r.running_since = now;
    LogDetail([&] {
      return "task " + r.job_id + "/" + std::to_string(r.task) + " runs on " +
             m.host() + " after " + std::to_string(now - r.started) + " s";
    });
  }
  r.phase = task.phase;
  const bool wanted = IsCurrent(m, r) && r.job->live();
  if (IsCurrent(m, r)) {
    const TaskState state = StateOf(task.phase);
    const TaskState known = r.job->task(r.task).state;
    // A gang that lost a task is reported as running until it exits.
    if (known != state && !(known == TaskState::kSaving)) {
      if (state > known) r.job->ChangeTask(r.task, state);
    }
  }
  // Of a job that is cancelled, over or unknown, or a second copy.
  const bool recording = r.job != nullptr && IsCurrent(m, r) &&
                         (r.job->state() == JobState::kRecordingAbort ||
                          r.job->state() == JobState::kRecordingDone);
  if (r.job == nullptr && !MayStopUnknownTask(r, now)) return;
  if (!wanted && !recording && !r.stopping) QueueStop(m, r, 0, now);
}

// What a task holds of its machine and of its team's limit.
void Leader::ChargeQuota(Machine& m, TaskAttempt& r) {
  const JobSpec& spec = r.job->spec();
  r.need = spec.need;
  r.holds = true;
  m.used += r.need;
  m.used_by[static_cast<size_t>(spec.priority)] += r.need;
  if (spec.kind == JobKind::kService) m.staying += r.need;
  if (spec.kind != JobKind::kArray) m.lasting += r.need;
  if (r.stopping) m.leaving += r.need;
  if (r.job->team() >= 0) quotas_[r.job->team()].used += r.need;
  tiers_.Hold(r.job->tier, r.need);
  r.job->ChangePresence(m.index(), 1, 0);
}

void Leader::ReleaseQuota(Machine& m, TaskAttempt& r) {
  if (!r.holds) return;
  const JobSpec& spec = r.job->spec();
  m.used -= r.need;
  m.used_by[static_cast<size_t>(spec.priority)] -= r.need;
  if (spec.kind == JobKind::kService) m.staying -= r.need;
  if (spec.kind != JobKind::kArray) m.lasting -= r.need;
  if (r.stopping) m.leaving -= r.need;
  if (r.job->team() >= 0) quotas_[r.job->team()].used -= r.need;
  tiers_.Release(r.job->tier, r.need);
  r.job->ChangePresence(m.index(), -1, 0);
  r.need = {};
  r.holds = false;
  if (spec.priority == Priority::kProduction) urgent_dirty_ = true;
  if (r.phase == TaskPhase::kFetching) {
    // The fetch is given up when no task waits for it any more.
    const bool shared = std::any_of(
        m.task_attempts.begin(), m.task_attempts.end(), [&](const auto& e) {
          return &e.second != &r && e.second.job != nullptr &&
                 e.second.phase == TaskPhase::kFetching &&
                 e.second.job->spec().image == r.job->spec().image;
        });
    if (!shared) m.DropQueuedImage(r.job->spec().image);
  }
  dirty_ = true;
}

void Leader::SetStopping(Machine& m, TaskAttempt& r, bool stopping) {
  if (r.stopping == stopping) return;
  r.stopping = stopping;
  if (stopping && r.job != nullptr && !in_rollout_.empty()) {
    const auto it = in_rollout_.find(r.job_id);
    if (it != in_rollout_.end()) {
      rollouts_.at(it->second).NoteStopping(KeyOf(r));
    }
  }
  if (!r.holds) return;
  if (stopping) {
    m.leaving += r.need;
  } else {
    m.leaving -= r.need;
  }
}

void Leader::OnExit(Machine& m, TaskAttempt& r, const TaskStatus& task,
                    Time now) {
  ReleaseQuota(m, r);
  if (IsOrphaned(r)) --m.orphaned_tasks;
  const bool was_running = r.phase == TaskPhase::kRunning;
  r.phase = TaskPhase::kExited;
  r.reason = task.reason;
  Job* job = r.job;
  if (job == nullptr || !IsCurrent(m, r) || !job->live()) {
    if (job != nullptr || MayStopUnknownTask(r, now)) QueueForget(m, r);
    if (job != nullptr) {
      // Its place may be the last that holds the job's record.
      if (IsCurrent(m, r) && task.reason != ExitReason::kDone &&
          job->task(r.task).state != TaskState::kDone) {
        job->ChangeTask(r.task, TaskState::kPending);
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
      const double run = now - r.running_since;
      ++stats.seen;
      stats.run_seconds += (run - stats.run_seconds) / std::min(stats.seen, 50);
    }
    job->errors = 0;
    if (job->task(r.task).state != TaskState::kDone) {
      job->ChangeTask(r.task, TaskState::kDone);
    }
    // Kept on the machine, uncleared, until the job's end is recorded: a new
    // leader learns from it that this task need not run again.
    if (job->finished()) FinishJob(*job, TerminalState::kDone);
    return;
  }
  if (job->task(r.task).state != TaskState::kPending) {
    job->ChangeTask(r.task, TaskState::kPending);
  }
  LogDetail([&] {
    return "task " + spec.id + "/" + std::to_string(r.task) + " left " +
           m.host() + ", reason " +
           std::to_string(static_cast<int>(task.reason));
  });
  switch (task.reason) {
    case ExitReason::kError: {
      ++job->errors;
      if (std::find(m.failed_jobs.begin(), m.failed_jobs.end(), spec.id) ==
          m.failed_jobs.end()) {
        m.failed_jobs.push_back(spec.id);
      }
      // One job's errors may be the job's own fault. Several jobs' are the
      // machine's, unless these jobs fail everywhere.
      constexpr size_t kJobsThatAccuse = 2;
      // Two jobs with a mistake each would have every machine distrusted that
      // they come to, and nothing could be placed any more.
      if (m.failed_jobs.size() >= kJobsThatAccuse) {
        m.failed_jobs.clear();
        RemoveMachine(m, LossCause::kDistrusted, now);
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
      !HasLaterAttempt(*job, r.attempt)) {
    // The gang is broken; what is left of it goes too, and the next attempt
    // starts once every task of this one is surely gone.
    StopTasks(*job, 0, now);
  }
  QueueForget(m, r);
}

// A later attempt begins when the one before is surely over: the exit that a
// new leader hears is an old one, and breaks no gang that lives.
bool Leader::HasLaterAttempt(const Job& job, uint64_t attempt) const {
  const auto all = AttemptsOf(job);
  return std::any_of(all.begin(), all.end(), [attempt](const auto& e) {
    return e.second.attempt > attempt;
  });
}

void Leader::RemoveAttempt(Machine& m, const TaskAttemptKey& key) {
  const auto it = m.task_attempts.find(key);
  if (it == m.task_attempts.end()) return;
  TaskAttempt& r = it->second;
  ReleaseQuota(m, r);
  if (IsOrphaned(r)) --m.orphaned_tasks;
  Job* job = r.job;
  if (job != nullptr && IsCurrent(m, r)) {
    const TaskState state = job->task(r.task).state;
    if (state != TaskState::kDone && state != TaskState::kPending) {
      job->ChangeTask(r.task, TaskState::kPending);
    }
  }
  std::erase_if(m.queue,
                [&](const WorkerCommand& o) { return SameAttempt(o, r); });
  m.task_attempts.erase(it);
  if (job != nullptr) {
    job->ChangePresence(m.index(), 0, -1);
    RetireIfClear(*job);
  }
  dirty_ = true;
}

// Everything on the machine is surely gone, and nothing sent to it before can
// be executed any more: its incarnation has changed, expired, or the machine is
// deleted.
void Leader::MarkAllLost(Machine& m, const char* why) {
  if (!m.task_attempts.empty()) {
    Log("lost " + std::to_string(m.task_attempts.size()) + " tasks on " +
        m.host() + ": " + why);
  }
  m.batch.reset();
  m.batch_lost = false;
  m.queue.clear();
  std::vector<TaskAttemptKey> keys;
  for (const auto& [key, r] : m.task_attempts) keys.push_back(key);
  for (const TaskAttemptKey& key : keys) RemoveAttempt(m, key);
  // Nothing is left of it but what rounding may have left.
  m.used = m.staying = m.lasting = m.leaving = {};
  m.used_by = {};
  dirty_ = true;
}

std::vector<std::pair<Machine*, TaskAttemptKey>> Leader::AttemptsOf(
    const Job& job) const {
  std::vector<std::pair<Machine*, TaskAttemptKey>> out;
  for (const auto& [index, presence] : job.presence()) {
    Machine* m = machines_[static_cast<size_t>(index)].get();
    for (auto it = m->task_attempts.lower_bound({job.id(), 0, 0});
         it != m->task_attempts.end() && it->first.job_id == job.id(); ++it) {
      out.emplace_back(m, it->first);
    }
  }
  return out;
}

}  // namespace oxbow
