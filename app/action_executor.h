// Carries out what the leader's core asks for: commands to workers, writes and
// reads of the key-value store, scale-out, deletion of machines, questions to
// other controllers. One function for each type of action. What comes of an
// action is delivered to the core as an event.
//
// Every action is spawned as a coroutine that holds `this`, its action and the
// revision of the leadership it belongs to: the executor must outlive the event
// loop's run, and an outcome that arrives after that leadership has ended is
// dropped by `deliver`.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "app/leader_election.h"
#include "app/leader_health_coordinator.h"
#include "app/recovery_coordinator.h"
#include "app/store_watcher.h"
#include "app/terminal_state_waiters.h"
#include "app/zone_coordinator.h"
#include "clients/cloud.h"
#include "clients/health.h"
#include "clients/key_value_store.h"
#include "clients/worker.h"
#include "core/leader/leader.h"
#include "net/loop.h"

namespace oxbow::app {

// The parts of one controller that a leader acts through. Owns nothing.
struct LeaderServices {
  net::Loop& loop;
  const Settings& settings;
  Catalog& catalog;
  clients::KeyValueStoreClient& store;
  clients::CloudClient& cloud;
  StoreWatcher& watcher;
  LeaderElection& election;
  LeaderHealthCoordinator& leader_health_coordinator;
  ZoneCoordinator& zone_coordinator;
  RecoveryCoordinator& recovery;
};

// What remains to be done after a batch of actions, once the core has no more.
struct ActionSummary {
  std::vector<std::string> hosts_to_delete;
  std::string resign_reason;  // empty: the leader does not resign
  bool prefer_other_candidates =
      false;  // resigns because others are fitter to lead
};

// Executes the actions of this controller's leaderships.
class ActionExecutor {
 public:
  struct Callbacks {
    // The core, if this controller may act as the leader now; else null.
    std::function<Leader*()> active_leader;
    // Hands an event to the core, if that leadership has not ended.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        deliver;
  };

  ActionExecutor(const LeaderServices& services,
                 TerminalStateWaiters& terminal_state_waiters,
                 Callbacks callbacks);

  // Starts what the action asks for, or adds it to the summary.
  void Execute(Action action, uint64_t revision, ActionSummary* summary);
  // Deletes these machines, in requests of a bounded size.
  void DeleteHosts(const std::vector<std::string>& hosts, uint64_t revision);
  // The leadership has ended: connections to workers are closed.
  void Clear();
  net::HttpClientPool::Counters worker_requests() const {
    return workers_.counters();
  }

 private:
  struct Dispatch;

  net::Task<void> SendCommandsToWorker(SendCommands commands,
                                       uint64_t revision);
  net::Task<void> ProbeWorker(Probe probe, uint64_t revision);
  net::Task<void> CheckInstanceHealth(RunHealthCheck check, uint64_t revision);
  net::Task<void> ExecuteCompareAndSwap(CompareAndSwap transaction,
                                        uint64_t revision);
  net::Task<void> ReadStoreKeys(ReadKeys read, uint64_t revision);
  net::Task<void> ReadFenceKey(ReadFence read, uint64_t revision);
  // Takes one record into the catalog; false if it can't be read, or is missing
  // though the store may have lost data.
  net::Task<bool> ReadStoreKey(std::string key);
  // Whether a missing record may be believed to be deleted.
  net::Task<bool> IsSurelyDeleted(std::string key);
  net::Task<void> ReadJobTerminalState(std::string id, uint64_t revision);
  net::Task<void> RequestMachines(RequestScaleOut request, uint64_t revision);
  net::Task<void> ReadZoneDelegates(uint64_t revision);
  net::Task<void> DeleteCloudMachines(std::vector<std::string> hosts,
                                      uint64_t revision);

  const LeaderServices services_;
  TerminalStateWaiters& terminal_state_waiters_;
  const Callbacks callbacks_;
  clients::WorkerClients workers_;
  clients::HealthClient health_;
};

}  // namespace oxbow::app
