// A controller that has just started, or was away in a rebuild: others may
// remember more than the key-value store holds, and it more than they.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "app/recovery_limits.h"

namespace oxbow::app {
namespace {

using clients::PeerMessage;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

}  // namespace

// What is owed here and was not written back, by whoever rebuilt: it may not
// have heard this controller, and nobody else will ever tell it. A job is
// recorded as a submission is, on the condition that neither it nor its end
// stands there, and an operators' record if there is none of its name; of all
// else the leader knows what there is.
net::Task<void> RecoveryCoordinator::WriteRetainedRecords(uint64_t epoch) {
  const double pause =
      kRoundPause * settings_.workers.heartbeat_interval_seconds;
  const auto stale = [this, epoch] {
    return catalog_.epoch().number != epoch ||
           verification_.state() == StoreVerificationState::kLost;
  };
  while (!watcher_.synced() ||
         verification_.state() != StoreVerificationState::kVerified) {
    co_await loop_.Sleep(pause);
    if (stale()) co_return;
  }
  co_await CollectFromAll(&RecoveryCoordinator::CollectTerminalStates);
  if (stale()) co_return;
  std::vector<std::string> handed;
  for (const auto& [key, version] : catalog_.pending_writes()) {
    if (key.starts_with(keys::kJob) || key.starts_with(keys::kWaiting) ||
        key.starts_with(keys::kOperator)) {
      handed.push_back(key);
    }
  }
  size_t handed_in = 0;
  for (const std::string& key : handed) {
    for (bool settled = false; !settled;) {
      settled = co_await WriteRetainedRecord(key, &handed_in);
      if (stale()) co_return;
      if (!settled) co_await loop_.Sleep(pause);
    }
  }
  if (handed_in > 0) {
    spdlog::warn(
        "{} records that only this controller remembered are written back",
        handed_in);
  }
  // A leader writes back by itself what it owes.
  if (stale() || callbacks_.leading() || catalog_.pending_writes().empty())
    co_return;
  catalog_.ForgetPendingWrites();
  watcher_.Reread();
}

net::Task<bool> RecoveryCoordinator::WriteRetainedRecord(std::string key,
                                                         size_t* count) {
  const std::string id = JobOf(key);
  const bool is_job = !id.empty();
  const Record record = catalog_.RecordOf(key);
  if (!catalog_.pending_writes().contains(key) ||
      std::holds_alternative<std::monostate>(record) ||
      (is_job && catalog_.FindTerminalState(id) != TerminalState::kNone)) {
    co_return true;
  }
  // Whatever has become of the job meanwhile.
  std::vector<Precondition> preconditions{{key, 0}};
  if (is_job) preconditions.push_back({keys::Of(keys::kTerminal, id), 0});
  if (key.starts_with(keys::kWaiting)) {
    preconditions.push_back({keys::Of(keys::kJob, id), 0});
  }
  AddGuard(&preconditions);
  std::vector<Mutation> mutations{{key, record}};
  const StoreResult written = co_await store_.Write(
      std::move(preconditions), std::move(mutations), Urgency::kLeader);
  if (written.ok()) {
    ++*count;
    watcher_.Apply(key, record, written.revision);
    co_return true;
  }
  // Too large for the limits of today: it stays remembered here.
  if (written.status == StoreStatus::kRefused) co_return true;
  if (written.status != StoreStatus::kConflict) co_return false;
  if (GuardFailed(written.failed) || !is_job) co_return true;
  // It is there, or has gone on.
  const StoreCheck says = co_await LookForRecord(key);
  co_return says == StoreCheck::kStands;
}

net::Task<void> RecoveryCoordinator::Bootstrap() {
  const double pause =
      kRoundPause * settings_.workers.heartbeat_interval_seconds;
  const net::Time until = loop_.Now() + settings_.workers.lease_seconds;
  while (!bootstrapped_) {
    // An older copy can't be told by one that has no memory: the others are
    // asked to look whether all that changed last is there.
    PeerMessage ask = Ledger();
    ask.running = static_cast<uint32_t>(DataLossIndication::kStepBack);
    const std::vector<PeerMessage> answers = co_await AskAll(std::move(ask));
    const StoreEpoch& mine = catalog_.epoch();
    uint64_t term = 0;
    bool elder = false;
    for (const PeerMessage& a : answers) {
      elder = elder || a.done > mine.number ||
              (a.done == mine.number && a.done > 0 && a.text != mine.id) ||
              a.running == static_cast<uint32_t>(StoreCheck::kGone);
      if (a.text == mine.id) term = std::max(term, a.mod_revision);
    }
    // Somebody remembers another key-value store than the one that is read
    // here: it will open a new epoch, and nothing may be founded beside it. Not
    // for ever: one that alone reads a stale copy would keep it out.
    if (elder && loop_.Now() < until) {
      co_await loop_.Sleep(pause);
      continue;
    }
    // How jobs have ended is followed from the start on; what was before that
    // the others know, and the key-value store may lose it once they are gone.
    co_await CollectFromAll(&RecoveryCoordinator::CollectTerminalStates);
    // An older copy may hold as live what the others know to have ended: who
    // leads by it runs a cancelled job again.
    while (!watcher_.ever_synced()) co_await loop_.Sleep(pause);
    bootstrapped_ = true;
    const std::string revived = Revived();
    if (!revived.empty())
      ReportDataLoss(DataLossIndication::kRecordMissing, revived);
    if (mine.number == 0 || term <= HighestTerm()) break;
    const StoreCheck says = co_await Check();
    if (says == StoreCheck::kStands && term > HighestTerm()) {
      store_.Restart(term - mine.base);
      ReportDataLoss(DataLossIndication::kStepBack);
    }
  }
}

std::string RecoveryCoordinator::Revived() const {
  for (const auto& [id, job] : catalog_.jobs()) {
    if (job.terminal_state == TerminalState::kNone &&
        catalog_.FindTerminalState(id) != TerminalState::kNone) {
      return keys::Of(keys::kJob, id);
    }
  }
  return {};
}

}  // namespace oxbow::app
