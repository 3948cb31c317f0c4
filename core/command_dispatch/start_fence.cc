#include "core/command_dispatch/start_fence.h"

#include <algorithm>

namespace oxbow {

void StartFence::OnDirectStart(Machine& machine, TaskAttempt& attempt) {
  attempt.start_token = machine.token;
  machine.last_start_token = machine.token;
}

void StartFence::OnAdopted(const Machine& machine, TaskAttempt& attempt) {
  attempt.start_token = machine.last_start_token;
}

bool StartFence::NeedsHigherToken(const Machine& machine) {
  return std::any_of(machine.queue.begin(), machine.queue.end(),
                     [&](const WorkerCommand& command) {
                       if (command.kind != CommandKind::kForget) return false;
                       const auto it = machine.task_attempts.find(
                           {command.job_id, command.task, command.attempt});
                       const FencingToken start_token =
                           it == machine.task_attempts.end()
                               ? machine.last_start_token
                               : it->second.start_token;
                       return machine.token <= start_token;
                     });
}

bool StartFence::RaiseForQueuedForgets(Machine& machine) {
  if (!NeedsHigherToken(machine)) return true;
  return RaiseToken(context_, machine, TokenRaiseReason::kExitsForgotten);
}

bool RaiseToken(LeaderContext& context, Machine& machine,
                TokenRaiseReason reason) {
  // Numbers of the term are scarce, so one that was issued for an attempt
  // serves where it suffices.
  FencingToken next = context.token_source.Latest();
  if (next <= machine.token) next = context.NextToken();
  if (next <= machine.token) return false;
  machine.token = next;
  ++context.counters.tokens_raised.at(static_cast<size_t>(reason));
  context.LogDetail([&] {
    return LogEvent{
        "fencing token raised",
        {{"host", machine.host()},
         {"token", machine.token},
         {"reason", kTokenRaiseReasonNames.at(static_cast<size_t>(reason))}}};
  });
  return true;
}

}  // namespace oxbow
