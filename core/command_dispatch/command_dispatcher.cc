#include "core/command_dispatch/command_dispatcher.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "core/maintenance/maintenance_manager.h"
#include "core/worker_sessions/machine_limits.h"

namespace oxbow {

CommandDispatcher::CommandDispatcher(LeaderContext& context,
                                     const Modules& modules)
    : context_(context),
      settings_(context.settings),
      cluster_(context.cluster),
      actions_(context.actions),
      maintenance_(modules.maintenance) {}

void CommandDispatcher::QueueStop(Machine& machine, TaskAttempt& attempt,
                                  double grace_seconds, Time now) {
  if (attempt.phase == TaskPhase::kExited) return;
  if (attempt.start_progress == StartProgress::kQueued) {
    // Its start was never sent, so it is not there.
    cluster_.RemoveAttempt(machine, KeyOf(attempt));
    return;
  }
  cluster_.SetStopping(machine, attempt, true);
  attempt.stop_grace = grace_seconds;
  attempt.stop_sent = now;
  machine.queue.push_back({CommandKind::kStop, attempt.job_id, attempt.task,
                           attempt.attempt, grace_seconds});
  DispatchCommands(machine, now);
}

void CommandDispatcher::QueueForget(Machine& machine, TaskAttempt& attempt) {
  // A start of this attempt that is still under way would be executed anew
  // once the worker has forgotten it; the batch has to be settled first.
  if (attempt.forgetting || attempt.phase != TaskPhase::kExited) return;
  if (!machine.confirmed() || machine.batch_lost)
    return;  // asked again by TickMachine
  attempt.forgetting = true;
  machine.queue.push_back(
      {CommandKind::kForget, attempt.job_id, attempt.task, attempt.attempt, 0});
}

// Stops every task of the job that is not being stopped already.
void CommandDispatcher::StopTasks(Job& job, double grace_seconds, Time now) {
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const auto it = machine->task_attempts.find(key);
    if (it != machine->task_attempts.end() && !it->second.stopping) {
      QueueStop(*machine, it->second, grace_seconds, now);
    }
  }
}

// The job's end is recorded: its tasks go, its exits are forgotten.
void CommandDispatcher::StopJob(Job& job, Time now) {
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const auto it = machine->task_attempts.find(key);
    if (it == machine->task_attempts.end()) continue;
    TaskAttempt& attempt = it->second;
    if (attempt.phase == TaskPhase::kExited) {
      QueueForget(*machine, attempt);
    } else if (!attempt.stopping || attempt.stop_grace > 0) {
      QueueStop(*machine, attempt, 0, now);
    }
  }
  for (const auto& [index, presence] : job.presence()) {
    DispatchCommands(cluster_.machine(index), now);
  }
}

void CommandDispatcher::AcknowledgeBatch(Machine& machine) {
  for (const WorkerCommand& command : machine.batch->commands) {
    if (command.kind != CommandKind::kStart) continue;
    const auto it = machine.task_attempts.find(
        {command.job_id, command.task, command.attempt});
    if (it != machine.task_attempts.end())
      it->second.start_progress = StartProgress::kSettled;
  }
  machine.batch.reset();
  machine.batch_lost = false;
}

void CommandDispatcher::RaiseFencingToken(Machine& machine) {
  const uint64_t next = context_.NextNumber();
  if (next > machine.token) machine.token = next;
}

// Sends what is queued, one batch at a time. An empty batch under a token the
// worker has not shown yet settles what an earlier leader may have sent.
void CommandDispatcher::DispatchCommands(Machine& machine, Time now) {
  if (machine.batch || machine.endpoint.empty() ||
      !machine.incarnation.alive() || context_.resigned ||
      now < machine.direct_broken_until ||
      machine.state() == MachineState::kGone ||
      machine.state() == MachineState::kBooting) {
    return;
  }
  // While a question is open its token must not go this way.
  if (machine.queue.empty() &&
      (machine.confirmed() || machine.reachability.asks()))
    return;
  // Its report's answer takes everything: what went by itself now would be
  // under way, and no start could go with the answer.
  const bool in_answer = maintenance_.HasCalendarStart(machine);
  if (in_answer && responding_to_ == &machine) return;
  if (in_answer && machine.confirmed() &&
      std::all_of(machine.queue.begin(), machine.queue.end(),
                  [&](const WorkerCommand& command) {
                    return maintenance_.SentInHeartbeatResponse(command);
                  })) {
    return;
  }
  std::deque<WorkerCommand> stay;
  Batch batch{next_batch_++, {}, false};
  while (!machine.queue.empty() &&
         batch.commands.size() < kMaxCommandsPerBatch) {
    WorkerCommand command = std::move(machine.queue.front());
    machine.queue.pop_front();
    if (in_answer && maintenance_.SentInHeartbeatResponse(command)) {
      stay.push_back(std::move(command));
      continue;
    }
    if (command.kind == CommandKind::kStart) {
      const auto it = machine.task_attempts.find(
          {command.job_id, command.task, command.attempt});
      if (it == machine.task_attempts.end()) continue;
      it->second.start_progress = StartProgress::kSent;
    }
    batch.commands.push_back(std::move(command));
  }
  machine.reachability.CommandsSent(machine.token);
  machine.queue.insert(machine.queue.begin(),
                       std::make_move_iterator(stay.begin()),
                       std::make_move_iterator(stay.end()));
  actions_.push_back(SendCommands{machine.host(), machine.endpoint, batch.id,
                                  machine.token, machine.incarnation.number(),
                                  batch.commands});
  machine.batch = std::move(batch);
}

// A worker whose heartbeats get through while nothing reaches its address must
// hear its commands in the responses. After an unanswered order it takes two
// reports until its token is confirmed; a pause of one, each time, had put
// every second try on the broken way again, and a cancelled task outlived the
// time it is given.
void CommandDispatcher::OnDirectCommandFailed(Machine& machine, Time now) {
  constexpr uint32_t kMostDoublings = 4;
  const uint32_t doublings =
      std::min(machine.direct_failures++, kMostDoublings);
  const double heartbeats = doublings == 0 ? 1 : 1.5 * (1 << doublings);
  machine.direct_broken_until =
      now + std::min(heartbeats * settings_.workers.heartbeat_interval_seconds,
                     settings_.workers.lease_seconds);
}

void CommandDispatcher::FillResponse(Machine& machine,
                                     HeartbeatResponse* response, Time now) {
  if ((now >= machine.direct_broken_until &&
       !maintenance_.HasCalendarStart(machine)) ||
      machine.batch || !machine.confirmed() || machine.queue.empty()) {
    return;
  }
  Batch batch{next_batch_++, {}, /*in_response=*/true};
  batch.commands.assign(machine.queue.begin(), machine.queue.end());
  machine.queue.clear();
  for (auto& [key, attempt] : machine.task_attempts) {
    if (attempt.start_progress == StartProgress::kQueued) {
      attempt.start_progress = StartProgress::kSent;
    }
  }
  response->commands = batch.commands;
  machine.batch = std::move(batch);
}

void CommandDispatcher::OnCommandResponse(Machine& target, uint64_t batch,
                                          CommandOutcome outcome, Time now) {
  Machine* machine = &target;
  if (machine->batch && machine->batch->id == batch && !machine->batch_lost) {
    switch (outcome) {
      case CommandOutcome::kExecuted:
      case CommandOutcome::kRefused: {
        // Forgotten exits go before the heartbeat is read: it no longer has
        // them.
        const std::vector<WorkerCommand> commands = machine->batch->commands;
        machine->direct_failures = 0;
        AcknowledgeBatch(*machine);
        if (outcome == CommandOutcome::kRefused) {
          for (const WorkerCommand& command : commands) {
            if (command.kind == CommandKind::kStart) continue;
            const auto it = machine->task_attempts.find(
                {command.job_id, command.task, command.attempt});
            if (it == machine->task_attempts.end()) continue;
            cluster_.SetStopping(*machine, it->second, false);
            it->second.forgetting = false;
          }
        }
        break;
      }
      case CommandOutcome::kNotSent: {
        // Certainly not executed. Starts go elsewhere; the rest is kept.
        std::vector<WorkerCommand> commands =
            std::move(machine->batch->commands);
        machine->batch.reset();
        OnDirectCommandFailed(*machine, now);
        for (auto it = commands.rbegin(); it != commands.rend(); ++it) {
          if (it->kind == CommandKind::kStart) {
            cluster_.RemoveAttempt(*machine,
                                   {it->job_id, it->task, it->attempt});
          } else {
            machine->queue.push_front(std::move(*it));
          }
        }
        break;
      }
      case CommandOutcome::kUnknown:
        // It may be executed minutes from now, unless the worker has by then
        // seen a higher token.
        machine->batch_lost = true;
        OnDirectCommandFailed(*machine, now);
        for (const WorkerCommand& command : machine->batch->commands) {
          const auto it = machine->task_attempts.find(
              {command.job_id, command.task, command.attempt});
          if (it == machine->task_attempts.end() ||
              command.kind == CommandKind::kStart)
            continue;
          cluster_.SetStopping(*machine, it->second, false);
          it->second.forgetting = false;
        }
        RaiseFencingToken(*machine);
        context_.Log("orders to " + machine->host() +
                     " unanswered, token raised");
        break;
    }
  }
}

}  // namespace oxbow
