// Scale-out and scale-in: requests machines for tasks without a place and
// returns those that are not needed. Owns the open scale-out requests, each of
// which is recorded in the store before it is sent to the cloud.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/autoscaler/capacity_planning.h"
#include "core/autoscaler/consolidation.h"
#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth;
class DependencyCoordinator;
class RolloutManager;
class MaintenanceManager;
class TierManager;
class MachineLifecycle;

// One per leadership. Called by the leader at each tick and when the cloud or
// the store responds.
class Autoscaler {
 public:
  // The modules that it calls.
  struct Modules {
    MachineHealth& machine_health;
    DependencyCoordinator& dependencies;
    RolloutManager& rollout_manager;
    MaintenanceManager& maintenance;
    TierManager& tier_manager;
    MachineLifecycle& machine_lifecycle;
  };
  Autoscaler(LeaderContext& context, const Modules& modules);

  // Takes up a scale-out that an earlier leader has recorded, and perhaps
  // requested; before the first tick.
  void Restore(const std::string& name, const ScaleOutRecord& record);
  // Repeats requests without a response, and settles those with one.
  void TickRequests(Time now);
  // Lets pools be asked again some time after they have refused.
  void ExpireRefusals(Time now);
  bool IsDue(Time now) const { return now >= next_autoscaler_run_; }
  void SetNextRun(Time at) { next_autoscaler_run_ = at; }
  // One pass: compares capacity and demand, requests machines, returns idle
  // ones. Not before every machine is accounted for: until then it scales
  // neither out nor in.
  void RunAutoscaler(Time now);
  // Null: no request of that name is open.
  const ScaleOutRecord* FindRecord(const std::string& name) const;
  // The record of the request is in the store: machines may be requested.
  void OnScaleOutRecorded(const std::string& name, Time now);
  // The record of the request has been removed from the store.
  void RemoveScaleOut(const std::string& name) { scale_outs_.erase(name); }
  size_t open_scale_outs() const { return scale_outs_.size(); }
  // Sends the request, unless it is not recorded yet or has its response. A
  // request of that name must be open.
  void Request(const std::string& name, Time now);
  // Asks for the removal of its record when all of its machines are recorded.
  void SettleScaleOut(const std::string& name);
  // `hosts`: the machines that the cloud has granted. A second response to the
  // same request is ignored.
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now);
  // The record of a granted machine; it has no endpoint yet.
  MachineRecord RecordOfNewMachine(const ScaleOutRecord& scale_out,
                                   Time requested_at) const;

 private:
  struct ScaleOutRequest {
    ScaleOutRecord record;
    ScaleOutState state = ScaleOutState::kRecording;
    Time requested_at = 0;
    Time next_try = 0;
    std::vector<std::string> hosts = {};  // granted; all are to be recorded
    // The one function for changes of the state.
    void Change(ScaleOutState next);
  };

  // --- capacity
  // Of machines that are up, booting or requested, in the order in which
  // demand is packed into it.
  std::vector<MachineCapacity> ExistingCapacity(Time now) const;
  void AddRequestedCapacity(std::vector<MachineCapacity>& capacity) const;
  // Machines with few accelerators first, as placement does where it can.
  void SortForPacking(std::vector<MachineCapacity>& capacity) const;

  // --- demand
  // In the order of placement.
  std::vector<const Job*> JobsWithUnplacedTasks(Time now) const;
  std::vector<PoolDemand> UnplacedDemand(Time now) const;
  // Of the job's unplaced tasks, those that new machines would help.
  int TasksNeedingCapacity(const Job& job) const;
  // At most `tasks`, fewer where the team's maximum allows no more; negative
  // where the team is above its maximum.
  double WithinQuota(const Job& job, double tasks) const;

  // --- scale-out and scale-in
  // Has a request recorded. False: this leadership is over.
  [[nodiscard]] bool BeginScaleOut(const MachinePool& pool, int count);
  void NoteRefusal(const ScaleOutRecord& record, Time now);
  void AddGrantedMachines(const std::string& name,
                          const ScaleOutRequest& scale_out,
                          const std::vector<std::string>& hosts, Time now);
  // Only when there was no demand for a while, since between two bursts of work
  // a machine is cheaper kept than booted again; and not straight after a
  // failover, when not every task is known yet.
  void ScaleInIdleMachines(Time now);

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  RunTimeEstimates& run_times_;
  MachineHealth& machine_health_;
  DependencyCoordinator& dependencies_;
  RolloutManager& rollout_manager_;
  MaintenanceManager& maintenance_;
  TierManager& tier_manager_;
  MachineLifecycle& machine_lifecycle_;
  Consolidator consolidator_;
  std::map<std::string, ScaleOutRequest> scale_outs_;
  std::map<MachinePool, Time> refused_until_;
  Time next_autoscaler_run_ = 0;
};

}  // namespace oxbow
