// The leases of the workers, as the leader keeps account of them: decides when
// the lease of a silent worker has certainly expired, and whether a worker's
// heartbeats must stay unanswered so that its lease expires. Owns the delegated
// leases.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "core/leader_context/leader_context.h"
#include "core/lease/delegated_lease.h"

namespace oxbow {

class MachineLifecycle;

// One per leadership. Called by the leader in each tick and by WorkerSessions.
class WorkerLeases {
 public:
  // The modules that it calls.
  struct Modules {
    MachineLifecycle& machine_lifecycle;
  };
  // `delegates`: the controllers that had a recorded delegated lease when this
  // leadership began; nullopt if that is not known.
  WorkerLeases(LeaderContext& context, const Modules& modules,
               const std::optional<std::set<std::string>>& delegates);

  // --- expiry
  // BeginTick, ExpireIfLeaseEnded for each machine and EndTick, in this order,
  // once in each tick of the leader.
  void BeginTick();
  // Marks the tasks on the machine as lost once its worker's lease has
  // certainly expired. To be called only while this controller leads by the
  // lease of the leader key.
  void ExpireIfLeaseEnded(Machine& machine, Time now);
  void EndTick(Time now);
  // Whether the heartbeats of the machine, the latest of which shows the token
  // `shown`, must be left unanswered.
  bool MustLetExpire(const Machine& machine, FencingToken shown,
                     Time now) const;
  // How many leases have expired of workers that were heard again afterwards,
  // in a new incarnation.
  uint64_t expired_leases() const { return expired_leases_; }
  // Such a worker has been heard again.
  void CountExpired() { ++expired_leases_; }

  // --- delegated leases
  DelegatedLeases& delegated_leases() { return delegated_leases_; }
  // Whether a controller with a delegated lease may have renewed the lease of
  // the machine's worker.
  bool MayBeRenewedByDelegate(const Machine& machine, Time now) const;
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
  // Whether the lease has expired of a worker whose heartbeats have been left
  // unanswered for that purpose.
  bool ExpiredUnheard(const Machine& machine, Time now) const;
  // Whether the lease of the machine's incarnation has expired. False while a
  // delegate in its zone may have renewed that lease; to rule this out, asks
  // the delegates to yield shortly before the lease ends.
  bool IncarnationExpired(const Machine& machine, Time now);
  // Ends the incarnation and marks its tasks as lost.
  void Expire(Machine& machine, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  std::vector<Action>& actions_;
  MachineLifecycle& machine_lifecycle_;
  DelegatedLeases delegated_leases_;
  // Whether this tick has found a silent machine whose lease a delegate may
  // have renewed, so that the records of the delegates are to be read again.
  bool delegates_may_have_renewed_ = false;
  uint64_t expired_leases_ = 0;
  Time next_delegates_read_ = 0;
};

}  // namespace oxbow
