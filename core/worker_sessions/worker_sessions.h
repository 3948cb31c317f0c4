// What heartbeats change: incarnation, fencing token and lease of each worker,
// and the state of its task attempts. Decides which heartbeats are news and
// which are answered. Owns the delegated leases.
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
#include "core/lease/delegated_lease.h"

namespace oxbow {

class CommandDispatcher;
class JobLifecycle;
class MaintenanceManager;
class Reconciler;
class MachineLifecycle;

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
  // `delegates`: who may hold a delegated lease of the workers in its zone, as
  // of the beginning of this leadership; nothing: that is not known.
  WorkerSessions(LeaderContext& context, const Modules& modules,
                 const std::optional<std::set<std::string>>& delegates);

  // Around the ExpireIfOver of all machines.
  void BeginTick();
  void EndTick(Time now);
  // Takes what is on the machine for lost once its lease has surely expired.
  // Only while the right to lead rests on the leader key's lease.
  void ExpireIfOver(Machine& machine, Time now);
  DelegatedLeases& delegated_leases() { return zones_; }
  // Whether the machine's incarnation is over: not while somebody in its zone
  // may have kept it alive.
  bool IncarnationExpired(const Machine& machine, Time now);
  void Expire(Machine& machine, Time now);
  bool LeaseExpired(const Machine& machine, Time now) const;
  void ApplyHeartbeat(Machine& machine, const Heartbeat& heartbeat,
                      bool by_heartbeat, Time now);
  // Whether nothing is in a zone that must be gone before a right to keep its
  // workers could run out.
  bool ZoneSettled(const std::string& zone, Time now) const;
  // A controller asks for the right to keep the workers of its zone, should it
  // be cut off. `life`, `age`: of its process, s.
  bool OnDelegationAsked(const std::string& peer,
                         const std::string& process_incarnation, double age,
                         Time now);
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  // False if it is from a machine that is deleted.
  bool OnProbeAnswer(const Heartbeat& heartbeat, Time now);

 private:
  Machine& MachineForHeartbeat(const Heartbeat& heartbeat, Time now);
  bool IsNews(const Machine& machine, const Heartbeat& heartbeat,
              Time now) const;
  bool WorkerMayAwaitResponse(const Machine& machine,
                              const Heartbeat& heartbeat, Time now) const;
  bool AllowsLeaseToExpire(const Machine& machine, FencingToken shown,
                           Time now) const;
  void AddStopCommands(const Machine& machine, HeartbeatResponse* reply) const;
  bool MissesCommandEffects(const Machine& machine,
                            const Heartbeat& heartbeat) const;
  void LogReachabilityChange(const Machine& machine, ReachabilityState before);
  void AdoptRunningTask(Machine& machine, const TaskStatus& task, Time now);
  void UpdateAttempt(Machine& machine, TaskAttempt& attempt,
                     const TaskStatus& task, Time now);
  void OnExit(Machine& machine, TaskAttempt& attempt, const TaskStatus& task,
              Time now);

  LeaderContext& context_;
  const Settings& settings_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  CommandDispatcher& dispatcher_;
  JobLifecycle& job_lifecycle_;
  MaintenanceManager& maintenance_;
  Reconciler& reconciler_;
  MachineLifecycle& machine_lifecycle_;
  RunTimeEstimates& run_times_;
  DelegatedLeases zones_;
  // In this tick: a delegate may have renewed a silent incarnation.
  bool incarnations_unsettled_ = false;
  Time next_delegates_read_ = 0;
};

}  // namespace oxbow
