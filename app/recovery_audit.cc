// Records compared with memory, a page at a time, while nothing points to a
// loss.

#include <unordered_set>
#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "app/recovery_limits.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;

}  // namespace

// --- what is compared always

net::Task<void> RecoveryCoordinator::AuditLoop() {
  const double pause = settings_.workers.lease_seconds / tuning_.recovery_pages;
  std::string live;
  std::string ended;
  for (bool turn = false;; turn = !turn) {
    co_await loop_.Sleep(pause);
    // The leader has enough to do; its writes tell it as well.
    if (callbacks_.leading() ||
        verification_.state() != StoreVerificationState::kVerified ||
        !watcher_.synced()) {
      continue;
    }
    if (turn) {
      co_await AuditEnded(&ended);
    } else {
      co_await AuditLive(&live);
    }
  }
}

net::Task<void> RecoveryCoordinator::AuditLive(std::string* after) {
  const StoreResult page =
      co_await store_.List(std::string(keys::kLive), *after);
  if (!page.ok()) co_return;
  std::unordered_set<std::string> listed;
  for (const clients::KeyValue& item : page.items) listed.insert(item.key);
  const std::string from = *after;
  const bool last = !page.more || page.items.empty();
  *after = last ? std::string() : page.items.back().key;
  // A deletion that the page shows has to be followed first.
  const double pause =
      kRoundPause * settings_.workers.heartbeat_interval_seconds;
  for (int i = 0; i < 50 && catalog_.watched_revision() < page.revision; ++i) {
    co_await loop_.Sleep(pause);
  }
  if (catalog_.watched_revision() < page.revision ||
      verification_.state() != StoreVerificationState::kVerified) {
    co_return;
  }
  std::string missing;
  const auto compare = [&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      if (record.mod_revision == 0 || record.mod_revision > page.revision)
        continue;
      std::string key = keys::Of(prefix, name);
      if (key > from && (last || key <= *after) && !listed.contains(key)) {
        missing = std::move(key);
      }
    }
  };
  compare(catalog_.jobs(), keys::kJob);
  compare(catalog_.waiting(), keys::kWaiting);
  compare(catalog_.machines(), keys::kMachine);
  compare(catalog_.scale_outs(), keys::kScaleOut);
  if (missing.empty()) missing = Revived();
  if (missing.empty()) co_return;
  std::string id = JobOf(missing);
  if (!id.empty()) {
    // It may have gone on at this moment.
    const StoreCheck says = co_await LookForJob(std::move(id));
    if (says != StoreCheck::kGone) co_return;
  }
  ReportDataLoss(DataLossIndication::kRecordMissing, missing);
}

net::Task<void> RecoveryCoordinator::AuditEnded(std::string* after) {
  if (after->empty()) {
    present_ = {};
    known_ = catalog_.ended();
  }
  const StoreResult page =
      co_await store_.List(std::string(keys::kTerminal), *after);
  if (!page.ok()) co_return;
  for (const clients::KeyValue& item : page.items) {
    const auto* end = std::get_if<TerminalRecord>(&item.record);
    if (end == nullptr) continue;
    const std::string id = item.key.substr(keys::kTerminal.size());
    present_.Add(id, end->state);
    catalog_.ended().Add(id, end->state);
  }
  if (page.more && !page.items.empty()) {
    *after = page.items.back().key;
    co_return;
  }
  after->clear();
  std::string missing;
  known_.ForEachMissing(present_, [&](const std::string& id, TerminalState) {
    if (catalog_.FindJob(id) == nullptr) missing = id;
  });
  if (missing.empty()) co_return;
  const StoreCheck says = co_await LookForJob(missing);
  if (says == StoreCheck::kGone) {
    ReportDataLoss(DataLossIndication::kRecordMissing,
                   keys::Of(keys::kJob, missing));
  }
}

}  // namespace oxbow::app
