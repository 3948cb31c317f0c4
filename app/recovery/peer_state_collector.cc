#include "app/recovery/peer_state_collector.h"

#include <rapidjson/document.h>

#include <utility>
#include <variant>

#include "logging/structured_log.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::RetainedRecord;
using clients::StoreResult;

}  // namespace

PeerStateCollector::PeerStateCollector(const RecoveryContext& context,
                                       const EpochHistory& history,
                                       DeliverToLeader deliver_to_leader)
    : context_(context),
      history_(history),
      deliver_to_leader_(std::move(deliver_to_leader)) {}

double PeerStateCollector::PageTimeoutSeconds() const {
  constexpr double kWorkerLeases = 0.1;
  return kWorkerLeases * context_.settings.workers.lease_seconds;
}

bool PeerStateCollector::HasCollected(uint64_t revision) {
  // By its term: after a second loss the revision may be the same again, and
  // the leader would wait for ever for a collection that it took to be running.
  const StoreEpoch& epoch = context_.catalog.epoch();
  const uint64_t term = TermOf(epoch, revision);
  if (!context_.IsEnabled() || epoch.number == 0 || epoch.rebuilt ||
      collected_term_ == term) {
    return true;
  }
  if (collecting_term_ != term && context_.watcher.synced()) {
    collecting_term_ = term;
    net::Spawn(CollectForTerm(term));
  }
  return false;
}

net::Task<void> PeerStateCollector::CollectForTerm(uint64_t term) {
  const Catalog& catalog = context_.catalog;
  // A controller that started after the loss does not know what an earlier
  // process of its name may have accepted last.
  bool is_complete = history_.WasCompleteBefore() &&
                     history_.first_epoch() < catalog.epoch().number;
  // All terminal states first: a job that has ended is not revived by an older
  // record that another controller retains.
  const bool has_all_states = co_await CollectTerminalStates();
  context_.catalog.ApplyTerminalStates();
  const bool has_all_records =
      co_await CollectFromAll(&PeerStateCollector::CollectRetainedRecordsFrom);
  is_complete = is_complete && has_all_states && has_all_records;
  if (collecting_term_ != term || TermOf(catalog.epoch(), 0) > term) co_return;
  collected_term_ = term;
  logging::Info("collected peer state",
                {{"jobs", catalog.jobs().size()},
                 {"machines", catalog.machines().size()},
                 {"terminal_states", catalog.terminal_states().size()},
                 {"pending_writes", catalog.pending_writes().size()},
                 {"complete", is_complete}});
  net::Spawn(ReportUnrecordedTerminalStates(term, is_complete));
}

net::Task<bool> PeerStateCollector::CollectTerminalStates() {
  return CollectFromAll(&PeerStateCollector::CollectTerminalStatesFrom);
}

net::Task<bool> PeerStateCollector::CollectFromAll(PeerCollector collector) {
  if (context_.peers.empty()) co_return true;
  auto collection = std::make_shared<Collection>(context_.loop);
  collection->outstanding = context_.peers.size();
  for (const auto& peer : context_.peers) {
    net::Spawn(CollectFromOne(collection, collector, peer.get()));
  }
  // Each of them ends by itself, with the first page that does not come.
  while (collection->outstanding > 0) {
    co_await collection->done.Wait(context_.settings.workers.lease_seconds);
  }
  co_return collection->is_complete;
}

net::Task<void> PeerStateCollector::CollectFromOne(
    std::shared_ptr<Collection> collection, PeerCollector collector,
    clients::PeerClient* peer) {
  const bool is_complete = co_await (this->*collector)(peer);
  collection->is_complete = collection->is_complete && is_complete;
  if (--collection->outstanding == 0) collection->done.Set();
}

net::Task<bool> PeerStateCollector::CollectTerminalStatesFrom(
    clients::PeerClient* peer) {
  for (const TerminalState part :
       {TerminalState::kDone, TerminalState::kAborted}) {
    const std::optional<std::string> bytes =
        co_await ReadTerminalStatesPart(peer, part);
    if (!bytes || !context_.catalog.terminal_states().Merge(part, *bytes)) {
      co_return false;
    }
  }
  co_return true;
}

net::Task<std::optional<std::string>>
PeerStateCollector::ReadTerminalStatesPart(clients::PeerClient* peer,
                                           TerminalState part) {
  std::string bytes;
  for (bool has_more = true; has_more;) {
    PeerMessage request;
    request.kind = PeerKind::kEnded;
    request.node = context_.settings.node;
    request.done = static_cast<uint32_t>(part);
    request.mod_revision = bytes.size();  // the offset of the page
    const auto answer =
        co_await peer->Ask(std::move(request), PageTimeoutSeconds());
    if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
      co_return std::nullopt;
    }
    bytes += answer.message.text;
    has_more = answer.message.running > 0;
  }
  co_return bytes;
}

net::Task<bool> PeerStateCollector::CollectRetainedRecordsFrom(
    clients::PeerClient* peer) {
  bool is_witness = false;  // the peer was there before the loss
  std::string last_key;
  for (;;) {
    PeerMessage request;
    request.kind = PeerKind::kMemory;
    request.node = context_.settings.node;
    request.job_id = last_key;
    const auto answer =
        co_await peer->Ask(std::move(request), PageTimeoutSeconds());
    if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
      co_return false;
    }
    const auto page = clients::DecodeRetainedRecords(answer.message.text);
    if (!page) co_return false;
    is_witness = answer.message.running < context_.catalog.epoch().number;
    for (const RetainedRecord& retained : *page) {
      last_key = retained.key;
      RememberRecord(retained);
    }
    if (page->empty()) break;
  }
  co_return is_witness;
}

void PeerStateCollector::RememberRecord(const RetainedRecord& retained) {
  rapidjson::Document document;
  Record record;
  document.Parse(retained.record.data(), retained.record.size());
  if (document.HasParseError() ||
      !wire::DecodeRecord(retained.key, document, &record)) {
    return;
  }
  // Records of the present epoch are read from the store.
  if (retained.version.epoch < context_.catalog.epoch().number) {
    context_.catalog.MergeRetained(retained.key, record, retained.version);
  }
}

net::Task<std::optional<TerminalStateIndex>>
PeerStateCollector::ListTerminalStates(uint64_t term) {
  const uint64_t epoch = context_.catalog.epoch().number;
  TerminalStateIndex stored;
  std::string last_key;
  for (;;) {
    const StoreResult page =
        co_await context_.store.List(std::string(keys::kTerminal), last_key);
    if (context_.catalog.epoch().number != epoch || collected_term_ != term) {
      co_return std::nullopt;
    }
    if (!page.ok()) {
      co_await context_.loop.Sleep(context_.RoundPauseSeconds());
      continue;
    }
    for (const clients::KeyValue& item : page.items) {
      last_key = item.key;
      const auto* terminal = std::get_if<TerminalRecord>(&item.record);
      if (terminal == nullptr) continue;
      stored.Add(item.key.substr(keys::kTerminal.size()), terminal->state);
    }
    if (!page.more || page.items.empty()) break;
  }
  co_return stored;
}

net::Task<void> PeerStateCollector::ReportUnrecordedTerminalStates(
    uint64_t term, bool is_complete) {
  const std::optional<TerminalStateIndex> stored =
      co_await ListTerminalStates(term);
  if (!stored) co_return;
  std::vector<UnrecordedTerminalState> unrecorded;
  context_.catalog.terminal_states().ForEachMissing(
      *stored, [&](const auto& id, auto state) {
        // The terminal state of a job that is live here is recorded with its
        // record's deletion.
        if (context_.catalog.FindJob(id) == nullptr) {
          unrecorded.push_back({id, state});
        }
      });
  // The leader may not have started yet.
  bool is_delivered = false;
  while (!is_delivered && collected_term_ == term) {
    deliver_to_leader_(term, [&](Leader& leader) {
      is_delivered = true;
      leader.OnUnrecordedTerminalStates(std::move(unrecorded), is_complete);
    });
    co_await context_.loop.Sleep(context_.RoundPauseSeconds());
  }
}

}  // namespace oxbow::app
