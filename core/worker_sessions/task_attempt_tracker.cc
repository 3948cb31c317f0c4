#include "core/worker_sessions/task_attempt_tracker.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/command_dispatch/start_fence.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/reconciliation/reconciler.h"
#include "core/worker_sessions/machine_lifecycle.h"
#include "core/worker_sessions/machine_limits.h"

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

std::string_view NameOf(ExitReason reason) {
  switch (reason) {
    case ExitReason::kNone:
      return "none";
    case ExitReason::kDone:
      return "done";
    case ExitReason::kStopped:
      return "stopped";
    case ExitReason::kGangPeersGone:
      return "gang_peers_gone";
    case ExitReason::kGangIncomplete:
      return "gang_incomplete";
    case ExitReason::kError:
      return "error";
    case ExitReason::kNoCapacity:
      return "no_capacity";
    case ExitReason::kBusy:
      return "busy";
    case ExitReason::kUnknownTask:
      return "unknown_task";
  }
  return "unknown";
}

// Whether the status proves that the attempt's image is in the worker's cache:
// the attempt is past fetching it, or has run to its end.
bool ShowsCachedImage(const TaskStatus& status) {
  if (status.phase == TaskPhase::kExited) {
    return status.reason == ExitReason::kDone;
  }
  return status.phase != TaskPhase::kFetching;
}

}  // namespace

TaskAttemptTracker::TaskAttemptTracker(LeaderContext& context,
                                       const Modules& modules)
    : context_(context),
      settings_(context.settings),
      cluster_(context.cluster),
      run_times_(context.run_times),
      dispatcher_(modules.dispatcher),
      job_lifecycle_(modules.job_lifecycle),
      reconciler_(modules.reconciler),
      machine_lifecycle_(modules.machine_lifecycle),
      unexpected_log_(context.settings.workers.heartbeat_interval_seconds),
      duplicates_log_(context.settings.workers.heartbeat_interval_seconds) {}

void TaskAttemptTracker::ApplyTaskStatuses(Machine& machine,
                                           const Heartbeat& heartbeat,
                                           Time now) {
  for (const TaskStatus& status : heartbeat.tasks) {
    const auto it = machine.task_attempts.find(
        {status.job_id, status.task, status.attempt});
    if (it == machine.task_attempts.end()) {
      AdoptRunningTask(machine, status, now);
    } else {
      it->second.last_seq = heartbeat.seq;
      UpdateAttempt(machine, it->second, status, now);
    }
  }
  RemoveUnlistedAttempts(machine, heartbeat.seq);
}

void TaskAttemptTracker::RemoveUnlistedAttempts(Machine& machine,
                                                uint64_t heartbeat_seq) {
  std::vector<TaskAttemptKey> gone;
  for (const auto& [key, attempt] : machine.task_attempts) {
    // Not listed, and no start command in flight can still create it.
    if (attempt.last_seq != heartbeat_seq &&
        attempt.start_progress == StartProgress::kSettled) {
      gone.push_back(key);
    }
  }
  for (const TaskAttemptKey& key : gone) cluster_.RemoveAttempt(machine, key);
}

void TaskAttemptTracker::AdoptRunningTask(Machine& machine,
                                          const TaskStatus& status, Time now) {
  const bool present = status.phase != TaskPhase::kExited;
  TaskAttempt attempt;
  attempt.job_id = status.job_id;
  attempt.task = status.task;
  attempt.attempt = status.attempt;
  attempt.last_seq = machine.seq;
  attempt.phase = TaskPhase::kFetching;
  attempt.started = now;
  StartFence::OnAdopted(machine, attempt);
  Job* job = cluster_.FindJob(status.job_id);
  if (job != nullptr && status.task < job->size()) {
    attempt.job = job;
    if (present) {
      machine.QueueImage(job->spec().image, job->spec().image_gb, now);
    }
    cluster_.AssignTask(*job, machine, attempt, present);
  }
  TaskAttempt& added =
      cluster_.AddAttempt(machine, std::move(attempt), present);
  if (present) {
    ReportUnexpected(machine, added, now);
    ReportDuplicate(machine, added, now);
  }
  UpdateAttempt(machine, added, status, now);
}

// A leader knows each attempt that it has numbered until the attempt has ended
// and the worker has forgotten it.
void TaskAttemptTracker::ReportUnexpected(const Machine& machine,
                                          const TaskAttempt& attempt,
                                          Time now) {
  if (TermOfToken(attempt.attempt) != context_.term) return;
  ++context_.counters.unexpected_attempts;
  const std::optional<uint64_t> suppressed = unexpected_log_.Admit(now);
  if (!suppressed) return;
  context_.LogError("a worker shows an attempt that has ended",
                    {{"host", machine.host()},
                     {"job", attempt.job_id},
                     {"task", attempt.task},
                     {"attempt", attempt.attempt},
                     {"token", machine.token},
                     {"suppressed", *suppressed}});
}

void TaskAttemptTracker::ReportDuplicate(const Machine& machine,
                                         const TaskAttempt& attempt, Time now) {
  if (attempt.job == nullptr || ClusterState::IsCurrent(machine, attempt)) {
    return;
  }
  const TaskSlot& slot = attempt.job->task(attempt.task);
  if (slot.machine < 0 || slot.machine == machine.index() ||
      slot.state == TaskState::kPending || slot.state == TaskState::kDone) {
    return;
  }
  ++context_.counters.duplicate_attempts;
  const std::optional<uint64_t> suppressed = duplicates_log_.Admit(now);
  if (!suppressed) return;
  context_.Log("two attempts of a task are shown",
               {{"job", attempt.job_id},
                {"task", attempt.task},
                {"host", machine.host()},
                {"attempt", attempt.attempt},
                {"current_host", cluster_.machine(slot.machine).host()},
                {"current_attempt", slot.attempt},
                {"suppressed", *suppressed}});
}

void TaskAttemptTracker::UpdateAttempt(Machine& machine, TaskAttempt& attempt,
                                       const TaskStatus& status, Time now) {
  attempt.start_progress = StartProgress::kSettled;
  if (attempt.job != nullptr && attempt.phase == TaskPhase::kFetching &&
      ShowsCachedImage(status)) {
    const JobSpec& spec = attempt.job->spec();
    machine.MarkImageCached(spec.image, spec.image_gb, now);
  }
  if (status.phase == TaskPhase::kExited) {
    if (attempt.phase != TaskPhase::kExited) {
      OnExit(machine, attempt, status.reason, now);
    }
    return;
  }
  UpdatePhase(machine, attempt, status.phase, now);
  StopIfUnwanted(machine, attempt, now);
}

void TaskAttemptTracker::UpdatePhase(Machine& machine, TaskAttempt& attempt,
                                     TaskPhase phase, Time now) {
  if (phase == TaskPhase::kRunning && attempt.phase != TaskPhase::kRunning) {
    attempt.running_since = now;
    context_.LogDetail([&] {
      return LogEvent{"task running",
                      {{"job", attempt.job_id},
                       {"task", attempt.task},
                       {"host", machine.host()},
                       {"seconds_since_start", now - attempt.started}}};
    });
  }
  attempt.phase = phase;
  if (!ClusterState::IsCurrent(machine, attempt)) return;
  const TaskState reported = StateOf(phase);
  const TaskState recorded = attempt.job->task(attempt.task).state;
  // A task's state never moves back: the tasks of a gang that has lost one are
  // reported as running until they exit, although they are already saving.
  if (recorded != TaskState::kSaving && reported > recorded) {
    attempt.job->ChangeTask(attempt.task, reported);
  }
}

// An attempt must not run if its job is unknown or has ended, or if the task's
// current attempt is another one. While the end of its job is still being
// recorded, an attempt is kept, since that write may fail.
void TaskAttemptTracker::StopIfUnwanted(Machine& machine, TaskAttempt& attempt,
                                        Time now) {
  if (attempt.job == nullptr && !reconciler_.MayStopUnknownTask(attempt, now)) {
    return;
  }
  const bool wanted = ClusterState::IsCurrent(machine, attempt) &&
                      !attempt.job->terminal_state_recorded();
  if (wanted || attempt.stopping) return;
  dispatcher_.QueueStop(machine, attempt, /*grace_seconds=*/0, now);
}

void TaskAttemptTracker::OnExit(Machine& machine, TaskAttempt& attempt,
                                ExitReason reason, Time now) {
  const bool was_running = attempt.phase == TaskPhase::kRunning;
  cluster_.MarkExited(machine, attempt, reason);
  Job* job = attempt.job;
  if (job == nullptr || !ClusterState::IsCurrent(machine, attempt) ||
      !job->live()) {
    OnIrrelevantExit(machine, attempt, now);
    return;
  }
  // A service has no end of its own: its tasks are started again.
  const bool service = job->spec().kind == JobKind::kService;
  if (reason == ExitReason::kDone && !service) {
    OnTaskDone(*job, attempt, was_running, now);
  } else {
    OnUnfinishedExit(machine, attempt, now);
  }
}

void TaskAttemptTracker::OnIrrelevantExit(Machine& machine,
                                          TaskAttempt& attempt, Time now) {
  Job* job = attempt.job;
  if (job == nullptr) {
    if (reconciler_.MayStopUnknownTask(attempt, now)) {
      dispatcher_.QueueForget(machine, attempt);
    }
    return;
  }
  dispatcher_.QueueForget(machine, attempt);
  if (ClusterState::IsCurrent(machine, attempt) &&
      attempt.reason != ExitReason::kDone &&
      job->task(attempt.task).state != TaskState::kDone) {
    job->ChangeTask(attempt.task, TaskState::kPending);
  }
  // This may have been the last attempt that the ended job waited for.
  job_lifecycle_.RetireIfClear(*job);
}

// The worker keeps reporting this exit until the end of the job is recorded: it
// tells a new leader that the task need not run again.
void TaskAttemptTracker::OnTaskDone(Job& job, const TaskAttempt& attempt,
                                    bool was_running, Time now) {
  if (was_running) {
    run_times_.Observe(job.spec().job_class, now - attempt.running_since);
  }
  job.consecutive_errors = 0;
  if (job.task(attempt.task).state != TaskState::kDone) {
    job.ChangeTask(attempt.task, TaskState::kDone);
  }
  if (job.finished()) job_lifecycle_.FinishJob(job, TerminalState::kDone);
}

void TaskAttemptTracker::OnUnfinishedExit(Machine& machine,
                                          TaskAttempt& attempt, Time now) {
  Job& job = *attempt.job;
  const JobSpec& spec = job.spec();
  if (job.task(attempt.task).state != TaskState::kPending) {
    job.ChangeTask(attempt.task, TaskState::kPending);
  }
  context_.LogDetail([&] {
    return LogEvent{"task exited unfinished",
                    {{"job", spec.id},
                     {"task", attempt.task},
                     {"host", machine.host()},
                     {"reason", NameOf(attempt.reason)}}};
  });
  switch (attempt.reason) {
    case ExitReason::kError:
      OnTaskError(job, machine, now);
      break;
    case ExitReason::kNoCapacity:
    case ExitReason::kUnknownTask:
    case ExitReason::kBusy:
      job.not_before =
          std::max(job.not_before,
                   now + settings_.workers.heartbeat_interval_seconds / 2);
      break;
    default:
      break;
  }
  if (spec.kind == JobKind::kGang && spec.tasks > 1 &&
      !cluster_.HasLaterAttempt(job, attempt.attempt)) {
    // A gang can't run without one of its tasks. Its other tasks are stopped,
    // and its next attempt starts once all tasks of this one have certainly
    // ended.
    dispatcher_.StopTasks(job, /*grace_seconds=*/0, now);
  }
  dispatcher_.QueueForget(machine, attempt);
}

void TaskAttemptTracker::OnTaskError(Job& job, Machine& machine, Time now) {
  ++job.consecutive_errors;
  CordonIfJobsFailThere(machine, job.id(), now);
  constexpr uint32_t kMaxDoublings = 6;
  const double backoff_seconds =
      settings_.workers.heartbeat_interval_seconds *
      (1 << std::min<uint32_t>(job.consecutive_errors, kMaxDoublings));
  const double longest_backoff_seconds =
      2 * kCordonLeases * settings_.workers.lease_seconds;
  // The maximum, not a sum: if many tasks of an array fail at once, the job is
  // not delayed once for each of them.
  job.not_before = std::max(
      job.not_before, now + std::min(backoff_seconds, longest_backoff_seconds));
}

// The errors of one job may be its own fault. If several jobs fail on a
// machine, the machine is probably faulty, unless these jobs fail everywhere:
// two faulty jobs could get every machine cordoned that they run on, until no
// machine is left for new work. So the removal limiter bounds the number of
// cordoned machines.
void TaskAttemptTracker::CordonIfJobsFailThere(Machine& machine,
                                               const std::string& job_id,
                                               Time now) {
  constexpr size_t kFailedJobsToCordon = 2;
  std::vector<std::string>& failed = machine.failed_jobs;
  if (std::find(failed.begin(), failed.end(), job_id) == failed.end()) {
    failed.push_back(job_id);
  }
  if (failed.size() < kFailedJobsToCordon) return;
  failed.clear();
  machine_lifecycle_.RemoveMachine(machine, RemovalCause::kDistrusted, now);
}

}  // namespace oxbow
