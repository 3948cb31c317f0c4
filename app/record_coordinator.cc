#include "app/record_coordinator.h"

#include <algorithm>
#include <map>
#include <utility>

#include "app/record_history.h"
#include "net/loop.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using api::NamedRecord;
using api::RecordAnswer;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;
using Result = RecordAnswer::Result;

constexpr size_t kMaxRecords = 1000;  // including withdrawn records
constexpr uint64_t kMaxVersionsKept = 20;
// How long a withdrawn record is kept, so that its version numbers are not used
// again.
constexpr double kTombstoneSeconds = 24 * 3600;

RecordAnswer MakeAnswer(Result result, std::string why = {}) {
  RecordAnswer answer;
  answer.result = result;
  answer.why = std::move(why);
  return answer;
}

bool SameContent(const OperatorRecord& a, const OperatorRecord& b) {
  return a.version == b.version && a.text == b.text && a.author == b.author &&
         a.note == b.note && a.withdrawn == b.withdrawn;
}

}  // namespace

RecordCoordinator::RecordCoordinator(const Settings& settings,
                                     const Catalog& catalog,
                                     clients::KeyValueStoreClient& store,
                                     std::vector<RecordKind> kinds,
                                     Callbacks callbacks)
    : settings_(settings),
      catalog_(catalog),
      store_(store),
      kinds_(std::move(kinds)),
      callbacks_(std::move(callbacks)) {}

const RecordKind* RecordCoordinator::KindOf(const std::string& name) const {
  for (const RecordKind& kind : kinds_) {
    if (kind.name.ends_with('/') ? name.starts_with(kind.name)
                                 : name == kind.name) {
      return &kind;
    }
  }
  return nullptr;
}

net::Task<RecordAnswer> RecordCoordinator::Get(std::string name) {
  const std::string key = keys::Of(keys::kOperator, name);
  const StoreResult read = co_await store_.Get(key, Urgency::kUser);
  if (read.ok()) {
    const auto* record = std::get_if<OperatorRecord>(&read.items[0].record);
    if (record == nullptr) {
      co_return MakeAnswer(Result::kTryLater, "unreadable");
    }
    callbacks_.apply(key, *record, read.items[0].mod_revision);
    RecordAnswer answer = MakeAnswer(Result::kOk);
    answer.record = *record;
    answer.record.mod_revision = read.items[0].mod_revision;
    co_return answer;
  }
  // If the store has lost data, a record that it lacks may still be retained in
  // memory and waiting to be written back.
  if (read.status == StoreStatus::kNotFound && callbacks_.may_write() &&
      !catalog_.pending_writes().contains(key)) {
    co_return MakeAnswer(Result::kNotFound);
  }
  co_return MakeAnswer(Result::kTryLater, "state unknown");
}

std::optional<std::vector<NamedRecord>> RecordCoordinator::List(
    const std::string& prefix) {
  if (!callbacks_.synced()) return std::nullopt;
  std::vector<NamedRecord> records;
  for (const auto& [name, record] : catalog_.operator_records()) {
    if (name.starts_with(prefix)) records.push_back({name, record});
  }
  std::sort(records.begin(), records.end(),
            [](const NamedRecord& a, const NamedRecord& b) {
              return a.name < b.name;
            });
  return records;
}

net::Task<std::optional<std::vector<NamedRecord>>>
RecordCoordinator::ListVersions(std::string name) {
  const std::string prefix = keys::Of(keys::kOperatorHistory, name) + "/";
  const StoreResult read = co_await store_.List(prefix, "");
  if (!read.ok()) co_return std::nullopt;
  std::vector<NamedRecord> versions;
  for (OperatorRecord& record : JoinPieces(read.items)) {
    versions.push_back({name, std::move(record)});
  }
  std::sort(versions.begin(), versions.end(),
            [](const NamedRecord& a, const NamedRecord& b) {
              return a.record.version > b.record.version;
            });
  co_return versions;
}

RecordAnswer RecordCoordinator::Check(const std::string& name,
                                      const OperatorRecord& record) const {
  const RecordKind* kind = KindOf(name);
  if (kind == nullptr) return MakeAnswer(Result::kNotFound);
  if (!record.withdrawn) {
    const std::string wrong = kind->check(name, record.text);
    if (!wrong.empty()) return MakeAnswer(Result::kImpossible, wrong);
  }
  if (wire::EncodeRecord(record).size() > settings_.store.max_value_bytes()) {
    return MakeAnswer(Result::kImpossible, "the record is too large");
  }
  const auto& known = catalog_.operator_records();
  if (!known.contains(name) && known.size() >= kMaxRecords) {
    return MakeAnswer(Result::kTooMany,
                      "the maximum number of records already exists");
  }
  return MakeAnswer(Result::kOk);
}

void RecordCoordinator::AddTombstoneRemoval(const std::string& changed_name,
                                            Transaction* transaction) const {
  if (!settings_.store.FitsTransaction(transaction->mutations.size() + 1)) {
    return;
  }
  for (const auto& [name, record] : catalog_.operator_records()) {
    if (name == changed_name || !record.withdrawn || record.mod_revision == 0 ||
        net::WallNow() - record.changed_wall < kTombstoneSeconds) {
      continue;
    }
    const std::string key = keys::Of(keys::kOperator, name);
    transaction->preconditions.push_back({key, record.mod_revision});
    transaction->mutations.push_back({key, {}});
    return;
  }
}

bool RecordCoordinator::Fits(const OperatorRecord& record) const {
  return wire::EncodeRecord(record).size() <= settings_.store.max_value_bytes();
}

// The pieces are written before the change, under the precondition that the
// version that the change replaces is still the present one. They are therefore
// correct even if the change itself fails.
net::Task<bool> RecordCoordinator::WritePieces(std::string name,
                                               OperatorRecord record) {
  const std::vector<HistoryEntry> pieces =
      PiecesOf(name, record, settings_.store.max_value_bytes());
  const auto max_operations = static_cast<size_t>(settings_.store.txn_ops);
  for (size_t from = 0; from < pieces.size(); from += max_operations) {
    std::vector<Precondition> preconditions{
        {keys::Of(keys::kOperator, name), record.mod_revision}};
    callbacks_.add_guard(&preconditions);
    std::vector<Mutation> mutations;
    const size_t end = std::min(pieces.size(), from + max_operations);
    for (size_t i = from; i < end; ++i) {
      mutations.push_back({pieces[i].key, pieces[i].record});
    }
    const StoreResult written = co_await store_.Write(
        std::move(preconditions), std::move(mutations), Urgency::kUser);
    if (!written.ok()) co_return false;
  }
  co_return true;
}

// Removes the pieces of a version that is too old to be kept. Pieces that
// remain after a failed write do no harm.
net::Task<void> RecordCoordinator::RemovePieces(std::string name,
                                                uint64_t version) {
  const StoreResult pieces =
      co_await store_.List(PiecesPrefix(name, version), "");
  const auto max_operations = static_cast<size_t>(settings_.store.txn_ops);
  for (size_t from = 0; from < pieces.items.size(); from += max_operations) {
    std::vector<Precondition> preconditions;
    callbacks_.add_guard(&preconditions);
    std::vector<Mutation> mutations;
    const size_t end = std::min(pieces.items.size(), from + max_operations);
    for (size_t i = from; i < end; ++i) {
      mutations.push_back({pieces.items[i].key, {}});
    }
    const StoreResult removed = co_await store_.Write(
        std::move(preconditions), std::move(mutations), Urgency::kBackground);
    if (!removed.ok()) co_return;
  }
}

OperatorRecord RecordCoordinator::NextVersion(
    const std::string& name, wire::OperatorChange change) const {
  const RecordKind* kind = KindOf(name);
  OperatorRecord next = std::move(change.record);
  next.kind = kind == nullptr ? "" : kind->kind;
  next.version = change.version + 1;
  next.changed_wall = net::WallNow();
  return next;
}

std::optional<RecordAnswer> RecordCoordinator::AnswerWithoutWrite(
    const RecordAnswer& present, const OperatorRecord& next) {
  const bool absent = present.result == Result::kNotFound;
  if (present.result != Result::kOk && !absent) return present;
  // An earlier copy of this request has already been written.
  if (!absent && SameContent(present.record, next)) return present;
  const uint64_t present_version = absent ? 0 : present.record.version;
  if (present_version == next.version - 1) return std::nullopt;
  RecordAnswer conflict = present;
  if (!absent) conflict.result = Result::kConflict;
  return conflict;
}

net::Task<RecordAnswer> RecordCoordinator::Change(std::string name,
                                                  wire::OperatorChange change) {
  if (!callbacks_.synced() || !callbacks_.may_write()) {
    co_return MakeAnswer(Result::kTryLater, "state unknown");
  }
  OperatorRecord next = NextVersion(name, std::move(change));
  RecordAnswer checked = Check(name, next);
  if (checked.result != Result::kOk) co_return checked;
  // The present version is read from the store rather than from the catalog, so
  // that of two operators who change the same version the second gets a
  // conflict.
  const RecordAnswer current = co_await Get(name);
  std::optional<RecordAnswer> answer = AnswerWithoutWrite(current, next);
  if (answer) co_return *std::move(answer);
  std::optional<OperatorRecord> present;
  if (current.result == Result::kOk) present = current.record;
  if (next.withdrawn) {
    next.text = current.record.text;
    // The text may have been written when the store accepted larger values. It
    // is then left out here, and the history keeps it in the previous version.
    if (!Fits(next)) next.text.clear();
  }
  std::optional<Transaction> transaction =
      co_await BuildTransaction(name, std::move(present), next);
  if (!transaction) {
    co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
  co_return co_await WriteChange(std::move(name), std::move(next),
                                 *std::move(transaction));
}

net::Task<std::optional<RecordCoordinator::Transaction>>
RecordCoordinator::BuildTransaction(std::string name,
                                    std::optional<OperatorRecord> present,
                                    OperatorRecord next) {
  const std::string key = keys::Of(keys::kOperator, name);
  Transaction transaction;
  transaction.preconditions.push_back(
      {key, present ? present->mod_revision : 0});
  transaction.mutations.push_back({key, std::move(next)});
  if (present && Fits(*present)) {
    transaction.mutations.push_back(
        {PastKey(name, present->version), *present});
  } else if (present) {
    const bool kept = co_await WritePieces(name, *present);
    if (!kept) co_return std::nullopt;
  }
  if (present && present->version > kMaxVersionsKept) {
    const uint64_t expired = present->version - kMaxVersionsKept;
    transaction.mutations.push_back({PastKey(name, expired), {}});
    net::Spawn(RemovePieces(name, expired));
  }
  AddTombstoneRemoval(name, &transaction);
  callbacks_.add_guard(&transaction.preconditions);
  co_return transaction;
}

net::Task<RecordAnswer> RecordCoordinator::WriteChange(
    std::string name, OperatorRecord next, Transaction transaction) {
  const StoreResult written =
      co_await store_.Write(std::move(transaction.preconditions),
                            std::move(transaction.mutations), Urgency::kUser);
  switch (written.status) {
    case StoreStatus::kOk: {
      callbacks_.apply(keys::Of(keys::kOperator, name), next, written.revision);
      RecordAnswer answer = MakeAnswer(Result::kWritten);
      answer.record = std::move(next);
      co_return answer;
    }
    case StoreStatus::kRefused:
      co_return MakeAnswer(Result::kImpossible, "the record is too large");
    case StoreStatus::kConflict:
    case StoreStatus::kUnknown:
      co_return co_await ReadOutcome(std::move(name), std::move(next));
    default:
      co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
}

// Another change may have been written first, or this one's outcome is unknown,
// so the record is read before the request is answered.
net::Task<RecordAnswer> RecordCoordinator::ReadOutcome(std::string name,
                                                       OperatorRecord next) {
  RecordAnswer current = co_await Get(std::move(name));
  if (current.result != Result::kOk) {
    co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
  if (SameContent(current.record, next)) co_return current;
  if (current.record.version >= next.version) {
    current.result = Result::kConflict;
    co_return current;
  }
  co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
}

}  // namespace oxbow::app
