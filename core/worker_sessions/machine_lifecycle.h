// The life cycle of machines from boot to deletion: draining, deletion,
// comparison with the cloud's machine list, and the periodic review of the task
// attempts on each machine. Every removal that rests on an assumption (silence,
// a list, a timeout) needs the permission of the removal limiter. Owns nothing;
// changes the machines.
#pragma once

#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth;
class CommandDispatcher;
class RolloutManager;
class Reconciler;

// One per leadership. Called by the leader in each tick, and by every module
// that wants a machine removed.
class MachineLifecycle {
 public:
  // The modules that it calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
    Reconciler& reconciler;
  };
  MachineLifecycle(LeaderContext& context, const Modules& modules);

  // The parameter `reason` of the functions below is a constant text for the
  // log.

  // Puts a machine that is up into the draining state, and starts the graceful
  // eviction of its tasks.
  void Drain(Machine& machine, Time now, const char* reason);
  // Drains, cordons or deletes the machine, depending on the cause. Returns
  // false, and changes nothing, if the removal limiter forbids it now.
  bool RemoveMachine(Machine& machine, RemovalCause cause, Time now);
  // Asks the cloud to delete the machine. No limit applies, so this is only for
  // machines that certainly have to go or whose removal was allowed before.
  void RequestDeletion(Machine& machine, Time now, const char* reason);
  // Marks all task attempts on the machine as lost. To be called only when its
  // worker's incarnation has ended or its lease has expired: then the tasks
  // have certainly ended, and no command sent before can still be executed.
  void MarkTasksLost(Machine& machine, const char* reason);
  // Called for each machine in each tick of the leader: repeats requests for
  // deletion, applies the timeouts for booting, drained and silent machines,
  // and reviews the task attempts when that is due.
  void TickMachine(Machine& machine, Time now);

  // The cloud's answer to a request for deletion. `ok`: the cloud has confirmed
  // that these machines are deleted.
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok, Time now);
  // The cloud's complete list of machines, requested at the time `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now);

 private:
  // Stops the task attempts on a draining machine that have to leave it and may
  // be disrupted now.
  void EvictTasks(Machine& machine, Time now);
  void Evict(Machine& machine, TaskAttempt& attempt, Time now);
  void TickBooting(Machine& machine, Time now);
  // These two return true if they have requested the machine's deletion.
  bool DeleteIfDrained(Machine& machine, Time now);
  bool DeleteIfSilent(Machine& machine, Time now);
  // Repeats stop commands that had no effect, stops tasks that must not run,
  // and lets the worker forget the exits that are no longer needed.
  void ReviewAttempts(Machine& machine, Time now);
  // Whether the worker may stop reporting the exit of this attempt.
  bool ExitMayBeForgotten(const Machine& machine, const TaskAttempt& attempt,
                          Time now);
  // Whether a stop command for this attempt is due, as the first one or as a
  // repetition.
  bool NeedsStop(const TaskAttempt& attempt, Time now);
  void LogLostTasks(const Machine& machine, const char* reason);
  void OnListedMachine(const ListedMachine& entry, Time now);
  void OnUnlistedMachine(Machine& machine, Time asked, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  std::vector<Action>& actions_;
  LivenessMonitor& liveness_;
  MachineHealth& machine_health_;
  CommandDispatcher& dispatcher_;
  RolloutManager& rollout_manager_;
  Reconciler& reconciler_;
};

}  // namespace oxbow
