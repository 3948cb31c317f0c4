// Commands to the workers: queued for each machine and sent in batches, to the
// worker's address or in the response to its heartbeat. One batch at a time is
// in flight for a machine; it is acknowledged, or its outcome is settled by a
// higher fencing token. Changes the queues and batches of the machines.
#pragma once

#include <cstdint>
#include <vector>

#include "core/leader_context/leader_context.h"

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

  // Queues a stop of the attempt and dispatches. The task has `grace_seconds`
  // to save its state. An attempt whose start was never sent is removed, and
  // the reference to it is invalid then.
  void QueueStop(Machine& machine, TaskAttempt& attempt, double grace_seconds,
                 Time now);
  // Queues that the worker may forget an exit. Does nothing while a start of
  // the attempt may still be in flight.
  void QueueForget(Machine& machine, TaskAttempt& attempt);
  // Stops every task of the job that is not being stopped already.
  void StopTasks(Job& job, double grace_seconds, Time now);
  // The end of the job is recorded: its tasks are stopped at once, its exits
  // forgotten.
  void StopJob(Job& job, Time now);

  // Sends what is queued to the worker's address, if no batch is in flight. An
  // empty batch under a token that the worker has not shown yet settles what
  // an earlier leader may have sent.
  void DispatchCommands(Machine& machine, Time now);
  // The outcome of a batch that was sent to the worker's address.
  void OnCommandResponse(Machine& machine, uint64_t batch,
                         CommandOutcome outcome, Time now);
  // The worker has shown the effects of the batch in flight, of which there is
  // one.
  void AcknowledgeBatch(Machine& machine);
  // Gives the machine a new fencing token.
  void RaiseFencingToken(Machine& machine);

  // The machine's heartbeat is being answered, until it is called with null:
  // starts that may be sent in a heartbeat response only wait for it.
  void SetRespondingTo(const Machine* machine) { responding_to_ = machine; }
  // Puts the queued commands into the response, where they may not, or can't,
  // be sent to the worker's address.
  void FillResponse(Machine& machine, HeartbeatResponse* response, Time now);

 private:
  // Whether a batch may be sent to the worker's address now.
  bool MayDispatch(const Machine& machine, Time now) const;
  // Whether there is something to send that need not wait for a response.
  bool HasDirectCommands(const Machine& machine) const;
  // Takes the commands of one batch from the queue.
  std::vector<WorkerCommand> TakeDirectCommands(Machine& machine);
  // Delays the next batch to the worker's address, longer each time.
  void OnDirectCommandFailed(Machine& machine, Time now);
  void OnBatchRefused(Machine& machine);
  void OnBatchNotSent(Machine& machine, Time now);
  void OnBatchOutcomeUnknown(Machine& machine, Time now);
  // Stops and forgets among the commands may have had no effect: they may be
  // queued again.
  void AllowRepetition(Machine& machine,
                       const std::vector<WorkerCommand>& commands);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  std::vector<Action>& actions_;
  MaintenanceManager& maintenance_;
  uint64_t next_batch_ = 1;
  const Machine* responding_to_ = nullptr;  // whose heartbeat is being answered
};

}  // namespace oxbow
