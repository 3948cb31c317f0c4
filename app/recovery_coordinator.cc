#include "app/recovery_coordinator.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <unordered_set>

#include "clients/memory_page.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;

// Shares of the workers' lease: their leases go on while a new epoch is opened,
// so all of it together has to stay well below one.
constexpr double kAskRatio = 0.08;
constexpr double kPageRatio = 0.1;
// Worker leases from a rebuild that may lack something, until an id that nobody
// knows is denied again. From the first on every machine has reported to who
// leads, or its tasks have ended; one that is still away then is waited for up
// to the second, which is below the 75 s that the users' rule has.
constexpr double kToldRatio = 2;
constexpr double kForgottenRatio = 7;
// Of the report interval.
constexpr double kRoundPause = 0.1;

std::string NewId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

bool Answered(const StateResult& result) {
  return result.ok() || result.status == StateStatus::kNotFound;
}

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
  if (!key.starts_with(keys::kJob)) co_return CheckSays::kStands;
  if (catalog_.owed().contains(key)) {
    // It was never there; but it may have ended, which its write stumbles over.
    const CheckSays found = co_await LookForJob(key.substr(keys::kJob.size()));
    co_return found == CheckSays::kNoAnswer ? found : CheckSays::kStands;
  }
  if (catalog_.VersionOf(key).stamp == 0) co_return CheckSays::kStands;
  const CheckSays says = co_await LookForJob(key.substr(keys::kJob.size()));
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

// What is owed here and was not written back, by whoever rebuilt: it may not
// have heard this controller, and nobody else will ever tell it. A job is
// recorded as a submission is, on the condition that neither it nor its end
// stands there, and an operators' record if there is none of its name; of all
// else the leader knows what there is.
net::Task<void> RecoveryCoordinator::HandIn(uint64_t epoch) {
  const double pause = kRoundPause * settings_.workers.report_s;
  const auto stale = [this, epoch] {
    return catalog_.epoch().number != epoch ||
           verification_.state() == StoreVerificationState::kLost;
  };
  while (!follower_.synced() ||
         verification_.state() != StoreVerificationState::kVerified) {
    co_await loop_.Sleep(pause);
    if (stale()) co_return;
  }
  co_await GatherFromAll(&RecoveryCoordinator::GatherEnds);
  if (stale()) co_return;
  std::vector<std::string> handed;
  for (const auto& [key, version] : catalog_.owed()) {
    if (key.starts_with(keys::kJob) || key.starts_with(keys::kOperator)) {
      handed.push_back(key);
    }
  }
  size_t handed_in = 0;
  for (const std::string& key : handed) {
    for (bool settled = false; !settled;) {
      settled = co_await HandInRecord(key, &handed_in);
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
  if (stale() || seams_.leading() || catalog_.owed().empty()) co_return;
  catalog_.ForgetOwed();
  follower_.Reread();
}

net::Task<bool> RecoveryCoordinator::HandInRecord(std::string key,
                                                  size_t* count) {
  const bool is_job = key.starts_with(keys::kJob);
  const std::string id = is_job ? key.substr(keys::kJob.size()) : "";
  const Record record = catalog_.RecordOf(key);
  if (!catalog_.owed().contains(key) ||
      std::holds_alternative<std::monostate>(record) ||
      (is_job && catalog_.FindTerminalState(id) != TerminalState::kNone)) {
    co_return true;
  }
  std::vector<Condition> conditions{{key, 0}};
  if (is_job) conditions.push_back({keys::Of(keys::kTerminal, id), 0});
  AddGuard(&conditions);
  std::vector<KeyChange> changes{{key, record}};
  const StateResult written = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kLeader);
  if (written.ok()) {
    ++*count;
    follower_.Apply(key, record, written.revision);
    co_return true;
  }
  if (written.status != StateStatus::kConflict) co_return false;
  if (GuardFailed(written.failed) || !is_job) co_return true;
  // It is there, or has ended.
  const CheckSays says = co_await LookForJob(id);
  co_return says == CheckSays::kStands;
}

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
  if (!key.starts_with(keys::kJob)) co_return false;
  const StateResult ended = co_await state_.Get(
      keys::Of(keys::kTerminal, key.substr(keys::kJob.size())),
      Urgency::kLeader);
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

// --- a new epoch

RecoveryCoordinator::Opening RecoveryCoordinator::Found() const {
  Opening opening;
  if (!on() || catalog_.epoch().number > 0) return opening;
  opening.epoch.number = 1;
  opening.epoch.id = NewId();
  opening.epoch.opened_wall = net::WallNow();
  opening.conditions = {{std::string(keys::kEpoch), 0}};
  opening.changes = {
      {std::string(keys::kEpoch), opening.epoch},
      {keys::Of(keys::kEpochMark, opening.epoch.id), EpochMark{1, 0}}};
  return opening;
}

net::Task<bool> RecoveryCoordinator::Orphaned(const clients::KeyValue& leader) {
  // Asking lengthens a lease that is there, so each controller asks once, when
  // the lease of one that is gone must have ended.
  const double ttl = tuning_.leader_lease_ratio * settings_.workers.lease_s;
  constexpr double kLeaseMargin = 1.2;
  constexpr double kAgain = 10;  // worker leases
  const uint64_t lease = leader.lease;
  const net::Time now = loop_.Now();
  if (leader.stamp != leader_stamp_ ||
      now > leader_since_ + kAgain * settings_.workers.lease_s) {
    leader_stamp_ = leader.stamp;
    leader_since_ = now;
    leader_probed_ = false;
  }
  if (leader_probed_ || now < leader_since_ + kLeaseMargin * ttl) {
    co_return false;
  }
  leader_probed_ = true;
  const StateResult there = co_await state_.Renew(lease, ttl / 3);
  if (there.status == StateStatus::kNotFound) {
    leader_probed_ = false;  // as surely the next time
    co_return true;
  }
  if (!there.ok()) leader_probed_ = false;
  co_return false;
}

net::Task<void> RecoveryCoordinator::Introduce() {
  const double pause = kRoundPause * settings_.workers.report_s;
  const net::Time until = loop_.Now() + settings_.workers.lease_s;
  while (!introduced_) {
    // An older copy can't be told by one that has no memory: the others are
    // asked to look whether all that changed last is there.
    PeerMessage ask = Ledger();
    ask.running = static_cast<uint32_t>(LossSign::kStepBack);
    const std::vector<PeerMessage> answers = co_await AskAll(std::move(ask));
    const StoreEpoch& mine = catalog_.epoch();
    uint64_t term = 0;
    bool elder = false;
    for (const PeerMessage& a : answers) {
      elder = elder || a.done > mine.number ||
              (a.done == mine.number && a.done > 0 && a.text != mine.id) ||
              a.running == static_cast<uint32_t>(CheckSays::kGone);
      if (a.text == mine.id) term = std::max(term, a.stamp);
    }
    // Somebody remembers another state service than the one that is read here:
    // it will open a new epoch, and nothing may be founded beside it.
    // Not for ever: one that alone reads a stale copy would keep it out.
    if (elder && loop_.Now() < until) {
      co_await loop_.Sleep(pause);
      continue;
    }
    // How jobs have ended is followed from the start on; what was before that
    // the others know, and the state service may lose it once they are gone.
    co_await GatherFromAll(&RecoveryCoordinator::GatherEnds);
    // An older copy may hold as live what the others know to have ended: who
    // leads by it runs a cancelled job again.
    while (!follower_.ever_synced()) co_await loop_.Sleep(pause);
    introduced_ = true;
    const std::string revived = Revived();
    if (!revived.empty()) Sign(LossSign::kRecordMissing, revived);
    if (mine.number == 0 || term <= HighestTerm()) break;
    const CheckSays says = co_await Check();
    if (says == CheckSays::kStands && term > HighestTerm()) {
      state_.Restart(term - mine.base);
      Sign(LossSign::kStepBack);
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

net::Task<void> RecoveryCoordinator::WatchLeader() {
  const LeaderRecord leader = catalog_.leader();
  clients::PeerClient* named = nullptr;
  for (const auto& peer : peers_) {
    if (peer->name() == leader.node) named = peer.get();
  }
  if (named == nullptr || leader.stamp == 0) {
    leader_heard_ = loop_.Now();
    co_return;
  }
  PeerMessage hello;
  hello.kind = PeerKind::kHello;
  hello.node = settings_.node;
  const double ttl = tuning_.leader_lease_ratio * settings_.workers.lease_s;
  const auto answer = co_await named->Ask(std::move(hello), ttl / 3);
  const LeaderRole role = answer.message.role;
  if (answer.ok &&
      (role == LeaderRole::kLeads || role == LeaderRole::kRenewsByKey)) {
    leader_heard_ = loop_.Now();
  }
  if (loop_.Now() < leader_heard_ + ttl) co_return;
  const StateResult key =
      co_await state_.Get(std::string(keys::kLeader), Urgency::kLease);
  if (!key.ok() || key.items[0].stamp != leader.stamp) co_return;
  const bool orphaned = co_await Orphaned(key.items[0]);
  if (orphaned) seams_.orphaned(leader.stamp);
}

net::Task<RecoveryCoordinator::Known> RecoveryCoordinator::AnybodyKnows(
    std::string id) {
  PeerMessage ask;
  ask.kind = PeerKind::kKnown;
  ask.node = settings_.node;
  ask.job_id = std::move(id);
  const std::vector<PeerMessage> answers =
      co_await AskAll(std::move(ask), /*hurried=*/true);
  for (const PeerMessage& a : answers) {
    if (a.answer == PeerAnswer::kYes) co_return Known::kYes;
  }
  co_return answers.size() == peers_.size() ? Known::kNobody
                                            : Known::kNobodyHeard;
}

net::Task<bool> RecoveryCoordinator::Prepare(Opening* out, bool led) {
  const uint64_t known = catalog_.epoch().number;
  const std::string epoch_key(keys::kEpoch);
  const std::string leader_key(keys::kLeader);
  const std::vector<PeerMessage> answers = co_await AskAll();
  // What stands there by now is replaced under the stamps that are read here,
  // after everybody has said how far they have seen.
  const StateResult epoch = co_await state_.Get(epoch_key, Urgency::kLease);
  const StateResult leader = co_await state_.Get(leader_key, Urgency::kLease);
  const auto answered = [](const StateResult& r) {
    // A 404 that tells a lower revision is what has to be expected now.
    return Answered(r) || r.stepped_back;
  };
  if (!answered(epoch) || !answered(leader) ||
      verification_.state() != StoreVerificationState::kLost) {
    co_return false;
  }
  const StoreEpoch* there =
      epoch.ok() ? std::get_if<StoreEpoch>(&epoch.items[0].record) : nullptr;
  if (there != nullptr && there->number > known) {
    co_await Check();  // takes it in
    co_return false;
  }
  // Lost data may have a key under which somebody leads who started since.
  if (!led && leader.ok()) {
    const bool orphaned = co_await Orphaned(leader.items[0]);
    if (!orphaned) co_return false;
  }
  uint64_t number = std::max(known, there != nullptr ? there->number : 0);
  uint64_t term = std::max(HighestTerm(), foreign_term_);
  for (const PeerMessage& answer : answers) {
    number = std::max<uint64_t>(number, answer.done);
    term = std::max({term, answer.stamp, answer.term});
  }
  out->epoch = {
      number + 1,        NewId(),        NextBase(term, net::WallNow()),
      /*whole=*/false,
      /*rebuilt=*/false, net::WallNow(), 0};
  out->conditions = {{epoch_key, epoch.ok() ? epoch.items[0].stamp : 0},
                     {leader_key, leader.ok() ? leader.items[0].stamp : 0}};
  out->changes = {{epoch_key, out->epoch},
                  {keys::Of(keys::kEpochMark, out->epoch.id),
                   EpochMark{out->epoch.number, 0}}};
  // From here on lower revisions are what is expected.
  foreign_term_ = term;
  state_.Restart(0);
  // The mark that an older copy has brought back would let late writes in.
  if (there != nullptr) {
    out->changes.push_back({keys::Of(keys::kEpochMark, there->id), {}});
  }
  if (catalog_.epoch().number > 0 &&
      (there == nullptr || there->id != catalog_.epoch().id)) {
    out->changes.push_back(
        {keys::Of(keys::kEpochMark, catalog_.epoch().id), {}});
  }
  co_return true;
}

void RecoveryCoordinator::Opened(const Opening& opening, uint64_t revision) {
  if (opening.epoch.number == 0) return;
  for (size_t i : {1, 0}) {  // the mark first, so that it is known with it
    follower_.Apply(opening.changes[i].key, opening.changes[i].record,
                    revision);
  }
  // Until the others know of it they follow nothing, and what is recorded now
  // is remembered here alone.
  net::Spawn(SpreadWord());
}

bool RecoveryCoordinator::Gathered(uint64_t revision) {
  // By its term: after a second loss the revision may be the same again, and
  // the leader would wait for ever for what it took to be under way.
  const uint64_t term = TermOf(catalog_.epoch(), revision);
  if (!on() || catalog_.epoch().number == 0 || catalog_.epoch().rebuilt ||
      gathered_ == term) {
    return true;
  }
  if (gathering_ != term && follower_.synced()) {
    gathering_ = term;
    net::Spawn(Gather(term));
  }
  return false;
}

net::Task<void> RecoveryCoordinator::Gather(uint64_t term) {
  // A controller that was not there before the loss does not know what it, in
  // its former life, may have accepted last.
  bool whole = whole_before_ && first_epoch_ < catalog_.epoch().number;
  // All ends first: what has ended is not revived by another's older memory.
  const bool told = co_await GatherFromAll(&RecoveryCoordinator::GatherEnds);
  catalog_.ApplyEnds();
  const bool witnessed =
      co_await GatherFromAll(&RecoveryCoordinator::GatherMemory);
  whole = whole && told && witnessed;
  if (gathering_ != term || TermOf(catalog_.epoch(), 0) > term) co_return;
  gathered_ = term;
  spdlog::info(
      "memory gathered: {} jobs, {} machines, {} ends; {} records are owed, {}",
      catalog_.jobs().size(), catalog_.machines().size(),
      catalog_.ended().size(), catalog_.owed().size(),
      whole ? "all controllers were there" : "something may be missing");
  net::Spawn(CompareEnded(term, whole));
}

net::Task<bool> RecoveryCoordinator::GatherFromAll(Gatherer what) {
  if (peers_.empty()) co_return true;
  auto ask = std::make_shared<Ask>(loop_);
  ask->left = peers_.size();
  bool whole = true;
  for (const auto& peer : peers_) {
    net::Spawn(GatherOne(ask, what, peer.get(), &whole));
  }
  // Each of them ends by itself, with the first page that does not come.
  while (ask->left > 0) co_await ask->done.Wait(settings_.workers.lease_s);
  co_return whole;
}

net::Task<void> RecoveryCoordinator::GatherOne(std::shared_ptr<Ask> ask,
                                               Gatherer what,
                                               clients::PeerClient* peer,
                                               bool* whole) {
  const bool told = co_await (this->*what)(peer);
  *whole = *whole && told;
  if (--ask->left == 0) ask->done.Set();
}

net::Task<bool> RecoveryCoordinator::GatherEnds(clients::PeerClient* peer) {
  const double timeout = kPageRatio * settings_.workers.lease_s;
  for (const TerminalState part :
       {TerminalState::kDone, TerminalState::kAborted}) {
    std::string bytes;
    for (bool more = true; more;) {
      PeerMessage ask;
      ask.kind = PeerKind::kEnded;
      ask.node = settings_.node;
      ask.done = static_cast<uint32_t>(part);
      ask.stamp = bytes.size();
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

net::Task<bool> RecoveryCoordinator::GatherMemory(clients::PeerClient* peer) {
  const double timeout = kPageRatio * settings_.workers.lease_s;
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
      // What stands in this epoch the state service tells.
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
    const StateResult page =
        co_await state_.List(std::string(keys::kTerminal), after);
    if (catalog_.epoch().number != epoch || gathered_ != term) co_return;
    if (!page.ok()) {
      co_await loop_.Sleep(kRoundPause * settings_.workers.report_s);
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
  std::vector<std::pair<std::string, TerminalState>> owed;
  catalog_.ended().ForEachMissing(there, [&](const auto& id, auto state) {
    // One that is still live here moves there by itself.
    if (catalog_.FindJob(id) == nullptr) owed.emplace_back(id, state);
  });
  // The leader may not have taken office yet.
  bool told = false;
  while (!told && gathered_ == term) {
    seams_.tell(term, [&](Controller& c) {
      told = true;
      c.OnEndsOwed(std::move(owed), whole);
    });
    co_await loop_.Sleep(kRoundPause * settings_.workers.report_s);
  }
}

// --- what is compared always

net::Task<void> RecoveryCoordinator::AuditLoop() {
  const double pause = settings_.workers.lease_s / tuning_.recovery_pages;
  std::string live;
  std::string ended;
  for (bool turn = false;; turn = !turn) {
    co_await loop_.Sleep(pause);
    // The leader has enough to do; its writes tell it as well.
    if (seams_.leading() ||
        verification_.state() != StoreVerificationState::kVerified ||
        !follower_.synced()) {
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
  const StateResult page =
      co_await state_.List(std::string(keys::kLive), *after);
  if (!page.ok()) co_return;
  std::unordered_set<std::string> listed;
  for (const clients::KeyValue& item : page.items) listed.insert(item.key);
  const std::string from = *after;
  const bool last = !page.more || page.items.empty();
  *after = last ? std::string() : page.items.back().key;
  // A deletion that the page shows has to be followed first.
  const double pause = kRoundPause * settings_.workers.report_s;
  for (int i = 0; i < 50 && catalog_.followed() < page.revision; ++i) {
    co_await loop_.Sleep(pause);
  }
  if (catalog_.followed() < page.revision ||
      verification_.state() != StoreVerificationState::kVerified) {
    co_return;
  }
  std::string missing;
  const auto compare = [&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      if (record.stamp == 0 || record.stamp > page.revision) continue;
      std::string key = keys::Of(prefix, name);
      if (key > from && (last || key <= *after) && !listed.contains(key)) {
        missing = std::move(key);
      }
    }
  };
  compare(catalog_.jobs(), keys::kJob);
  compare(catalog_.machines(), keys::kMachine);
  compare(catalog_.rentals(), keys::kRental);
  if (missing.empty()) missing = Revived();
  if (missing.empty()) co_return;
  if (missing.starts_with(keys::kJob)) {
    // It may have ended at this moment.
    const CheckSays says =
        co_await LookForJob(missing.substr(keys::kJob.size()));
    if (says != CheckSays::kGone) co_return;
  }
  Sign(LossSign::kRecordMissing, missing);
}

net::Task<void> RecoveryCoordinator::AuditEnded(std::string* after) {
  if (after->empty()) {
    present_ = {};
    known_ = catalog_.ended();
  }
  const StateResult page =
      co_await state_.List(std::string(keys::kTerminal), *after);
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
  const CheckSays says = co_await LookForJob(missing);
  if (says == CheckSays::kGone) {
    Sign(LossSign::kRecordMissing, keys::Of(keys::kJob, missing));
  }
}

// --- among the controllers

PeerMessage RecoveryCoordinator::Ledger() const {
  PeerMessage message;
  message.kind = PeerKind::kLedger;
  message.node = settings_.node;
  message.done = static_cast<uint32_t>(catalog_.epoch().number);
  message.text = catalog_.epoch().id;
  message.term = foreign_term_;
  if (!verification_.MaySeek()) {
    message.running = static_cast<uint32_t>(verification_.sign());
    message.job_id = sign_key_;
    // Found in its place is only what is as new: one that knows but the older
    // copy would stand by it, and the doubt of the one that remembers more
    // would never end.
    if (!sign_key_.empty()) {
      message.stamp = catalog_.VersionOf(sign_key_).stamp;
    }
  }
  return message;
}

net::Task<void> RecoveryCoordinator::AskOne(std::shared_ptr<Ask> ask,
                                            clients::PeerClient* peer,
                                            PeerMessage message, bool waited) {
  const auto answer = co_await peer->Ask(std::move(message),
                                         kAskRatio * settings_.workers.lease_s);
  if (answer.ok) {
    silent_.erase(peer->name());
    ask->answers.push_back(answer.message);
  } else {
    silent_.insert(peer->name());
  }
  if (waited && --ask->left == 0) ask->done.Set();
}

net::Task<std::vector<PeerMessage>> RecoveryCoordinator::AskAll(
    PeerMessage message, bool hurried) {
  if (peers_.empty()) co_return std::vector<PeerMessage>{};
  auto ask = std::make_shared<Ask>(loop_);
  std::vector<bool> waited;
  for (const auto& peer : peers_) {
    waited.push_back(!hurried || !silent_.contains(peer->name()));
    ask->left += waited.back() ? 1 : 0;
  }
  if (ask->left == 0) ask->done.Set();
  for (size_t i = 0; i < peers_.size(); ++i) {
    net::Spawn(AskOne(ask, peers_[i].get(), message, waited[i]));
  }
  co_await ask->done.Wait(1.5 * kAskRatio * settings_.workers.lease_s);
  co_return ask->answers;
}

bool RecoveryCoordinator::IsPeer(const std::string& node) const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& peer) { return peer->name() == node; });
}

bool RecoveryCoordinator::Takes(PeerKind kind) {
  return kind == PeerKind::kLedger || kind == PeerKind::kMemory ||
         kind == PeerKind::kEnded || kind == PeerKind::kKnown;
}

net::Task<void> RecoveryCoordinator::OnPeer(PeerMessage message,
                                            PeerMessage* reply) {
  if (!on()) co_return;
  switch (message.kind) {
    case PeerKind::kLedger: {
      const uint64_t number = catalog_.epoch().number;
      if (number > 0 && message.done >= number &&
          message.text != catalog_.epoch().id) {
        // Founded over a loss by one that had nothing to remember.
        other_number_ = message.done;
        other_id_ = message.text;
        Sign(LossSign::kOtherEpoch);
      }
      const auto sign = static_cast<LossSign>(message.running);
      if (sign == LossSign::kRecordMissing || sign == LossSign::kUnknownTask) {
        Sign(sign, message.job_id);
      }
      TermSeen(message.term);
      CheckSays says = CheckSays::kNoAnswer;
      if (number > 0) says = co_await Check();
      // One who doubts asks for more than a revision, which may have grown past
      // what was lost.
      if (says == CheckSays::kStands && sign != LossSign::kNone) {
        says = co_await LookForNewest();
      }
      // A newcomer knows nothing of what is missed, and may read as far by now:
      // it stands by what it finds.
      if (says == CheckSays::kStands && !message.job_id.empty()) {
        const bool found = co_await Finds(message.job_id, message.stamp);
        if (!found) says = CheckSays::kNoAnswer;
      }
      if (says == CheckSays::kGone) Sign(LossSign::kStepBack);
      FillLedger(says, reply);
      break;
    }
    case PeerKind::kKnown:
      if (catalog_.FindJob(message.job_id) != nullptr ||
          catalog_.FindTerminalState(message.job_id) != TerminalState::kNone) {
        reply->answer = PeerAnswer::kYes;
      }
      break;
    case PeerKind::kMemory:
      if (IsPeer(message.node)) FillMemory(message, reply);
      break;
    case PeerKind::kEnded:
      FillEnded(message, reply);
      break;
    default:
      break;
  }
}

void RecoveryCoordinator::FillLedger(CheckSays says, PeerMessage* reply) const {
  if (says == CheckSays::kStands) reply->answer = PeerAnswer::kYes;
  reply->done = static_cast<uint32_t>(catalog_.epoch().number);
  reply->running = static_cast<uint32_t>(says);
  reply->text = catalog_.epoch().id;
  reply->stamp = HighestTerm();
  reply->term = foreign_term_;
}

void RecoveryCoordinator::FillMemory(const PeerMessage& ask,
                                     PeerMessage* reply) {
  std::vector<std::string>& order = sending_[ask.node].memory_keys;
  const std::string& after = ask.job_id;
  if (after.empty() || order.empty()) {
    // In order once for all pages; what comes later stands in this epoch.
    order.clear();
    const auto collect = [&](const auto& map, std::string_view prefix) {
      for (const auto& [name, record] : map) {
        order.push_back(keys::Of(prefix, name));
      }
    };
    catalog_.EachKind(collect);
    std::sort(order.begin(), order.end());
  }
  std::vector<clients::Memory> page;
  size_t bytes = 0;
  for (auto key = std::upper_bound(order.begin(), order.end(), after);
       key != order.end(); ++key) {
    const Record known = catalog_.RecordOf(*key);
    if (std::holds_alternative<std::monostate>(known)) continue;
    std::string record = wire::EncodeRecord(known);
    bytes += key->size() + record.size() + 24;
    if (!page.empty() && bytes > clients::kMemoryPage) break;
    page.push_back({*key, catalog_.VersionOf(*key), std::move(record)});
  }
  if (page.empty()) order = {};
  reply->answer = PeerAnswer::kYes;
  reply->running = static_cast<uint32_t>(first_epoch_);
  reply->text = clients::EncodeMemory(page);
}

void RecoveryCoordinator::FillEnded(const PeerMessage& ask,
                                    PeerMessage* reply) {
  const auto part = static_cast<TerminalState>(ask.done);
  if (part != TerminalState::kDone && part != TerminalState::kAborted) return;
  if (!IsPeer(ask.node)) return;
  std::string& bytes = sending_[ask.node].ended_parts[ask.done];
  if (ask.stamp == 0) bytes = catalog_.ended().Encode(part);
  if (ask.stamp > bytes.size()) return;
  reply->answer = PeerAnswer::kYes;
  reply->text = bytes.substr(ask.stamp, clients::kMemoryPage);
  reply->running = ask.stamp + reply->text.size() < bytes.size() ? 1 : 0;
  if (reply->running == 0) bytes = {};
}

}  // namespace oxbow::app
