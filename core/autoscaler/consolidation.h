// Consolidation: while the cluster is quiescent, drains expensive machines that
// only replicas still use, if all of these can run elsewhere. Owns the time of
// the next round; the drain itself is the machine lifecycle's.
#pragma once

#include <map>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth;
class MachineLifecycle;

// Called by the autoscaler, after scale-in.
class Consolidator {
 public:
  // All must outlive it.
  Consolidator(LeaderContext& context, MachineHealth& machine_health,
               MachineLifecycle& machine_lifecycle);

  // Drains what can be drained now, unless the cluster is busy or the previous
  // round was too recent. Each move is a short gap for the users of a replica,
  // so only a small share of all replicas moves at a time.
  void RunIfDue(Time now);

 private:
  void Run(Time now);
  // Whether only replicas that have run for a while use the machine.
  bool HasOnlySettledReplicas(const Machine& machine, Time now) const;
  // Of the usable machines those that may be drained, the most expensive first.
  std::vector<Machine*> Candidates(const std::vector<Machine*>& usable,
                                   Time now) const;
  // Whether all tasks of the machine fit on others, and so much stays free that
  // the loss of any one machine could still be made good.
  bool CanMoveAll(const Machine& from, const std::vector<Machine*>& usable,
                  double spare_cpus) const;
  // Null: the attempt can run on no other machine. `planned`: capacity that
  // earlier moves of the same plan take.
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
