// Rollouts under this leader: what they observe, which replicas they let start
// and stop, and how their steps are recorded. Owns the running rollouts.
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
  // Replicas that may be started beyond those placed.
  uint32_t StartableTasks(const Job& job) const;
  // Whether a rollout's floor lets the task be stopped. Everything that stops
  // tasks for another reason than their user's wish asks here.
  bool DisruptionAllowed(const TaskAttemptKey& key, const Job& job,
                         Time now) const;
  // A rollout that restricts the job may have been recorded before it, and
  // not be known here yet.
  bool MayBeRestricted(const Job& job) const;
  void OnRolloutRecord(const std::string& id, Time now);
  void TickRollouts(Time now);
  // A stop of the attempt has been decided.
  void OnAttemptStopping(const TaskAttempt& attempt);
  const Rollout* FindRollout(const std::string& id) const;
  void OnHealth(const std::string& rollout, const TaskAttemptKey& key,
                const CheckOutcome& outcome, Time now);
  bool BuildRolloutOp(const RolloutStepWrite& op, CompareAndSwap* txn) const;
  void RolloutOpDone(const RolloutStepWrite& op, uint64_t revision, Time now);

 private:
  void QueueStep(RolloutStepWrite step);
  RolloutView ViewOf(const Rollout& rollout, Time now) const;
  // Sets the pace of all checks and returns how many may begin now.
  int ChecksAllowed(Time now);
  void BeginChecks(Time now);
  // The record once the op's step stands.
  static RolloutRecord AfterOp(const RolloutRecord& record, const RolloutStepWrite& op);

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
  double checks_allowed_ = 0;  // by the processor's share, now
  Time checks_counted_ = 0;
  size_t first_checked_ = 0;
  Time next_rollouts_ = 0;
};

}  // namespace oxbow
