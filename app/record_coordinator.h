// Reads and changes the operators' records. Each change is this controller's
// own compare-and-swap on the version that it replaces; the leader sees it in
// the key-value store. Knows nothing of what a record means: the subsystem that
// uses a kind of record supplies its validation.
//
// Coroutines hold `this` and copies of their arguments: the coordinator must
// outlive the event loop's run.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "api/record_routes.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/settings.h"

namespace oxbow::app {

// One kind of record, registered in one place (app/controller_node.cc).
struct RecordKind {
  // The name, or, with a slash at its end, the prefix of its names.
  std::string name;
  std::string kind;
  // Empty when the text is valid; else what is wrong, naming the value.
  std::function<std::string(const std::string& name, const std::string& text)>
      check;
};

// Reads and changes operators' records for the HTTP interface.
class RecordCoordinator : public api::RecordService {
 public:
  struct Callbacks {
    // Takes a record that was read or written into the catalog.
    std::function<void(const std::string& key, const Record&,
                       uint64_t mod_revision)>
        apply;
    std::function<bool()> synced;
    // Ties a write to the store epoch that is known.
    std::function<void(std::vector<Precondition>*)> add_guard;
    // False while the key-value store may have lost data: a record that it
    // lacks may be retained in memory, and no version may be given twice.
    std::function<bool()> may_write;
  };

  RecordCoordinator(const Settings& settings, const Catalog& catalog,
                    clients::KeyValueStoreClient& store,
                    std::vector<RecordKind> kinds, Callbacks callbacks);

  net::Task<api::RecordAnswer> Get(std::string name) override;
  net::Task<api::RecordAnswer> Change(std::string name,
                                      wire::OperatorChange change) override;
  std::optional<std::vector<api::NamedRecord>> List(
      const std::string& prefix) override;
  net::Task<std::optional<std::vector<api::NamedRecord>>> ListVersions(
      std::string name) override;

 private:
  struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Mutation> mutations;
  };

  const RecordKind* KindOf(const std::string& name) const;
  OperatorRecord NextVersion(const std::string& name,
                             wire::OperatorChange change) const;
  // Whether the record is valid, before anything is read.
  api::RecordAnswer Check(const std::string& name,
                          const OperatorRecord& record) const;
  // The answer to a change that need not or can't be written.
  static std::optional<api::RecordAnswer> AnswerWithoutWrite(
      const api::RecordAnswer& present, const OperatorRecord& next);
  // What replaces the present version, if any, by the next one; keeps the
  // present one as an earlier version. Nothing if that one can't be kept now.
  net::Task<std::optional<Transaction>> BuildTransaction(
      std::string name, std::optional<OperatorRecord> present,
      OperatorRecord next);
  net::Task<api::RecordAnswer> WriteChange(std::string name,
                                           OperatorRecord next,
                                           Transaction transaction);
  // After a conflict or an unknown outcome.
  net::Task<api::RecordAnswer> ReadOutcome(std::string name,
                                           OperatorRecord next);
  // Removes an old tombstone beside a change, so that they don't accumulate.
  void AddTombstoneRemoval(const std::string& changed_name,
                           Transaction* transaction) const;
  // Whether the key-value store takes a value of that size.
  bool Fits(const OperatorRecord& record) const;
  // Keeps an earlier version that is larger than what may be written now.
  net::Task<bool> WritePieces(std::string name, OperatorRecord record);
  net::Task<void> RemovePieces(std::string name, uint64_t version);

  const Settings& settings_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  const std::vector<RecordKind> kinds_;
  Callbacks callbacks_;
};

}  // namespace oxbow::app
