// Sends commands to the workers. Commands are queued for each machine and leave
// in batches, either directly to the worker's address or in the response to its
// heartbeat. Each machine has at most one batch in flight, until the batch is
// acknowledged or the worker has shown a higher fencing token, after which the
// batch can no longer be executed. Changes the queues and batches of the
// machines.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/command_dispatch/start_fence.h"
#include "core/leader_context/leader_context.h"
#include "core/leader_context/log_limiter.h"

namespace oxbow {

class MaintenanceManager;

// One per leadership. Called by every module that starts or stops tasks.
class CommandDispatcher {
 public:
  // The modules that it calls.
  struct Modules {
    MaintenanceManager& maintenance;
  };
  CommandDispatcher(LeaderContext& context, const Modules& modules);

  // Queues a stop command for the attempt and sends it if possible. The task
  // has `grace_seconds` to save its state. An attempt whose start command was
  // never sent is removed instead, which invalidates the reference to it.
  void QueueStop(Machine& machine, TaskAttempt& attempt, double grace_seconds,
                 Time now);
  // Queues the command that lets the worker forget the attempt's exit and stop
  // reporting it. Does nothing while a start command for the attempt may still
  // be in flight.
  void QueueForget(Machine& machine, TaskAttempt& attempt);
  // Queues stop commands for all tasks of the job that are not being stopped
  // already.
  void StopTasks(Job& job, double grace_seconds, Time now);
  // Called when the end of the job is recorded. Stops its remaining tasks
  // without time to save, and lets the workers forget the exits of the others.
  void StopJob(Job& job, Time now);

  // Sends a batch of queued commands to the worker's address if none is in
  // flight and direct commands may be sent now. The batch may be empty: if the
  // worker has not shown the current fencing token, an empty batch with that
  // token makes sure that no earlier command, of this leader or another, can
  // still be executed.
  void DispatchCommands(Machine& machine, Time now);
  // Handles the outcome of a batch that was sent to the worker's address.
  // `batch` is its id, `shown_token` the token in the worker's response if it
  // has sent one.
  void OnCommandResponse(Machine& machine, uint64_t batch,
                         CommandOutcome outcome,
                         std::optional<FencingToken> shown_token, Time now);
  // The worker has shown the effects of the batch in flight, so the next one
  // may be sent. The machine must have a batch in flight.
  void AcknowledgeBatch(Machine& machine);
  // Gives the machine a higher fencing token that the worker has to confirm.
  // Once the worker has seen it, the worker refuses all commands that carry a
  // lower one.
  void RaiseFencingToken(Machine& machine, TokenRaiseReason reason);

  // Says whose heartbeat is being answered at the moment; null: none. Starts
  // that may only be sent in a heartbeat response then wait for this response.
  void SetRespondingTo(const Machine* machine) { responding_to_ = machine; }
  // Puts the queued commands into the response to the machine's heartbeat if
  // they must not be sent to the worker's address, or if direct commands have
  // failed lately.
  void FillResponse(Machine& machine, HeartbeatResponse* response, Time now);

 private:
  // Whether a batch may be sent to the worker's address now.
  bool MayDispatch(const Machine& machine, Time now) const;
  // Whether there is something to send that need not wait for the next
  // heartbeat response.
  bool HasDirectCommands(const Machine& machine) const;
  // Removes the commands of the next direct batch from the queue and returns
  // them.
  std::vector<WorkerCommand> TakeDirectCommands(Machine& machine);
  // Delays the next batch to the worker's address, longer with each failure.
  void OnDirectCommandFailed(Machine& machine, Time now);
  void OnBatchRefused(Machine& machine, std::optional<FencingToken> shown_token,
                      Time now);
  void OnBatchNotSent(Machine& machine, Time now);
  void OnBatchOutcomeUnknown(Machine& machine, Time now);
  void LogBatchSent(const Machine& machine, const Batch& batch);
  // Lets the stop and forget commands of a batch that may have had no effect be
  // queued again.
  void AllowRequeue(Machine& machine,
                    const std::vector<WorkerCommand>& commands);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  std::vector<Action>& actions_;
  MaintenanceManager& maintenance_;
  StartFence start_fence_;
  LogLimiter refusals_log_;
  uint64_t next_batch_ = 1;
  const Machine* responding_to_ = nullptr;  // its heartbeat is being answered
};

}  // namespace oxbow
