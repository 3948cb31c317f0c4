#include "app/record_coordinator.h"

#include <algorithm>
#include <map>
#include <utility>

#include "net/loop.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using api::RecordAnswer;
using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;
using Result = RecordAnswer::Result;

constexpr size_t kMostRecords = 1000;  // withdrawn ones too
constexpr uint64_t kVersionsKept = 20;
constexpr double kTombstone_s = 24 * 3600;

RecordAnswer Say(Result result, std::string why = {}) {
  RecordAnswer answer;
  answer.result = result;
  answer.why = std::move(why);
  return answer;
}

std::string PastKey(const std::string& name, uint64_t version) {
  return keys::Of(keys::kOperatorPast, name) + "/" + std::to_string(version);
}

bool SameContent(const OperatorRecord& a, const OperatorRecord& b) {
  return a.version == b.version && a.text == b.text && a.author == b.author &&
         a.note == b.note && a.withdrawn == b.withdrawn;
}

}  // namespace

RecordCoordinator::RecordCoordinator(const Settings& settings,
                                     const Catalog& catalog,
                                     clients::StateClient& state,
                                     std::vector<RecordKind> kinds, Seams seams)
    : settings_(settings),
      catalog_(catalog),
      state_(state),
      kinds_(std::move(kinds)),
      seams_(std::move(seams)) {}

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
  const StateResult read = co_await state_.Get(key, Urgency::kUser);
  if (read.ok()) {
    const auto* record = std::get_if<OperatorRecord>(&read.items[0].record);
    if (record == nullptr) co_return Say(Result::kTryLater, "unreadable");
    seams_.apply(key, *record, read.items[0].stamp);
    RecordAnswer answer = Say(Result::kOk);
    answer.record = *record;
    answer.record.stamp = read.items[0].stamp;
    co_return answer;
  }
  // What a service that has lost data does not hold may be remembered.
  if (read.status == StateStatus::kNotFound && seams_.may_write() &&
      !catalog_.owed().contains(key)) {
    co_return Say(Result::kNotFound);
  }
  co_return Say(Result::kTryLater, "state unknown");
}

std::optional<RecordCoordinator::Named> RecordCoordinator::List(
    const std::string& prefix) {
  if (!seams_.synced()) return std::nullopt;
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
  const StateResult read = co_await state_.List(prefix, "");
  if (!read.ok()) co_return std::nullopt;
  Named out;
  for (const clients::KeyValue& item : read.items) {
    const auto* record = std::get_if<OperatorRecord>(&item.record);
    if (record != nullptr) out.emplace_back(name, *record);
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.second.version > b.second.version;
  });
  co_return out;
}

RecordAnswer RecordCoordinator::Check(const std::string& name,
                                      const OperatorRecord& record) const {
  const RecordKind* kind = KindOf(name);
  if (kind == nullptr) return Say(Result::kNotFound);
  if (!record.withdrawn) {
    const std::string wrong = kind->check(name, record.text);
    if (!wrong.empty()) return Say(Result::kImpossible, wrong);
  }
  if (wire::EncodeRecord(record).size() >
      static_cast<size_t>(settings_.state.value_kb * 1024)) {
    return Say(Result::kImpossible, "the record is too large");
  }
  const auto& known = catalog_.operators();
  if (!known.contains(name) && known.size() >= kMostRecords) {
    return Say(Result::kTooMany, "as many records as are allowed stand");
  }
  return Say(Result::kOk);
}

void RecordCoordinator::AddSweep(const std::string& but,
                                 std::vector<Condition>* conditions,
                                 std::vector<KeyChange>* changes) const {
  for (const auto& [name, record] : catalog_.operators()) {
    if (name == but || !record.withdrawn || record.stamp == 0 ||
        net::WallNow() - record.changed_wall < kTombstone_s) {
      continue;
    }
    const std::string key = keys::Of(keys::kOperator, name);
    conditions->push_back({key, record.stamp});
    changes->push_back({key, {}});
    return;
  }
}

net::Task<RecordAnswer> RecordCoordinator::Change(std::string name,
                                                  wire::OperatorChange change) {
  if (!seams_.synced() || !seams_.may_write()) {
    co_return Say(Result::kTryLater, "state unknown");
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
    if (absent) co_return Say(Result::kNotFound);
    now.result = Result::kConflict;
    co_return now;
  }
  if (next.withdrawn) next.text = now.record.text;
  const std::string key = keys::Of(keys::kOperator, name);
  std::vector<Condition> conditions{{key, absent ? 0 : now.record.stamp}};
  std::vector<KeyChange> changes{{key, next}};
  if (!absent) {
    changes.push_back({PastKey(name, now.record.version), now.record});
    if (now.record.version > kVersionsKept) {
      changes.push_back(
          {PastKey(name, now.record.version - kVersionsKept), {}});
    }
  }
  AddSweep(name, &conditions, &changes);
  seams_.add_guard(&conditions);
  const StateResult written = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kUser);
  if (written.ok()) {
    seams_.apply(key, next, written.revision);
    RecordAnswer answer = Say(Result::kWritten);
    answer.record = next;
    co_return answer;
  }
  if (written.status != StateStatus::kConflict &&
      written.status != StateStatus::kUnknown) {
    co_return Say(Result::kTryLater, "cannot be recorded now");
  }
  // Somebody else was first, or the outcome is unknown: look before anything
  // is said.
  now = co_await Get(name);
  if (now.result != Result::kOk) {
    co_return Say(Result::kTryLater, "cannot be recorded now");
  }
  if (SameContent(now.record, next)) co_return now;
  if (now.record.version > change.version) {
    now.result = Result::kConflict;
    co_return now;
  }
  co_return Say(Result::kTryLater, "cannot be recorded now");
}

}  // namespace oxbow::app
