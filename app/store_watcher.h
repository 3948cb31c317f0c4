// What a controller knows of the world outside: the live records of the state
// service, followed with one watch, and the cloud's machine types. Owns the
// writing side of the catalog; everything else reads it. Decides nothing.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "clients/cloud.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "net/loop.h"

namespace oxbow::app {

class StoreWatcher {
 public:
  struct Callbacks {
    std::function<void(const std::string& key)> taken;  // a record, as news
    std::function<void()> caught_up;  // with what the service has told
    std::function<void(const std::vector<MachineType>&)> types;
    // A listing that is not of the epoch that is known.
    std::function<void()> other_epoch;
  };
  StoreWatcher(net::Loop& loop, const Settings& settings,
               clients::KeyValueStoreClient& state, clients::CloudClient& cloud,
               Catalog& catalog, Callbacks callbacks);
  void Start();

  // Takes in a record that was read or written, whoever did it. monostate: the
  // key does not exist.
  void Apply(const std::string& key, const Record& record,
             uint64_t mod_revision);

  // A new epoch: everything is read from the beginning.
  void Reread();

  bool synced() const { return synced_; }  // and the watch goes on
  bool ever_synced() const { return ever_synced_; }
  // All that the key-value store held at this moment has been taken in.
  net::Time confirmed() const { return confirmed_; }
  const std::map<std::string, MachineType>& types() const { return types_; }

 private:
  // Ends once another has been started.
  net::Task<void> WatchLoop(uint64_t generation);
  net::Task<bool> Resync(uint64_t generation);
  // Whether a listing that begins with these is of the epoch that is known.
  bool OfThisEpoch(const std::vector<clients::KeyValue>& first) const;
  net::Task<void> TypesLoop();

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
  net::Time confirmed_ = -1e9;
};

}  // namespace oxbow::app
