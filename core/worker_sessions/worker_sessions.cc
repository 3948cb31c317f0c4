#include "core/worker_sessions/worker_sessions.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/reconciliation/reconciler.h"
#include "core/worker_sessions/machine_lifecycle.h"
#include "core/worker_sessions/machine_limits.h"
#include "core/worker_sessions/machine_record_operations.h"
#include "core/worker_sessions/worker_leases.h"

namespace oxbow {

WorkerSessions::WorkerSessions(LeaderContext& context, const Modules& modules)
    : context_(context),
      settings_(context.settings),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      dispatcher_(modules.dispatcher),
      maintenance_(modules.maintenance),
      machine_lifecycle_(modules.machine_lifecycle),
      leases_(modules.leases),
      task_attempts_(context, {modules.dispatcher, modules.job_lifecycle,
                               modules.reconciler, modules.machine_lifecycle}) {
}

Machine& WorkerSessions::AddUnexpectedMachine(const Heartbeat& heartbeat,
                                              Time now) {
  Machine& machine = cluster_.AddMachine(
      heartbeat.host, {heartbeat.type, heartbeat.zone, heartbeat.spot,
                       /*endpoint=*/"", now + context_.wall_minus_steady,
                       /*mod_revision=*/0});
  machine.requested_at = now;
  // Until all records that the key-value store has lost are written back, a
  // living machine may be without a record, so its absence proves nothing.
  machine.unverified = catalog_.epoch().rebuilt;
  return machine;
}

// A machine gets no task before its record is in the store, since a new leader
// must know every machine that may run tasks. A delayed copy of a heartbeat
// from a deleted machine must not create a record: after a failover every old
// job would wait for that machine. So a machine without a record first has to
// show a fencing token of this leader.
void WorkerSessions::RecordMachineUp(Machine& machine, Time now) {
  if (machine.recorded_up || machine.state() != MachineState::kUp ||
      machine.unverified) {
    return;
  }
  writes_.Enqueue(
      std::make_unique<RecordMachineOperation>(context_, machine.host()));
  writes_.Flush(now);
}

Machine& WorkerSessions::MachineForHeartbeat(const Heartbeat& heartbeat,
                                             Time now) {
  Machine* known = cluster_.FindMachine(heartbeat.host);
  Machine& machine =
      known != nullptr ? *known : AddUnexpectedMachine(heartbeat, now);
  if (machine.state() == MachineState::kBooting) {
    machine.Change(MachineState::kUp);
    machine.idle_since = now;
    context_.Log("machine up", {{"host", heartbeat.host},
                                {"type", heartbeat.type},
                                {"zone", heartbeat.zone},
                                {"spot", heartbeat.spot}});
  }
  if (machine.endpoint != heartbeat.endpoint) {
    machine.endpoint = heartbeat.endpoint;
  }
  if (machine.unverified && heartbeat.token >= machine.token) {
    machine.unverified = false;
  }
  RecordMachineUp(machine, now);
  return machine;
}

// Whether a heartbeat is newer than all that were applied before. If not, it is
// a duplicate, was delayed or overtaken on its way, or belongs to an
// incarnation that has ended.
bool WorkerSessions::IsNewHeartbeat(const Machine& machine,
                                    const Heartbeat& heartbeat,
                                    Time now) const {
  if (!machine.incarnation.MayBeCurrent(heartbeat.incarnation)) return false;
  if (heartbeat.incarnation != machine.incarnation.number()) return true;
  return heartbeat.seq > machine.seq &&
         !machine.reachability.IsStaleHeartbeat(
             heartbeat.token, settings_.workers.lease_seconds,
             leases_.MayBeRenewedByDelegate(machine, now), now);
}

// Whether the worker may still be waiting for the answer to this heartbeat. If
// the worker's response to a command or a probe has overtaken the heartbeat,
// the heartbeat was sent before that response, and the worker waits for its
// answer no longer than the heartbeat timeout. Each answer extends the time
// until which the leader assumes that the machine's tasks may live. With this
// bound, duplicates of a dead machine's heartbeats can extend it only for one
// timeout after the last new heartbeat, not forever.
bool WorkerSessions::WorkerMayAwaitResponse(const Machine& machine,
                                            const Heartbeat& heartbeat,
                                            Time now) const {
  if (IsNewHeartbeat(machine, heartbeat, now)) return true;
  return heartbeat.incarnation == machine.incarnation.number() &&
         machine.incarnation.alive() && heartbeat.seq <= machine.seq &&
         now - machine.last_heard <=
             kHeartbeatTimeoutSeconds * (1 + kMaxClockDriftRate);
}

bool WorkerSessions::MustRefuse(const Heartbeat& heartbeat, Time now) const {
  if (cluster_.IsDeleted(heartbeat.host)) return true;
  const Machine* machine = cluster_.FindMachine(heartbeat.host);
  return machine != nullptr &&
         !WorkerMayAwaitResponse(*machine, heartbeat, now);
}

HeartbeatResponse WorkerSessions::OnHeartbeat(const Heartbeat& heartbeat,
                                              Time now) {
  if (MustRefuse(heartbeat, now)) {
    HeartbeatResponse refusal;
    refusal.refused = true;
    return refusal;
  }
  Machine& machine = MachineForHeartbeat(heartbeat, now);
  if (leases_.MustLetExpire(machine, heartbeat.token, now)) {
    ApplyHeartbeat(machine, heartbeat, HeartbeatChannel::kWorkerResponse, now);
    HeartbeatResponse withheld;
    withheld.withheld = true;
    return withheld;
  }
  return Respond(machine, heartbeat, now);
}

HeartbeatResponse WorkerSessions::Respond(Machine& machine,
                                          const Heartbeat& heartbeat,
                                          Time now) {
  // The lease counts as renewed even if the heartbeat is not new, since its
  // worker takes any answer as a renewal.
  machine.incarnation.Change(IncarnationEvent::kAnswered, 0, now);
  if (machine.first_answer < context_.started) machine.first_answer = now;
  machine.last_answer = now;
  const bool is_new = IsNewHeartbeat(machine, heartbeat, now);
  dispatcher_.SetRespondingTo(&machine);
  ApplyHeartbeat(machine, heartbeat, HeartbeatChannel::kHeartbeat, now);
  dispatcher_.SetRespondingTo(nullptr);
  maintenance_.RemoveDisallowedStarts(machine, now);
  if (is_new) {
    machine.last_heartbeat = now;
    machine.forwarded = heartbeat.forwarded;
  }
  if (machine.reachability.NeedsDeliveryCheck(now)) {
    dispatcher_.RaiseFencingToken(machine, TokenRaiseReason::kDeliveryCheck);
    machine.reachability.OnDeliveryCheckSent(machine.token);
  }
  HeartbeatResponse response;
  dispatcher_.FillResponse(machine, &response, now);
  AddStopCommands(machine, &response);
  response.token = machine.token;
  if (is_new) {
    machine.reachability.OnResponse(
        {.heartbeat_seq = heartbeat.seq,
         .sent_token = machine.token,
         .shown_token = heartbeat.token,
         .may_be_renewed_by_delegate =
             leases_.MayBeRenewedByDelegate(machine, now)},
        settings_.workers.lease_seconds, now);
  }
  return response;
}

// An answer that renews the lease may be the last one to get through for a long
// time. So each answer repeats the commands that stop the tasks of ended jobs.
// Executing a stop twice does no harm. These commands are not part of a batch,
// so the worker need not acknowledge them.
void WorkerSessions::AddStopCommands(const Machine& machine,
                                     HeartbeatResponse* response) const {
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (response->commands.size() >= kMaxCommandsPerBatch) return;
    if (attempt.job == nullptr || attempt.phase == TaskPhase::kExited ||
        attempt.start_progress == StartProgress::kQueued ||
        !attempt.job->terminal_state_recorded()) {
      continue;
    }
    response->commands.push_back(
        {CommandKind::kStop, attempt.job_id, attempt.task, attempt.attempt, 0});
  }
}

bool WorkerSessions::OnProbeAnswer(const Heartbeat& heartbeat, Time now) {
  if (cluster_.IsDeleted(heartbeat.host)) return false;
  Machine& machine = MachineForHeartbeat(heartbeat, now);
  ApplyHeartbeat(machine, heartbeat, HeartbeatChannel::kWorkerResponse, now);
  dispatcher_.DispatchCommands(machine, now);
  return true;
}

void WorkerSessions::ApplyHeartbeat(Machine& machine,
                                    const Heartbeat& heartbeat,
                                    HeartbeatChannel channel, Time now) {
  if (!IsNewHeartbeat(machine, heartbeat, now)) return;
  if (heartbeat.token > machine.token &&
      TermOfToken(heartbeat.token) > context_.term) {
    context_.ResignLeadership(machine.host() +
                              " has seen a newer leader's token");
    return;
  }
  UpdateReachability(machine, heartbeat, channel, now);
  machine.seq = heartbeat.seq;
  machine.seen_fencing_token =
      std::max(machine.seen_fencing_token, heartbeat.token);
  machine.last_heard = now;
  const bool settles_lost_batch =
      machine.batch_lost && heartbeat.token >= machine.token;
  if (machine.batch &&
      (settles_lost_batch || (machine.batch->in_response &&
                              channel == HeartbeatChannel::kHeartbeat))) {
    dispatcher_.AcknowledgeBatch(machine);
  }
  if (machine.confirmed() && !machine.reported) {
    machine.reported = true;
    cluster_.MarkChanged();
  }
  task_attempts_.ApplyTaskStatuses(machine, heartbeat, now);
  if (heartbeat.notice_seconds) {
    ApplyPreemptionNotice(machine, *heartbeat.notice_seconds, now);
  }
  if (!machine.task_attempts.empty()) {
    machine.idle_since = 0;
  } else if (machine.idle_since <= 0) {
    machine.idle_since = now;
  }
  dispatcher_.DispatchCommands(machine, now);
}

void WorkerSessions::UpdateIncarnation(Machine& machine,
                                       const Heartbeat& heartbeat, Time now) {
  const bool known_before = machine.incarnation.number() > 0;
  const bool begun = machine.incarnation.Change(IncarnationEvent::kShown,
                                                heartbeat.incarnation, now);
  if (!begun) return;
  if (known_before) {
    leases_.CountExpired();
    machine.reachability.OnIncarnationEnded(settings_.workers, now);
  }
  machine_lifecycle_.MarkTasksLost(machine,
                                   "lease expired, new worker incarnation");
}

void WorkerSessions::UpdateReachability(Machine& machine,
                                        const Heartbeat& heartbeat,
                                        HeartbeatChannel channel, Time now) {
  const ReachabilityState before = machine.reachability.state();
  UpdateIncarnation(machine, heartbeat, now);
  if (channel == HeartbeatChannel::kHeartbeat) {
    machine.reachability.OnHeartbeat(
        {.seq = heartbeat.seq,
         .shown_token = heartbeat.token,
         .seconds_since_last = now - machine.last_heartbeat,
         .lacks_command_effects = LacksCommandEffects(machine, heartbeat)},
        settings_.workers, now);
  }
  machine.reachability.OnTokenShown(heartbeat.token, machine.token,
                                    settings_.workers, now);
  LogReachabilityChange(machine, before);
}

// Whether the heartbeat does not list a task that the response to the previous
// heartbeat has told the worker to start. If so, that response did not arrive.
bool WorkerSessions::LacksCommandEffects(const Machine& machine,
                                         const Heartbeat& heartbeat) const {
  if (!machine.batch || !machine.batch->in_response) return false;
  const auto lists_task_of = [&](const WorkerCommand& command) {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                       [&](const TaskStatus& status) {
                         return status.task == command.task &&
                                status.attempt == command.attempt &&
                                status.job_id == command.job_id;
                       });
  };
  return std::any_of(
      machine.batch->commands.begin(), machine.batch->commands.end(),
      [&](const WorkerCommand& command) {
        return command.kind == CommandKind::kStart && !lists_task_of(command);
      });
}

void WorkerSessions::LogReachabilityChange(const Machine& machine,
                                           ReachabilityState before) {
  const ReachabilityState after = machine.reachability.state();
  if (after == before) return;
  cluster_.MarkChanged();
  if (after == ReachabilityState::kReceivesNoResponses) {
    context_.Log("machine sends heartbeats but receives no responses",
                 {{"host", machine.host()}});
  } else if (before == ReachabilityState::kReceivesNoResponses) {
    context_.Log("machine receives responses again",
                 {{"host", machine.host()}});
  }
}

void WorkerSessions::ApplyPreemptionNotice(Machine& machine,
                                           double notice_seconds, Time now) {
  const Time until = now + notice_seconds;
  if (!machine.notice_until) {
    machine.notice_until = until;
    machine_lifecycle_.Drain(machine, now, "spot notice");
  }
  machine.notice_until = std::min(*machine.notice_until, until);
}

}  // namespace oxbow
