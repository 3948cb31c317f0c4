// What each kind of the leader's writes changes, and what follows once it
// stands. Owns nothing: the writes are in the WriteQueue, what they change is
// in the modules.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/leader_context/leader_context.h"
#include "core/read_consistency/read_consistency_gate.h"
#include "core/store_writes/write_queue.h"

namespace oxbow {

class Autoscaler;
class DependencyCoordinator;
class JobLifecycle;
class Reconciler;
class RolloutManager;

class StoreOperations : public WriteQueue::Owner {
 public:
  // The modules that it calls.
  struct Modules {
    ReadConsistencyGate& consistency_gate;
    DependencyCoordinator& dependencies;
    JobLifecycle& job_lifecycle;
    RolloutManager& rollout_manager;
    Reconciler& reconciler;
    Autoscaler& autoscaler;
    // A record of the operators stands.
    std::function<void(const std::string& name, Time now)> on_operator_record;
  };
  StoreOperations(LeaderContext& context, const Modules& modules);

  // WriteQueue::Owner
  bool Build(const WriteOp& op, CompareAndSwap* txn) const override;
  void Done(const WriteOp& op, uint64_t revision, Time now) override;

 private:
  LeaderContext& context_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  ReadConsistencyGate& consistency_gate_;
  DependencyCoordinator& dependencies_;
  JobLifecycle& job_lifecycle_;
  RolloutManager& rollout_manager_;
  Reconciler& reconciler_;
  Autoscaler& autoscaler_;
  std::function<void(const std::string& name, Time now)> on_operator_record_;
};

}  // namespace oxbow
