// A job from its record to its terminal state: added, finished, cancelled,
// retired. Changes job states; what is recorded goes through the WriteQueue
// (job_record_operations.h).
#pragma once

#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class CommandDispatcher;
class DependencyCoordinator;
class ReadConsistencyGate;

// Owned by LeaderModules; called by the leader and its modules.
class JobLifecycle {
 public:
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    DependencyCoordinator& dependencies;
    ReadConsistencyGate& consistency_gate;
  };
  JobLifecycle(LeaderContext& context, const Modules& modules);

  // Takes up a job of the catalog that the leader does not know yet.
  void AddJob(const JobRecord& record, Time now);
  // The job's live record is new or has changed.
  void OnJobRecord(const std::string& id, Time now);
  // Asks for the terminal state to be recorded; the job ends once it is.
  void FinishJob(Job& job, TerminalState state);
  // The terminal state is recorded, by whomever: stops the job's tasks and
  // answers its user. May be called again for the same job.
  void OnTerminalStateRecorded(const std::string& id, TerminalState state,
                               Time now);
  // Asks for the record of a job that has ended to move to the terminal records
  // if nothing is left of its tasks.
  void RetireIfClear(Job& job);
  // Whether the job's user may be answered that it is cancelled: nothing is
  // left of it.
  bool CancellationCompleted(const Job& job) const;
  // Asks for the job to be cancelled; a JobTerminated follows. False: no such
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
