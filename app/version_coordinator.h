// Writes to the key-value store which record version this controller writes.
// Once all controllers have written theirs, also writes the mark that says so.
// Writes only what is missing, which is normally once for each process and
// store epoch.
//
// Start() spawns a detached coroutine that uses this object, so it must live as
// long as the event loop.
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

// Owns the version gate and writes the records that the gate requires.
class VersionCoordinator {
 public:
  struct Callbacks {
    std::function<bool()> synced;
    // Whether a record that is written now belongs to the store epoch in the
    // catalog.
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

  // Whether this controller may write records that an earlier version of the
  // program cannot act on.
  bool IsOpen();

 private:
  net::Task<void> RecordLoop();
  // Writes the record that the gate requires.
  net::Task<void> Record(GateWrite required);

  net::Loop& loop_;
  const Settings& settings_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  const Callbacks callbacks_;
  VersionGate gate_;
};

}  // namespace oxbow::app
