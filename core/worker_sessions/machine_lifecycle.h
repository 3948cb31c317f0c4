// Machines from boot to deletion: draining, deletion, the machine list of the
// cloud, and the periodic review of the task attempts on each machine. Every
// removal that rests on an assumption (silence, a list, a timeout) passes the
// loss limiter. Owns nothing; changes the machines.
#pragma once

#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth;
class CommandDispatcher;
class RolloutManager;
class Reconciler;

// One per leadership. Called in each tick and by whoever wants a machine
// removed.
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

  // In what follows, `reason` is a constant text for the log.

  // Starts the graceful eviction of what runs on a machine that is up.
  void Drain(Machine& machine, Time now, const char* reason);
  // Drains, cordons or deletes the machine, whatever the cause calls for. False
  // if the loss limiter forbids it now.
  bool RemoveMachine(Machine& machine, RemovalCause cause, Time now);
  // Asks the cloud to delete the machine. For what is certain or was allowed
  // before: no limit applies.
  void RequestDeletion(Machine& machine, Time now, const char* reason);
  // Everything on the machine is surely gone, and nothing sent to it before can
  // be executed any more: its incarnation has changed or expired.
  void LoseTasks(Machine& machine, const char* reason);
  // The periodic review, in each tick of the leader.
  void TickMachine(Machine& machine, Time now);

  // The cloud's answer to a request for deletion. `ok`: confirmed.
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok, Time now);
  // A complete list of the cloud's machines, asked for at `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now);

 private:
  // Stops what has to leave a machine that is being drained and may now.
  void EvictTasks(Machine& machine, Time now);
  void Evict(Machine& machine, TaskAttempt& attempt, Time now);
  void TickBooting(Machine& machine, Time now);
  // True if the deletion has been asked for.
  bool DeleteIfDrained(Machine& machine, Time now);
  bool DeleteIfSilent(Machine& machine, Time now);
  // Repeats stops without effect, stops what must not run and lets exits be
  // forgotten that nobody needs.
  void ReviewAttempts(Machine& machine, Time now);
  bool ExitMayBeForgotten(const Machine& machine, const TaskAttempt& attempt,
                          Time now);
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
