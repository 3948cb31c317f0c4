// Runs the rollouts of the cluster on the leader. Passes observations and
// health check results to each rollout, restricts the starts and stops of its
// replicas, and records its steps. Owns the rollouts that have not ended.
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
  // The user's request that the step fulfils.
  RolloutRequest request = RolloutRequest::kNone;
  // The store rejected the record as too large: optional contents are left out.
  bool compact = false;
};

// One per leadership. Other modules ask it before they start or stop replicas.
class RolloutManager {
 public:
  // The modules that the manager calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    JobLifecycle& job_lifecycle;
  };
  RolloutManager(LeaderContext& context, const Modules& modules);

  // The rollout that replaces the job or introduces it; null if there is none.
  const Rollout* RolloutOf(const Job& job) const;
  // Number of the job's unplaced tasks that may be started now.
  uint32_t StartableTasks(const Job& job) const;
  // Whether a rollout's floor allows the task to be stopped. Must be asked
  // before every stop other than a cancellation by the user.
  bool DisruptionAllowed(const TaskAttemptKey& key, const Job& job,
                         Time now) const;
  // Whether a rollout that restricts the job may exist that this leader does
  // not know yet: one that was recorded before the job.
  bool MayHaveUnseenRollout(const Job& job) const;
  // The rollout's record in the catalog is new or has changed. Ignored if the
  // catalog has no such record.
  void OnRolloutRecord(const std::string& id, Time now);
  // Reviews all rollouts and begins the checks that are due. Call it often; it
  // acts a few times per heartbeat interval.
  void TickRollouts(Time now);
  // The attempt is about to be stopped, for whatever reason.
  void OnAttemptStopping(const TaskAttempt& attempt);
  // Returns null if there is no such rollout or it has ended.
  const Rollout* FindRollout(const std::string& id) const;
  // A health check that this manager began has ended.
  void OnHealthCheckResult(const std::string& rollout,
                           const TaskAttemptKey& key,
                           const CheckOutcome& outcome, Time now);
  // Adds the preconditions and mutations that record the step to `txn`. Returns
  // false if the step is recorded already or the rollout no longer exists.
  bool BuildRolloutStep(const RolloutStepWrite& write,
                        CompareAndSwap* txn) const;
  // The step has been recorded in the store. `revision` is the revision of that
  // write; if it is unknown it is 0, and the watch updates the catalog.
  void OnRolloutStepRecorded(const RolloutStepWrite& write, uint64_t revision,
                             Time now);

 private:
  void AddRollout(const std::string& id, const RolloutRecord& record, Time now);
  RolloutObservation Observe(const Rollout& rollout, Time now) const;
  void ObserveReplicas(const Job& job, bool is_new, Time now,
                       std::vector<ReplicaObservation>& replicas) const;
  void ReviewRollout(const std::string& id, Rollout& rollout, Time now);
  void StopReplica(const std::string& id, const TaskAttemptKey& key, Time now);
  // The machine on which the task is placed; null if it is not placed.
  Machine* MachineOf(const TaskAttemptKey& key) const;
  // Sets the minimum check interval of all rollouts and returns how many checks
  // may begin now.
  int ChecksAllowed(Time now);
  void BeginChecks(Time now);
  void BeginCheck(Rollout& rollout, const TaskAttemptKey& key, Time now);
  void QueueStep(RolloutStepWrite step);
  // Returns the rollout's record as it is after the write.
  static RolloutRecord RecordAfter(const RolloutRecord& record,
                                   const RolloutStepWrite& write);
  void UpdateCatalog(const RolloutStepWrite& write, uint64_t revision,
                     Time now);
  // Ends a job whose termination was recorded together with the end of its
  // rollout.
  void EndJob(const std::string& id, const RolloutStepWrite& write,
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
  std::map<std::string, Rollout> rollouts_;                      // by id
  std::unordered_map<std::string, std::string> rollout_of_job_;  // by job id
  int checks_in_flight_ = 0;
  // Token bucket of the checks that the CPU share allows.
  double check_budget_ = 0;
  Time check_budget_at_ = 0;  // when the bucket was last refilled
  // Incremented each round to choose the rollout whose checks begin first.
  size_t check_rotation_ = 0;
  Time next_review_ = 0;
};

}  // namespace oxbow
