#include "app/version_coordinator.h"

#include <utility>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::Urgency;

// The pause between two checks of the gate, in heartbeat intervals.
constexpr double kCheckPauseIntervals = 0.5;

std::vector<std::string> NamesOf(const Settings& settings) {
  std::vector<std::string> names;
  for (const PeerSettings& peer : settings.peers) names.push_back(peer.name);
  return names;
}

}  // namespace

VersionCoordinator::VersionCoordinator(net::Loop& loop,
                                       const Settings& settings,
                                       const Catalog& catalog,
                                       clients::KeyValueStoreClient& store,
                                       Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      store_(store),
      callbacks_(std::move(callbacks)),
      gate_(settings.node, NamesOf(settings),
            static_cast<size_t>(settings.nodes)) {}

void VersionCoordinator::Start() { net::Spawn(RecordLoop()); }

bool VersionCoordinator::IsOpen() {
  gate_.Update(catalog_.versions());
  return gate_.open();
}

net::Task<void> VersionCoordinator::RecordLoop() {
  for (;;) {
    co_await loop_.Sleep(kCheckPauseIntervals *
                         settings_.workers.heartbeat_interval_seconds);
    if (!callbacks_.synced() || !callbacks_.may_write()) continue;
    const bool was_open = gate_.open();
    gate_.Update(catalog_.versions());
    if (gate_.open() && !was_open) {
      logging::Info(
          "all controllers run a version that supports job dependencies");
    }
    if (gate_.RequiredWrite() != GateWrite::kNothing) {
      co_await Record(gate_.RequiredWrite());
    }
  }
}

// A write that fails needs no handling here: the watch delivers what the store
// holds, also if another controller wrote the record first, and the next check
// writes what is still missing.
net::Task<void> VersionCoordinator::Record(GateWrite required) {
  const std::string key =
      keys::Of(keys::kVersion, required == GateWrite::kOwn
                                   ? settings_.node
                                   : std::string(VersionGate::kMark));
  const VersionRecord record{kRecordsVersion, 0};
  std::vector<Precondition> preconditions{{key, gate_.replaces()}};
  callbacks_.add_guard(&preconditions);
  std::vector<Mutation> mutations{{key, record}};
  const StoreResult written = co_await store_.Write(
      std::move(preconditions), std::move(mutations), Urgency::kLeader);
  if (written.ok()) callbacks_.apply(key, record, written.revision);
}

}  // namespace oxbow::app
