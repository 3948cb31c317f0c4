// Reads and changes the operators' records. Any controller writes a change by a
// compare-and-swap on the version that the change replaces; the leader sees the
// change in the key-value store. This class does not interpret the records: the
// subsystem that uses a kind of record supplies the validation.
//
// Coroutines hold `this` and copies of their arguments, so the coordinator must
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

// One kind of operators' record. All kinds are registered in
// app/controller_node.cc.
struct RecordKind {
  // The name of the only record of this kind or, if it ends with a slash, the
  // common prefix of the names of all records of this kind.
  std::string name;
  std::string kind;
  // Returns an empty string if the text is valid, else an error that names the
  // invalid value.
  std::function<std::string(const std::string& name, const std::string& text)>
      check;
};

// Reads and changes operators' records for the HTTP interface.
class RecordCoordinator : public api::RecordService {
 public:
  struct Callbacks {
    // Puts a record that was read or written into the catalog.
    std::function<void(const std::string& key, const Record&,
                       uint64_t mod_revision)>
        apply;
    std::function<bool()> synced;
    // Adds the precondition that the store is still in the epoch that the
    // catalog holds.
    std::function<void(std::vector<Precondition>*)> add_guard;
    // False while the key-value store may have lost data. A record that the
    // store lacks may then be retained in memory, and a change could use a
    // version number that has already been used.
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
  // Validates a change without reading from the store.
  api::RecordAnswer Check(const std::string& name,
                          const OperatorRecord& record) const;
  // Returns the answer to a change that need not or cannot be written, or
  // nothing if the change must be written.
  static std::optional<api::RecordAnswer> AnswerWithoutWrite(
      const api::RecordAnswer& present, const OperatorRecord& next);
  // Builds the transaction that writes the next version and keeps the present
  // one, if any, in the history. Returns nothing if the present version cannot
  // be kept now.
  net::Task<std::optional<Transaction>> BuildTransaction(
      std::string name, std::optional<OperatorRecord> present,
      OperatorRecord next);
  net::Task<api::RecordAnswer> WriteChange(std::string name,
                                           OperatorRecord next,
                                           Transaction transaction);
  // Reads the record after a write that conflicted or whose outcome is unknown,
  // and returns the answer to the change.
  net::Task<api::RecordAnswer> ReadOutcome(std::string name,
                                           OperatorRecord next);
  // Adds the removal of one old tombstone (the record of a withdrawn name) to
  // the transaction of another change, so that tombstones do not accumulate.
  void AddTombstoneRemoval(const std::string& changed_name,
                           Transaction* transaction) const;
  // Whether the record is small enough for the key-value store.
  bool Fits(const OperatorRecord& record) const;
  // Writes an earlier version in pieces, because it is larger than the values
  // that the store accepts now. Returns whether all pieces were written.
  net::Task<bool> WritePieces(std::string name, OperatorRecord record);
  net::Task<void> RemovePieces(std::string name, uint64_t version);

  const Settings& settings_;
  const Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  const std::vector<RecordKind> kinds_;
  Callbacks callbacks_;
};

}  // namespace oxbow::app
