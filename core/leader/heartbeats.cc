// The workers' heartbeats and answers: which are news, what an answer carries,
// and whether what is sent has an effect.

#include <algorithm>
#include <utility>

#include "core/leader/leader.h"
#include "core/leader/machine_limits.h"

namespace oxbow {

Machine& Leader::MachineForHeartbeat(const Heartbeat& heartbeat, Time now) {
  Machine* m = FindMachine(heartbeat.host);
  if (m == nullptr) {
    m = &AddMachine(heartbeat.host,
                    {heartbeat.type, heartbeat.zone, heartbeat.spot, "",
                     now + wall_minus_steady_, 0});
    m->requested_at = now;
    // While the key-value store's memory is being written back, a machine that
    // lives may be in no record.
    m->stranger = catalog_.epoch().rebuilt;
  }
  if (m->state() == MachineState::kBooting) {
    m->Change(MachineState::kUp);
    m->idle_since = now;
    Log("machine " + heartbeat.host + " is up: " + heartbeat.type + " in " +
        heartbeat.zone + (heartbeat.spot ? " (spot)" : ""));
  }
  if (m->endpoint != heartbeat.endpoint) m->endpoint = heartbeat.endpoint;
  // No task goes there before the record stands: a new leader must know every
  // machine that can hold one.
  // A copy of what a deleted machine said must write none: old jobs would wait
  // for it. A stranger shows our token first.
  if (m->stranger && heartbeat.token >= m->token) m->stranger = false;
  if (!m->recorded_up && m->state() == MachineState::kUp && !m->stranger) {
    writes_.Queue(
        {WriteKind::kMachineUp, heartbeat.host, TerminalState::kNone, {}});
    writes_.Flush(now);
  }
  return *m;
}

// Whether a message tells something that is not known. If not, it is a copy,
// was held back, was overtaken, or is of the past of an incarnation.
bool Leader::IsNews(const Machine& m, const Heartbeat& heartbeat,
                    Time now) const {
  if (!m.incarnation.MayBeNews(heartbeat.incarnation)) return false;
  if (heartbeat.incarnation != m.incarnation.number()) return true;
  return heartbeat.seq > m.seq &&
         !m.reachability.MustBeOld(heartbeat.token,
                                   settings_.workers.lease_seconds,
                                   zones_.MayBeRenewed(m.zone, now), now);
}

// Whether the worker may be waiting for the answer to this report. One that
// was overtaken by the answer to an order or a probe was sent before that was
// made, and is waited for no longer than 4 s. Each answer to a heartbeat moves
// on the time until which the machine's tasks may live: for a dead machine,
// copies of its heartbeats do so for 4 s after the last news of it and not for
// ever.
bool Leader::WorkerMayAwaitResponse(const Machine& m,
                                    const Heartbeat& heartbeat,
                                    Time now) const {
  if (IsNews(m, heartbeat, now)) return true;
  return heartbeat.incarnation == m.incarnation.number() &&
         m.incarnation.alive() && heartbeat.seq <= m.seq &&
         now - m.last_heard <= kHeartbeatTimeoutSeconds * (1 + kDrift);
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
  Machine& m = MachineForHeartbeat(heartbeat, now);
  if (AllowsLeaseToExpire(m, heartbeat.token, now)) {
    ApplyHeartbeat(m, heartbeat, /*by_heartbeat=*/false, now);
    Settle(now);
    reply.withheld = true;
    return reply;
  }
  // Even one that is no news: its worker takes the answer as a renewal.
  m.incarnation.Change(IncarnationEvent::kAnswered, 0, now);
  if (m.first_answer < started_) m.first_answer = now;
  m.last_answer = now;
  const bool news = IsNews(m, heartbeat, now);
  answering_ = &m;
  ApplyHeartbeat(m, heartbeat, /*by_heartbeat=*/true, now);
  answering_ = nullptr;
  DropLateStarts(m, now);
  if (news) {
    m.last_heartbeat = now;
    m.forwarded = heartbeat.forwarded;
  }
  if (m.reachability.WantsQuestion(now)) {
    RaiseFencingToken(m);
    m.reachability.Asked(m.token);
  }
  if ((now < m.direct_broken_until || HasCalendarStart(m)) && !m.batch &&
      m.confirmed() && !m.queue.empty()) {
    Batch batch{next_batch_++, {}, /*in_response=*/true};
    batch.commands.assign(m.queue.begin(), m.queue.end());
    m.queue.clear();
    for (auto& [key, r] : m.task_attempts) {
      if (r.start_progress == StartProgress::kQueued)
        r.start_progress = StartProgress::kSent;
    }
    reply.commands = batch.commands;
    m.batch = std::move(batch);
  }
  AddStopCommands(m, &reply);
  reply.token = m.token;
  if (news) {
    m.reachability.Answered(heartbeat.seq, m.token, heartbeat.token,
                            settings_.workers.lease_seconds,
                            zones_.MayBeRenewed(m.zone, now), now);
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
bool Leader::AllowsLeaseToExpire(const Machine& m, uint64_t shown,
                                 Time now) const {
  return m.recorded_up && !m.reported && m.first_answer >= started_ &&
         (std::max(m.seen_fencing_token, shown) >> kTokenBits) < term_ &&
         now > TasksMayLiveUntil(m.first_answer,
                                 settings_.workers.lease_seconds) +
                   kHeartbeatTimeoutSeconds;
}

bool Leader::LeaseExpired(const Machine& m, Time now) const {
  return AllowsLeaseToExpire(m, m.seen_fencing_token, now) &&
         !zones_.MayBeRenewed(m.zone, now) &&
         now >
             TasksMayLiveUntil(m.last_answer, settings_.workers.lease_seconds);
}

// An answer renews the lease, and may be the only one for long that gets
// through. So each has the commands to end what must not be there any more;
// repeating one does no harm, and they count for nothing else.
void Leader::AddStopCommands(const Machine& m, HeartbeatResponse* reply) const {
  for (const auto& [key, r] : m.task_attempts) {
    if (reply->commands.size() >= kMaxCommandsPerBatch) return;
    if (r.job == nullptr || r.phase == TaskPhase::kExited ||
        r.start_progress == StartProgress::kQueued ||
        !r.job->ended_by_record()) {
      continue;
    }
    reply->commands.push_back(
        {CommandKind::kStop, r.job_id, r.task, r.attempt, 0});
  }
}

void Leader::OnProbeAnswer(const Heartbeat& heartbeat, Time now) {
  if (gone_hosts_.contains(heartbeat.host)) return;
  Machine& m = MachineForHeartbeat(heartbeat, now);
  ApplyHeartbeat(m, heartbeat, /*by_heartbeat=*/false, now);
  DispatchCommands(m, now);
  Settle(now);
}

void Leader::ApplyHeartbeat(Machine& m, const Heartbeat& heartbeat,
                            bool by_heartbeat, Time now) {
  if (!IsNews(m, heartbeat, now)) return;
  if (heartbeat.token > m.token && (heartbeat.token >> kTokenBits) > term_) {
    if (!resigned_) {
      actions_.push_back(Resign{m.host() + " has seen a newer leader's token"});
    }
    resigned_ = true;
    return;
  }
  const ReachabilityState before = m.reachability.state();
  const bool met = m.incarnation.number() > 0;
  if (m.incarnation.Change(IncarnationEvent::kShown, heartbeat.incarnation,
                           now)) {
    if (met) m.reachability.IncarnationEnded(settings_.workers, now);
    MarkAllLost(m, "its lease expired, new session");
  }
  if (by_heartbeat) {
    m.reachability.Reported(
        heartbeat.seq, heartbeat.token, now - m.last_heartbeat,
        MissesCommandEffects(m, heartbeat), settings_.workers, now);
  }
  m.reachability.Shown(heartbeat.token, m.token, settings_.workers, now);
  LogReachabilityChange(m, before);
  m.seq = heartbeat.seq;
  m.seen_fencing_token = std::max(m.seen_fencing_token, heartbeat.token);
  m.last_heard = now;
  if (m.batch && ((m.batch_lost && heartbeat.token >= m.token) ||
                  (m.batch->in_response && by_heartbeat))) {
    AcknowledgeBatch(m);
  }
  if (m.confirmed() && !m.reported) {
    m.reported = true;
    dirty_ = true;
  }
  for (const TaskStatus& task : heartbeat.tasks) {
    const auto it =
        m.task_attempts.find({task.job_id, task.task, task.attempt});
    if (it == m.task_attempts.end()) {
      AdoptRunningTask(m, task, now);
    } else {
      it->second.last_seq = heartbeat.seq;
      UpdateAttempt(m, it->second, task, now);
    }
  }
  std::vector<TaskAttemptKey> gone;
  for (const auto& [key, r] : m.task_attempts) {
    // Not listed, and nothing sent can still bring it: it is not there.
    if (r.last_seq != heartbeat.seq &&
        r.start_progress == StartProgress::kSettled) {
      gone.push_back(key);
    }
  }
  for (const TaskAttemptKey& key : gone) RemoveAttempt(m, key);
  if (heartbeat.notice_seconds) {
    const Time until = now + *heartbeat.notice_seconds;
    if (!m.notice_until) {
      m.notice_until = until;
      Drain(m, now, "spot notice");
    }
    m.notice_until = std::min(*m.notice_until, until);
  }
  if (m.task_attempts.empty()) {
    if (m.idle_since <= 0) m.idle_since = now;
  } else {
    m.idle_since = 0;
  }
  DispatchCommands(m, now);
}

// Whether a heartbeat lacks what commands in the answer before it must have
// brought.
bool Leader::MissesCommandEffects(const Machine& m,
                                  const Heartbeat& heartbeat) const {
  if (!m.batch || !m.batch->in_response) return false;
  return std::any_of(m.batch->commands.begin(), m.batch->commands.end(),
                     [&](const WorkerCommand& o) {
                       return o.kind == CommandKind::kStart &&
                              std::none_of(heartbeat.tasks.begin(),
                                           heartbeat.tasks.end(),
                                           [&](const TaskStatus& t) {
                                             return t.task == o.task &&
                                                    t.attempt == o.attempt &&
                                                    t.job_id == o.job_id;
                                           });
                     });
}

void Leader::LogReachabilityChange(const Machine& m, ReachabilityState before) {
  const ReachabilityState after = m.reachability.state();
  if (after == before) return;
  dirty_ = true;
  if (after == ReachabilityState::kDeaf) {
    Log("machine " + m.host() + " reports, but answers have no effect there");
  } else if (before == ReachabilityState::kDeaf) {
    Log("machine " + m.host() + " hears again");
  }
}

}  // namespace oxbow
