#include "app/follower.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace oxbow::app {
namespace {

using clients::StateResult;
using clients::StateStatus;

constexpr double kFollowBlock_s = 10;

}  // namespace

Follower::Follower(net::Loop& loop, const Settings& settings,
                   clients::StateClient& state, clients::CloudClient& cloud,
                   Catalog& catalog, Seams seams)
    : loop_(loop),
      settings_(settings),
      state_(state),
      cloud_(cloud),
      catalog_(catalog),
      seams_(std::move(seams)) {}

void Follower::Start() {
  net::Spawn(FollowLoop(generation_));
  net::Spawn(TypesLoop());
}

void Follower::Apply(const std::string& key, const Record& record,
                     uint64_t stamp) {
  if (std::holds_alternative<std::monostate>(record)) {
    catalog_.Erase(key, stamp);
    return;
  }
  catalog_.Put(key, record, stamp);
  seams_.taken(key);
}

void Follower::Reread() {
  // The watch under way waits for revisions that may never come.
  ++generation_;
  synced_ = false;
  net::Spawn(FollowLoop(generation_));
}

// The keys of an epoch come before all others, so the first page holds them.
// Without this a controller that reads an empty state service would take its
// own memory, perhaps the last one there is, for outdated.
bool Follower::OfThisEpoch(const std::vector<clients::KeyValue>& first) const {
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

net::Task<bool> Follower::Resync(uint64_t generation) {
  const net::Time asked = loop_.Refresh();
  std::string after;
  uint64_t revision = 0;
  std::unordered_set<std::string> listed;
  for (;;) {
    StateResult page = co_await state_.List(std::string(keys::kLive), after);
    if (!page.ok() || generation != generation_) co_return false;
    if (revision == 0 && !OfThisEpoch(page.items)) {
      seams_.other_epoch();
      co_return false;
    }
    // The watch goes on from the first page: what changed between the pages
    // is told again.
    if (revision == 0) revision = page.revision;
    for (const clients::KeyValue& item : page.items) {
      listed.insert(item.key);
      Apply(item.key, item.record, item.stamp);
      after = item.key;
      // It told of a new epoch, of which another round reads everything.
      if (generation != generation_) co_return false;
    }
    if (!page.more || page.items.empty()) break;
  }
  catalog_.EraseMissing(listed, revision);
  catalog_.Followed(revision);
  synced_ = ever_synced_ = true;
  confirmed_ = asked;
  spdlog::info("state read up to revision {}: {} jobs, {} machines", revision,
               catalog_.jobs().size(), catalog_.machines().size());
  seams_.caught_up();
  co_return true;
}

net::Task<void> Follower::FollowLoop(uint64_t generation) {
  const double pause = 0.2 * settings_.workers.report_s;
  const double lease = settings_.workers.lease_s;
  while (generation == generation_) {
    if (!synced_) {
      const bool ok = co_await Resync(generation);
      if (!ok) co_await loop_.Sleep(pause);
      continue;
    }
    // The answer is as old as its question at the most.
    const net::Time asked = loop_.Refresh();
    StateResult news =
        co_await state_.Follow(std::string(keys::kLive), catalog_.followed(),
                               std::min(kFollowBlock_s, lease));
    if (generation != generation_) co_return;
    if (news.status == StateStatus::kTooOld) {
      synced_ = false;
    } else if (news.ok()) {
      for (const clients::KeyValue& item : news.items) {
        Apply(item.key, item.record, item.stamp);
        if (generation != generation_) co_return;
      }
      catalog_.Followed(news.revision);
      confirmed_ = asked;
      seams_.caught_up();
    } else {
      co_await loop_.Sleep(pause);
    }
  }
}

net::Task<void> Follower::TypesLoop() {
  const double soon = 0.5 * settings_.workers.report_s;
  const double later = 6 * settings_.workers.lease_s;  // prices move
  for (;;) {
    const clients::CloudClient::Types answer = co_await cloud_.GetTypes();
    if (answer.ok) {
      for (const MachineType& type : answer.types) types_[type.name] = type;
      seams_.types(answer.types);
    }
    co_await loop_.Sleep(types_.empty() ? soon : later);
  }
}

}  // namespace oxbow::app
