// The workers' heartbeats and answers: which are news, what an answer carries,
// and whether what is sent has an effect.

#include <algorithm>
#include <utility>

#include "core/leader/leader.h"
#include "core/leader/machine_limits.h"

namespace oxbow {

Machine& Leader::MachineForHeartbeat(const Heartbeat& heartbeat, Time now) {
  Machine* machine = FindMachine(heartbeat.host);
  if (machine == nullptr) {
    machine = &AddMachine(heartbeat.host,
                          {heartbeat.type, heartbeat.zone, heartbeat.spot, "",
                           now + wall_minus_steady_, 0});
    machine->requested_at = now;
    // While the key-value store's memory is being written back, a machine that
    // lives may be in no record.
    machine->stranger = catalog_.epoch().rebuilt;
  }
  if (machine->state() == MachineState::kBooting) {
    machine->Change(MachineState::kUp);
    machine->idle_since = now;
    Log("machine " + heartbeat.host + " is up: " + heartbeat.type + " in " +
        heartbeat.zone + (heartbeat.spot ? " (spot)" : ""));
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
bool Leader::IsNews(const Machine& machine, const Heartbeat& heartbeat,
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
bool Leader::WorkerMayAwaitResponse(const Machine& machine,
                                    const Heartbeat& heartbeat,
                                    Time now) const {
  if (IsNews(machine, heartbeat, now)) return true;
  return heartbeat.incarnation == machine.incarnation.number() &&
         machine.incarnation.alive() && heartbeat.seq <= machine.seq &&
         now - machine.last_heard <= kHeartbeatTimeoutSeconds * (1 + kDrift);
}

HeartbeatResponse Leader::OnHeartbeat(const Heartbeat& heartbeat, Time now) {
  HeartbeatResponse reply;
  if (gone_hosts_.contains(heartbeat.host)) {
    // A late message from a deleted machine.
    reply.refused = true;
    return reply;
  }
  const Machine* known = FindMachine(heartbeat.host);
  if (known != nullptr && !WorkerMayAwaitResponse(*known, heartbeat, now)) {
    reply.refused = true;
    return reply;
  }
  Machine& machine = MachineForHeartbeat(heartbeat, now);
  if (AllowsLeaseToExpire(machine, heartbeat.token, now)) {
    ApplyHeartbeat(machine, heartbeat, /*by_heartbeat=*/false, now);
    Settle(now);
    reply.withheld = true;
    return reply;
  }
  // Even one that is no news: its worker takes the answer as a renewal.
  machine.incarnation.Change(IncarnationEvent::kAnswered, 0, now);
  if (machine.first_answer < started_) machine.first_answer = now;
  machine.last_answer = now;
  const bool news = IsNews(machine, heartbeat, now);
  answering_ = &machine;
  ApplyHeartbeat(machine, heartbeat, /*by_heartbeat=*/true, now);
  answering_ = nullptr;
  DropLateStarts(machine, now);
  if (news) {
    machine.last_heartbeat = now;
    machine.forwarded = heartbeat.forwarded;
  }
  if (machine.reachability.WantsQuestion(now)) {
    RaiseFencingToken(machine);
    machine.reachability.Asked(machine.token);
  }
  if ((now < machine.direct_broken_until || HasCalendarStart(machine)) &&
      !machine.batch && machine.confirmed() && !machine.queue.empty()) {
    Batch batch{next_batch_++, {}, /*in_response=*/true};
    batch.commands.assign(machine.queue.begin(), machine.queue.end());
    machine.queue.clear();
    for (auto& [key, attempt] : machine.task_attempts) {
      if (attempt.start_progress == StartProgress::kQueued)
        attempt.start_progress = StartProgress::kSent;
    }
    reply.commands = batch.commands;
    machine.batch = std::move(batch);
  }
  AddStopCommands(machine, &reply);
  reply.token = machine.token;
  if (news) {
    machine.reachability.Answered(heartbeat.seq, machine.token, heartbeat.token,
                                  settings_.workers.lease_seconds,
                                  zones_.MayBeRenewed(machine.zone, now), now);
  }
  Settle(now);
  return reply;
}

// Whether the machine has heard nothing of this leader for so long that its
// lease has ended: in a whole one no answer has had an effect, and neither has
// an order. No more are given until the last has surely ended as well: then
// what former leaders have started there and sent there is over, whatever it
// shows. As long as it was answered, a machine that reports and hears nothing
// kept every old job, and every job of a capped team, waiting without an end.
bool Leader::AllowsLeaseToExpire(const Machine& machine, uint64_t shown,
                                 Time now) const {
  return machine.recorded_up && !machine.reported &&
         machine.first_answer >= started_ &&
         (std::max(machine.seen_fencing_token, shown) >> kTokenBits) < term_ &&
         now > TasksMayLiveUntil(machine.first_answer,
                                 settings_.workers.lease_seconds) +
                   kHeartbeatTimeoutSeconds;
}

bool Leader::LeaseExpired(const Machine& machine, Time now) const {
  return AllowsLeaseToExpire(machine, machine.seen_fencing_token, now) &&
         !zones_.MayBeRenewed(machine.zone, now) &&
         now > TasksMayLiveUntil(machine.last_answer,
                                 settings_.workers.lease_seconds);
}

// An answer renews the lease, and may be the only one for long that gets
// through. So each has the commands to end what must not be there any more;
// repeating one does no harm, and they count for nothing else.
void Leader::AddStopCommands(const Machine& machine,
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

void Leader::OnProbeAnswer(const Heartbeat& heartbeat, Time now) {
  if (gone_hosts_.contains(heartbeat.host)) return;
  Machine& machine = MachineForHeartbeat(heartbeat, now);
  ApplyHeartbeat(machine, heartbeat, /*by_heartbeat=*/false, now);
  DispatchCommands(machine, now);
  Settle(now);
}

void Leader::ApplyHeartbeat(Machine& machine, const Heartbeat& heartbeat,
                            bool by_heartbeat, Time now) {
  if (!IsNews(machine, heartbeat, now)) return;
  if (heartbeat.token > machine.token &&
      (heartbeat.token >> kTokenBits) > term_) {
    if (!resigned_) {
      actions_.push_back(
          Resign{machine.host() + " has seen a newer leader's token"});
    }
    resigned_ = true;
    return;
  }
  const ReachabilityState before = machine.reachability.state();
  const bool met = machine.incarnation.number() > 0;
  if (machine.incarnation.Change(IncarnationEvent::kShown,
                                 heartbeat.incarnation, now)) {
    if (met) machine.reachability.IncarnationEnded(settings_.workers, now);
    MarkAllLost(machine, "its lease expired, new session");
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
    AcknowledgeBatch(machine);
  }
  if (machine.confirmed() && !machine.reported) {
    machine.reported = true;
    dirty_ = true;
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
  for (const TaskAttemptKey& key : gone) RemoveAttempt(machine, key);
  if (heartbeat.notice_seconds) {
    const Time until = now + *heartbeat.notice_seconds;
    if (!machine.notice_until) {
      machine.notice_until = until;
      Drain(machine, now, "spot notice");
    }
    machine.notice_until = std::min(*machine.notice_until, until);
  }
  if (machine.task_attempts.empty()) {
    if (machine.idle_since <= 0) machine.idle_since = now;
  } else {
    machine.idle_since = 0;
  }
  DispatchCommands(machine, now);
}

// Whether a heartbeat lacks what commands in the answer before it must have
// brought.
bool Leader::MissesCommandEffects(const Machine& machine,
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

void Leader::LogReachabilityChange(const Machine& machine,
                                   ReachabilityState before) {
  const ReachabilityState after = machine.reachability.state();
  if (after == before) return;
  dirty_ = true;
  if (after == ReachabilityState::kDeaf) {
    Log("machine " + machine.host() +
        " reports, but answers have no effect there");
  } else if (before == ReachabilityState::kDeaf) {
    Log("machine " + machine.host() + " hears again");
  }
}

}  // namespace oxbow
