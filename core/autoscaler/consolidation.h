// Consolidation: while the cluster is quiescent, drains expensive machines that
// run nothing but service replicas, if all of these can run on other machines.
// Owns the time of the next round; MachineLifecycle carries out the draining.
#pragma once

#include <map>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth;
class MachineLifecycle;

// Owned and called by the autoscaler, after scale-in.
class Consolidator {
 public:
  // The parameters must outlive the consolidator.
  Consolidator(LeaderContext& context, MachineHealth& machine_health,
               MachineLifecycle& machine_lifecycle);

  // Drains the machines that can be drained now, unless the cluster is busy or
  // the previous round was too recent. A replica that is moved is unavailable
  // for a short time, so only a small share of all replicas moves in one round.
  void RunIfDue(Time now);

 private:
  void Run(Time now);
  // Whether all attempts on the machine are service replicas that have been
  // running for a while; exited attempts don't matter.
  bool HasOnlyMovableReplicas(const Machine& machine, Time now) const;
  // The usable machines that may be drained, the most expensive first.
  std::vector<Machine*> Candidates(const std::vector<Machine*>& usable,
                                   Time now) const;
  // Whether all replicas of `from` fit on other machines, and `spare_cpus` then
  // remain free. That is as much as the services use on any one machine, so
  // that the loss of one machine can still be absorbed.
  bool CanMoveAll(const Machine& from, const std::vector<Machine*>& usable,
                  double spare_cpus) const;
  // The machine to move the attempt to; null if it can run on no other machine.
  // `planned`: the capacity that earlier moves of the same plan take, by
  // machine.
  const Machine* FindTarget(const Machine& from, const TaskAttempt& attempt,
                            const std::vector<Machine*>& usable,
                            std::map<const Machine*, Resources>& planned) const;

  const Settings& settings_;
  const Tuning& tuning_;
  ClusterState& cluster_;
  MachineHealth& machine_health_;
  MachineLifecycle& machine_lifecycle_;
  Time next_run_ = 0;
};

}  // namespace oxbow
