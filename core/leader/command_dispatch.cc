// Orders to the workers: queued, sent in batches, answered or not.

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "core/leader/leader.h"
#include "core/leader/machine_limits.h"

namespace oxbow {

void Leader::QueueStop(Machine& m, TaskAttempt& r, double grace_seconds,
                       Time now) {
  if (r.phase == TaskPhase::kExited) return;
  if (r.start_progress == StartProgress::kQueued) {
    // Its start was never sent, so it is not there.
    RemoveAttempt(m, KeyOf(r));
    return;
  }
  SetStopping(m, r, true);
  r.stop_grace = grace_seconds;
  r.stop_sent = now;
  m.queue.push_back(
      {CommandKind::kStop, r.job_id, r.task, r.attempt, grace_seconds});
  DispatchCommands(m, now);
}

void Leader::QueueForget(Machine& m, TaskAttempt& r) {
  // A start of this attempt that is still under way would be executed anew
  // once the worker has forgotten it; the batch has to be settled first.
  if (r.forgetting || r.phase != TaskPhase::kExited) return;
  if (!m.confirmed() || m.batch_lost) return;  // asked again by TickMachine
  r.forgetting = true;
  m.queue.push_back({CommandKind::kForget, r.job_id, r.task, r.attempt, 0});
}

// Stops every task of the job that is not being stopped already.
void Leader::StopTasks(Job& job, double grace_seconds, Time now) {
  for (const auto& [m, key] : AttemptsOf(job)) {
    const auto it = m->task_attempts.find(key);
    if (it != m->task_attempts.end() && !it->second.stopping) {
      QueueStop(*m, it->second, grace_seconds, now);
    }
  }
}

// The job's end is recorded: its tasks go, its exits are forgotten.
void Leader::StopJob(Job& job, Time now) {
  for (const auto& [m, key] : AttemptsOf(job)) {
    const auto it = m->task_attempts.find(key);
    if (it == m->task_attempts.end()) continue;
    TaskAttempt& r = it->second;
    if (r.phase == TaskPhase::kExited) {
      QueueForget(*m, r);
    } else if (!r.stopping || r.stop_grace > 0) {
      QueueStop(*m, r, 0, now);
    }
  }
  for (const auto& [index, presence] : job.presence()) {
    DispatchCommands(*machines_[static_cast<size_t>(index)], now);
  }
}

void Leader::AcknowledgeBatch(Machine& m) {
  for (const WorkerCommand& o : m.batch->commands) {
    if (o.kind != CommandKind::kStart) continue;
    const auto it = m.task_attempts.find({o.job_id, o.task, o.attempt});
    if (it != m.task_attempts.end())
      it->second.start_progress = StartProgress::kSettled;
  }
  m.batch.reset();
  m.batch_lost = false;
}

void Leader::RaiseFencingToken(Machine& m) {
  const uint64_t next = NextNumber();
  if (next > m.token) m.token = next;
}

// Sends what is queued, one batch at a time. An empty batch under a token the
// worker has not shown yet settles what an earlier leader may have sent.
void Leader::DispatchCommands(Machine& m, Time now) {
  if (m.batch || m.endpoint.empty() || !m.incarnation.alive() || resigned_ ||
      now < m.direct_broken_until || m.state() == MachineState::kGone ||
      m.state() == MachineState::kBooting) {
    return;
  }
  // While a question is open its token must not go this way.
  if (m.queue.empty() && (m.confirmed() || m.reachability.asks())) return;
  // Its report's answer takes everything: what went by itself now would be
  // under way, and no start could go with the answer.
  const bool in_answer = HasCalendarStart(m);
  if (in_answer && answering_ == &m) return;
  if (in_answer && m.confirmed() &&
      std::all_of(m.queue.begin(), m.queue.end(), [&](const WorkerCommand& o) {
        return SentInHeartbeatResponse(o);
      })) {
    return;
  }
  std::deque<WorkerCommand> stay;
  Batch batch{next_batch_++, {}, false};
  while (!m.queue.empty() && batch.commands.size() < kMaxCommandsPerBatch) {
    WorkerCommand command = std::move(m.queue.front());
    m.queue.pop_front();
    if (in_answer && SentInHeartbeatResponse(command)) {
      stay.push_back(std::move(command));
      continue;
    }
    if (command.kind == CommandKind::kStart) {
      const auto it =
          m.task_attempts.find({command.job_id, command.task, command.attempt});
      if (it == m.task_attempts.end()) continue;
      it->second.start_progress = StartProgress::kSent;
    }
    batch.commands.push_back(std::move(command));
  }
  m.reachability.CommandsSent(m.token);
  m.queue.insert(m.queue.begin(), std::make_move_iterator(stay.begin()),
                 std::make_move_iterator(stay.end()));
  actions_.push_back(SendCommands{m.host(), m.endpoint, batch.id, m.token,
                                  m.incarnation.number(), batch.commands});
  m.batch = std::move(batch);
}

// A worker whose heartbeats get through while nothing reaches its address must
// hear its commands in the responses. After an unanswered order it takes two
// reports until its token is confirmed; a pause of one, each time, had put
// every second try on the broken way again, and a cancelled task outlived the
// time it is given.
void Leader::OnDirectCommandFailed(Machine& m, Time now) {
  constexpr uint32_t kMostDoublings = 4;
  const uint32_t doublings = std::min(m.direct_failures++, kMostDoublings);
  const double heartbeats = doublings == 0 ? 1 : 1.5 * (1 << doublings);
  m.direct_broken_until =
      now + std::min(heartbeats * settings_.workers.heartbeat_interval_seconds,
                     settings_.workers.lease_seconds);
}

void Leader::OnCommandResponse(const std::string& host, uint64_t batch,
                               CommandOutcome outcome,
                               const Heartbeat* heartbeat, Time now) {
  Machine* m = FindMachine(host);
  if (m == nullptr) return;
  if (m->batch && m->batch->id == batch && !m->batch_lost) {
    switch (outcome) {
      case CommandOutcome::kExecuted:
      case CommandOutcome::kRefused: {
        // Forgotten exits go before the heartbeat is read: it no longer has
        // them.
        const std::vector<WorkerCommand> commands = m->batch->commands;
        m->direct_failures = 0;
        AcknowledgeBatch(*m);
        if (outcome == CommandOutcome::kRefused) {
          for (const WorkerCommand& o : commands) {
            if (o.kind == CommandKind::kStart) continue;
            const auto it =
                m->task_attempts.find({o.job_id, o.task, o.attempt});
            if (it == m->task_attempts.end()) continue;
            SetStopping(*m, it->second, false);
            it->second.forgetting = false;
          }
        }
        break;
      }
      case CommandOutcome::kNotSent: {
        // Certainly not executed. Starts go elsewhere; the rest is kept.
        std::vector<WorkerCommand> commands = std::move(m->batch->commands);
        m->batch.reset();
        OnDirectCommandFailed(*m, now);
        for (auto it = commands.rbegin(); it != commands.rend(); ++it) {
          if (it->kind == CommandKind::kStart) {
            RemoveAttempt(*m, {it->job_id, it->task, it->attempt});
          } else {
            m->queue.push_front(std::move(*it));
          }
        }
        break;
      }
      case CommandOutcome::kUnknown:
        // It may be executed minutes from now, unless the worker has by then
        // seen a higher token.
        m->batch_lost = true;
        OnDirectCommandFailed(*m, now);
        for (const WorkerCommand& o : m->batch->commands) {
          const auto it = m->task_attempts.find({o.job_id, o.task, o.attempt});
          if (it == m->task_attempts.end() || o.kind == CommandKind::kStart)
            continue;
          SetStopping(*m, it->second, false);
          it->second.forgetting = false;
        }
        RaiseFencingToken(*m);
        Log("orders to " + host + " unanswered, token raised");
        break;
    }
  }
  if (heartbeat != nullptr)
    ApplyHeartbeat(*m, *heartbeat, /*by_heartbeat=*/false, now);
  DispatchCommands(*m, now);
  Settle(now);
}

}  // namespace oxbow
