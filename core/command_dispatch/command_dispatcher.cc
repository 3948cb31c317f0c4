#include "core/command_dispatch/command_dispatcher.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <string_view>
#include <utility>

#include "core/maintenance/maintenance_manager.h"
#include "core/worker_sessions/machine_limits.h"

namespace oxbow {
namespace {

TaskAttemptKey KeyOf(const WorkerCommand& command) {
  return {command.job_id, command.task, command.attempt};
}

// The attempt that the command refers to, or null if the machine does not have
// it.
TaskAttempt* FindAttempt(Machine& machine, const WorkerCommand& command) {
  const auto it = machine.task_attempts.find(KeyOf(command));
  return it == machine.task_attempts.end() ? nullptr : &it->second;
}

std::string_view NameOf(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::kExecuted:
      return "executed";
    case CommandOutcome::kRefused:
      return "refused";
    case CommandOutcome::kNotSent:
      return "not_sent";
    case CommandOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

CommandDispatcher::CommandDispatcher(LeaderContext& context,
                                     const Modules& modules)
    : context_(context),
      settings_(context.settings),
      cluster_(context.cluster),
      actions_(context.actions),
      maintenance_(modules.maintenance),
      start_fence_(context),
      refusals_log_(context.settings.workers.heartbeat_interval_seconds) {}

void CommandDispatcher::QueueStop(Machine& machine, TaskAttempt& attempt,
                                  double grace_seconds, Time now) {
  if (attempt.phase == TaskPhase::kExited) return;
  if (attempt.start_progress == StartProgress::kQueued) {
    // The start command was never sent, so there is no task to stop.
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
  // A start command for this attempt whose outcome is unknown would be executed
  // once the worker has forgotten the attempt. So that batch must be settled
  // first. StartFence guards against copies of an acknowledged one.
  if (attempt.forgetting || attempt.phase != TaskPhase::kExited) return;
  if (!machine.confirmed() || machine.batch_lost)
    return;  // MachineLifecycle::TickMachine tries again.
  attempt.forgetting = true;
  machine.queue.push_back(
      {CommandKind::kForget, attempt.job_id, attempt.task, attempt.attempt, 0});
}

void CommandDispatcher::StopTasks(Job& job, double grace_seconds, Time now) {
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const auto it = machine->task_attempts.find(key);
    if (it != machine->task_attempts.end() && !it->second.stopping) {
      QueueStop(*machine, it->second, grace_seconds, now);
    }
  }
}

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
    TaskAttempt* attempt = FindAttempt(machine, command);
    if (attempt == nullptr) continue;
    if (command.kind == CommandKind::kStart) {
      attempt->start_progress = StartProgress::kSettled;
    }
    // An exit that the worker still lists was not forgotten: the response with
    // the command was lost.
    if (command.kind == CommandKind::kForget) attempt->forgetting = false;
  }
  machine.batch.reset();
  machine.batch_lost = false;
}

void CommandDispatcher::RaiseFencingToken(Machine& machine,
                                          TokenRaiseReason reason) {
  RaiseToken(context_, machine, reason);
  machine.token_to_confirm = machine.token;
}

bool CommandDispatcher::MayDispatch(const Machine& machine, Time now) const {
  return !machine.batch && !machine.endpoint.empty() &&
         machine.incarnation.alive() && !context_.resigned &&
         now >= machine.direct_commands_disabled_until &&
         machine.state() != MachineState::kDeleted &&
         machine.state() != MachineState::kBooting;
}

bool CommandDispatcher::HasDirectCommands(const Machine& machine) const {
  // An empty batch makes the worker show the current token. The token of a
  // delivery check must not be sent this way, since the check is to prove that
  // heartbeat responses arrive.
  const bool wants_empty_batch =
      !machine.confirmed() && !machine.reachability.needs_proof();
  if (machine.queue.empty() && !wants_empty_batch) return false;
  if (!maintenance_.HasWindowedStart(machine)) return true;
  // While the machine's heartbeat is being answered, all commands wait for the
  // response. A batch sent directly now would be in flight, and then the
  // response could not carry the start commands.
  if (responding_to_ == &machine) return false;
  const bool all_wait_for_response =
      std::all_of(machine.queue.begin(), machine.queue.end(),
                  [&](const WorkerCommand& command) {
                    return maintenance_.RequiresHeartbeatResponse(command);
                  });
  return !machine.confirmed() || !all_wait_for_response;
}

void CommandDispatcher::DispatchCommands(Machine& machine, Time now) {
  if (!MayDispatch(machine, now) || !HasDirectCommands(machine)) return;
  if (!start_fence_.RaiseForQueuedForgets(machine)) return;
  Batch batch{next_batch_++, TakeDirectCommands(machine),
              /*in_response=*/false};
  machine.reachability.OnCommandsSent(machine.token);
  actions_.push_back(SendCommands{machine.host(), machine.endpoint, batch.id,
                                  machine.token, machine.incarnation.number(),
                                  batch.commands});
  LogBatchSent(machine, batch);
  machine.batch = std::move(batch);
}

void CommandDispatcher::LogBatchSent(const Machine& machine,
                                     const Batch& batch) {
  context_.LogDetail([&] {
    std::array<size_t, 3> counts{};  // by kind
    for (const WorkerCommand& command : batch.commands) {
      ++counts.at(static_cast<size_t>(command.kind));
    }
    return LogEvent{"commands sent",
                    {{"host", machine.host()},
                     {"batch", batch.id},
                     {"incarnation", machine.incarnation.number()},
                     {"token", machine.token},
                     {"starts", counts[0]},
                     {"stops", counts[1]},
                     {"forgets", counts[2]}}};
  });
}

std::vector<WorkerCommand> CommandDispatcher::TakeDirectCommands(
    Machine& machine) {
  const bool some_wait_for_response = maintenance_.HasWindowedStart(machine);
  std::vector<WorkerCommand> commands;
  std::deque<WorkerCommand> remaining;
  while (!machine.queue.empty() && commands.size() < kMaxCommandsPerBatch) {
    WorkerCommand command = std::move(machine.queue.front());
    machine.queue.pop_front();
    if (some_wait_for_response &&
        maintenance_.RequiresHeartbeatResponse(command)) {
      remaining.push_back(std::move(command));
      continue;
    }
    if (command.kind == CommandKind::kStart) {
      TaskAttempt* attempt = FindAttempt(machine, command);
      if (attempt == nullptr) continue;
      attempt->start_progress = StartProgress::kSent;
      StartFence::OnDirectStart(machine, *attempt);
    }
    commands.push_back(std::move(command));
  }
  machine.queue.insert(machine.queue.begin(),
                       std::make_move_iterator(remaining.begin()),
                       std::make_move_iterator(remaining.end()));
  return commands;
}

// A worker whose heartbeats arrive while nothing reaches its address must get
// its commands in the heartbeat responses. After an unanswered batch it takes
// two heartbeats until the worker has shown the new token. So from the second
// failure on the pause is longer than that. When it was one heartbeat long,
// every second attempt used the broken path again, and a cancelled task ran for
// longer than a cancellation may take.
void CommandDispatcher::OnDirectCommandFailed(Machine& machine, Time now) {
  constexpr uint32_t kMaxDoublings = 4;
  const uint32_t doublings = std::min(machine.direct_failures++, kMaxDoublings);
  const double heartbeats = doublings == 0 ? 1 : 1.5 * (1 << doublings);
  machine.direct_commands_disabled_until =
      now + std::min(heartbeats * settings_.workers.heartbeat_interval_seconds,
                     settings_.workers.lease_seconds);
}

void CommandDispatcher::FillResponse(Machine& machine,
                                     HeartbeatResponse* response, Time now) {
  const bool direct_path_works = now >= machine.direct_commands_disabled_until;
  if ((direct_path_works && !maintenance_.HasWindowedStart(machine)) ||
      machine.batch || !machine.confirmed() || machine.queue.empty()) {
    return;
  }
  if (!start_fence_.RaiseForQueuedForgets(machine)) return;
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

void CommandDispatcher::OnCommandResponse(
    Machine& machine, uint64_t batch, CommandOutcome outcome,
    std::optional<FencingToken> shown_token, Time now) {
  context_.LogDetail([&] {
    return LogEvent{"commands answered",
                    {{"host", machine.host()},
                     {"batch", batch},
                     {"outcome", NameOf(outcome)},
                     {"shown_token", shown_token.value_or(0)}}};
  });
  if (!machine.batch || machine.batch->id != batch || machine.batch_lost) {
    return;  // The outcome of this batch has been settled by other means.
  }
  switch (outcome) {
    case CommandOutcome::kExecuted:
      machine.direct_failures = 0;
      AcknowledgeBatch(machine);
      break;
    case CommandOutcome::kRefused:
      OnBatchRefused(machine, shown_token, now);
      break;
    case CommandOutcome::kNotSent:
      OnBatchNotSent(machine, now);
      break;
    case CommandOutcome::kUnknown:
      OnBatchOutcomeUnknown(machine, now);
      break;
  }
}

void CommandDispatcher::OnBatchRefused(Machine& machine,
                                       std::optional<FencingToken> shown_token,
                                       Time now) {
  ++context_.counters.batches_refused;
  if (const auto suppressed = refusals_log_.Admit(now)) {
    context_.Log("commands refused by a worker",
                 {{"host", machine.host()},
                  {"batch", machine.batch->id},
                  {"token", machine.token},
                  {"shown_token", shown_token.value_or(0)},
                  {"incarnation", machine.incarnation.number()},
                  {"suppressed", *suppressed}});
  }
  const std::vector<WorkerCommand> commands = machine.batch->commands;
  machine.direct_failures = 0;
  AcknowledgeBatch(machine);
  AllowRequeue(machine, commands);
}

// The commands have certainly not been executed. Tasks that were to be started
// are placed anew, maybe on other machines. The other commands are queued
// again.
void CommandDispatcher::OnBatchNotSent(Machine& machine, Time now) {
  std::vector<WorkerCommand> commands = std::move(machine.batch->commands);
  machine.batch.reset();
  OnDirectCommandFailed(machine, now);
  for (auto it = commands.rbegin(); it != commands.rend(); ++it) {
    if (it->kind == CommandKind::kStart) {
      cluster_.RemoveAttempt(machine, KeyOf(*it));
    } else {
      machine.queue.push_front(std::move(*it));
    }
  }
}

// The batch may still be executed, even minutes from now, unless the worker has
// seen a higher fencing token by then.
void CommandDispatcher::OnBatchOutcomeUnknown(Machine& machine, Time now) {
  machine.batch_lost = true;
  OnDirectCommandFailed(machine, now);
  AllowRequeue(machine, machine.batch->commands);
  RaiseFencingToken(machine, TokenRaiseReason::kCommandsUnanswered);
  context_.Log("commands unanswered, fencing token raised",
               {{"host", machine.host()}, {"token", machine.token}});
}

void CommandDispatcher::AllowRequeue(
    Machine& machine, const std::vector<WorkerCommand>& commands) {
  for (const WorkerCommand& command : commands) {
    if (command.kind == CommandKind::kStart) continue;
    TaskAttempt* attempt = FindAttempt(machine, command);
    if (attempt == nullptr) continue;
    cluster_.SetStopping(machine, *attempt, false);
    attempt->forgetting = false;
  }
}

}  // namespace oxbow
