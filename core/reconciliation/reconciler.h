// After the key-value store has lost data: records that are pending are written
// back, and tasks whose job has no record are left alone. Also compares the
// leader's jobs with the records now and then. Owns the list of what is still
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

// How a job ended whose terminal record the store has lost.
struct UnrecordedTerminalState {
  std::string job_id;
  TerminalState state = TerminalState::kNone;
};

// What the task attempts on the machines show of a job without a record.
struct UnrecordedJobView {
  bool has_orphaned_tasks = false;
  JobView view;
};

// Owned by LeaderModules; called by the leader and its modules.
class Reconciler {
 public:
  // The modules that it calls.
  struct Modules {
    DependencyCoordinator& dependencies;
    JobLifecycle& job_lifecycle;
  };
  Reconciler(LeaderContext& context, const Modules& modules);

  // Whether a task of an unknown job may be stopped and its exit forgotten,
  // since the job is known to have ended. If not, asks for the job's record,
  // at most once per worker lease.
  bool MayStopUnknownTask(const TaskAttempt& attempt, Time now);
  UnrecordedJobView ViewOrphanedTasks(const std::string& job_id) const;
  // Queues pending writes, a transaction's worth at a time.
  void TickReconciliation(Time now);
  // The outcome of the comparison of terminal states with the store.
  // `complete`: every controller that may have accepted a job has contributed
  // what it remembers.
  void OnUnrecordedTerminalStates(std::vector<UnrecordedTerminalState> states,
                                  bool complete);
  bool retained_records_complete() const { return retained_records_complete_; }

 private:
  // Whether tasks without a record have to be left alone.
  bool RecoveryEnabled() const { return tuning_.recovery_checks > 0; }
  // Once per worker lease: the leader's jobs against the records.
  void CompareWithRecords(Time now);
  void TakeUpMissedJobRecords(Time now);
  void TakeUpMissedWaitingRecords(Time now);
  void ResolveJobsWithoutRecord(Time now);
  // Both return how many operations they have queued, at most `max_operations`.
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
