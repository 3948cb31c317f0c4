#include "app/store_watcher.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;

constexpr double kWatchBlockSeconds = 10;
// The number of records put into the catalog before the coroutine yields to the
// event loop: one page of a listing.
constexpr size_t kRecordsAtOnce = 500;

}  // namespace

StoreWatcher::StoreWatcher(net::Loop& loop, const Settings& settings,
                           clients::KeyValueStoreClient& store,
                           clients::CloudClient& cloud, Catalog& catalog,
                           Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      store_(store),
      cloud_(cloud),
      catalog_(catalog),
      callbacks_(std::move(callbacks)) {}

void StoreWatcher::Start() {
  net::Spawn(WatchLoop(generation_));
  net::Spawn(MachineTypesLoop());
}

void StoreWatcher::Apply(const std::string& key, const Record& record,
                         uint64_t mod_revision) {
  if (std::holds_alternative<std::monostate>(record)) {
    catalog_.Erase(key, mod_revision);
    return;
  }
  catalog_.Put(key, record, mod_revision);
  callbacks_.on_record(key);
}

void StoreWatcher::Reread() {
  // The watch request in flight waits for revisions that the store of a new
  // epoch may never reach, so a new loop starts without waiting for it.
  ++generation_;
  synced_ = false;
  net::Spawn(WatchLoop(generation_));
}

// The key of the epoch record sorts before all other keys, so the first page
// contains it. Without this check, a controller that lists an emptied store
// would treat the records that it retains in memory as deleted, although they
// may be the last copies.
bool StoreWatcher::IsOfKnownEpoch(
    const std::vector<clients::KeyValue>& first_page) const {
  const StoreEpoch& known = catalog_.epoch();
  if (known.number == 0) return true;
  for (const clients::KeyValue& item : first_page) {
    if (const auto* epoch = std::get_if<StoreEpoch>(&item.record)) {
      return epoch->number > known.number ||
             (epoch->number == known.number && epoch->id == known.id);
    }
  }
  return false;
}

net::Task<StoreWatcher::ApplyOutcome> StoreWatcher::ApplyAll(
    std::vector<clients::KeyValue> items, uint64_t generation) {
  size_t applied = 0;
  uint64_t last_revision = 0;
  for (const clients::KeyValue& item : items) {
    if (applied >= kRecordsAtOnce && item.mod_revision != last_revision) {
      applied = 0;
      co_await loop_.Sleep(0);
      if (generation != generation_) co_return ApplyOutcome::kGenerationPassed;
    }
    Apply(item.key, item.record, item.mod_revision);
    if (generation != generation_) co_return ApplyOutcome::kGenerationPassed;
    last_revision = item.mod_revision;
    ++applied;
  }
  co_return ApplyOutcome::kApplied;
}

net::Task<bool> StoreWatcher::Resync(uint64_t generation) {
  const net::Time asked_at = loop_.Refresh();
  std::string last_key;
  uint64_t revision = 0;
  std::unordered_set<std::string> listed;
  for (;;) {
    StoreResult page = co_await store_.List(std::string(keys::kLive), last_key);
    if (!page.ok() || generation != generation_) co_return false;
    if (revision == 0 && !IsOfKnownEpoch(page.items)) {
      callbacks_.on_other_epoch();
      co_return false;
    }
    // The watch continues from the revision of the first page, so that it also
    // delivers changes made while the later pages were read.
    if (revision == 0) revision = page.revision;
    for (const clients::KeyValue& item : page.items) listed.insert(item.key);
    const bool is_last = !page.more || page.items.empty();
    if (!page.items.empty()) last_key = page.items.back().key;
    const ApplyOutcome outcome =
        co_await ApplyAll(std::move(page.items), generation);
    if (outcome == ApplyOutcome::kGenerationPassed) co_return false;
    if (is_last) break;
  }
  catalog_.EraseMissing(listed, revision);
  catalog_.AdvanceWatch(revision);
  synced_ = ever_synced_ = true;
  confirmed_ = asked_at;
  logging::Info("read all live records",
                {{"revision", revision},
                 {"jobs", catalog_.jobs().size()},
                 {"machines", catalog_.machines().size()}});
  callbacks_.on_caught_up();
  co_return true;
}

net::Task<void> StoreWatcher::WatchLoop(uint64_t generation) {
  while (generation == generation_) {
    if (synced_) {
      co_await Watch(generation);
      continue;
    }
    const bool is_complete = co_await Resync(generation);
    if (!is_complete) co_await loop_.Sleep(RetryPauseSeconds());
  }
}

net::Task<void> StoreWatcher::Watch(uint64_t generation) {
  // The answer reflects the store at or after the time of the request.
  const net::Time asked_at = loop_.Refresh();
  StoreResult changes = co_await store_.Watch(
      std::string(keys::kLive), catalog_.watched_revision(),
      std::min(kWatchBlockSeconds, settings_.workers.lease_seconds));
  if (generation != generation_) co_return;
  if (changes.status == StoreStatus::kTooOld) {
    synced_ = false;
    co_return;
  }
  if (!changes.ok()) {
    co_await loop_.Sleep(RetryPauseSeconds());
    co_return;
  }
  const ApplyOutcome outcome =
      co_await ApplyAll(std::move(changes.items), generation);
  if (outcome == ApplyOutcome::kGenerationPassed) co_return;
  catalog_.AdvanceWatch(changes.revision);
  confirmed_ = asked_at;
  callbacks_.on_caught_up();
}

net::Task<void> StoreWatcher::MachineTypesLoop() {
  const double retry_seconds =
      0.5 * settings_.workers.heartbeat_interval_seconds;
  // The types are read again regularly because prices change.
  const double refresh_seconds = 6 * settings_.workers.lease_seconds;
  for (;;) {
    const clients::CloudClient::Types answer = co_await cloud_.GetTypes();
    if (answer.ok) {
      for (const MachineType& type : answer.types) types_[type.name] = type;
      callbacks_.on_machine_types(answer.types);
    }
    co_await loop_.Sleep(types_.empty() ? retry_seconds : refresh_seconds);
  }
}

}  // namespace oxbow::app
