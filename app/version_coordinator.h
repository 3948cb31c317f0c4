// Records the version of this controller, and the mark once all have recorded
// theirs. Writes only what is missing: once for each process and data set.
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

class VersionCoordinator {
 public:
  struct Callbacks {
    std::function<bool()> synced;
    // Whether what is written now stands in the epoch that is known.
    std::function<bool()> may_write;
    std::function<void(std::vector<Precondition>*)> add_guard;
    std::function<void(const std::string& key, const Record& record,
                       uint64_t mod_revision)>
        apply;
  };
  VersionCoordinator(net::Loop& loop, const Settings& settings,
                     const Catalog& catalog,
                     clients::KeyValueStoreClient& state, Callbacks callbacks);
  void Start();

  // Whether records may be written that an earlier version can't act on.
  bool Open();

 private:
  net::Task<void> RecordLoop();
  net::Task<void> Record(GateWrite what);

  net::Loop& loop_;
  const Settings& settings_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  const Callbacks callbacks_;
  VersionGate gate_;
};

}  // namespace oxbow::app
