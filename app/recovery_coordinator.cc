#include "app/recovery_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "app/recovery_limits.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerMessage;

// Worker leases from a rebuild that may lack something, until an id that nobody
// knows is denied again. From the first on every machine has reported to who
// leads, or its tasks have ended; one that is still away then is waited for up
// to the second, which is below the 75 s that the users' rule has.
constexpr double kToldRatio = 2;

constexpr double kForgottenRatio = 7;

}  // namespace

RecoveryCoordinator::RecoveryCoordinator(
    net::Loop& loop, const Settings& settings, const Tuning& tuning,
    Catalog& catalog, clients::KeyValueStoreClient& state,
    StoreWatcher& watcher, const LeaderHealthCoordinator::Peers& peers,
    Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      store_(state),
      watcher_(watcher),
      peers_(peers),
      callbacks_(std::move(callbacks)) {}

void RecoveryCoordinator::Start() {
  if (!on()) return;
  store_.on_step_back = [this] {
    ReportDataLoss(DataLossIndication::kStepBack);
  };
  leader_heard_ = loop_.Now();
  net::Spawn(Bootstrap());
  net::Spawn(CheckLoop());
  if (tuning_.recovery_pages > 0) net::Spawn(AuditLoop());
}

bool RecoveryCoordinator::MayDeny() const {
  if (!on()) return true;
  // A first epoch may have been founded in a service that has lost everything,
  // together with all controllers: the workers would tell within a lease.
  const double lease = settings_.workers.lease_seconds;
  return verification_.MayDeny() && loop_.Now() > founded_ + lease &&
         (catalog_.epoch().whole ||
          (rebuilt_epoch_ == catalog_.epoch().number &&
           loop_.Now() > rebuilt_since_ + kToldRatio * lease));
}

bool RecoveryCoordinator::SomeoneMayTell() const {
  return on() && !catalog_.epoch().whole &&
         !(rebuilt_epoch_ == catalog_.epoch().number &&
           loop_.Now() > rebuilt_since_ +
                             kForgottenRatio * settings_.workers.lease_seconds);
}

void RecoveryCoordinator::AddGuard(
    std::vector<Precondition>* preconditions) const {
  if (!on()) return;
  auto [key, mod_revision] = catalog_.Guard();
  preconditions->push_back({std::move(key), mod_revision});
}

bool RecoveryCoordinator::GuardFailed(const std::vector<std::string>& failed) {
  if (!on()) return false;
  const auto [key, mod_revision] = catalog_.Guard();
  if (std::find(failed.begin(), failed.end(), key) == failed.end()) {
    return false;
  }
  if (catalog_.epoch().number > 0)
    ReportDataLoss(DataLossIndication::kEpochMissing);
  return true;
}

// --- signs

void RecoveryCoordinator::ReportDataLoss(DataLossIndication sign,
                                         const std::string& key) {
  // Nothing was ever known that could be missing.
  if (!on() || catalog_.epoch().number == 0) return;
  if (!verification_.Note(sign)) return;
  sign_key_ = key;
  spdlog::info("the state service may have lost data: {}{}{}", NameOf(sign),
               key.empty() ? "" : ", ", key);
  net::Spawn(Settle());
}

void RecoveryCoordinator::TermSeen(uint64_t term) {
  if (!on() || term <= foreign_term_) return;
  foreign_term_ = term;
  if (catalog_.epoch().number > 0 && term > HighestTerm()) {
    net::Spawn(LookAtTerm());
  }
}

// Mostly a leader that has just won, of which this controller has not read.
net::Task<void> RecoveryCoordinator::LookAtTerm() {
  const StoreCheck says = co_await Check();
  if (says == StoreCheck::kStands && foreign_term_ > HighestTerm()) {
    ReportDataLoss(DataLossIndication::kTermAbove);
  }
}

net::Task<void> RecoveryCoordinator::AskAboutJob(std::string id) {
  const StoreCheck says = co_await LookForJob(id);
  // Where jobs may have been lost it is no news.
  if (says == StoreCheck::kGone && verification_.MayDeny() &&
      catalog_.epoch().whole) {
    ReportDataLoss(DataLossIndication::kUnknownTask, id);
  }
}

net::Task<StoreCheck> RecoveryCoordinator::IsDeleted(std::string key) {
  const std::string id = JobOf(key);
  if (id.empty()) co_return StoreCheck::kStands;
  if (catalog_.pending_writes().contains(key)) {
    // It was never there; but it may have ended, which its write stumbles over.
    const StoreCheck found = co_await LookForJob(id);
    co_return found == StoreCheck::kNoAnswer ? found : StoreCheck::kStands;
  }
  if (catalog_.VersionOf(key).mod_revision == 0) co_return StoreCheck::kStands;
  const StoreCheck says = co_await LookForJob(id);
  if (says == StoreCheck::kGone)
    ReportDataLoss(DataLossIndication::kRecordMissing, key);
  co_return says;
}

uint64_t RecoveryCoordinator::HighestTerm() const {
  return TermOf(catalog_.epoch(), store_.highest());
}

void RecoveryCoordinator::EpochSeen() {
  const StoreEpoch& epoch = catalog_.epoch();
  if (!on() || epoch.number == 0) return;
  const StoreVerificationState before = verification_.state();
  if (epoch.number != seen_epoch_) {
    const bool first = seen_epoch_ == 0;
    seen_epoch_ = epoch.number;
    whole_before_ = whole_now_;
    if (first) {
      first_epoch_ = epoch.number;
      if (net::WallNow() - epoch.opened_wall <
          settings_.workers.lease_seconds) {
        founded_ = loop_.Now();
      }
    } else {
      spdlog::info("epoch {} of the state service, terms from {} on",
                   epoch.number, epoch.base);
      store_.Restart(epoch.mod_revision);
      collected_term_ = 0;
      callbacks_.other_epoch();
      watcher_.Reread();
    }
  }
  whole_now_ = epoch.whole;
  if (epoch.rebuilt && rebuilt_epoch_ != epoch.number) {
    rebuilt_epoch_ = epoch.number;
    rebuilt_since_ = loop_.Now();
  }
  verification_.OnEpoch(epoch.number, epoch.rebuilt);
  if (epoch.rebuilt && !catalog_.pending_writes().empty() &&
      !callbacks_.leading() && writing_retained_for_ != epoch.number) {
    writing_retained_for_ = epoch.number;
    // One that has just been met is read anew already.
    if (before == StoreVerificationState::kRebuilding) watcher_.Reread();
    net::Spawn(WriteRetainedRecords(epoch.number));
  }
}

net::Task<void> RecoveryCoordinator::Settle() {
  const double pause =
      kRoundPause * settings_.workers.heartbeat_interval_seconds;
  while (verification_.state() == StoreVerificationState::kSuspected) {
    const StoreCheck mine = co_await Examine();
    bool others_stand = false;
    const bool whole_service =
        verification_.sign() == DataLossIndication::kStepBack ||
        verification_.sign() == DataLossIndication::kEpochMissing;
    if (mine == StoreCheck::kGone && whole_service) {
      const std::vector<PeerMessage> answers = co_await AskAll();
      others_stand = std::any_of(
          answers.begin(), answers.end(),
          [](const auto& a) { return a.answer == PeerAnswer::kYes; });
    }
    const bool stepped = verification_.sign() == DataLossIndication::kStepBack;
    verification_.OnRound(mine, others_stand);
    if (stepped && verification_.MaySeek()) {
      catalog_.RestartWatch();
      watcher_.Reread();
    }
    if (verification_.state() == StoreVerificationState::kSuspected) {
      co_await loop_.Sleep(pause);
    }
  }
  if (verification_.state() == StoreVerificationState::kLost) {
    net::Spawn(SpreadWord());
    spdlog::error("the state service has lost data: {}",
                  NameOf(verification_.sign()));
    callbacks_.lost();
  } else {
    spdlog::info("the state service stands");
  }
}

// Whoever leads may have nothing that tells it.
net::Task<void> RecoveryCoordinator::SpreadWord() { co_await AskAll(); }

}  // namespace oxbow::app
