// What a heartbeat changes: incarnation, fencing token, lease and reachability
// of its worker, and by way of TaskAttemptTracker the task attempts there.
// Decides which heartbeats are new, which are answered, and when the lease of a
// silent worker has surely expired. Owns the delegated leases.
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

// How a heartbeat's content has come.
enum class HeartbeatChannel : uint8_t {
  // The worker has sent it by itself, and it is answered. Only an answer to
  // such a one renews the worker's lease.
  kHeartbeat,
  // In the worker's response to commands or to a probe; or it is not answered.
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
  // `delegates`: controllers with a recorded delegated lease as of the
  // beginning of this leadership; nothing: that is not known.
  WorkerSessions(LeaderContext& context, const Modules& modules,
                 const std::optional<std::set<std::string>>& delegates);

  // --- heartbeats
  // The answer to a worker's heartbeat.
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  // A worker's answer to a probe. False if its machine is deleted.
  bool OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  // Applies a heartbeat to its machine; one that is not new changes nothing.
  void ApplyHeartbeat(Machine& machine, const Heartbeat& heartbeat,
                      HeartbeatChannel channel, Time now);

  // --- lease expiry
  // BeginTick, ExpireIfLeaseEnded for each machine and EndTick, in this order,
  // once in each tick of the leader.
  void BeginTick();
  // Takes what is on the machine for lost once its lease has surely expired.
  // Only while the right to lead rests on the leader key's lease.
  void ExpireIfLeaseEnded(Machine& machine, Time now);
  void EndTick(Time now);
  // Leases that have expired of workers that then sent a heartbeat again.
  uint64_t expired_leases() const { return expired_leases_; }

  // --- delegated leases
  DelegatedLeases& delegated_leases() { return delegated_leases_; }
  // Whether the zone has no task, known or possible, that must be gone before
  // a delegated lease granted now could end.
  bool ZoneMayBeDelegated(const std::string& zone, Time now) const;
  // A controller asks for a delegated lease of the workers in its zone. False:
  // refused. `process_incarnation` and `age` (s) are of its process.
  bool OnDelegationRequested(const std::string& peer,
                             const std::string& process_incarnation, double age,
                             Time now);

 private:
  // --- heartbeats
  // The machine of the heartbeat, added if it is unknown, and up.
  Machine& MachineForHeartbeat(const Heartbeat& heartbeat, Time now);
  Machine& AddUnexpectedMachine(const Heartbeat& heartbeat, Time now);
  void RecordMachineUp(Machine& machine, Time now);
  bool MustRefuse(const Heartbeat& heartbeat, Time now) const;
  bool IsNews(const Machine& machine, const Heartbeat& heartbeat,
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
  bool MissesCommandEffects(const Machine& machine,
                            const Heartbeat& heartbeat) const;
  void LogReachabilityChange(const Machine& machine, ReachabilityState before);
  void ApplyPreemptionNotice(Machine& machine, double notice_seconds, Time now);

  // --- lease expiry
  bool AllowsLeaseToExpire(const Machine& machine, FencingToken shown,
                           Time now) const;
  bool LeaseExpired(const Machine& machine, Time now) const;
  // Whether the machine's incarnation is over: not while a delegate in its zone
  // may have renewed its lease. Asks the delegates to yield before.
  bool IncarnationExpired(const Machine& machine, Time now);
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
  // In this tick: a delegate may have renewed a silent incarnation.
  bool incarnations_unsettled_ = false;
  uint64_t expired_leases_ = 0;
  Time next_delegates_read_ = 0;
};

}  // namespace oxbow
