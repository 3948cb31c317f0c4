// What a controller does for the operators' records: each change is its own
// write, conditioned on the version that it replaces; the leader sees it in the
// key-value store. Knows nothing of what a record means: who reads a kind
// brings its check.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "api/record_routes.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/settings.h"

namespace oxbow::app {

// One kind of record, registered in one place (app/node.cc).
struct RecordKind {
  // The name, or, with a slash at its end, what its names begin with.
  std::string name;
  std::string kind;
  // Empty when the text may stand; else what is wrong, naming the value.
  std::function<std::string(const std::string& name, const std::string& text)>
      check;
};

class RecordCoordinator : public api::RecordService {
 public:
  struct Callbacks {
    // Takes a record that was read or written into the picture.
    std::function<void(const std::string& key, const Record&,
                       uint64_t mod_revision)>
        apply;
    std::function<bool()> synced;
    // Makes a write one of the epoch that is known.
    std::function<void(std::vector<Precondition>*)> add_guard;
    // False while the key-value store may have lost data: what is missing there
    // may be remembered, and a version must not be given twice.
    std::function<bool()> may_write;
  };

  RecordCoordinator(const Settings& settings, const Catalog& catalog,
                    clients::KeyValueStoreClient& state,
                    std::vector<RecordKind> kinds, Callbacks callbacks);

  net::Task<api::RecordAnswer> Get(std::string name) override;
  net::Task<api::RecordAnswer> Change(std::string name,
                                      wire::OperatorChange change) override;
  std::optional<Named> List(const std::string& prefix) override;
  net::Task<std::optional<Named>> Past(std::string name) override;

 private:
  const RecordKind* KindOf(const std::string& name) const;
  // What may not stand, before anything is read.
  api::RecordAnswer Check(const std::string& name,
                          const OperatorRecord& record) const;
  // An old tombstone, removed beside a change so that they don't pile up.
  void AddSweep(const std::string& but,
                std::vector<Precondition>* preconditions,
                std::vector<Mutation>* mutations) const;
  // Whether the key-value store takes a value of that size.
  bool Fits(const OperatorRecord& record) const;
  // An earlier version that is larger than what may be written now.
  net::Task<bool> KeepInPieces(std::string name, OperatorRecord record);
  net::Task<void> DropPieces(std::string name, uint64_t version);

  const Settings& settings_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  const std::vector<RecordKind> kinds_;
  Callbacks callbacks_;
};

}  // namespace oxbow::app
