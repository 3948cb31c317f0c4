// Reconciles the leader's state with the records in the key-value store. After
// the store has lost data, writes back the records that it lacks, and protects
// tasks whose job has no record from being stopped. Also compares the leader's
// jobs with the records once per worker lease. Owns the list of what is still
// to be written back. See docs/recovery.md.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class DependencyCoordinator;
class JobLifecycle;

// The terminal state of a job whose terminal record the store has lost.
struct UnrecordedTerminalState {
  std::string job_id;
  TerminalState state = TerminalState::kNone;
};

// What is known of a job without a record from its task attempts on the
// machines.
struct UnrecordedJobView {
  bool has_orphaned_tasks = false;
  JobView view;
};

// One per leadership, owned by LeaderModules. Called by the leader and its
// modules.
class Reconciler {
 public:
  // The modules that it calls.
  struct Modules {
    DependencyCoordinator& dependencies;
    JobLifecycle& job_lifecycle;
  };
  Reconciler(LeaderContext& context, const Modules& modules);

  // Whether a task of an unknown job may be stopped and its exit forgotten: the
  // job is known to have ended, or recovery from data loss is disabled. If not,
  // asks for the job's record, at most once per worker lease.
  bool MayStopUnknownTask(const TaskAttempt& attempt, Time now);
  // The state of a job without a record, as its task attempts on the machines
  // show it.
  UnrecordedJobView ViewOrphanedTasks(const std::string& job_id) const;
  // Called in each tick. Compares jobs and records when that is due; queues
  // pending writes, as many as fit into one transaction; and records the end of
  // the reconciliation once nothing is pending.
  void TickReconciliation(Time now);
  // Takes the result of the comparison of the terminal states that the
  // controllers retain with those in the store: `states` lists the ones that
  // the store lacks. `complete`: every controller that may have accepted a job
  // has contributed its retained records.
  void OnUnrecordedTerminalStates(std::vector<UnrecordedTerminalState> states,
                                  bool complete);
  // Whether every controller that may have accepted a job has contributed its
  // retained records.
  bool retained_records_complete() const { return retained_records_complete_; }

 private:
  // Whether recovery from data loss is enabled. If so, a task whose job has no
  // record must not be stopped.
  bool RecoveryEnabled() const { return tuning_.recovery_checks > 0; }
  // Compares the leader's jobs with the records, once per worker lease.
  void CompareWithRecords(Time now);
  // Processes job records that no event has brought to this leader.
  void ProcessMissedJobRecords(Time now);
  // The same for the records of jobs that wait for others.
  void ProcessMissedWaitingRecords(Time now);
  // Ends jobs whose record is gone and whose terminal state is known; asks for
  // the records of the others.
  void ResolveJobsWithoutRecord(Time now);
  // The next two functions queue at most `max_operations` operations and return
  // how many they have queued.
  size_t QueuePendingRecords(size_t max_operations);
  size_t QueueTerminalStates(size_t max_operations);
  // The keys of pending writes, the most urgent last.
  std::vector<std::string> PendingKeysByUrgency() const;

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  DependencyCoordinator& dependencies_;
  JobLifecycle& job_lifecycle_;
  std::vector<std::string> pending_keys_;  // the most urgent last
  std::vector<UnrecordedTerminalState> unrecorded_terminal_states_;
  bool terminal_states_compared_ = false;
  bool retained_records_complete_ = false;
  std::optional<Time> next_comparison_;
  // By job: when its record may be asked for again.
  std::unordered_map<std::string, Time> next_record_request_;
};

}  // namespace oxbow
