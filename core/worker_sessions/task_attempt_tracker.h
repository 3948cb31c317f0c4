// Applies the task statuses in a heartbeat to the task attempts on the machine:
// adopts attempts that this leader did not start, updates the phases of the
// others, handles exits, and removes attempts that no longer exist. Owns
// nothing; changes the cluster through the functions of ClusterState. Used by
// WorkerSessions alone.
#pragma once

#include "core/leader_context/leader_context.h"
#include "core/leader_context/log_limiter.h"

namespace oxbow {

class CommandDispatcher;
class JobLifecycle;
class MachineLifecycle;
class Reconciler;

// One per leadership. Called by WorkerSessions for each task in a heartbeat.
class TaskAttemptTracker {
 public:
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    JobLifecycle& job_lifecycle;
    Reconciler& reconciler;
    MachineLifecycle& machine_lifecycle;
  };
  TaskAttemptTracker(LeaderContext& context, const Modules& modules);

  // Updates the attempts on the machine to match a heartbeat that is newer than
  // all that were applied before. The caller has already set `machine.seq` to
  // the heartbeat's sequence number.
  void ApplyTaskStatuses(Machine& machine, const Heartbeat& heartbeat,
                         Time now);

 private:
  // Adds an attempt that this leader did not know: an earlier leader has
  // started it, or a command that this leader no longer expected to be
  // executed.
  void AdoptRunningTask(Machine& machine, const TaskStatus& status, Time now);
  // Counts and logs an added attempt that this leader has numbered itself.
  void ReportUnexpected(const Machine& machine, const TaskAttempt& attempt,
                        Time now);
  // Counts and logs an added attempt whose task is present on another machine.
  void ReportDuplicate(const Machine& machine, const TaskAttempt& attempt,
                       Time now);
  void UpdateAttempt(Machine& machine, TaskAttempt& attempt,
                     const TaskStatus& status, Time now);
  void UpdatePhase(Machine& machine, TaskAttempt& attempt, TaskPhase phase,
                   Time now);
  // Stops an attempt that must not run.
  void StopIfUnwanted(Machine& machine, TaskAttempt& attempt, Time now);
  // Removes the attempts that the heartbeat does not list, and that no start
  // command in flight can still create.
  void RemoveUnlistedAttempts(Machine& machine, uint64_t heartbeat_seq);

  // Handles the first heartbeat that reports the exit of the attempt. It calls
  // one of the next three functions.
  void OnExit(Machine& machine, TaskAttempt& attempt, ExitReason reason,
              Time now);
  // The attempt's job is unknown, has ended, or has a later attempt of the
  // task.
  void OnIrrelevantExit(Machine& machine, TaskAttempt& attempt, Time now);
  // The attempt has completed its task.
  void OnTaskDone(Job& job, const TaskAttempt& attempt, bool was_running,
                  Time now);
  // The task has to run again.
  void OnUnfinishedExit(Machine& machine, TaskAttempt& attempt, Time now);
  // The task has failed: delays the job's next start, longer with each error.
  void OnTaskError(Job& job, Machine& machine, Time now);
  // Counts the failed job, and cordons the machine once several jobs have
  // failed there.
  void CordonIfJobsFailThere(Machine& machine, const std::string& job_id,
                             Time now);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  RunTimeEstimates& run_times_;
  CommandDispatcher& dispatcher_;
  JobLifecycle& job_lifecycle_;
  Reconciler& reconciler_;
  MachineLifecycle& machine_lifecycle_;
  LogLimiter unexpected_log_;
  LogLimiter duplicates_log_;
};

}  // namespace oxbow
