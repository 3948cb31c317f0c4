#include "app/version_coordinator.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace oxbow::app {
namespace {

using clients::StateResult;
using clients::Urgency;

constexpr double kLookAgain = 0.5;  // of the report interval

std::vector<std::string> NamesOf(const Settings& settings) {
  std::vector<std::string> names;
  for (const PeerSettings& peer : settings.peers) names.push_back(peer.name);
  return names;
}

}  // namespace

VersionCoordinator::VersionCoordinator(net::Loop& loop,
                                       const Settings& settings,
                                       const Catalog& catalog,
                                       clients::StateClient& state, Seams seams)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      state_(state),
      seams_(std::move(seams)),
      gate_(settings.node, NamesOf(settings),
            static_cast<size_t>(settings.nodes)) {}

void VersionCoordinator::Start() { net::Spawn(RecordLoop()); }

bool VersionCoordinator::Open() {
  gate_.See(catalog_.versions());
  return gate_.open();
}

net::Task<void> VersionCoordinator::RecordLoop() {
  for (;;) {
    co_await loop_.Sleep(kLookAgain * settings_.workers.report_s);
    if (!seams_.synced() || !seams_.may_write()) continue;
    const bool open = gate_.open();
    gate_.See(catalog_.versions());
    if (gate_.open() && !open) {
      spdlog::info("all controllers run a version that knows jobs that wait");
    }
    if (gate_.Wanted() != GateWrite::kNothing) {
      co_await Record(gate_.Wanted());
    }
  }
}

// What comes of it the watch tells, also when another was first.
net::Task<void> VersionCoordinator::Record(GateWrite what) {
  const std::string key =
      keys::Of(keys::kVersion, what == GateWrite::kOwn
                                   ? settings_.node
                                   : std::string(VersionGate::kMark));
  const VersionRecord record{kRecordsVersion, 0};
  std::vector<Condition> conditions{{key, gate_.replaces()}};
  seams_.add_guard(&conditions);
  std::vector<KeyChange> changes{{key, record}};
  const StateResult written = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kLeader);
  if (written.ok()) seams_.apply(key, record, written.revision);
}

}  // namespace oxbow::app
