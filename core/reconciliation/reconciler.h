// After the key-value store has lost data: records that are still pending are
// written back, and tasks whose job has no record are left alone. Owns what is
// still to be written. See docs/recovery.md.
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

class DependencyCoordinator;
class JobLifecycle;

class Reconciler {
 public:
  // The modules that it calls.
  struct Modules {
    DependencyCoordinator& dependencies;
    JobLifecycle& job_lifecycle;
  };
  Reconciler(LeaderContext& context, const Modules& modules);

  // Whether a task of no known job may be stopped, its exit forgotten: the job
  // is known to have ended. Else asks, now and then, how it stands.
  bool MayStopUnknownTask(const TaskAttempt& attempt, Time now);
  // A job without a record, by its tasks that are seen.
  bool ViewOrphanedTasks(const std::string& id, JobView* out) const;
  // Queues what is owed to the key-value store, a transaction's worth at a
  // time.
  void TickReconciliation(Time now);
  // How jobs ended that the key-value store does not hold any more.
  // `whole`: everybody who may have accepted a job was there to tell.
  void OnUnrecordedTerminalStates(
      std::vector<std::pair<std::string, TerminalState>> ends, bool whole);
  // Whether every controller that may have accepted a job has contributed what
  // it remembers.
  bool retained_records_complete() const { return retained_records_complete_; }

 private:
  // Owed keys, the most urgent last.
  std::vector<std::string> ReconciliationOrder() const;
  // Whether what has no record has to be left alone.
  bool RecoveryEnabled() const { return tuning_.recovery_checks > 0; }

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  DependencyCoordinator& dependencies_;
  JobLifecycle& job_lifecycle_;
  std::vector<std::string>
      reconciliation_queue_;  // pending keys, the most urgent last
  std::vector<std::pair<std::string, TerminalState>>
      unrecorded_terminal_states_;
  bool terminal_states_compared_ = false;
  bool retained_records_complete_ = false;
  std::unordered_map<std::string, Time> asked_jobs_;  // not again before
};

}  // namespace oxbow
