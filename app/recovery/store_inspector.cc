#include "app/recovery/store_inspector.h"

#include <utility>
#include <variant>

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

}  // namespace

void StoreInspector::AddEpochPrecondition(
    std::vector<Precondition>* preconditions) const {
  if (!context_.IsEnabled()) return;
  auto [key, mod_revision] = context_.catalog.Guard();
  preconditions->push_back({std::move(key), mod_revision});
}

net::Task<StoreCheck> StoreInspector::CheckEpoch() {
  const uint64_t known_number = context_.catalog.epoch().number;
  std::vector<Precondition> preconditions;
  AddEpochPrecondition(&preconditions);
  const StoreResult guard = co_await context_.store.Write(
      std::move(preconditions), {}, Urgency::kLease);
  if (guard.ok() || known_number == 0) {
    co_return guard.ok() ? StoreCheck::kIntact : StoreCheck::kNoAnswer;
  }
  if (guard.status != StoreStatus::kConflict && !guard.revision_decreased) {
    co_return StoreCheck::kNoAnswer;
  }
  co_return co_await AdoptLaterEpoch(known_number);
}

net::Task<StoreCheck> StoreInspector::AdoptLaterEpoch(uint64_t known_number) {
  const StoreResult stored =
      co_await context_.store.Get(std::string(keys::kEpoch), Urgency::kLease);
  if (context_.catalog.epoch().number != known_number) {
    co_return StoreCheck::kIntact;
  }
  if (!stored.ok()) {
    co_return IsAnsweredOrSteppedBack(stored) ? StoreCheck::kMissing
                                              : StoreCheck::kNoAnswer;
  }
  const clients::KeyValue& item = stored.items[0];
  const auto* epoch = std::get_if<StoreEpoch>(&item.record);
  if (epoch == nullptr || epoch->number <= known_number) {
    co_return StoreCheck::kMissing;
  }
  const StoreResult mark = co_await context_.store.Get(
      keys::Of(keys::kEpochMark, epoch->id), Urgency::kLease);
  if (!IsAnsweredOrSteppedBack(mark)) co_return StoreCheck::kNoAnswer;
  // An epoch whose mark alone is lost is taken in without it: the next check
  // finds the mark missing, while without the epoch no check would ever end.
  if (mark.ok()) {
    context_.watcher.Apply(mark.items[0].key, mark.items[0].record,
                           mark.items[0].mod_revision);
  }
  context_.watcher.Apply(item.key, item.record, item.mod_revision);
  co_return StoreCheck::kIntact;
}

net::Task<StoreCheck> StoreInspector::CheckJob(std::string id) {
  // The live record first: a terminal state that is recorded between the two
  // reads is then not missed.
  const StoreResult live =
      co_await context_.store.Get(keys::Of(keys::kJob, id), Urgency::kLeader);
  if (live.status == StoreStatus::kNotFound) {
    co_return co_await CheckTerminalState(std::move(id));
  }
  if (!live.ok()) co_return StoreCheck::kNoAnswer;
  const clients::KeyValue& item = live.items[0];
  context_.watcher.Apply(item.key, item.record, item.mod_revision);
  // Live in the store though its terminal state is known: an older copy.
  const auto* job = std::get_if<JobRecord>(&item.record);
  const bool is_revived =
      job != nullptr && job->terminal_state == TerminalState::kNone &&
      context_.catalog.FindTerminalState(id) != TerminalState::kNone;
  co_return is_revived ? StoreCheck::kMissing : StoreCheck::kIntact;
}

net::Task<StoreCheck> StoreInspector::CheckTerminalState(std::string id) {
  const StoreResult stored = co_await context_.store.Get(
      keys::Of(keys::kTerminal, id), Urgency::kLeader);
  if (stored.ok()) {
    const auto* terminal = std::get_if<TerminalRecord>(&stored.items[0].record);
    if (terminal != nullptr) {
      context_.catalog.RememberTerminalState(id, *terminal);
    }
    co_return StoreCheck::kIntact;
  }
  co_return stored.status == StoreStatus::kNotFound ? StoreCheck::kMissing
                                                    : StoreCheck::kNoAnswer;
}

net::Task<StoreCheck> StoreInspector::CheckRecord(std::string key) {
  if (key.starts_with(keys::kJob)) {
    std::string id = JobIdOfKey(key);
    co_return co_await CheckJob(std::move(id));
  }
  const StoreResult stored = co_await context_.store.Get(key, Urgency::kLeader);
  // A job that does not wait any more has been released or has ended.
  if (key.starts_with(keys::kWaiting) &&
      stored.status == StoreStatus::kNotFound) {
    std::string id = JobIdOfKey(key);
    co_return co_await CheckJob(std::move(id));
  }
  const uint64_t known_revision = context_.catalog.VersionOf(key).mod_revision;
  // The leader has deleted it since, and the watch has delivered that.
  if (known_revision == 0) co_return StoreCheck::kIntact;
  if (!IsAnswered(stored)) co_return StoreCheck::kNoAnswer;
  co_return stored.ok() && stored.items[0].mod_revision >= known_revision
      ? StoreCheck::kIntact
      : StoreCheck::kMissing;
}

net::Task<bool> StoreInspector::Contains(std::string key,
                                         uint64_t mod_revision) {
  const StoreResult stored = co_await context_.store.Get(key, Urgency::kLeader);
  if (stored.ok()) co_return stored.items[0].mod_revision >= mod_revision;
  const std::string id = JobIdOfKey(key);
  if (id.empty()) co_return false;
  if (key.starts_with(keys::kWaiting)) {
    const StoreResult live =
        co_await context_.store.Get(keys::Of(keys::kJob, id), Urgency::kLeader);
    if (live.ok()) co_return true;
  }
  const StoreResult terminal = co_await context_.store.Get(
      keys::Of(keys::kTerminal, id), Urgency::kLeader);
  co_return terminal.ok();
}

// A revision that has stepped back may grow past the known one before anybody
// reads it again; the records that were written in between are missing all the
// same.
net::Task<NewestRecordsCheck> StoreInspector::CheckNewestRecords() {
  constexpr size_t kCheckedRecords = 4;
  const Catalog& catalog = context_.catalog;
  std::vector<std::string> checked = catalog.NewestKeys(kCheckedRecords);
  // A record that is still to be written back does not indicate a loss. Without
  // this rule a controller that bootstraps, and asks all the time, would have
  // each new epoch taken for lost before its reconciliation is complete.
  std::erase_if(checked, [&catalog](const std::string& key) {
    return catalog.pending_writes().contains(key);
  });
  if (catalog.epoch().rebuilt) {
    for (const std::string& id :
         catalog.LatestTerminalStates(kCheckedRecords)) {
      checked.push_back(keys::Of(keys::kJob, id));
    }
  }
  NewestRecordsCheck all;
  for (const std::string& key : checked) {
    const StoreCheck result = co_await CheckRecord(key);
    if (result == StoreCheck::kMissing) {
      NewestRecordsCheck missing{result, key};
      co_return missing;
    }
    if (result == StoreCheck::kNoAnswer) all.result = result;
  }
  co_return all;
}

std::string StoreInspector::RevivedJobKey() const {
  for (const auto& [id, job] : context_.catalog.jobs()) {
    if (job.terminal_state == TerminalState::kNone &&
        context_.catalog.FindTerminalState(id) != TerminalState::kNone) {
      return keys::Of(keys::kJob, id);
    }
  }
  return {};
}

}  // namespace oxbow::app
