// Applies what a heartbeat says of the tasks on its machine: adopts attempts
// that this leader did not start, follows their phases, handles their exits and
// drops those that are gone. Owns nothing; changes the cluster state through
// its functions. Used by WorkerSessions alone.
#pragma once

#include "core/leader_context/leader_context.h"

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

  // Brings the attempts on the machine in line with a heartbeat that is newer
  // than every one applied before. `machine.seq` is already that of the
  // heartbeat.
  void ApplyTaskStatuses(Machine& machine, const Heartbeat& heartbeat,
                         Time now);

 private:
  // A task that this leader did not know of: started by an earlier leader, or
  // by a command whose outcome was given up.
  void AdoptRunningTask(Machine& machine, const TaskStatus& status, Time now);
  void UpdateAttempt(Machine& machine, TaskAttempt& attempt,
                     const TaskStatus& status, Time now);
  void UpdatePhase(Machine& machine, TaskAttempt& attempt, TaskPhase phase,
                   Time now);
  void StopIfUnwanted(Machine& machine, TaskAttempt& attempt, Time now);
  void RemoveUnlistedAttempts(Machine& machine, uint64_t heartbeat_seq);

  // The attempt is shown to have exited, for the first time.
  void OnExit(Machine& machine, TaskAttempt& attempt, ExitReason reason,
              Time now);
  // Of an attempt that no live job counts on.
  void OnIrrelevantExit(Machine& machine, TaskAttempt& attempt, Time now);
  void OnTaskDone(Job& job, const TaskAttempt& attempt, bool was_running,
                  Time now);
  // Of an attempt whose task has to run again.
  void OnUnfinishedExit(Machine& machine, TaskAttempt& attempt, Time now);
  void OnTaskError(Job& job, Machine& machine, Time now);
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
};

}  // namespace oxbow
