// What all controllers remember, put together for the leader of a new epoch.

#include <rapidjson/document.h>
#include <spdlog/spdlog.h>

#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "app/recovery_limits.h"
#include "clients/retained_records_page.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StoreResult;

constexpr double kPageRatio = 0.1;

}  // namespace

bool RecoveryCoordinator::HasCollected(uint64_t revision) {
  // By its term: after a second loss the revision may be the same again, and
  // the leader would wait for ever for what it took to be under way.
  const uint64_t term = TermOf(catalog_.epoch(), revision);
  if (!on() || catalog_.epoch().number == 0 || catalog_.epoch().rebuilt ||
      collected_term_ == term) {
    return true;
  }
  if (collecting_term_ != term && watcher_.synced()) {
    collecting_term_ = term;
    net::Spawn(CollectPeerState(term));
  }
  return false;
}

net::Task<void> RecoveryCoordinator::CollectPeerState(uint64_t term) {
  // A controller that was not there before the loss does not know what it, in
  // its former life, may have accepted last.
  bool whole = whole_before_ && first_epoch_ < catalog_.epoch().number;
  // All ends first: what has ended is not revived by another's older memory.
  const bool told =
      co_await CollectFromAll(&RecoveryCoordinator::CollectTerminalStates);
  catalog_.ApplyTerminalStates();
  const bool witnessed =
      co_await CollectFromAll(&RecoveryCoordinator::CollectRetainedRecords);
  whole = whole && told && witnessed;
  if (collecting_term_ != term || TermOf(catalog_.epoch(), 0) > term) co_return;
  collected_term_ = term;
  spdlog::info(
      "memory gathered: {} jobs, {} machines, {} ends; {} records are owed, {}",
      catalog_.jobs().size(), catalog_.machines().size(),
      catalog_.ended().size(), catalog_.pending_writes().size(),
      whole ? "all controllers were there" : "something may be missing");
  net::Spawn(CompareEnded(term, whole));
}

net::Task<bool> RecoveryCoordinator::CollectFromAll(Collector what) {
  if (peers_.empty()) co_return true;
  auto ask = std::make_shared<Ask>(loop_);
  ask->left = peers_.size();
  bool whole = true;
  for (const auto& peer : peers_) {
    net::Spawn(CollectFromOne(ask, what, peer.get(), &whole));
  }
  // Each of them ends by itself, with the first page that does not come.
  while (ask->left > 0)
    co_await ask->done.Wait(settings_.workers.lease_seconds);
  co_return whole;
}

net::Task<void> RecoveryCoordinator::CollectFromOne(std::shared_ptr<Ask> ask,
                                                    Collector what,
                                                    clients::PeerClient* peer,
                                                    bool* whole) {
  const bool told = co_await (this->*what)(peer);
  *whole = *whole && told;
  if (--ask->left == 0) ask->done.Set();
}

net::Task<bool> RecoveryCoordinator::CollectTerminalStates(
    clients::PeerClient* peer) {
  const double timeout = kPageRatio * settings_.workers.lease_seconds;
  for (const TerminalState part :
       {TerminalState::kDone, TerminalState::kAborted}) {
    std::string bytes;
    for (bool more = true; more;) {
      PeerMessage ask;
      ask.kind = PeerKind::kEnded;
      ask.node = settings_.node;
      ask.done = static_cast<uint32_t>(part);
      ask.mod_revision = bytes.size();
      const auto answer = co_await peer->Ask(std::move(ask), timeout);
      if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
        co_return false;
      }
      bytes += answer.message.text;
      more = answer.message.running > 0;
    }
    if (!catalog_.ended().Merge(part, bytes)) co_return false;
  }
  co_return true;
}

net::Task<bool> RecoveryCoordinator::CollectRetainedRecords(
    clients::PeerClient* peer) {
  const double timeout = kPageRatio * settings_.workers.lease_seconds;
  bool witness = false;
  std::string after;
  for (;;) {
    PeerMessage ask;
    ask.kind = PeerKind::kMemory;
    ask.node = settings_.node;
    ask.job_id = after;
    const auto answer = co_await peer->Ask(std::move(ask), timeout);
    std::vector<clients::Memory> page;
    if (!answer.ok || answer.message.answer != PeerAnswer::kYes ||
        !clients::DecodeMemory(answer.message.text, &page)) {
      co_return false;
    }
    witness = answer.message.running < catalog_.epoch().number;
    for (const clients::Memory& memory : page) {
      after = memory.key;
      rapidjson::Document doc;
      Record record;
      doc.Parse(memory.record.data(), memory.record.size());
      if (doc.HasParseError() ||
          !wire::DecodeRecord(memory.key, doc, &record)) {
        continue;
      }
      // What stands in this epoch the key-value store tells.
      if (memory.version.epoch < catalog_.epoch().number) {
        catalog_.Remember(memory.key, record, memory.version);
      }
    }
    if (page.empty()) break;
  }
  co_return witness;
}

net::Task<void> RecoveryCoordinator::CompareEnded(uint64_t term, bool whole) {
  const uint64_t epoch = catalog_.epoch().number;
  TerminalStateIndex there;
  std::string after;
  for (;;) {
    const StoreResult page =
        co_await store_.List(std::string(keys::kTerminal), after);
    if (catalog_.epoch().number != epoch || collected_term_ != term) co_return;
    if (!page.ok()) {
      co_await loop_.Sleep(kRoundPause *
                           settings_.workers.heartbeat_interval_seconds);
      continue;
    }
    for (const clients::KeyValue& item : page.items) {
      after = item.key;
      const auto* end = std::get_if<TerminalRecord>(&item.record);
      if (end == nullptr) continue;
      there.Add(item.key.substr(keys::kTerminal.size()), end->state);
    }
    if (!page.more || page.items.empty()) break;
  }
  std::vector<UnrecordedTerminalState> unrecorded;
  catalog_.ended().ForEachMissing(there, [&](const auto& id, auto state) {
    // One that is still live here moves there by itself.
    if (catalog_.FindJob(id) == nullptr) unrecorded.push_back({id, state});
  });
  // The leader may not have taken office yet.
  bool told = false;
  while (!told && collected_term_ == term) {
    callbacks_.tell(term, [&](Leader& leader) {
      told = true;
      leader.OnUnrecordedTerminalStates(std::move(unrecorded), whole);
    });
    co_await loop_.Sleep(kRoundPause *
                         settings_.workers.heartbeat_interval_seconds);
  }
}

}  // namespace oxbow::app
