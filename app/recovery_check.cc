// Fresh looks at the key-value store: whether it holds what it should, after a
// sign of a loss or from time to time.

#include <algorithm>
#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "app/recovery_limits.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

}  // namespace

net::Task<StoreCheck> RecoveryCoordinator::Check() {
  const uint64_t number = catalog_.epoch().number;
  const std::string id = catalog_.epoch().id;
  std::vector<Precondition> preconditions;
  AddGuard(&preconditions);
  const StoreResult look =
      co_await store_.Write(std::move(preconditions), {}, Urgency::kLease);
  if (look.ok() || number == 0) {
    co_return look.ok() ? StoreCheck::kStands : StoreCheck::kNoAnswer;
  }
  if (look.status != StoreStatus::kConflict && !look.stepped_back) {
    co_return StoreCheck::kNoAnswer;
  }
  // Perhaps another controller has opened a later epoch.
  const StoreResult there =
      co_await store_.Get(std::string(keys::kEpoch), Urgency::kLease);
  if (catalog_.epoch().number != number) co_return StoreCheck::kStands;
  if (there.ok()) {
    const auto* epoch = std::get_if<StoreEpoch>(&there.items[0].record);
    if (epoch != nullptr && epoch->number > number) {
      const StoreResult mark = co_await store_.Get(
          keys::Of(keys::kEpochMark, epoch->id), Urgency::kLease);
      if (!Answered(mark) && !mark.stepped_back) {
        co_return StoreCheck::kNoAnswer;
      }
      // An epoch whose mark alone is lost is taken in without: the checks will
      // miss the mark, while a round that never ends would miss the epoch.
      if (mark.ok()) {
        watcher_.Apply(mark.items[0].key, mark.items[0].record,
                       mark.items[0].mod_revision);
      }
      watcher_.Apply(there.items[0].key, there.items[0].record,
                     there.items[0].mod_revision);
      co_return StoreCheck::kStands;
    }
  } else if (!Answered(there) && !there.stepped_back) {
    co_return StoreCheck::kNoAnswer;
  }
  co_return StoreCheck::kGone;
}

net::Task<void> RecoveryCoordinator::CheckLoop() {
  const double pause =
      settings_.workers.lease_seconds / tuning_.recovery_checks;
  for (;;) {
    co_await loop_.Sleep(pause);
    if (catalog_.epoch().number == 0) continue;
    if (verification_.state() == StoreVerificationState::kSuspected) continue;
    if (verification_.state() == StoreVerificationState::kLost) {
      // Who can open the next epoch may not have seen the sign.
      co_await AskAll();
      const StoreCheck still = co_await Examine();
      if (verification_.state() == StoreVerificationState::kLost) {
        verification_.OnRound(still, false);
      }
      continue;
    }
    const StoreCheck says = co_await Check();
    if (says == StoreCheck::kGone)
      ReportDataLoss(DataLossIndication::kEpochMissing);
    if (says == StoreCheck::kStands && !callbacks_.leading()) {
      co_await WatchLeader();
    }
  }
}

net::Task<StoreCheck> RecoveryCoordinator::LookForJob(std::string id) {
  // In this order an end that is recorded meanwhile is not missed.
  const StoreResult live =
      co_await store_.Get(keys::Of(keys::kJob, id), Urgency::kLeader);
  if (live.ok()) {
    watcher_.Apply(live.items[0].key, live.items[0].record,
                   live.items[0].mod_revision);
    // Recorded as live though somebody knows its end: an older copy.
    const auto* job = std::get_if<JobRecord>(&live.items[0].record);
    if (job != nullptr && job->terminal_state == TerminalState::kNone &&
        catalog_.FindTerminalState(id) != TerminalState::kNone) {
      co_return StoreCheck::kGone;
    }
  }
  if (live.status != StoreStatus::kNotFound) {
    co_return live.ok() ? StoreCheck::kStands : StoreCheck::kNoAnswer;
  }
  const StoreResult ended =
      co_await store_.Get(keys::Of(keys::kTerminal, id), Urgency::kLeader);
  if (ended.ok()) {
    if (const auto* end = std::get_if<TerminalRecord>(&ended.items[0].record)) {
      catalog_.RememberTerminalState(id, *end);
    }
    co_return StoreCheck::kStands;
  }
  co_return ended.status == StoreStatus::kNotFound ? StoreCheck::kGone
                                                   : StoreCheck::kNoAnswer;
}

net::Task<StoreCheck> RecoveryCoordinator::LookForRecord(std::string key) {
  if (key.starts_with(keys::kJob)) {
    std::string id = key.substr(keys::kJob.size());
    co_return co_await LookForJob(std::move(id));
  }
  const StoreResult there = co_await store_.Get(key, Urgency::kLeader);
  // One that does not wait any more has been released or has ended.
  if (key.starts_with(keys::kWaiting) &&
      there.status == StoreStatus::kNotFound) {
    std::string id = JobOf(key);
    co_return co_await LookForJob(std::move(id));
  }
  const uint64_t known = catalog_.VersionOf(key).mod_revision;
  // Deleted by the leader since, and followed.
  if (known == 0) co_return StoreCheck::kStands;
  if (!Answered(there)) co_return StoreCheck::kNoAnswer;
  co_return there.ok() && there.items[0].mod_revision >= known
      ? StoreCheck::kStands
      : StoreCheck::kGone;
}

net::Task<bool> RecoveryCoordinator::Finds(std::string key,
                                           uint64_t mod_revision) {
  const StoreResult there = co_await store_.Get(key, Urgency::kLeader);
  if (there.ok()) co_return there.items[0].mod_revision >= mod_revision;
  const std::string id = JobOf(key);
  if (id.empty()) co_return false;
  if (key.starts_with(keys::kWaiting)) {
    const StoreResult live =
        co_await store_.Get(keys::Of(keys::kJob, id), Urgency::kLeader);
    if (live.ok()) co_return true;
  }
  const StoreResult ended =
      co_await store_.Get(keys::Of(keys::kTerminal, id), Urgency::kLeader);
  co_return ended.ok();
}

// A revision that has stepped back may have grown past what was seen before
// anybody looks again; what was recorded in between is missing all the same.
net::Task<StoreCheck> RecoveryCoordinator::LookForNewest() {
  constexpr size_t kLooked = 4;
  std::vector<std::string> looked = catalog_.NewestKeys(kLooked);
  // What is still to be written back is no sign: with a newcomer asking all the
  // time whether anything is missed, each new epoch was taken for lost in mid
  // rebuild, and nobody led until the workers' leases had run out.
  std::erase_if(looked, [this](const std::string& key) {
    return catalog_.pending_writes().contains(key);
  });
  if (catalog_.epoch().rebuilt) {
    for (const std::string& id : catalog_.LatestTerminalStates(kLooked)) {
      looked.push_back(keys::Of(keys::kJob, id));
    }
  }
  StoreCheck all = StoreCheck::kStands;
  for (const std::string& key : looked) {
    const StoreCheck says = co_await LookForRecord(key);
    if (says == StoreCheck::kGone) {
      sign_key_ = key;  // what another is asked for
      co_return says;
    }
    if (says == StoreCheck::kNoAnswer) all = says;
  }
  co_return all;
}

net::Task<StoreCheck> RecoveryCoordinator::Examine() {
  const std::string key = sign_key_;
  const StoreCheck stands = co_await Check();
  if (stands != StoreCheck::kStands) co_return stands;
  switch (verification_.sign()) {
    case DataLossIndication::kTermAbove:
      co_return foreign_term_ > HighestTerm() ? StoreCheck::kGone
                                              : StoreCheck::kStands;
    case DataLossIndication::kOtherEpoch:
      co_return other_number_ >= catalog_.epoch().number&& other_id_ !=
              catalog_.epoch().id
          ? StoreCheck::kGone
          : StoreCheck::kStands;
    case DataLossIndication::kUnknownTask:
      co_return co_await LookForJob(key);
    case DataLossIndication::kRecordMissing:
      co_return co_await LookForRecord(key);
    case DataLossIndication::kStepBack:
    case DataLossIndication::kEpochMissing:
      co_return co_await LookForNewest();
    default:
      co_return StoreCheck::kStands;
  }
}

}  // namespace oxbow::app
