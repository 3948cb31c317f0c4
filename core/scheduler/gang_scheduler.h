// Gang scheduling: all tasks of a job start together, under one attempt number,
// or none does. Chooses the zone of a gang that must not be spread, and
// reserves capacity for one that does not fit yet. Holds no state between
// passes.
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
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    MaintenanceManager& maintenance;
    const TierManager& tier_manager;
    MachineSelector& machine_selector;
    TaskStarter& task_starter;
    PreemptionPlanner& preemption_planner;
  };
  GangScheduler(LeaderContext& context, const Modules& modules);

  // Starts the gang if it may start and fits, else prepares for its start by
  // preemption and reservations. `position`: its position in the queue.
  void Schedule(Job& job, const QueuePosition& position, SchedulingPass& pass);

 private:
  // Machines for the tasks of a gang, one entry for each; empty if it does not
  // fit.
  struct Assignment {
    std::vector<Machine*> machines;
    double fetch_seconds =
        0;  // of the slowest task, with which the gang starts
  };
  // Capacity for one task, now or once others have ended or were stopped.
  struct Slot {
    PreemptionPlan plan;
    // Nothing has to be stopped: short work there ends soon.
    bool waits_for_short_work = false;
  };
  // What one zone, or the whole cluster, could offer to a gang.
  struct ZoneOffer {
    std::vector<Slot> slots;
    uint32_t capacity = 0;  // tasks that could ever be there
  };

  // Whether operators, quota and tier let the whole gang start now.
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
  // By zone; by the empty name for a gang that may be in several.
  std::map<std::string, ZoneOffer> CollectOffers(
      const Job& job, const SchedulingPass& pass) const;
  void AddSlotsOf(const Job& job, Machine& machine, Time now,
                  std::vector<Slot>& slots) const;
  // Null if the gang can't become whole anywhere. Sorts and trims the slots.
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
