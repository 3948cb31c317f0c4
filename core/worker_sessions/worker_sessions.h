// The leader's sessions with the workers. A heartbeat updates the incarnation,
// fencing token, lease and reachability of its worker and, through
// TaskAttemptTracker, the task attempts on its machine. This module decides
// which heartbeats are new and which of them are answered.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/worker_sessions/task_attempt_tracker.h"

namespace oxbow {

class CommandDispatcher;
class JobLifecycle;
class MaintenanceManager;
class Reconciler;
class MachineLifecycle;
class WorkerLeases;

// The way in which the content of a heartbeat has reached the leader.
enum class HeartbeatChannel : uint8_t {
  // In a heartbeat that the worker has sent of its own accord and that the
  // leader answers. Only the answer to such a heartbeat renews the worker's
  // lease.
  kHeartbeat,
  // In the worker's response to commands or to a probe, or in a heartbeat that
  // the leader does not answer.
  kWorkerResponse,
};

// One per leadership. Called by the leader for each heartbeat.
class WorkerSessions {
 public:
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    JobLifecycle& job_lifecycle;
    MaintenanceManager& maintenance;
    Reconciler& reconciler;
    MachineLifecycle& machine_lifecycle;
    WorkerLeases& leases;
  };
  WorkerSessions(LeaderContext& context, const Modules& modules);

  // Applies a worker's heartbeat and returns the answer to it.
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  // Applies a worker's answer to a probe. Returns false if the machine has been
  // deleted.
  bool OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  // Applies a heartbeat to its machine; one that is not new changes nothing.
  void ApplyHeartbeat(Machine& machine, const Heartbeat& heartbeat,
                      HeartbeatChannel channel, Time now);

 private:
  // Returns the machine that has sent the heartbeat, in the up state if it was
  // booting. Adds the machine if it is unknown.
  Machine& MachineForHeartbeat(const Heartbeat& heartbeat, Time now);
  Machine& AddUnexpectedMachine(const Heartbeat& heartbeat, Time now);
  // Records the machine in the key-value store, once that is allowed.
  void RecordMachineUp(Machine& machine, Time now);
  // Whether the heartbeat must not be answered, since its machine is deleted or
  // its worker no longer waits for the answer.
  bool MustRefuse(const Heartbeat& heartbeat, Time now) const;
  bool IsNewHeartbeat(const Machine& machine, const Heartbeat& heartbeat,
                      Time now) const;
  bool WorkerMayAwaitResponse(const Machine& machine,
                              const Heartbeat& heartbeat, Time now) const;
  HeartbeatResponse Respond(Machine& machine, const Heartbeat& heartbeat,
                            Time now);
  void AddStopCommands(const Machine& machine,
                       HeartbeatResponse* response) const;
  void UpdateIncarnation(Machine& machine, const Heartbeat& heartbeat,
                         Time now);
  void UpdateReachability(Machine& machine, const Heartbeat& heartbeat,
                          HeartbeatChannel channel, Time now);
  bool LacksCommandEffects(const Machine& machine,
                           const Heartbeat& heartbeat) const;
  void LogReachabilityChange(const Machine& machine, ReachabilityState before);
  void ApplyPreemptionNotice(Machine& machine, double notice_seconds, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  CommandDispatcher& dispatcher_;
  MaintenanceManager& maintenance_;
  MachineLifecycle& machine_lifecycle_;
  WorkerLeases& leases_;
  TaskAttemptTracker task_attempts_;
};

}  // namespace oxbow
