// Jobs with dependencies: when one is released or cancelled, and by which
// write. Owns the dependency graph. A release and a cancellation are one
// transaction each, conditioned on the waiting record: of two in flight only
// one is carried out, and a late one fails.
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

#include "core/dependencies/dependency_graph.h"
#include "core/leader_context/leader_context.h"

namespace oxbow {

class JobLifecycle;

class DependencyCoordinator : private DependencyGraph::Estimates {
 public:
  // The modules that it calls.
  struct Modules {
    JobLifecycle& job_lifecycle;
  };
  DependencyCoordinator(LeaderContext& context, const Modules& modules);

  // A job that waits for others is recorded.
  void OnWaitingRecord(const std::string& id, Time now);
  void OnTerminalStateKnown(const std::string& id, TerminalState end, Time now);
  // Whether jobs that others wait for have ended past every event.
  void PollDependencies(Time now);
  bool StopWaiting(const std::string& id);
  bool CancelWaiting(const std::string& id, Time now);
  // What the next steps will need at once, when all that they wait for is about
  // to be done.
  Resources NextSteps(Time now) const;
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
  std::vector<std::string> WaitingLines() const;

 private:
  struct TerminalStateRead {
    Time next = -1e18;
    double pause = 0;
  };
  // How the job is recorded to have ended, as far as is known here.
  TerminalState TerminalStateOf(const std::string& id) const;
  double CriticalPathSeconds(const JobSpec& spec) const override;
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const override;
  void RequestTerminalState(const std::string& need, Time now);
  void QueueDependencySteps(Time now);
  void SettleDependentJob(const std::string& id, Time now);
  void UpdateInherited();

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
