// Gang scheduling: all tasks of a gang job start together, under one attempt
// number, or none of them starts. The gang scheduler chooses the zone for a
// gang that must be in a single zone, and reserves capacity for a gang that
// does not fit yet. It keeps no state between scheduling passes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/scheduler/machine_selector.h"
#include "core/scheduler/preemption_planner.h"
#include "core/scheduler/reservations.h"
#include "core/scheduler/scheduling_pass.h"
#include "core/scheduler/task_starter.h"

namespace oxbow {

class CommandDispatcher;
class MaintenanceManager;
class TierManager;

// Schedules one gang at a time within a pass.
class GangScheduler {
 public:
  // The modules that this class calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    MaintenanceManager& maintenance;
    const TierManager& tier_manager;
    MachineSelector& machine_selector;
    TaskStarter& task_starter;
    PreemptionPlanner& preemption_planner;
  };
  GangScheduler(LeaderContext& context, const Modules& modules);

  // Starts the gang if it is admitted and fits. A gang that is admitted but
  // does not fit gets reservations, and tasks are preempted for it where that
  // makes it fit. `position` is the gang's position in the queue.
  void Schedule(Job& job, const QueuePosition& position, SchedulingPass& pass);

 private:
  // The machines for the tasks of a gang, one entry per task. Empty if the gang
  // does not fit.
  struct Assignment {
    std::vector<Machine*> machines;
    // The longest image fetch among the tasks: the gang cannot run before all
    // of its tasks have their image.
    double fetch_seconds = 0;
  };
  // Capacity for one task on one machine. It is free now, or becomes free once
  // other tasks have ended or have been stopped.
  struct Slot {
    PreemptionPlan plan;
    // No task is preempted for this slot: it becomes free when job array tasks
    // on the machine end.
    bool waits_for_short_work = false;
  };
  // The slots that one zone, or the whole cluster, has for a gang.
  struct ZoneOffer {
    std::vector<Slot> slots;
    // Tasks of the gang that would fit if only the services kept running.
    uint32_t capacity = 0;
  };

  // Whether the maintenance windows, the team's quota and the tier's share let
  // the whole gang start now. If only the quota forbids it, tasks of the same
  // team may be preempted.
  bool Admitted(Job& job, SchedulingPass& pass);
  Assignment ChooseMachines(const Job& job, const SchedulingPass& pass);
  Assignment ChooseMachinesAmong(const Job& job,
                                 const std::vector<Machine*>& machines,
                                 double mean_bandwidth);
  static bool HasCapacityFor(const Job& job,
                             const std::vector<Machine*>& machines);
  void StartAll(Job& job, const std::vector<Machine*>& machines,
                const QueuePosition& position, Time now);

  void ReserveByPreemption(Job& job, SchedulingPass& pass);
  // The offers for the gang, by zone. A gang that may use several zones at once
  // has a single offer, under the empty name.
  std::map<std::string, ZoneOffer> CollectOffers(
      const Job& job, const SchedulingPass& pass) const;
  // Appends the machine's slots for tasks of the gang to `slots`.
  void AddSlotsOf(const Job& job, Machine& machine, Time now,
                  std::vector<Slot>& slots) const;
  // The best offer, or null if no offer has the capacity for all `wanted`
  // tasks. Sorts the slots of every offer and cuts them down to `wanted`.
  static ZoneOffer* BestOffer(std::map<std::string, ZoneOffer>& offers,
                              uint32_t wanted);

  LeaderContext& context_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  QueueRanking& queue_ranking_;
  CommandDispatcher& dispatcher_;
  MaintenanceManager& maintenance_;
  const TierManager& tier_manager_;
  MachineSelector& machine_selector_;
  TaskStarter& task_starter_;
  PreemptionPlanner& preemption_planner_;
};

}  // namespace oxbow
