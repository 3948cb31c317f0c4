// Machines from drain to deletion, and the periodic review of what is on them.
// Every removal that rests on a belief passes the loss limiter.
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

class MachineHealth;
class CommandDispatcher;
class RolloutManager;
class Reconciler;

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

  void Drain(Machine& machine, Time now, const char* why);
  // Of its own accord: within the limits. False when they forbid it.
  bool RemoveMachine(Machine& machine, LossCause cause, Time now);
  void TickMachine(Machine& machine, Time now);
  // What was on the machine is surely gone.
  void LoseTasks(Machine& machine, const char* why);
  // What is certain, or was allowed before, has no limit.
  void AskDelete(Machine& machine, Time now, const char* why);
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok, Time now);
  // A whole listing of the cloud's machines, asked for at `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now);

 private:
  // Stops what has to leave a machine that is being drained and may now.
  void StopLeaving(Machine& machine, Time now);
  void LogLostTasks(const Machine& machine, const char* why);

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
