// From a job's record to its terminal state: added, finished, cancelled,
// retired. Changes job states; the records are written by the store writes.
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

namespace oxbow {

class CommandDispatcher;
class DependencyCoordinator;
class ReadConsistencyGate;

class JobLifecycle {
 public:
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    DependencyCoordinator& dependencies;
    ReadConsistencyGate& consistency_gate;
  };
  JobLifecycle(LeaderContext& context, const Modules& modules);

  void AddJob(const JobRecord& record, Time now);
  void OnJobRecord(const std::string& id, Time now);
  void FinishJob(Job& job, TerminalState state);
  void OnTerminalStateRecorded(const std::string& id, TerminalState state,
                               Time now);
  void RetireIfClear(Job& job);
  // Whether its user may be told that the job is cancelled: nothing is left.
  bool CancellationStands(const Job& job) const;
  // Asks for the job to be cancelled; a JobTerminated follows. False: unknown
  // job.
  bool Cancel(const std::string& id, Time now);

 private:
  LeaderContext& context_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  TierPolicy& tiers_;
  FragmentationIndex& fragmentation_;
  QueueRanking& queue_ranking_;
  CommandDispatcher& dispatcher_;
  DependencyCoordinator& dependencies_;
  ReadConsistencyGate& consistency_gate_;
};

}  // namespace oxbow
