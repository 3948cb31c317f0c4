// Reservations: capacity of a machine that is kept for one job until the tasks
// stopped for it are gone. Decides which machines are reserved for an array or
// a service; GangScheduler decides for gangs. The reservations themselves are
// stored with the machines.
#pragma once

#include <cstdint>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/placement/placement.h"
#include "core/scheduler/preemption_planner.h"

namespace oxbow {

class RolloutManager;
class TierManager;

// How long, and how firmly, capacity is reserved.
struct ReservationTerms {
  Time until = 0;
  // For a gang that can't start yet: work of lower priority may use the
  // capacity meanwhile, since it can be preempted when the time comes.
  bool partial = false;
};

// Makes, reviews and drops reservations.
class Reservations {
 public:
  // The modules that it calls.
  struct Modules {
    const RolloutManager& rollout_manager;
    const TierManager& tier_manager;
    PreemptionPlanner& preemption_planner;
  };
  Reservations(LeaderContext& context, const Modules& modules);

  // Drops what has expired and what no job can use any more; once per pass.
  void DropExpired(Time now);

  // Reserves the capacity of one task of the job.
  static void Reserve(Job& job, Machine& machine,
                      const ReservationTerms& terms);

  // No machine has capacity for the job. Reserves the machines of `candidates`
  // whose preemption costs least, and preempts there. Returns whether the job
  // has a reservation now, of this call or of an earlier one.
  bool ReserveByPreemption(Job& job, const std::vector<Machine*>& candidates,
                           Time now);

 private:
  // Drops the job's reservations on machines where it can't start any more, and
  // returns how many are left.
  uint32_t ReviewReservations(const Job& job,
                              const std::vector<Machine*>& candidates,
                              const ZoneSpread& spread);
  std::vector<PreemptionPlan> PlansFor(const Job& job,
                                       const std::vector<Machine*>& candidates,
                                       const ZoneSpread& spread,
                                       Time now) const;

  const Settings& settings_;
  ClusterState& cluster_;
  const RolloutManager& rollout_manager_;
  const TierManager& tier_manager_;
  PreemptionPlanner& preemption_planner_;
};

}  // namespace oxbow
