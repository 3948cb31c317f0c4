// Scales the cluster out and in: requests machines from the cloud for tasks
// that no machine has room for, and returns machines that are not needed. Owns
// the open scale-out requests, each of which is recorded in the key-value store
// before it is sent to the cloud.
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

// One per leadership. Called by the leader in each tick, and when the cloud or
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

  // Restores a scale-out request that an earlier leader has recorded and may
  // have sent to the cloud. Called before the first tick.
  void Restore(const std::string& name, const ScaleOutRecord& record);
  // Repeats the requests that have had no response for some time, and settles
  // those that have one.
  void TickRequests(Time now);
  // Lets machines of a pool be requested again once its last refusal is old
  // enough.
  void ExpireRefusals(Time now);
  bool IsDue(Time now) const { return now >= next_autoscaler_run_; }
  void SetNextRun(Time at) { next_autoscaler_run_ = at; }
  // One pass: compares capacity with demand, requests machines and returns idle
  // ones. Until every machine is accounted for after an election, it scales
  // neither out nor in.
  void RunAutoscaler(Time now);
  // The record of the open request with this name; null if there is none.
  const ScaleOutRecord* FindRecord(const std::string& name) const;
  // Called when the record of the request is in the store: sends the request to
  // the cloud.
  void OnScaleOutRecorded(const std::string& name, Time now);
  // Called when the record of the request has been removed from the store: the
  // request is no longer open.
  void RemoveScaleOut(const std::string& name) { scale_outs_.erase(name); }
  size_t open_scale_outs() const { return scale_outs_.size(); }
  // Sends the request to the cloud, unless it is not recorded yet or has had
  // its response. A request with this name must be open.
  void Request(const std::string& name, Time now);
  // Queues the deletion of the request's record once all machines that it was
  // granted are recorded.
  void SettleScaleOut(const std::string& name);
  // Handles the cloud's response to a request. `hosts`: the machines that the
  // cloud has granted. A second response to the same request is ignored.
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now);
  // The record of a machine that was granted to the scale-out. It has no
  // endpoint until the machine's worker has sent a heartbeat.
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
  // The free capacity of the machines that are up, booting or requested, in the
  // order in which demand is packed into it.
  std::vector<MachineCapacity> ExistingCapacity(Time now) const;
  void AddRequestedCapacity(std::vector<MachineCapacity>& capacity) const;
  // Sorts machines with few accelerators first, which is also the order that
  // placement prefers.
  void SortForPacking(std::vector<MachineCapacity>& capacity) const;

  // --- demand
  // The jobs with tasks that have no machine yet and may start now, in the
  // order of placement.
  std::vector<const Job*> JobsWithUnplacedTasks(Time now) const;
  // The unplaced tasks that new machines would help, by job, in the same order.
  std::vector<PoolDemand> UnplacedDemand(Time now) const;
  // How many of the job's unplaced tasks new machines would help.
  int TasksNeedingCapacity(const Job& job) const;
  // `tasks`, or as many as the quota of the job's team still allows if that is
  // less; negative if the team exceeds its quota.
  double WithinQuota(const Job& job, double tasks) const;

  // --- scale-out and scale-in
  // Opens a request for `count` machines and queues the write of its record.
  // Returns false if this leadership is over.
  [[nodiscard]] bool BeginScaleOut(const MachinePool& pool, int count);
  // Excludes the pool from new requests for some time, since it has no
  // machines.
  void MarkPoolRefused(const ScaleOutRecord& record, Time now);
  // Adds the granted machines to the cluster, as booting.
  void AddGrantedMachines(const std::string& name,
                          const ScaleOutRequest& scale_out,
                          const std::vector<std::string>& hosts, Time now);
  // Returns machines that have been idle for long enough. Does nothing while
  // there is demand, or directly after a failover, when not every task is known
  // yet. The idle time is long, since between two bursts of work it costs less
  // to keep a machine than to boot one again.
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
