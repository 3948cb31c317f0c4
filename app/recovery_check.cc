// Fresh looks at the state service: whether it holds what it should, after a
// sign of a loss or from time to time.

#include <algorithm>
#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "app/recovery_limits.h"

namespace oxbow::app {
namespace {

using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;

}  // namespace

net::Task<CheckSays> RecoveryCoordinator::Check() {
  const uint64_t number = catalog_.epoch().number;
  const std::string id = catalog_.epoch().id;
  std::vector<Condition> conditions;
  AddGuard(&conditions);
  const StateResult look =
      co_await state_.Write(std::move(conditions), {}, Urgency::kLease);
  if (look.ok() || number == 0) {
    co_return look.ok() ? CheckSays::kStands : CheckSays::kNoAnswer;
  }
  if (look.status != StateStatus::kConflict && !look.stepped_back) {
    co_return CheckSays::kNoAnswer;
  }
  // Perhaps another controller has opened a later epoch.
  const StateResult there =
      co_await state_.Get(std::string(keys::kEpoch), Urgency::kLease);
  if (catalog_.epoch().number != number) co_return CheckSays::kStands;
  if (there.ok()) {
    const auto* epoch = std::get_if<StoreEpoch>(&there.items[0].record);
    if (epoch != nullptr && epoch->number > number) {
      const StateResult mark = co_await state_.Get(
          keys::Of(keys::kEpochMark, epoch->id), Urgency::kLease);
      if (!Answered(mark) && !mark.stepped_back) {
        co_return CheckSays::kNoAnswer;
      }
      // An epoch whose mark alone is lost is taken in without: the checks will
      // miss the mark, while a round that never ends would miss the epoch.
      if (mark.ok()) {
        follower_.Apply(mark.items[0].key, mark.items[0].record,
                        mark.items[0].stamp);
      }
      follower_.Apply(there.items[0].key, there.items[0].record,
                      there.items[0].stamp);
      co_return CheckSays::kStands;
    }
  } else if (!Answered(there) && !there.stepped_back) {
    co_return CheckSays::kNoAnswer;
  }
  co_return CheckSays::kGone;
}

net::Task<void> RecoveryCoordinator::CheckLoop() {
  const double pause = settings_.workers.lease_s / tuning_.recovery_checks;
  for (;;) {
    co_await loop_.Sleep(pause);
    if (catalog_.epoch().number == 0) continue;
    if (verification_.state() == StoreVerificationState::kSuspected) continue;
    if (verification_.state() == StoreVerificationState::kLost) {
      // Who can open the next epoch may not have seen the sign.
      co_await AskAll();
      const CheckSays still = co_await Examine();
      if (verification_.state() == StoreVerificationState::kLost) {
        verification_.OnRound(still, false);
      }
      continue;
    }
    const CheckSays says = co_await Check();
    if (says == CheckSays::kGone) Sign(LossSign::kEpochMissing);
    if (says == CheckSays::kStands && !seams_.leading()) {
      co_await WatchLeader();
    }
  }
}

net::Task<CheckSays> RecoveryCoordinator::LookForJob(std::string id) {
  // In this order an end that is recorded meanwhile is not missed.
  const StateResult live =
      co_await state_.Get(keys::Of(keys::kJob, id), Urgency::kLeader);
  if (live.ok()) {
    follower_.Apply(live.items[0].key, live.items[0].record,
                    live.items[0].stamp);
    // Recorded as live though somebody knows its end: an older copy.
    const auto* job = std::get_if<JobRecord>(&live.items[0].record);
    if (job != nullptr && job->terminal_state == TerminalState::kNone &&
        catalog_.FindTerminalState(id) != TerminalState::kNone) {
      co_return CheckSays::kGone;
    }
  }
  if (live.status != StateStatus::kNotFound) {
    co_return live.ok() ? CheckSays::kStands : CheckSays::kNoAnswer;
  }
  const StateResult ended =
      co_await state_.Get(keys::Of(keys::kTerminal, id), Urgency::kLeader);
  if (ended.ok()) {
    if (const auto* end = std::get_if<TerminalRecord>(&ended.items[0].record)) {
      catalog_.RememberEnd(id, *end);
    }
    co_return CheckSays::kStands;
  }
  co_return ended.status == StateStatus::kNotFound ? CheckSays::kGone
                                                   : CheckSays::kNoAnswer;
}

net::Task<CheckSays> RecoveryCoordinator::LookForRecord(std::string key) {
  if (key.starts_with(keys::kJob)) {
    std::string id = key.substr(keys::kJob.size());
    co_return co_await LookForJob(std::move(id));
  }
  const StateResult there = co_await state_.Get(key, Urgency::kLeader);
  // One that does not wait any more has been released or has ended.
  if (key.starts_with(keys::kWaiting) &&
      there.status == StateStatus::kNotFound) {
    std::string id = JobOf(key);
    co_return co_await LookForJob(std::move(id));
  }
  const uint64_t known = catalog_.VersionOf(key).stamp;
  // Deleted by the leader since, and followed.
  if (known == 0) co_return CheckSays::kStands;
  if (!Answered(there)) co_return CheckSays::kNoAnswer;
  co_return there.ok() && there.items[0].stamp >= known ? CheckSays::kStands
                                                        : CheckSays::kGone;
}

net::Task<bool> RecoveryCoordinator::Finds(std::string key, uint64_t stamp) {
  const StateResult there = co_await state_.Get(key, Urgency::kLeader);
  if (there.ok()) co_return there.items[0].stamp >= stamp;
  const std::string id = JobOf(key);
  if (id.empty()) co_return false;
  if (key.starts_with(keys::kWaiting)) {
    const StateResult live =
        co_await state_.Get(keys::Of(keys::kJob, id), Urgency::kLeader);
    if (live.ok()) co_return true;
  }
  const StateResult ended =
      co_await state_.Get(keys::Of(keys::kTerminal, id), Urgency::kLeader);
  co_return ended.ok();
}

// A revision that has stepped back may have grown past what was seen before
// anybody looks again; what was recorded in between is missing all the same.
net::Task<CheckSays> RecoveryCoordinator::LookForNewest() {
  constexpr size_t kLooked = 4;
  std::vector<std::string> looked = catalog_.NewestKeys(kLooked);
  // What is still to be written back is no sign: with a newcomer asking all the
  // time whether anything is missed, each new epoch was taken for lost in mid
  // rebuild, and nobody led until the workers' leases had run out.
  std::erase_if(looked, [this](const std::string& key) {
    return catalog_.owed().contains(key);
  });
  if (catalog_.epoch().rebuilt) {
    for (const std::string& id : catalog_.LatestEnds(kLooked)) {
      looked.push_back(keys::Of(keys::kJob, id));
    }
  }
  CheckSays all = CheckSays::kStands;
  for (const std::string& key : looked) {
    const CheckSays says = co_await LookForRecord(key);
    if (says == CheckSays::kGone) {
      sign_key_ = key;  // what another is asked for
      co_return says;
    }
    if (says == CheckSays::kNoAnswer) all = says;
  }
  co_return all;
}

net::Task<CheckSays> RecoveryCoordinator::Examine() {
  const std::string key = sign_key_;
  const CheckSays stands = co_await Check();
  if (stands != CheckSays::kStands) co_return stands;
  switch (verification_.sign()) {
    case LossSign::kTermAbove:
      co_return foreign_term_ > HighestTerm() ? CheckSays::kGone
                                              : CheckSays::kStands;
    case LossSign::kOtherEpoch:
      co_return other_number_ >= catalog_.epoch().number&& other_id_ !=
              catalog_.epoch().id
          ? CheckSays::kGone
          : CheckSays::kStands;
    case LossSign::kUnknownTask:
      co_return co_await LookForJob(key);
    case LossSign::kRecordMissing:
      co_return co_await LookForRecord(key);
    case LossSign::kStepBack:
    case LossSign::kEpochMissing:
      co_return co_await LookForNewest();
    default:
      co_return CheckSays::kStands;
  }
}

}  // namespace oxbow::app
