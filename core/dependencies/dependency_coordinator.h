// Releases or cancels waiting jobs as the jobs that they depend on end. Owns
// the dependency graph. Each release or cancellation is one transaction that is
// conditioned on the revision of the waiting record: of two in flight for one
// job only one is applied, and one that arrives late fails.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/dependencies/dependency_graph.h"
#include "core/leader_context/leader_context.h"

namespace oxbow {

class JobLifecycle;

// One per leadership. Called by the leader and its modules. Provides the run
// time and due time estimates that the graph needs.
class DependencyCoordinator : private DependencyGraph::Estimates {
 public:
  // The modules that the coordinator calls.
  struct Modules {
    JobLifecycle& job_lifecycle;
  };
  DependencyCoordinator(LeaderContext& context, const Modules& modules);

  // The waiting record of the job is in the catalog; it may be new.
  void OnWaitingRecord(const std::string& id, Time now);
  // This controller has learned the job's recorded terminal state; does nothing
  // for kNone.
  void OnTerminalStateKnown(const std::string& id, TerminalState end, Time now);
  // Looks for dependencies that have ended without OnTerminalStateKnown having
  // been called, some of them in each call.
  void PollDependencies(Time now);
  // Removes a waiting job that has become an ordinary live job from the graph.
  // Returns true if its user cancelled it while the release was in flight.
  bool OnDependentReleased(const std::string& id);
  // The user cancels a waiting job. Returns false if the job is not waiting.
  bool CancelWaiting(const std::string& id, Time now);
  // Resources that waiting jobs will need once they are released: of the jobs
  // whose unfinished dependencies are all expected to end within the boot time
  // of the machine type that boots slowest.
  Resources UpcomingReleaseDemand(Time now) const;
  // The priority and due times that the job inherits from its dependents.
  Inherited InheritedBy(const std::string& id) {
    return dependency_graph_.InheritedBy(id);
  }
  // Returns null if the job is not waiting.
  const DependentJob* Find(const std::string& id) const {
    return dependency_graph_.Find(id);
  }
  // A read requested by the action ReadTerminalState has ended. If a terminal
  // state was found, the catalog already holds it.
  void OnTerminalStateRead(const std::string& id, Time now);
  // An operation on the job's waiting record has completed, and the catalog
  // reflects its outcome. Called by the operations.
  void OnWaitingRecordWritten(const std::string& id, Time now);
  // Queues the deletion of an obsolete copy of a waiting record whose job has
  // already been released or has ended.
  void DeleteObsoleteWaitingRecord(const std::string& id);
  // Describes for operators which jobs wait for which others: a line with the
  // number of waiting jobs, then a line for each of a limited number of them.
  std::vector<std::string> DescribeWaitingJobs() const;

 private:
  // Backoff between reads of one job's terminal state.
  struct TerminalStateRead {
    std::optional<Time> not_before;
    double backoff_seconds = 0;
  };
  // The job's recorded terminal state as far as this controller knows; kNone if
  // it knows none.
  TerminalState TerminalStateOf(const std::string& id) const;
  double CriticalPathSeconds(const JobSpec& spec) const override;
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const override;
  // Requests a read of the dependency's terminal state, unless the catalog
  // holds that state or a live or waiting record of the dependency.
  void RequestTerminalStateRead(const std::string& dependency, Time now);
  // Queues the release or cancellation of the jobs that are due.
  void EnqueueDueOperations(Time now);
  // Brings the graph into line with the records of the job in the catalog.
  void ReconcileDependentJob(const std::string& id, Time now);
  // Passes changed inherited values on to the live jobs.
  void UpdateInherited();
  double LongestBootSeconds() const;
  // Whether the job, if live, is expected to end within `seconds` from `now`.
  bool EndsWithin(const std::string& id, double seconds, Time now) const;

  LeaderContext& context_;
  const Settings& settings_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  QueueRanking& queue_ranking_;
  RunTimeEstimates& run_times_;
  JobLifecycle& job_lifecycle_;
  DependencyGraph dependency_graph_;
  std::set<std::string> operations_in_flight_;  // ids of the jobs
  std::unordered_map<std::string, TerminalStateRead>
      terminal_state_reads_;  // by job id
  int terminal_state_reads_in_flight_ = 0;
};

}  // namespace oxbow
