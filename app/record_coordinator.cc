#include "app/record_coordinator.h"

#include <algorithm>
#include <map>
#include <utility>

#include "app/record_history.h"
#include "net/loop.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using api::RecordAnswer;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;
using Result = RecordAnswer::Result;

constexpr size_t kMostRecords = 1000;  // withdrawn ones too
constexpr uint64_t kVersionsKept = 20;
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
                                     clients::KeyValueStoreClient& state,
                                     std::vector<RecordKind> kinds,
                                     Callbacks callbacks)
    : settings_(settings),
      catalog_(catalog),
      store_(state),
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
    if (record == nullptr)
      co_return MakeAnswer(Result::kTryLater, "unreadable");
    callbacks_.apply(key, *record, read.items[0].mod_revision);
    RecordAnswer answer = MakeAnswer(Result::kOk);
    answer.record = *record;
    answer.record.mod_revision = read.items[0].mod_revision;
    co_return answer;
  }
  // What a service that has lost data does not hold may be remembered.
  if (read.status == StoreStatus::kNotFound && callbacks_.may_write() &&
      !catalog_.pending_writes().contains(key)) {
    co_return MakeAnswer(Result::kNotFound);
  }
  co_return MakeAnswer(Result::kTryLater, "state unknown");
}

std::optional<RecordCoordinator::Named> RecordCoordinator::List(
    const std::string& prefix) {
  if (!callbacks_.synced()) return std::nullopt;
  Named out;
  for (const auto& [name, record] : catalog_.operators()) {
    if (name.starts_with(prefix)) out.emplace_back(name, record);
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  return out;
}

net::Task<std::optional<RecordCoordinator::Named>> RecordCoordinator::Past(
    std::string name) {
  const std::string prefix = keys::Of(keys::kOperatorPast, name) + "/";
  const StoreResult read = co_await store_.List(prefix, "");
  if (!read.ok()) co_return std::nullopt;
  Named out;
  for (OperatorRecord& record : JoinPieces(read.items)) {
    out.emplace_back(name, std::move(record));
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.second.version > b.second.version;
  });
  co_return out;
}

RecordAnswer RecordCoordinator::Check(const std::string& name,
                                      const OperatorRecord& record) const {
  const RecordKind* kind = KindOf(name);
  if (kind == nullptr) return MakeAnswer(Result::kNotFound);
  if (!record.withdrawn) {
    const std::string wrong = kind->check(name, record.text);
    if (!wrong.empty()) return MakeAnswer(Result::kImpossible, wrong);
  }
  if (wire::EncodeRecord(record).size() > settings_.store.most_value_bytes()) {
    return MakeAnswer(Result::kImpossible, "the record is too large");
  }
  const auto& known = catalog_.operators();
  if (!known.contains(name) && known.size() >= kMostRecords) {
    return MakeAnswer(Result::kTooMany, "as many records as are allowed stand");
  }
  return MakeAnswer(Result::kOk);
}

void RecordCoordinator::AddSweep(const std::string& but,
                                 std::vector<Precondition>* preconditions,
                                 std::vector<Mutation>* mutations) const {
  if (!settings_.store.FitsTransaction(mutations->size() + 1)) return;
  for (const auto& [name, record] : catalog_.operators()) {
    if (name == but || !record.withdrawn || record.mod_revision == 0 ||
        net::WallNow() - record.changed_wall < kTombstoneSeconds) {
      continue;
    }
    const std::string key = keys::Of(keys::kOperator, name);
    preconditions->push_back({key, record.mod_revision});
    mutations->push_back({key, {}});
    return;
  }
}

bool RecordCoordinator::Fits(const OperatorRecord& record) const {
  return wire::EncodeRecord(record).size() <=
         settings_.store.most_value_bytes();
}

// Before the change itself, and under the version that it replaces: whatever
// becomes of the change, what is written here is true.
net::Task<bool> RecordCoordinator::KeepInPieces(std::string name,
                                                OperatorRecord record) {
  const std::vector<HistoryEntry> pieces =
      PiecesOf(name, record, settings_.store.most_value_bytes());
  const auto at_once = static_cast<size_t>(settings_.store.txn_ops);
  for (size_t from = 0; from < pieces.size(); from += at_once) {
    std::vector<Precondition> preconditions{
        {keys::Of(keys::kOperator, name), record.mod_revision}};
    callbacks_.add_guard(&preconditions);
    std::vector<Mutation> mutations;
    const size_t end = std::min(pieces.size(), from + at_once);
    for (size_t i = from; i < end; ++i) {
      mutations.push_back({pieces[i].first, pieces[i].second});
    }
    const StoreResult written = co_await store_.Write(
        std::move(preconditions), std::move(mutations), Urgency::kUser);
    if (!written.ok()) co_return false;
  }
  co_return true;
}

// Of a version too old to be kept. What a failure leaves does no harm.
net::Task<void> RecordCoordinator::DropPieces(std::string name,
                                              uint64_t version) {
  const StoreResult there =
      co_await store_.List(PiecesPrefix(name, version), "");
  const auto at_once = static_cast<size_t>(settings_.store.txn_ops);
  for (size_t from = 0; from < there.items.size(); from += at_once) {
    std::vector<Precondition> preconditions;
    callbacks_.add_guard(&preconditions);
    std::vector<Mutation> mutations;
    const size_t end = std::min(there.items.size(), from + at_once);
    for (size_t i = from; i < end; ++i) {
      mutations.push_back({there.items[i].key, {}});
    }
    const StoreResult dropped = co_await store_.Write(
        std::move(preconditions), std::move(mutations), Urgency::kBackground);
    if (!dropped.ok()) co_return;
  }
}

net::Task<RecordAnswer> RecordCoordinator::Change(std::string name,
                                                  wire::OperatorChange change) {
  if (!callbacks_.synced() || !callbacks_.may_write()) {
    co_return MakeAnswer(Result::kTryLater, "state unknown");
  }
  const RecordKind* kind = KindOf(name);
  OperatorRecord next = std::move(change.record);
  next.kind = kind == nullptr ? "" : kind->kind;
  next.version = change.version + 1;
  next.changed_wall = net::WallNow();
  RecordAnswer checked = Check(name, next);
  if (checked.result != Result::kOk) co_return checked;
  // The answer to "what stands?" is asked for afresh: of two operators who
  // started from the same version the second is told so.
  RecordAnswer now = co_await Get(name);
  const bool absent = now.result == Result::kNotFound;
  if (now.result != Result::kOk && !absent) co_return now;
  if (!absent && SameContent(now.record, next)) co_return now;  // a repeat
  if ((absent ? 0 : now.record.version) != change.version) {
    if (absent) co_return MakeAnswer(Result::kNotFound);
    now.result = Result::kConflict;
    co_return now;
  }
  if (next.withdrawn) {
    next.text = now.record.text;
    // Recorded when larger values were taken; the version before keeps it.
    if (!Fits(next)) next.text.clear();
  }
  const std::string key = keys::Of(keys::kOperator, name);
  std::vector<Precondition> preconditions{
      {key, absent ? 0 : now.record.mod_revision}};
  std::vector<Mutation> mutations{{key, next}};
  if (!absent && Fits(now.record)) {
    mutations.push_back({PastKey(name, now.record.version), now.record});
  } else if (!absent) {
    const bool kept = co_await KeepInPieces(name, now.record);
    if (!kept)
      co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
  if (now.record.version > kVersionsKept) {
    mutations.push_back(
        {PastKey(name, now.record.version - kVersionsKept), {}});
    net::Spawn(DropPieces(name, now.record.version - kVersionsKept));
  }
  AddSweep(name, &preconditions, &mutations);
  callbacks_.add_guard(&preconditions);
  const StoreResult written = co_await store_.Write(
      std::move(preconditions), std::move(mutations), Urgency::kUser);
  if (written.ok()) {
    callbacks_.apply(key, next, written.revision);
    RecordAnswer answer = MakeAnswer(Result::kWritten);
    answer.record = next;
    co_return answer;
  }
  if (written.status == StoreStatus::kRefused) {
    co_return MakeAnswer(Result::kImpossible, "the record is too large");
  }
  if (written.status != StoreStatus::kConflict &&
      written.status != StoreStatus::kUnknown) {
    co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
  // Somebody else was first, or the outcome is unknown: look before anything
  // is said.
  now = co_await Get(name);
  if (now.result != Result::kOk) {
    co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
  if (SameContent(now.record, next)) co_return now;
  if (now.record.version > change.version) {
    now.result = Result::kConflict;
    co_return now;
  }
  co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
}

}  // namespace oxbow::app
