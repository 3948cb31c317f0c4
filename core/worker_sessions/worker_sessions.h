// The leader's sessions with the workers. A heartbeat updates the incarnation,
// fencing token, lease and reachability of its worker and, through
// TaskAttemptTracker, the task attempts on its machine. This module decides
// which heartbeats are new, which of them are answered, and when the lease of a
// silent worker has certainly expired. Owns the delegated leases.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/lease/delegated_lease.h"
#include "core/worker_sessions/task_attempt_tracker.h"

namespace oxbow {

class CommandDispatcher;
class JobLifecycle;
class MaintenanceManager;
class Reconciler;
class MachineLifecycle;

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

// One per leadership. Called by the leader for each heartbeat and in each tick.
class WorkerSessions {
 public:
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    JobLifecycle& job_lifecycle;
    MaintenanceManager& maintenance;
    Reconciler& reconciler;
    MachineLifecycle& machine_lifecycle;
  };
  // `delegates`: the controllers that had a recorded delegated lease when this
  // leadership began; nullopt if that is not known.
  WorkerSessions(LeaderContext& context, const Modules& modules,
                 const std::optional<std::set<std::string>>& delegates);

  // --- heartbeats
  // Applies a worker's heartbeat and returns the answer to it.
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  // Applies a worker's answer to a probe. Returns false if the machine has been
  // deleted.
  bool OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  // Applies a heartbeat to its machine; one that is not new changes nothing.
  void ApplyHeartbeat(Machine& machine, const Heartbeat& heartbeat,
                      HeartbeatChannel channel, Time now);

  // --- lease expiry
  // BeginTick, ExpireIfLeaseEnded for each machine and EndTick, in this order,
  // once in each tick of the leader.
  void BeginTick();
  // Marks the tasks on the machine as lost once its worker's lease has
  // certainly expired. To be called only while this controller leads by the
  // lease of the leader key.
  void ExpireIfLeaseEnded(Machine& machine, Time now);
  void EndTick(Time now);
  // How many leases have expired of workers that were heard again afterwards,
  // in a new incarnation.
  uint64_t expired_leases() const { return expired_leases_; }

  // --- delegated leases
  DelegatedLeases& delegated_leases() { return delegated_leases_; }
  // Whether a delegated lease may be granted for the zone: false if it has, or
  // may have, tasks that must have ended before such a lease would expire.
  bool ZoneMayBeDelegated(const std::string& zone, Time now) const;
  // The controller `peer` asks for a delegated lease for the workers in its
  // zone. Returns whether it is granted. `process_incarnation` and `age`, in
  // seconds, are those of that controller's process.
  bool OnDelegationRequested(const std::string& peer,
                             const std::string& process_incarnation, double age,
                             Time now);

 private:
  // --- heartbeats
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

  // --- lease expiry
  bool MustLetLeaseExpire(const Machine& machine, FencingToken shown,
                          Time now) const;
  // Whether the lease has expired of a worker whose heartbeats have been left
  // unanswered for that purpose.
  bool LeaseExpired(const Machine& machine, Time now) const;
  // Whether the lease of the machine's incarnation has expired. False while a
  // delegate in its zone may have renewed that lease; to rule this out, asks
  // the delegates to yield shortly before the lease ends.
  bool IncarnationExpired(const Machine& machine, Time now);
  // Ends the incarnation and marks its tasks as lost.
  void Expire(Machine& machine, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  CommandDispatcher& dispatcher_;
  MaintenanceManager& maintenance_;
  MachineLifecycle& machine_lifecycle_;
  TaskAttemptTracker task_attempts_;
  DelegatedLeases delegated_leases_;
  // Whether this tick has found a silent machine whose lease a delegate may
  // have renewed, so that the records of the delegates are to be read again.
  bool delegates_may_have_renewed_ = false;
  uint64_t expired_leases_ = 0;
  Time next_delegates_read_ = 0;
};

}  // namespace oxbow
