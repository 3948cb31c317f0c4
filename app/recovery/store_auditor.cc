#include "app/recovery/store_auditor.h"

#include <utility>
#include <variant>

namespace oxbow::app {
namespace {

using clients::StoreResult;

// Round pauses that the audit waits for the watch to follow a listing.
constexpr int kWatchPauses = 50;

}  // namespace

void StoreAuditor::Start() { net::Spawn(Run()); }

bool StoreAuditor::IsAuditDue() const {
  return !context_.is_leading() &&
         detector_.verification().state() ==
             StoreVerificationState::kVerified &&
         context_.watcher.synced();
}

net::Task<void> StoreAuditor::Run() {
  const double pause =
      context_.settings.workers.lease_seconds / context_.tuning.recovery_pages;
  for (bool is_terminal_turn = false;; is_terminal_turn = !is_terminal_turn) {
    co_await context_.loop.Sleep(pause);
    if (!IsAuditDue()) continue;
    if (is_terminal_turn) {
      co_await AuditTerminalStatesPage();
    } else {
      co_await AuditLivePage();
    }
  }
}

net::Task<void> StoreAuditor::AuditLivePage() {
  const StoreResult listing =
      co_await context_.store.List(std::string(keys::kLive), live_position_);
  if (!listing.ok()) co_return;
  LivePage page;
  for (const clients::KeyValue& item : listing.items) {
    page.keys.insert(item.key);
  }
  page.after = live_position_;
  page.is_final = !listing.more || listing.items.empty();
  page.last = page.is_final ? std::string() : listing.items.back().key;
  page.revision = listing.revision;
  live_position_ = page.last;
  // A deletion that the page shows has to be delivered by the watch first.
  const bool is_comparable = co_await WatchHasReached(page.revision);
  if (!is_comparable) co_return;
  const std::string missing_key = MissingKey(page);
  if (missing_key.empty()) co_return;
  std::string id = JobIdOfKey(missing_key);
  if (!id.empty()) {
    // The job may have been released or have ended at this moment.
    const StoreCheck result = co_await inspector_.CheckJob(std::move(id));
    if (result != StoreCheck::kMissing) co_return;
  }
  detector_.Report(DataLossIndication::kRecordMissing, missing_key);
}

net::Task<bool> StoreAuditor::WatchHasReached(uint64_t revision) {
  const Catalog& catalog = context_.catalog;
  const double pause = context_.RoundPauseSeconds();
  for (int i = 0; i < kWatchPauses && catalog.watched_revision() < revision;
       ++i) {
    co_await context_.loop.Sleep(pause);
  }
  co_return catalog.watched_revision() >=
          revision&& detector_.verification().state() ==
      StoreVerificationState::kVerified;
}

std::string StoreAuditor::MissingKey(const LivePage& page) const {
  std::string missing_key;
  const auto compare = [&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      const bool is_in_listing =
          record.mod_revision != 0 && record.mod_revision <= page.revision;
      if (!is_in_listing) continue;
      std::string key = keys::Of(prefix, name);
      if (key > page.after && (page.is_final || key <= page.last) &&
          !page.keys.contains(key)) {
        missing_key = std::move(key);
      }
    }
  };
  const Catalog& catalog = context_.catalog;
  compare(catalog.jobs(), keys::kJob);
  compare(catalog.waiting(), keys::kWaiting);
  compare(catalog.machines(), keys::kMachine);
  compare(catalog.scale_outs(), keys::kScaleOut);
  return missing_key.empty() ? inspector_.RevivedJobKey() : missing_key;
}

net::Task<void> StoreAuditor::AuditTerminalStatesPage() {
  if (terminal_position_.empty()) {
    stored_states_ = {};
    known_states_ = context_.catalog.terminal_states();
  }
  const StoreResult page = co_await context_.store.List(
      std::string(keys::kTerminal), terminal_position_);
  if (!page.ok()) co_return;
  AddTerminalStates(page);
  if (page.more && !page.items.empty()) {
    terminal_position_ = page.items.back().key;
    co_return;
  }
  terminal_position_.clear();
  const std::string id = JobWithMissingState();
  if (id.empty()) co_return;
  const StoreCheck result = co_await inspector_.CheckJob(id);
  if (result == StoreCheck::kMissing) {
    detector_.Report(DataLossIndication::kRecordMissing,
                     keys::Of(keys::kJob, id));
  }
}

void StoreAuditor::AddTerminalStates(const StoreResult& page) {
  for (const clients::KeyValue& item : page.items) {
    const auto* terminal = std::get_if<TerminalRecord>(&item.record);
    if (terminal == nullptr) continue;
    const std::string id = item.key.substr(keys::kTerminal.size());
    stored_states_.Add(id, terminal->state);
    context_.catalog.terminal_states().Add(id, terminal->state);
  }
}

std::string StoreAuditor::JobWithMissingState() const {
  std::string missing_id;
  known_states_.ForEachMissing(stored_states_,
                               [&](const std::string& id, TerminalState) {
                                 if (context_.catalog.FindJob(id) == nullptr)
                                   missing_id = id;
                               });
  return missing_id;
}

}  // namespace oxbow::app
