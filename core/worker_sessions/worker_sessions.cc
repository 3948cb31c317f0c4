#include "core/worker_sessions/worker_sessions.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/maintenance/maintenance_manager.h"
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

}  // namespace

WorkerSessions::WorkerSessions(
    LeaderContext& context, const Modules& modules,
    const std::optional<std::set<std::string>>& delegates)
    : context_(context),
      settings_(context.settings),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      dispatcher_(modules.dispatcher),
      job_lifecycle_(modules.job_lifecycle),
      maintenance_(modules.maintenance),
      reconciler_(modules.reconciler),
      machine_lifecycle_(modules.machine_lifecycle),
      run_times_(context.run_times),
      zones_(context.settings, context.started, delegates) {}

bool WorkerSessions::IncarnationExpired(const Machine& machine, Time now) {
  const double lease = settings_.workers.lease_seconds;
  // The others are asked a little before, so that nobody waits for them.
  const double early = 2 * LeaseYieldSeconds(settings_.workers);
  if (now <= machine.incarnation.MayLiveUntil(lease) - early) return false;
  const std::vector<std::string> asked = zones_.PeersToAsk(machine.zone, now);
  if (!asked.empty()) actions_.push_back(RequestLeaseYield{asked});
  return now > machine.incarnation.MayLiveUntil(lease) &&
         !zones_.MayBeRenewed(machine.zone, now);
}

bool WorkerSessions::ZoneSettled(const std::string& zone, Time now) const {
  for (const auto& machine : cluster_.machines()) {
    // What it holds is not known yet.
    if (machine->zone == zone && machine->recorded_up && !machine->reported &&
        machine->state() != MachineState::kGone) {
      return false;
    }
  }
  const double margin = CancellationMargin(settings_.workers) / 2;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->state() != JobState::kAborted || job->holding() == 0 ||
        now - job->ended < margin) {
      continue;
    }
    for (const auto& [index, presence] : job->presence()) {
      if (presence.holding > 0 && cluster_.machine(index).zone == zone) {
        return false;
      }
    }
  }
  return true;
}

bool WorkerSessions::OnDelegationAsked(const std::string& peer,
                                       const std::string& process_incarnation,
                                       double age, Time now) {
  for (const PeerSettings& settings : settings_.peers) {
    if (settings.name != peer) continue;
    if (!ZoneSettled(settings.zone, now)) return false;
    zones_.Grant(peer, process_incarnation, age, now);
    return true;
  }
  return false;
}

void WorkerSessions::Expire(Machine& machine, Time now) {
  machine.incarnation.Change(IncarnationEvent::kExpire, 0, now);
  machine_lifecycle_.LoseTasks(machine, "no report answered for a whole lease");
  machine.reported = true;  // accounted for
  machine.idle_since = now;
  cluster_.MarkChanged();
}

Machine& WorkerSessions::MachineForHeartbeat(const Heartbeat& heartbeat,
                                             Time now) {
  Machine* machine = cluster_.FindMachine(heartbeat.host);
  if (machine == nullptr) {
    machine = &cluster_.AddMachine(
        heartbeat.host, {heartbeat.type, heartbeat.zone, heartbeat.spot, "",
                         now + context_.wall_minus_steady, 0});
    machine->requested_at = now;
    // While the key-value store's memory is being written back, a machine that
    // lives may be in no record.
    machine->stranger = catalog_.epoch().rebuilt;
  }
  if (machine->state() == MachineState::kBooting) {
    machine->Change(MachineState::kUp);
    machine->idle_since = now;
    context_.Log("machine " + heartbeat.host + " is up: " + heartbeat.type +
                 " in " + heartbeat.zone + (heartbeat.spot ? " (spot)" : ""));
  }
  if (machine->endpoint != heartbeat.endpoint)
    machine->endpoint = heartbeat.endpoint;
  // No task goes there before the record stands: a new leader must know every
  // machine that can hold one.
  // A copy of what a deleted machine said must write none: old jobs would wait
  // for it. A stranger shows our token first.
  if (machine->stranger && heartbeat.token >= machine->token)
    machine->stranger = false;
  if (!machine->recorded_up && machine->state() == MachineState::kUp &&
      !machine->stranger) {
    writes_.Queue(
        {WriteKind::kMachineUp, heartbeat.host, TerminalState::kNone, {}});
    writes_.Flush(now);
  }
  return *machine;
}

// Whether a message tells something that is not known. If not, it is a copy,
// was held back, was overtaken, or is of the past of an incarnation.
bool WorkerSessions::IsNews(const Machine& machine, const Heartbeat& heartbeat,
                            Time now) const {
  if (!machine.incarnation.MayBeNews(heartbeat.incarnation)) return false;
  if (heartbeat.incarnation != machine.incarnation.number()) return true;
  return heartbeat.seq > machine.seq &&
         !machine.reachability.MustBeOld(
             heartbeat.token, settings_.workers.lease_seconds,
             zones_.MayBeRenewed(machine.zone, now), now);
}

// Whether the worker may be waiting for the answer to this report. One that
// was overtaken by the answer to an order or a probe was sent before that was
// made, and is waited for no longer than 4 s. Each answer to a heartbeat moves
// on the time until which the machine's tasks may live: for a dead machine,
// copies of its heartbeats do so for 4 s after the last news of it and not for
// ever.
bool WorkerSessions::WorkerMayAwaitResponse(const Machine& machine,
                                            const Heartbeat& heartbeat,
                                            Time now) const {
  if (IsNews(machine, heartbeat, now)) return true;
  return heartbeat.incarnation == machine.incarnation.number() &&
         machine.incarnation.alive() && heartbeat.seq <= machine.seq &&
         now - machine.last_heard <= kHeartbeatTimeoutSeconds * (1 + kDrift);
}

HeartbeatResponse WorkerSessions::OnHeartbeat(const Heartbeat& heartbeat,
                                              Time now) {
  HeartbeatResponse reply;
  if (cluster_.IsDeleted(heartbeat.host)) {
    // A late message from a deleted machine.
    reply.refused = true;
    return reply;
  }
  const Machine* known = cluster_.FindMachine(heartbeat.host);
  if (known != nullptr && !WorkerMayAwaitResponse(*known, heartbeat, now)) {
    reply.refused = true;
    return reply;
  }
  Machine& machine = MachineForHeartbeat(heartbeat, now);
  if (AllowsLeaseToExpire(machine, heartbeat.token, now)) {
    ApplyHeartbeat(machine, heartbeat, /*by_heartbeat=*/false, now);
    reply.withheld = true;
    return reply;
  }
  // Even one that is no news: its worker takes the answer as a renewal.
  machine.incarnation.Change(IncarnationEvent::kAnswered, 0, now);
  if (machine.first_answer < context_.started) machine.first_answer = now;
  machine.last_answer = now;
  const bool news = IsNews(machine, heartbeat, now);
  dispatcher_.SetRespondingTo(&machine);
  ApplyHeartbeat(machine, heartbeat, /*by_heartbeat=*/true, now);
  dispatcher_.SetRespondingTo(nullptr);
  maintenance_.DropLateStarts(machine, now);
  if (news) {
    machine.last_heartbeat = now;
    machine.forwarded = heartbeat.forwarded;
  }
  if (machine.reachability.WantsQuestion(now)) {
    dispatcher_.RaiseFencingToken(machine);
    machine.reachability.Asked(machine.token);
  }
  dispatcher_.FillResponse(machine, &reply, now);
  AddStopCommands(machine, &reply);
  reply.token = machine.token;
  if (news) {
    machine.reachability.Answered(heartbeat.seq, machine.token, heartbeat.token,
                                  settings_.workers.lease_seconds,
                                  zones_.MayBeRenewed(machine.zone, now), now);
  }
  return reply;
}

// Whether the machine has heard nothing of this leader for so long that its
// lease has ended: in a whole one no answer has had an effect, and neither has
// an order. No more are given until the last has surely ended as well: then
// what former leaders have started there and sent there is over, whatever it
// shows. As long as it was answered, a machine that reports and hears nothing
// kept every old job, and every job of a capped team, waiting without an end.
bool WorkerSessions::AllowsLeaseToExpire(const Machine& machine,
                                         FencingToken shown, Time now) const {
  return machine.recorded_up && !machine.reported &&
         machine.first_answer >= context_.started &&
         TermOfToken(std::max(machine.seen_fencing_token, shown)) <
             context_.term &&
         now > TasksMayLiveUntil(machine.first_answer,
                                 settings_.workers.lease_seconds) +
                   kHeartbeatTimeoutSeconds;
}

bool WorkerSessions::LeaseExpired(const Machine& machine, Time now) const {
  return AllowsLeaseToExpire(machine, machine.seen_fencing_token, now) &&
         !zones_.MayBeRenewed(machine.zone, now) &&
         now > TasksMayLiveUntil(machine.last_answer,
                                 settings_.workers.lease_seconds);
}

// An answer renews the lease, and may be the only one for long that gets
// through. So each has the commands to end what must not be there any more;
// repeating one does no harm, and they count for nothing else.
void WorkerSessions::AddStopCommands(const Machine& machine,
                                     HeartbeatResponse* reply) const {
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (reply->commands.size() >= kMaxCommandsPerBatch) return;
    if (attempt.job == nullptr || attempt.phase == TaskPhase::kExited ||
        attempt.start_progress == StartProgress::kQueued ||
        !attempt.job->ended_by_record()) {
      continue;
    }
    reply->commands.push_back(
        {CommandKind::kStop, attempt.job_id, attempt.task, attempt.attempt, 0});
  }
}

bool WorkerSessions::OnProbeAnswer(const Heartbeat& heartbeat, Time now) {
  if (cluster_.IsDeleted(heartbeat.host)) return false;
  Machine& machine = MachineForHeartbeat(heartbeat, now);
  ApplyHeartbeat(machine, heartbeat, /*by_heartbeat=*/false, now);
  dispatcher_.DispatchCommands(machine, now);
  return true;
}

void WorkerSessions::ApplyHeartbeat(Machine& machine,
                                    const Heartbeat& heartbeat,
                                    bool by_heartbeat, Time now) {
  if (!IsNews(machine, heartbeat, now)) return;
  if (heartbeat.token > machine.token &&
      TermOfToken(heartbeat.token) > context_.term) {
    context_.GiveUp(machine.host() + " has seen a newer leader's token");
    return;
  }
  const ReachabilityState before = machine.reachability.state();
  const bool met = machine.incarnation.number() > 0;
  if (machine.incarnation.Change(IncarnationEvent::kShown,
                                 heartbeat.incarnation, now)) {
    if (met) machine.reachability.IncarnationEnded(settings_.workers, now);
    machine_lifecycle_.LoseTasks(machine, "its lease expired, new session");
  }
  if (by_heartbeat) {
    machine.reachability.Reported(
        heartbeat.seq, heartbeat.token, now - machine.last_heartbeat,
        MissesCommandEffects(machine, heartbeat), settings_.workers, now);
  }
  machine.reachability.Shown(heartbeat.token, machine.token, settings_.workers,
                             now);
  LogReachabilityChange(machine, before);
  machine.seq = heartbeat.seq;
  machine.seen_fencing_token =
      std::max(machine.seen_fencing_token, heartbeat.token);
  machine.last_heard = now;
  if (machine.batch &&
      ((machine.batch_lost && heartbeat.token >= machine.token) ||
       (machine.batch->in_response && by_heartbeat))) {
    dispatcher_.AcknowledgeBatch(machine);
  }
  if (machine.confirmed() && !machine.reported) {
    machine.reported = true;
    cluster_.MarkChanged();
  }
  for (const TaskStatus& task : heartbeat.tasks) {
    const auto it =
        machine.task_attempts.find({task.job_id, task.task, task.attempt});
    if (it == machine.task_attempts.end()) {
      AdoptRunningTask(machine, task, now);
    } else {
      it->second.last_seq = heartbeat.seq;
      UpdateAttempt(machine, it->second, task, now);
    }
  }
  std::vector<TaskAttemptKey> gone;
  for (const auto& [key, attempt] : machine.task_attempts) {
    // Not listed, and nothing sent can still bring it: it is not there.
    if (attempt.last_seq != heartbeat.seq &&
        attempt.start_progress == StartProgress::kSettled) {
      gone.push_back(key);
    }
  }
  for (const TaskAttemptKey& key : gone) cluster_.RemoveAttempt(machine, key);
  if (heartbeat.notice_seconds) {
    const Time until = now + *heartbeat.notice_seconds;
    if (!machine.notice_until) {
      machine.notice_until = until;
      machine_lifecycle_.Drain(machine, now, "spot notice");
    }
    machine.notice_until = std::min(*machine.notice_until, until);
  }
  if (machine.task_attempts.empty()) {
    if (machine.idle_since <= 0) machine.idle_since = now;
  } else {
    machine.idle_since = 0;
  }
  dispatcher_.DispatchCommands(machine, now);
}

// Whether a heartbeat lacks what commands in the answer before it must have
// brought.
bool WorkerSessions::MissesCommandEffects(const Machine& machine,
                                          const Heartbeat& heartbeat) const {
  if (!machine.batch || !machine.batch->in_response) return false;
  return std::any_of(
      machine.batch->commands.begin(), machine.batch->commands.end(),
      [&](const WorkerCommand& command) {
        return command.kind == CommandKind::kStart &&
               std::none_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                            [&](const TaskStatus& status) {
                              return status.task == command.task &&
                                     status.attempt == command.attempt &&
                                     status.job_id == command.job_id;
                            });
      });
}

void WorkerSessions::LogReachabilityChange(const Machine& machine,
                                           ReachabilityState before) {
  const ReachabilityState after = machine.reachability.state();
  if (after == before) return;
  cluster_.MarkChanged();
  if (after == ReachabilityState::kDeaf) {
    context_.Log("machine " + machine.host() +
                 " reports, but answers have no effect there");
  } else if (before == ReachabilityState::kDeaf) {
    context_.Log("machine " + machine.host() + " hears again");
  }
}

void WorkerSessions::AdoptRunningTask(Machine& machine, const TaskStatus& task,
                                      Time now) {
  TaskAttempt attempt;
  attempt.job_id = task.job_id;
  attempt.task = task.task;
  attempt.attempt = task.attempt;
  attempt.last_seq = machine.seq;
  attempt.phase = TaskPhase::kFetching;
  attempt.started = now;
  const auto it = cluster_.jobs().find(task.job_id);
  if (it != cluster_.jobs().end() && task.task < it->second->size()) {
    attempt.job = it->second.get();
    Job& job = *attempt.job;
    if (task.phase != TaskPhase::kExited) {
      machine.QueueImage(job.spec().image, job.spec().image_gb, now);
    }
    cluster_.AssignTask(job, machine, attempt,
                        task.phase != TaskPhase::kExited);
  }
  const bool there = task.phase != TaskPhase::kExited;
  UpdateAttempt(machine,
                cluster_.AddAttempt(machine, std::move(attempt), there), task,
                now);
}

void WorkerSessions::UpdateAttempt(Machine& machine, TaskAttempt& attempt,
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
    context_.LogDetail([&] {
      return "task " + attempt.job_id + "/" + std::to_string(attempt.task) +
             " runs on " + machine.host() + " after " +
             std::to_string(now - attempt.started) + " s";
    });
  }
  attempt.phase = task.phase;
  const bool wanted =
      cluster_.IsCurrent(machine, attempt) && attempt.job->live();
  if (cluster_.IsCurrent(machine, attempt)) {
    const TaskState state = StateOf(task.phase);
    const TaskState known = attempt.job->task(attempt.task).state;
    // A gang that lost a task is reported as running until it exits.
    if (known != state && !(known == TaskState::kSaving)) {
      if (state > known) attempt.job->ChangeTask(attempt.task, state);
    }
  }
  // Of a job that is cancelled, over or unknown, or a second copy.
  const bool recording = attempt.job != nullptr &&
                         cluster_.IsCurrent(machine, attempt) &&
                         (attempt.job->state() == JobState::kRecordingAbort ||
                          attempt.job->state() == JobState::kRecordingDone);
  if (attempt.job == nullptr && !reconciler_.MayStopUnknownTask(attempt, now))
    return;
  if (!wanted && !recording && !attempt.stopping)
    dispatcher_.QueueStop(machine, attempt, 0, now);
}

void WorkerSessions::OnExit(Machine& machine, TaskAttempt& attempt,
                            const TaskStatus& task, Time now) {
  const bool was_running = attempt.phase == TaskPhase::kRunning;
  cluster_.MarkExited(machine, attempt, task.reason);
  Job* job = attempt.job;
  if (job == nullptr || !cluster_.IsCurrent(machine, attempt) || !job->live()) {
    if (job != nullptr || reconciler_.MayStopUnknownTask(attempt, now))
      dispatcher_.QueueForget(machine, attempt);
    if (job != nullptr) {
      // Its place may be the last that holds the job's record.
      if (cluster_.IsCurrent(machine, attempt) &&
          task.reason != ExitReason::kDone &&
          job->task(attempt.task).state != TaskState::kDone) {
        job->ChangeTask(attempt.task, TaskState::kPending);
      }
      job_lifecycle_.RetireIfClear(*job);
    }
    return;
  }
  const JobSpec& spec = job->spec();
  const bool service = spec.kind == JobKind::kService;
  if (task.reason == ExitReason::kDone && !service) {
    if (was_running) {
      run_times_.Observe(spec.job_class, now - attempt.running_since);
    }
    job->errors = 0;
    if (job->task(attempt.task).state != TaskState::kDone) {
      job->ChangeTask(attempt.task, TaskState::kDone);
    }
    // Kept on the machine, uncleared, until the job's end is recorded: a new
    // leader learns from it that this task need not run again.
    if (job->finished()) job_lifecycle_.FinishJob(*job, TerminalState::kDone);
    return;
  }
  if (job->task(attempt.task).state != TaskState::kPending) {
    job->ChangeTask(attempt.task, TaskState::kPending);
  }
  context_.LogDetail([&] {
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
        machine_lifecycle_.RemoveMachine(machine, LossCause::kDistrusted, now);
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
      !cluster_.HasLaterAttempt(*job, attempt.attempt)) {
    // The gang is broken; what is left of it goes too, and the next attempt
    // starts once every task of this one is surely gone.
    dispatcher_.StopTasks(*job, 0, now);
  }
  dispatcher_.QueueForget(machine, attempt);
}

void WorkerSessions::BeginTick() { incarnations_unsettled_ = false; }

void WorkerSessions::ExpireIfOver(Machine& machine, Time now) {
  const bool may_hold = !machine.task_attempts.empty() || machine.batch ||
                        (machine.recorded_up && !machine.reported);
  if (!may_hold || machine.incarnation.state() == IncarnationState::kExpired) {
    return;
  }
  incarnations_unsettled_ =
      incarnations_unsettled_ ||
      now - std::max(machine.last_heard, context_.started) >
          context_.timeouts.suspect;
  if (IncarnationExpired(machine, now)) {
    Expire(machine, now);
  } else if (LeaseExpired(machine, now)) {
    context_.Log("machine " + machine.host() +
                 " hears nothing, what it held is over");
    machine_lifecycle_.LoseTasks(machine, "no answer to it for a whole lease");
    machine.reported = true;
  }
}

void WorkerSessions::EndTick(Time now) {
  if (!incarnations_unsettled_ || now < next_delegates_read_) return;
  next_delegates_read_ = now + LeaseYieldSeconds(settings_.workers);
  actions_.push_back(ReadDelegates{});
}

}  // namespace oxbow
