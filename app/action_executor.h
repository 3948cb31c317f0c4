// Executes the actions that the leader's core returns: commands to workers,
// writes to and reads from the key-value store, renting and deleting machines,
// and requests to other controllers. There is one function for each type of
// action. The outcome of an action is delivered to the core as an event.
//
// Most actions run as spawned coroutines that hold `this`, the action and the
// revision of the leadership that the action belongs to. The executor must
// therefore outlive the event loop's run, and `deliver` drops an outcome that
// arrives after that leadership has ended.
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

// References to the components of one controller through which a leader acts.
// Owns none of them.
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

// What the caller must still do after a batch of actions, once the core returns
// no further actions.
struct ActionSummary {
  std::vector<std::string> hosts_to_delete;
  std::string resign_reason;  // empty: the leader does not resign
  bool prefer_other_candidates =
      false;  // whether another controller should become the leader instead
};

// Executes the actions of this controller's leaderships.
class ActionExecutor {
 public:
  struct Callbacks {
    // Returns the core if this controller may act as the leader now, else null.
    std::function<Leader*()> active_leader;
    // Delivers an event to the core, unless the leadership of this revision has
    // ended.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        deliver;
  };

  ActionExecutor(const LeaderServices& services,
                 TerminalStateWaiters& terminal_state_waiters,
                 Callbacks callbacks);

  // Starts the action, or adds it to the summary if the caller must complete
  // it.
  void Execute(Action action, uint64_t revision, ActionSummary* summary);
  // Deletes these machines through the cloud API, in requests of bounded size.
  void DeleteHosts(const std::vector<std::string>& hosts, uint64_t revision);
  // Closes the connections to workers and the health checks' connections.
  // Called when the leadership has ended.
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
  // Reads one record into the catalog. Returns false if the record cannot be
  // read, or is missing while the store may have lost data.
  net::Task<bool> ReadStoreKey(std::string key);
  // Whether a record that the store does not have was certainly deleted, rather
  // than lost.
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
