// Jobs with dependencies: when one is released or cancelled, and by which
// write. Owns the dependency graph. A release and a cancellation are one
// transaction each, conditioned on the waiting record: of two in flight only
// one is carried out, and a late one fails.
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

// Called by the leader and its modules. Implements the estimates that the graph
// asks for.
class DependencyCoordinator : private DependencyGraph::Estimates {
 public:
  // The modules that it calls.
  struct Modules {
    JobLifecycle& job_lifecycle;
  };
  DependencyCoordinator(LeaderContext& context, const Modules& modules);

  // A job that waits for others is recorded.
  void OnWaitingRecord(const std::string& id, Time now);
  // The job's terminal state is recorded, as far as this controller knows.
  void OnTerminalStateKnown(const std::string& id, TerminalState end, Time now);
  // Looks for jobs that others depend on and that have ended unnoticed.
  void PollDependencies(Time now);
  // A waiting job has become an ordinary one. True: its user has cancelled it
  // while the release was in flight.
  bool OnDependentReleased(const std::string& id);
  // Its user cancels a waiting job. False: it does not wait.
  bool CancelWaiting(const std::string& id, Time now);
  // What waiting jobs will need within the time in which a machine boots: those
  // whose dependencies are all about to end.
  Resources UpcomingReleaseDemand(Time now) const;
  // What the job inherits from those that depend on it.
  Inherited InheritedBy(const std::string& id) {
    return dependency_graph_.InheritedBy(id);
  }
  // Null for a job that does not wait for others.
  const DependentJob* Find(const std::string& id) const {
    return dependency_graph_.Find(id);
  }
  // The answer to ReadTerminalState; what was found has been taken into the
  // catalog.
  void OnTerminalStateRead(const std::string& id, Time now);
  // An operation on the job's waiting record is completed, and the catalog
  // holds the outcome. Called by the operations.
  void OnWaitingRecordWritten(const std::string& id, Time now);
  // Asks for the deletion of an older copy of a waiting record whose job has
  // been released or has ended.
  void DeleteObsoleteWaitingRecord(const std::string& id);
  // Which jobs wait for which others, for people; a line each, not all of many.
  std::vector<std::string> DescribeWaitingJobs() const;

 private:
  struct TerminalStateRead {
    std::optional<Time> not_before;
    double pause_seconds = 0;
  };
  // How the job is recorded to have ended, as far as is known here.
  TerminalState TerminalStateOf(const std::string& id) const;
  double CriticalPathSeconds(const JobSpec& spec) const override;
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const override;
  // Asks for a read of how the job ended, unless that is known or the job is
  // live or waits itself.
  void RequestTerminalState(const std::string& dependency, Time now);
  void QueueDependencySteps(Time now);
  void SettleDependentJob(const std::string& id, Time now);
  void UpdateInherited();
  double LongestBootSeconds() const;
  // Whether the job is expected to end within this time.
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
  std::set<std::string> steps_in_flight_;  // jobs with a write in flight
  std::unordered_map<std::string, TerminalStateRead> terminal_state_reads_;
  int terminal_state_reads_in_flight_ = 0;
};

}  // namespace oxbow
