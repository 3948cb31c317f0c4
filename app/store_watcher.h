// Keeps the catalog up to date with the live records of the key-value store:
// lists them once and then follows one watch. Also polls the cloud API for its
// machine types. Only this class writes the catalog's live records; other
// components hand over records that they read or wrote through Apply().
//
// Start() and Reread() spawn detached coroutines that use this object, so it
// must live as long as the event loop. Reread() begins a new generation; a
// watch loop of an earlier generation ends at its next resumption.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "clients/cloud.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "net/loop.h"

namespace oxbow::app {

// Follows the key-value store and the cloud API for one controller.
class StoreWatcher {
 public:
  struct Callbacks {
    // A record has been taken into the catalog.
    std::function<void(const std::string& key)> on_record;
    // The catalog holds everything that the store's latest answer contained.
    std::function<void()> on_caught_up;
    std::function<void(const std::vector<MachineType>&)> on_machine_types;
    // A listing belongs to another store epoch than the one in the catalog, or
    // contains no epoch record.
    std::function<void()> on_other_epoch;
  };
  StoreWatcher(net::Loop& loop, const Settings& settings,
               clients::KeyValueStoreClient& store, clients::CloudClient& cloud,
               Catalog& catalog, Callbacks callbacks);
  void Start();

  // Puts a record that any component has read or written into the catalog. A
  // std::monostate record means that the key does not exist in the store.
  void Apply(const std::string& key, const Record& record,
             uint64_t mod_revision);

  // Ends the current watch and lists all live records again, as is necessary
  // after a change of the store epoch.
  void Reread();

  // Whether a complete listing has been read that the watch can continue from.
  bool synced() const { return synced_; }
  bool ever_synced() const { return ever_synced_; }
  // The catalog holds everything that the store held at this time (event loop
  // time, s).
  net::Time confirmed() const { return confirmed_; }
  const std::map<std::string, MachineType>& types() const { return types_; }

 private:
  enum class ApplyOutcome : uint8_t { kApplied, kGenerationPassed };

  net::Task<void> WatchLoop(uint64_t generation);
  // Lists all live records once. Returns whether the listing is complete.
  net::Task<bool> Resync(uint64_t generation);
  // Sends one watch request and applies the changes that it returns.
  net::Task<void> Watch(uint64_t generation);
  // Puts the records into the catalog. Stops when a record of a new store epoch
  // begins another generation, which lists everything again. Yields to the
  // event loop after a bounded number of records, but never between the records
  // of one transaction.
  net::Task<ApplyOutcome> ApplyAll(std::vector<clients::KeyValue> items,
                                   uint64_t generation);
  // Whether the listing with this first page belongs to the store epoch in the
  // catalog or to a later one. True if the catalog has no epoch yet.
  bool IsOfKnownEpoch(const std::vector<clients::KeyValue>& first_page) const;
  net::Task<void> MachineTypesLoop();
  double RetryPauseSeconds() const {
    constexpr double kHeartbeatIntervals = 0.2;
    return kHeartbeatIntervals * settings_.workers.heartbeat_interval_seconds;
  }

  net::Loop& loop_;
  const Settings& settings_;
  clients::KeyValueStoreClient& store_;
  clients::CloudClient& cloud_;
  Catalog& catalog_;
  Callbacks callbacks_;
  std::map<std::string, MachineType> types_;
  uint64_t generation_ = 0;
  bool synced_ = false;
  bool ever_synced_ = false;
  // Before the first listing this is a time in the distant past.
  net::Time confirmed_ = -1e9;
};

}  // namespace oxbow::app
