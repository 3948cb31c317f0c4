// Adds, finishes, cancels and retires jobs: their life from the live record to
// the terminal record. Changes the states of jobs, and records them through the
// WriteQueue (job_record_operations.h).
#pragma once

#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class CommandDispatcher;
class DependencyCoordinator;
class ReadConsistencyGate;

// Owned by LeaderModules; used by the leader and its modules.
class JobLifecycle {
 public:
  // The modules that JobLifecycle calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    DependencyCoordinator& dependencies;
    ReadConsistencyGate& consistency_gate;
  };
  JobLifecycle(LeaderContext& context, const Modules& modules);

  // Adds a job from the catalog that is not in the ClusterState yet.
  void AddJob(const JobRecord& record, Time now);
  // To be called when the job's live record is new or has changed.
  void OnJobRecord(const std::string& id, Time now);
  // Requests that the terminal state be recorded. The job ends once it is.
  void FinishJob(Job& job, TerminalState state);
  // To be called when the terminal state has been recorded, by this leader or
  // another controller: stops the job's tasks, and notifies the users that wait
  // for a completed job. May be called repeatedly for the same job.
  void OnTerminalStateRecorded(const std::string& id, TerminalState state,
                               Time now);
  // Requests that the record of a job that has ended be moved to the terminal
  // records, if no task of the job can be on any machine any more.
  void RetireIfClear(Job& job);
  // Whether users may be told that the job is cancelled: it has ended, and no
  // task of it can be on any machine any more.
  bool CancellationCompleted(const Job& job) const;
  // Requests the cancellation of the job; a JobTerminated action follows.
  // Returns false if there is no such job.
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
