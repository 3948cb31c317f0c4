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
    Catalog& catalog, clients::StateClient& state, Follower& follower,
    const LeaderHealthCoordinator::Peers& peers, Seams seams)
    : loop_(loop),
      settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      state_(state),
      follower_(follower),
      peers_(peers),
      seams_(std::move(seams)) {}

void RecoveryCoordinator::Start() {
  if (!on()) return;
  state_.on_step_back = [this] { Sign(LossSign::kStepBack); };
  leader_heard_ = loop_.Now();
  net::Spawn(Introduce());
  net::Spawn(CheckLoop());
  if (tuning_.recovery_pages > 0) net::Spawn(AuditLoop());
}

bool RecoveryCoordinator::MayDeny() const {
  if (!on()) return true;
  // A first epoch may have been founded in a service that has lost everything,
  // together with all controllers: the workers would tell within a lease.
  const double lease = settings_.workers.lease_s;
  return verification_.MayDeny() && loop_.Now() > founded_ + lease &&
         (catalog_.epoch().whole ||
          (rebuilt_epoch_ == catalog_.epoch().number &&
           loop_.Now() > rebuilt_since_ + kToldRatio * lease));
}

bool RecoveryCoordinator::SomeoneMayTell() const {
  return on() && !catalog_.epoch().whole &&
         !(rebuilt_epoch_ == catalog_.epoch().number &&
           loop_.Now() >
               rebuilt_since_ + kForgottenRatio * settings_.workers.lease_s);
}

void RecoveryCoordinator::AddGuard(std::vector<Condition>* conditions) const {
  if (!on()) return;
  auto [key, stamp] = catalog_.Guard();
  conditions->push_back({std::move(key), stamp});
}

bool RecoveryCoordinator::GuardFailed(const std::vector<std::string>& failed) {
  if (!on()) return false;
  const auto [key, stamp] = catalog_.Guard();
  if (std::find(failed.begin(), failed.end(), key) == failed.end()) {
    return false;
  }
  if (catalog_.epoch().number > 0) Sign(LossSign::kEpochMissing);
  return true;
}

// --- signs

void RecoveryCoordinator::Sign(LossSign sign, const std::string& key) {
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
  const CheckSays says = co_await Check();
  if (says == CheckSays::kStands && foreign_term_ > HighestTerm()) {
    Sign(LossSign::kTermAbove);
  }
}

net::Task<void> RecoveryCoordinator::AskAboutJob(std::string id) {
  const CheckSays says = co_await LookForJob(id);
  // Where jobs may have been lost it is no news.
  if (says == CheckSays::kGone && verification_.MayDeny() &&
      catalog_.epoch().whole) {
    Sign(LossSign::kUnknownTask, id);
  }
}

net::Task<CheckSays> RecoveryCoordinator::IsDeleted(std::string key) {
  const std::string id = JobOf(key);
  if (id.empty()) co_return CheckSays::kStands;
  if (catalog_.owed().contains(key)) {
    // It was never there; but it may have ended, which its write stumbles over.
    const CheckSays found = co_await LookForJob(id);
    co_return found == CheckSays::kNoAnswer ? found : CheckSays::kStands;
  }
  if (catalog_.VersionOf(key).stamp == 0) co_return CheckSays::kStands;
  const CheckSays says = co_await LookForJob(id);
  if (says == CheckSays::kGone) Sign(LossSign::kRecordMissing, key);
  co_return says;
}

uint64_t RecoveryCoordinator::HighestTerm() const {
  return TermOf(catalog_.epoch(), state_.highest());
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
      if (net::WallNow() - epoch.opened_wall < settings_.workers.lease_s) {
        founded_ = loop_.Now();
      }
    } else {
      spdlog::info("epoch {} of the state service, terms from {} on",
                   epoch.number, epoch.base);
      state_.Restart(epoch.stamp);
      gathered_ = 0;
      seams_.other_epoch();
      follower_.Reread();
    }
  }
  whole_now_ = epoch.whole;
  if (epoch.rebuilt && rebuilt_epoch_ != epoch.number) {
    rebuilt_epoch_ = epoch.number;
    rebuilt_since_ = loop_.Now();
  }
  verification_.OnEpoch(epoch.number, epoch.rebuilt);
  if (epoch.rebuilt && !catalog_.owed().empty() && !seams_.leading() &&
      handing_in_ != epoch.number) {
    handing_in_ = epoch.number;
    // One that has just been met is read anew already.
    if (before == StoreVerificationState::kRebuilding) follower_.Reread();
    net::Spawn(HandIn(epoch.number));
  }
}

net::Task<void> RecoveryCoordinator::Settle() {
  const double pause = kRoundPause * settings_.workers.report_s;
  while (verification_.state() == StoreVerificationState::kSuspected) {
    const CheckSays mine = co_await Examine();
    bool others_stand = false;
    const bool whole_service = verification_.sign() == LossSign::kStepBack ||
                               verification_.sign() == LossSign::kEpochMissing;
    if (mine == CheckSays::kGone && whole_service) {
      const std::vector<PeerMessage> answers = co_await AskAll();
      others_stand = std::any_of(
          answers.begin(), answers.end(),
          [](const auto& a) { return a.answer == PeerAnswer::kYes; });
    }
    const bool stepped = verification_.sign() == LossSign::kStepBack;
    verification_.OnRound(mine, others_stand);
    if (stepped && verification_.MaySeek()) {
      catalog_.FollowAnew();
      follower_.Reread();
    }
    if (verification_.state() == StoreVerificationState::kSuspected) {
      co_await loop_.Sleep(pause);
    }
  }
  if (verification_.state() == StoreVerificationState::kLost) {
    net::Spawn(SpreadWord());
    spdlog::error("the state service has lost data: {}",
                  NameOf(verification_.sign()));
    seams_.lost();
  } else {
    spdlog::info("the state service stands");
  }
}

// Whoever leads may have nothing that tells it.
net::Task<void> RecoveryCoordinator::SpreadWord() { co_await AskAll(); }

}  // namespace oxbow::app
