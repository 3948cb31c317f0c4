// Owns the Leader, the leader's state machine, while this controller leads:
// delivers events to it and has the resulting actions executed by
// ActionExecutor.
//
// Its loops and spawned coroutines hold `this`, so the runtime must live as
// long as the event loop runs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/action_executor.h"
#include "app/terminal_state_waiters.h"
#include "core/leader/leader.h"
#include "core/priority_tiers/tier_set.h"
#include "net/loop.h"

namespace oxbow::app {

// Runs each leadership of this controller, one after the other.
class LeaderRuntime {
 public:
  LeaderRuntime(const LeaderServices& services, const Tuning& tuning);
  // Starts the periodic ticks and machine listings. Must be called once.
  void Start();

  bool is_leading() const { return leader_ != nullptr; }
  // Begins a leadership. `revision` is that of the leader key; for `delegates`
  // see Leader.
  void StartLeading(uint64_t revision,
                    const std::optional<std::set<std::string>>& delegates);
  void StopLeading();
  // The Leader if this controller may act as the leader now; otherwise null.
  Leader* ActiveLeader();

  // Delivers an event to the Leader and executes the resulting actions, unless
  // the leadership of `revision` has ended. An illegal state transition in the
  // Leader ends the leadership and not the process: the next leader rebuilds
  // its state from the stored records.
  void Deliver(uint64_t revision, const std::function<void(Leader&)>& event);
  // Must be called after the record at `key` has been applied to the catalog.
  void OnRecord(const std::string& key);
  void OnMachineTypes(const std::vector<MachineType>& types);
  // Executes the actions that the Leader has queued since the last call.
  void ExecuteActions();
  // Counters of the HTTP requests to workers.
  net::HttpClientPool::Counters worker_requests() const {
    return executor_.worker_requests();
  }
  // Cancels a job and waits for its terminal state to be recorded. Returns
  // kNone if the job is unknown or the state was not recorded within the
  // timeout. May be called only while this controller leads.
  net::Task<TerminalState> Cancel(std::string id);

 private:
  void NotifyLeaderOfRecord(const std::string& key);
  // Gives the Leader a reading of the wall clock before each event.
  void UpdateClocks();
  // Applies the recorded priority tiers. Controllers that do not lead do this
  // too, so that a new leadership begins with the last known version.
  void UpdateTiers();
  void ReadTierRecord();
  net::Task<void> TickLoop();
  net::Task<void> ListMachinesLoop();
  // Executes actions until the Leader has no more.
  ActionSummary ExecuteUntilIdle();

  const LeaderServices services_;
  const Tuning& tuning_;
  TerminalStateWaiters terminal_state_waiters_;
  ActionExecutor executor_;
  TiersInForce tiers_;
  std::unique_ptr<Leader> leader_;
  // True while ExecuteActions() runs. Executing an action may deliver an event;
  // the outer call then executes the actions of that event.
  bool executing_actions_ = false;
};

}  // namespace oxbow::app
