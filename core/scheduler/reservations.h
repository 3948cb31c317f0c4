// Reservations: capacity of a machine that is kept for one job until the tasks
// that were stopped for the job are gone. This class decides which machines are
// reserved for an array or a service; GangScheduler decides for gangs. The
// reservations themselves are stored in the Machine objects.
#pragma once

#include <cstdint>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/placement/placement.h"
#include "core/scheduler/preemption_planner.h"

namespace oxbow {

class RolloutManager;
class TierManager;

// How long capacity is reserved, and who may use it meanwhile.
struct ReservationTerms {
  Time until = 0;
  // The reservation covers only a part of a gang, so the gang cannot start yet.
  // Until it can, tasks of lower priority may use the capacity, since the gang
  // can preempt them.
  bool partial = false;
};

// Makes, reviews and drops reservations.
class Reservations {
 public:
  // The modules that this class calls.
  struct Modules {
    const RolloutManager& rollout_manager;
    const TierManager& tier_manager;
    PreemptionPlanner& preemption_planner;
  };
  Reservations(LeaderContext& context, const Modules& modules);

  // Drops reservations that have expired, and those of jobs that have ended or
  // have no task to start. Called once per scheduling pass.
  void DropExpired(Time now);

  // Reserves capacity on the machine for one task of the job.
  static void Reserve(Job& job, Machine& machine,
                      const ReservationTerms& terms);

  // Called when no machine has free capacity for the job. Reserves capacity on
  // those of `candidates` where preemption costs least, and preempts tasks
  // there. Returns whether the job has a reservation now, from this call or an
  // earlier one.
  bool ReserveByPreemption(Job& job, const std::vector<Machine*>& candidates,
                           Time now);

 private:
  // Drops the job's reservations on machines where it cannot start any more,
  // and returns the number of reservations left.
  uint32_t ReviewReservations(const Job& job,
                              const std::vector<Machine*>& candidates,
                              const ZoneSpread& spread);
  // One preemption plan for each candidate that can be made to fit a task of
  // the job.
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
