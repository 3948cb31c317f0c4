// Scale-out and scale-in: requests machines for tasks without a place, drains
// and returns those that are not needed. Owns the open scale-out requests.
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

#include "core/autoscaler/capacity_planning.h"
#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth;
class DependencyCoordinator;
class RolloutManager;
class MaintenanceManager;
class TierManager;
class MachineLifecycle;

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

  // A scale-out that an earlier leader has recorded, and perhaps requested.
  void Restore(const std::string& name, const ScaleOutRecord& record);
  // Repeats requests, and settles those that are answered.
  void TickRequests(Time now);
  // Lets pools be asked again some time after they have refused.
  void ForgetRefusals(Time now);
  bool IsDue(Time now) const { return now >= next_autoscaler_run_; }
  void SetNextRun(Time at) { next_autoscaler_run_ = at; }
  void RunAutoscaler(Time now);
  // Null: none of that name is open.
  const ScaleOutRecord* FindRecord(const std::string& name) const;
  // Its record stands: the machines may be requested.
  void OnScaleOutRecorded(const std::string& name, Time now);
  // Its record is gone.
  void RemoveScaleOut(const std::string& name) { scale_outs_.erase(name); }
  size_t open_scale_outs() const { return scale_outs_.size(); }
  void Request(const std::string& name, Time now);
  // Asks for the removal of its record when all of its machines are recorded.
  void SettleScaleOut(const std::string& name);
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now);
  MachineRecord RecordOfNewMachine(const ScaleOutRecord& scale_out,
                                   Time requested_at) const;

 private:
  struct ScaleOutRequest {
    ScaleOutRecord record;
    ScaleOutState state = ScaleOutState::kRecording;
    Time asked = 0;
    Time next_try = 0;
    std::vector<std::string> hosts = {};  // granted; all to be recorded
    void Change(ScaleOutState next);
  };
  void Consolidate(Time now);
  bool CanMoveAll(const Machine& from, const std::vector<Machine*>& usable,
                  double spare_cpus) const;

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
  std::map<std::string, ScaleOutRequest> scale_outs_;
  std::map<MachinePool, Time> refused_until_;
  Time next_autoscaler_run_ = 0;
  Time next_consolidation_ = 0;
};

}  // namespace oxbow
