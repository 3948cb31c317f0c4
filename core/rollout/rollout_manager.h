// Rollouts under this leader: feeds each with observations and health checks,
// lets its replicas start and stop within its limits, and has its steps
// recorded. Owns the rollouts that have not ended.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/rollout/rollout.h"

namespace oxbow {

class MachineHealth;
class CommandDispatcher;
class JobLifecycle;

// A step of a rollout that is to be recorded.
struct RolloutStepWrite {
  std::string name;  // the rollout's id
  RolloutStep step = RolloutStep::kDeclared;
  std::string reason = {};
  // The request that the step fulfils.
  RolloutRequest request = RolloutRequest::kNone;
  // Refused for its size: the record leaves out what can be spared.
  bool compact = false;
};

// One per leadership. Other modules ask it before they start or stop replicas.
class RolloutManager {
 public:
  // The modules that it calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    JobLifecycle& job_lifecycle;
  };
  RolloutManager(LeaderContext& context, const Modules& modules);

  // The rollout that the job is a part of; null for none.
  const Rollout* RolloutOf(const Job& job) const;
  // The job's unplaced tasks that may be started now.
  uint32_t StartableTasks(const Job& job) const;
  // Whether a rollout's floor allows the task to be stopped. Asked before every
  // stop that is not its user's cancellation.
  bool DisruptionAllowed(const TaskAttemptKey& key, const Job& job,
                         Time now) const;
  // Whether a rollout that restricts the job may have been recorded before it
  // and not have reached this leader yet.
  bool MayHaveUnseenRollout(const Job& job) const;
  // The rollout's record in the catalog is new or has changed.
  void OnRolloutRecord(const std::string& id, Time now);
  // Reviews all rollouts and begins checks, a few times in each heartbeat
  // interval.
  void TickRollouts(Time now);
  // A stop of the attempt has been decided.
  void OnAttemptStopping(const TaskAttempt& attempt);
  // Null: no such rollout, or it has ended.
  const Rollout* FindRollout(const std::string& id) const;
  // A check that this module began has ended.
  void OnHealthCheckResult(const std::string& rollout,
                           const TaskAttemptKey& key,
                           const CheckOutcome& outcome, Time now);
  // Adds the preconditions and mutations that record the op's step. False: it
  // is recorded already, or its rollout is gone.
  bool BuildRolloutOp(const RolloutStepWrite& op, CompareAndSwap* txn) const;
  // The op's step is in the store. `revision`: of the write; 0 if it is not
  // known, when the catalog follows by the watch.
  void RolloutOpDone(const RolloutStepWrite& op, uint64_t revision, Time now);

 private:
  void AddRollout(const std::string& id, const RolloutRecord& record, Time now);
  RolloutObservation Observe(const Rollout& rollout, Time now) const;
  void ObserveReplicas(const Job& job, bool is_new, Time now,
                       std::vector<ReplicaObservation>& replicas) const;
  void ReviewRollout(const std::string& id, Rollout& rollout, Time now);
  void StopReplica(const std::string& id, const TaskAttemptKey& key, Time now);
  // Where the task is placed; null: nowhere.
  Machine* MachineOf(const TaskAttemptKey& key) const;
  // Sets the pace of all checks and returns how many may begin now.
  int ChecksAllowed(Time now);
  void BeginChecks(Time now);
  void BeginCheck(Rollout& rollout, const TaskAttemptKey& key, Time now);
  void QueueStep(RolloutStepWrite step);
  // The record once the op's step is recorded.
  static RolloutRecord AfterOp(const RolloutRecord& record,
                               const RolloutStepWrite& op);
  void UpdateCatalog(const RolloutStepWrite& op, uint64_t revision, Time now);
  // The job has been ended together with its rollout.
  void EndJob(const std::string& id, const RolloutStepWrite& op,
              uint64_t revision, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  MachineHealth& machine_health_;
  CommandDispatcher& dispatcher_;
  JobLifecycle& job_lifecycle_;
  std::map<std::string, Rollout> rollouts_;                  // by id
  std::unordered_map<std::string, std::string> in_rollout_;  // by job id
  int checks_in_flight_ = 0;
  double check_budget_ = 0;  // checks that the processor share allows
  Time check_budget_at_ = 0;
  size_t first_checked_ = 0;  // which rollout's checks come first, counted up
  Time next_review_ = 0;
};

}  // namespace oxbow
