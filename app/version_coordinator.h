// Records the version of the records that this controller writes, and the mark
// once all controllers have recorded theirs. Writes only what is missing: once
// for each process and store epoch.
//
// Coroutines: Start() spawns a detached loop that uses this object, which
// therefore lives as long as the event loop.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/settings.h"
#include "core/upgrade/version_gate.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Owns the gate and writes what it requires.
class VersionCoordinator {
 public:
  struct Callbacks {
    std::function<bool()> synced;
    // Whether what is written now is of the epoch that is known.
    std::function<bool()> may_write;
    std::function<void(std::vector<Precondition>*)> add_guard;
    std::function<void(const std::string& key, const Record& record,
                       uint64_t mod_revision)>
        apply;
  };
  VersionCoordinator(net::Loop& loop, const Settings& settings,
                     const Catalog& catalog,
                     clients::KeyValueStoreClient& store, Callbacks callbacks);
  void Start();

  // Whether records may be written that an earlier version can't act on.
  bool IsOpen();

 private:
  net::Task<void> RecordLoop();
  // Writes what the gate requires.
  net::Task<void> Record(GateWrite required);

  net::Loop& loop_;
  const Settings& settings_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  const Callbacks callbacks_;
  VersionGate gate_;
};

}  // namespace oxbow::app
