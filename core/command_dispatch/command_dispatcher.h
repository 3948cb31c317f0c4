// Commands to the workers: queued per machine, sent in batches, one batch at a
// time, acknowledged or retried. Owns the queues and batches of the machines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MaintenanceManager;

class CommandDispatcher {
 public:
  // The modules that it calls.
  struct Modules {
    MaintenanceManager& maintenance;
  };
  CommandDispatcher(LeaderContext& context, const Modules& modules);

  void QueueStop(Machine& machine, TaskAttempt& attempt, double grace_seconds,
                 Time now);
  void QueueForget(Machine& machine, TaskAttempt& attempt);
  void StopTasks(Job& job, double grace_seconds, Time now);
  void StopJob(Job& job, Time now);
  void AcknowledgeBatch(Machine& machine);
  void RaiseFencingToken(Machine& machine);
  void DispatchCommands(Machine& machine, Time now);
  // The machine's heartbeat is being answered, until it is called with null:
  // starts that may go in a heartbeat response only wait for it.
  void SetRespondingTo(const Machine* machine) { responding_to_ = machine; }
  // Puts the queued commands into the response, where they may not, or can't,
  // go to the worker directly.
  void FillResponse(Machine& machine, HeartbeatResponse* response, Time now);
  // The outcome of a batch that was sent to the worker's address.
  void OnCommandResponse(Machine& target, uint64_t batch,
                         CommandOutcome outcome, Time now);

 private:
  void OnDirectCommandFailed(Machine& machine, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  std::vector<Action>& actions_;
  MaintenanceManager& maintenance_;
  uint64_t next_batch_ = 1;
  const Machine* responding_to_ = nullptr;  // whose heartbeat is being answered
};

}  // namespace oxbow
