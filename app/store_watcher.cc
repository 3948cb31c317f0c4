#include "app/store_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;

constexpr double kWatchBlockSeconds = 10;

}  // namespace

StoreWatcher::StoreWatcher(net::Loop& loop, const Settings& settings,
                           clients::KeyValueStoreClient& state,
                           clients::CloudClient& cloud, Catalog& catalog,
                           Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      store_(state),
      cloud_(cloud),
      catalog_(catalog),
      callbacks_(std::move(callbacks)) {}

void StoreWatcher::Start() {
  net::Spawn(WatchLoop(generation_));
  net::Spawn(TypesLoop());
}

void StoreWatcher::Apply(const std::string& key, const Record& record,
                         uint64_t mod_revision) {
  if (std::holds_alternative<std::monostate>(record)) {
    catalog_.Erase(key, mod_revision);
    return;
  }
  catalog_.Put(key, record, mod_revision);
  callbacks_.taken(key);
}

void StoreWatcher::Reread() {
  // The watch under way waits for revisions that may never come.
  ++generation_;
  synced_ = false;
  net::Spawn(WatchLoop(generation_));
}

// The keys of an epoch come before all others, so the first page holds them.
// Without this a controller that reads an empty key-value store would take its
// own memory, perhaps the last one there is, for outdated.
bool StoreWatcher::OfThisEpoch(
    const std::vector<clients::KeyValue>& first) const {
  const StoreEpoch& known = catalog_.epoch();
  if (known.number == 0) return true;
  for (const clients::KeyValue& item : first) {
    if (const auto* epoch = std::get_if<StoreEpoch>(&item.record)) {
      return epoch->number > known.number ||
             (epoch->number == known.number && epoch->id == known.id);
    }
  }
  return false;
}

net::Task<bool> StoreWatcher::Resync(uint64_t generation) {
  const net::Time asked = loop_.Refresh();
  std::string after;
  uint64_t revision = 0;
  std::unordered_set<std::string> listed;
  for (;;) {
    StoreResult page = co_await store_.List(std::string(keys::kLive), after);
    if (!page.ok() || generation != generation_) co_return false;
    if (revision == 0 && !OfThisEpoch(page.items)) {
      callbacks_.other_epoch();
      co_return false;
    }
    // The watch goes on from the first page: what changed between the pages
    // is told again.
    if (revision == 0) revision = page.revision;
    for (const clients::KeyValue& item : page.items) {
      listed.insert(item.key);
      Apply(item.key, item.record, item.mod_revision);
      after = item.key;
      // It told of a new epoch, of which another round reads everything.
      if (generation != generation_) co_return false;
    }
    if (!page.more || page.items.empty()) break;
  }
  catalog_.EraseMissing(listed, revision);
  catalog_.AdvanceWatch(revision);
  synced_ = ever_synced_ = true;
  confirmed_ = asked;
  spdlog::info("state read up to revision {}: {} jobs, {} machines", revision,
               catalog_.jobs().size(), catalog_.machines().size());
  callbacks_.caught_up();
  co_return true;
}

net::Task<void> StoreWatcher::WatchLoop(uint64_t generation) {
  const double pause = 0.2 * settings_.workers.heartbeat_interval_seconds;
  const double lease = settings_.workers.lease_seconds;
  while (generation == generation_) {
    if (!synced_) {
      const bool ok = co_await Resync(generation);
      if (!ok) co_await loop_.Sleep(pause);
      continue;
    }
    // The answer is as old as its question at the most.
    const net::Time asked = loop_.Refresh();
    StoreResult news = co_await store_.Watch(
        std::string(keys::kLive), catalog_.watched_revision(),
        std::min(kWatchBlockSeconds, lease));
    if (generation != generation_) co_return;
    if (news.status == StoreStatus::kTooOld) {
      synced_ = false;
    } else if (news.ok()) {
      for (const clients::KeyValue& item : news.items) {
        Apply(item.key, item.record, item.mod_revision);
        if (generation != generation_) co_return;
      }
      catalog_.AdvanceWatch(news.revision);
      confirmed_ = asked;
      callbacks_.caught_up();
    } else {
      co_await loop_.Sleep(pause);
    }
  }
}

net::Task<void> StoreWatcher::TypesLoop() {
  const double soon = 0.5 * settings_.workers.heartbeat_interval_seconds;
  const double later = 6 * settings_.workers.lease_seconds;  // prices move
  for (;;) {
    const clients::CloudClient::Types answer = co_await cloud_.GetTypes();
    if (answer.ok) {
      for (const MachineType& type : answer.types) types_[type.name] = type;
      callbacks_.types(answer.types);
    }
    co_await loop_.Sleep(types_.empty() ? soon : later);
  }
}

}  // namespace oxbow::app
