#include "app/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

// Shares of the workers' lease.
constexpr double kPromiseRatio = 0.6;
constexpr double kPromiseWaitRatio = 0.15;
// Of the leader's lease: how long a free key is left to those who may lead by
// one who could only keep it.
constexpr double kLeadersFirst = 0.1;

std::vector<std::string> PeerNames(const Settings& settings) {
  std::vector<std::string> names;
  for (const PeerSettings& peer : settings.peers) names.push_back(peer.name);
  return names;
}

}  // namespace

LeaderElection::LeaderElection(
    net::Loop& loop, const Settings& settings, const Tuning& tuning,
    clients::KeyValueStoreClient& state, const Catalog& catalog,
    StoreWatcher& watcher,
    const LeaderHealthCoordinator& leader_health_coordinator,
    const LeaderHealthCoordinator::Peers& peers, RecoveryCoordinator& recovery,
    std::string incarnation, Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      lease_seconds_(tuning.leader_lease_ratio *
                     settings.workers.lease_seconds),
      store_(state),
      catalog_(catalog),
      watcher_(watcher),
      leader_health_coordinator_(leader_health_coordinator),
      peers_(peers),
      recovery_(recovery),
      callbacks_(std::move(callbacks)),
      leadership_(PeerNames(settings), lease_seconds_,
                  kPromiseRatio * settings.workers.lease_seconds,
                  tuning.delegation_ratio * settings.workers.lease_seconds,
                  loop.Now()),
      met_from_(loop.Now()) {}

void LeaderElection::Start() {
  net::Spawn(MeetPeers());
  net::Spawn(Run());
}

net::Task<bool> LeaderElection::Promise() {
  co_await ProbeState();
  // Data that is lost is as good as no answer: nobody can lead by it.
  const bool fails = store_.Failing() || !recovery_.verification().MaySeek();
  co_return leadership_.AskedToPromise(fails, loop_.Refresh());
}

net::Task<bool> LeaderElection::PromiseToDelegate(const PeerMessage& ask) {
  const std::string node = ask.node;
  const std::string process_incarnation = ask.text;
  const uint64_t number = ask.mod_revision;
  co_await ProbeState();
  const bool fails = store_.Failing() || !recovery_.verification().MaySeek();
  co_return leadership_.AskedToDelegate(node, process_incarnation, number,
                                        fails, loop_.Refresh());
}

bool LeaderElection::MayRenew(uint64_t term) {
  const net::Time now = loop_.Refresh();
  if (leadership_.state() == LeaderState::kRenewing) {
    // A worker that knows a later leader is not this one's to keep.
    return term < TermOf(catalog_.epoch(), leadership_.revision()) &&
           leadership_.MayRenew(now);
  }
  constexpr double kWanted = 2;  // reports
  wanted_until_ = now + kWanted * settings_.workers.heartbeat_interval_seconds;
  return leadership_.MayRenew(now);
}

void LeaderElection::AskForDelegation(net::Time now) {
  if (leadership_.delegation_seconds() <= 0) return;
  if (!store_.Failing()) {
    const uint64_t number = leadership_.DelegationOver(now);
    if (number == 0) return;
    for (const auto& peer : peers_) {
      PeerMessage over;
      over.kind = PeerKind::kDelegationOver;
      over.node = settings_.node;
      over.text = incarnation_;
      over.mod_revision = number;
      net::Spawn(peer->Notify(std::move(over)));
    }
    return;
  }
  if (now >= wanted_until_ || now < next_delegation_) return;
  constexpr double kAgain = 0.25;
  next_delegation_ = now + kAgain * leadership_.delegation_seconds();
  const uint64_t number = leadership_.DelegationAsked(now);
  for (const auto& peer : peers_) {
    net::Spawn(AskToDelegate(peer.get(), number, now));
  }
}

net::Task<void> LeaderElection::AskToDelegate(clients::PeerClient* peer,
                                              uint64_t number, net::Time sent) {
  PeerMessage ask;
  ask.kind = PeerKind::kDelegate;
  ask.node = settings_.node;
  ask.text = incarnation_;
  ask.mod_revision = number;
  const auto answer = co_await peer->Ask(ask, leadership_.delegation_seconds());
  if (answer.ok && answer.message.answer == PeerAnswer::kYes) {
    leadership_.DelegationGranted(peer->name(), sent);
  }
}

std::string LeaderElection::LeaderName() const {
  return catalog_.leader().mod_revision > 0 ? catalog_.leader().node
                                            : std::string();
}

clients::PeerClient* LeaderElection::LeaderPeer() {
  const std::string name = LeaderName();
  for (const auto& peer : peers_) {
    if (peer->name() == name) return peer.get();
  }
  return nullptr;
}

// A starting controller asks every other one whether it leads: if none does,
// no promise of its former life can be outstanding. After a loss the same
// question stands for the key: who leads by it can't be read any more.
net::Task<void> LeaderElection::MeetPeers() {
  if (meeting_) co_return;
  meeting_ = true;
  const double pause = 0.2 * settings_.workers.heartbeat_interval_seconds;
  while (loop_.Now() < met_from_ + leadership_.promise_seconds()) {
    for (const auto& peer : peers_) {
      PeerMessage hello;
      hello.kind = PeerKind::kHello;
      hello.node = settings_.node;
      const auto answer = co_await peer->Ask(hello, pause);
      if (answer.ok) leadership_.PeerIs(peer->name(), answer.message.role);
    }
    met_once_ = true;
    co_await loop_.Sleep(pause);
  }
  meeting_ = false;
}

void LeaderElection::StateLost() {
  if (Valid()) return;  // nobody else can lead; it opens the epoch itself
  if (leadership_.state() == LeaderState::kRenewing) {
    StepDown("the state service has lost data");
  }
  met_from_ = loop_.Now();
  leadership_.Forget(met_from_);
  net::Spawn(MeetPeers());
}

void LeaderElection::OtherEpoch() {
  if (!reopening_) StepDown("another controller has opened a new epoch");
}

net::Task<void> LeaderElection::Run() {
  std::mt19937 random(std::random_device{}());
  for (;;) {
    const net::Time now = loop_.Refresh();
    const bool valid = leadership_.Valid(now);
    key_free_since_ =
        LeaderName().empty() ? std::min(key_free_since_, now) : 1e18;
    // Whoever asked first, this loop or a request in between, has noticed the
    // lapse; the stepping down is done here in either case. A lapsed leader
    // that was not retired could never lead again.
    if (leadership_.state() == LeaderState::kExpired) {
      StepDown("its right to lead has run out");
    }
    if (recovery_.verification().state() == StoreVerificationState::kLost &&
        (valid || leadership_.MaySeek(now))) {
      co_await Reopen();
      co_await loop_.Sleep(lease_seconds_ / 50);
      continue;
    }
    if (valid) {
      if (!callbacks_.is_leading() && watcher_.synced() &&
          catalog_.watched_revision() >= leadership_.revision() &&
          recovery_.HasCollected(leadership_.revision())) {
        const uint64_t revision = leadership_.revision();
        auto delegates = co_await ReadDelegates();
        if (Valid() && leadership_.revision() == revision) {
          callbacks_.start_leading(revision, delegates);
        }
      }
      if (!renewing_ && now >= next_renewal_) net::Spawn(Renew());
      if (leadership_.WantsPromises(now) && now >= next_promise_) {
        next_promise_ = now + lease_seconds_ / 5;
        for (const auto& peer : peers_) net::Spawn(AskPromise(peer.get()));
      }
    } else if (leadership_.state() == LeaderState::kRenewing) {
      if (leadership_.Promote(now)) {
        spdlog::info("{} leads, nobody rests on a promise", settings_.node);
        continue;
      }
      if (!renewing_ && now >= next_renewal_) net::Spawn(Renew());
    } else if (watcher_.synced() && recovery_.MaySeek() &&
               (leadership_.MaySeek(now) || leadership_.MayTakeKey(now))) {
      const bool proven = leadership_.MaySeek(now);
      const LeaderRecord& leader = catalog_.leader();
      // The key names this controller's former life: it is certainly dead, so
      // nobody has to wait for its lease.
      const bool mine = leader.mod_revision > 0 &&
                        leader.node == settings_.node &&
                        leader.incarnation != incarnation_;
      // A key whose lease is lost would stand for ever.
      const bool orphan = leader.mod_revision > 0 &&
                          leader.mod_revision == orphaned_key_mod_revision_;
      const double free_for = now - key_free_since_;
      const bool own = mine && !leader.renews_only && met_once_ &&
                       leadership_.delegation_seconds() > 0 &&
                       leadership_.OwnProven(now);
      const bool first = proven || free_for >= kLeadersFirst * lease_seconds_ ||
                         (mine && met_once_);
      if ((first && mine) || (proven && orphan) ||
          (first && leader.mod_revision == 0 &&
           leader_health_coordinator_.MaySeek(free_for))) {
        co_await Seek(proven || own);
        if (leadership_.state() == LeaderState::kFollower) {
          std::uniform_real_distribution<double> jitter(0.02, 0.1);
          co_await loop_.Sleep(lease_seconds_ * jitter(random));
        }
        continue;
      }
    }
    if (leadership_.state() == LeaderState::kFollower) AskForDelegation(now);
    co_await loop_.Sleep(lease_seconds_ / 50);
  }
}

net::Task<void> LeaderElection::Seek(bool leads) {
  leadership_.SeekStarted(catalog_.leader().mod_revision);
  const net::Time sent = loop_.Refresh();
  StoreResult granted = co_await store_.CreateLease(lease_seconds_);
  if (!granted.ok()) {
    leadership_.SeekFailed();
    co_return;
  }
  const std::string key(keys::kLeader);
  const LeaderRecord record{settings_.node, incarnation_, 0, !leads};
  const RecoveryCoordinator::Opening founding = recovery_.InitialEpoch();
  std::vector<Precondition> preconditions = founding.preconditions;
  if (preconditions.empty()) recovery_.AddGuard(&preconditions);
  preconditions.push_back({key, leadership_.seen()});
  std::vector<Mutation> mutations = founding.mutations;
  mutations.push_back({key, record});
  const StoreResult won =
      co_await Take(std::move(preconditions), std::move(mutations),
                    granted.lease_id, leadership_.seen());
  if (!won.ok()) {
    leadership_.SeekFailed();
    recovery_.GuardFailed(won.failed);
    // Ended, so that the write, should it still arrive, is refused.
    co_await store_.EndLease(granted.lease_id);
    co_return;
  }
  leadership_.Won(won.revision, granted.lease_id, sent, leads);
  next_renewal_ = loop_.Now();
  recovery_.Opened(founding, won.revision);
  watcher_.Apply(key, record, won.revision);
  if (leads) {
    spdlog::info("{} won leadership, revision {}", settings_.node,
                 won.revision);
  } else {
    spdlog::info("{} keeps the workers until it may lead, revision {}",
                 settings_.node, won.revision);
  }
}

// A lease never ends early, so one that has is lost. If the key is still there
// as this leader wrote it, nobody else can have taken it.
net::Task<bool> LeaderElection::Retake() {
  const std::string key(keys::kLeader);
  const LeaderRecord record{settings_.node, incarnation_, 0, false};
  const net::Time sent = loop_.Refresh();
  const StoreResult granted = co_await store_.CreateLease(lease_seconds_);
  if (!granted.ok()) co_return false;
  std::vector<Precondition> preconditions{{key, leadership_.revision()}};
  recovery_.AddGuard(&preconditions);
  std::vector<Mutation> mutations{{key, record}};
  const StoreResult won =
      co_await Take(std::move(preconditions), std::move(mutations),
                    granted.lease_id, leadership_.revision());
  if (!won.ok() || !Valid()) {
    co_await store_.EndLease(granted.lease_id);
    co_return false;
  }
  callbacks_.stop_leading();
  leadership_.Rewon(won.revision, granted.lease_id, sent);
  next_renewal_ = loop_.Now();
  watcher_.Apply(key, record, won.revision);
  spdlog::info("{} has lost its lease and taken the key again, revision {}",
               settings_.node, won.revision);
  co_return true;
}

// Not there as this leader wrote it: perhaps lost with all else.
bool LeaderElection::LeaseLost(uint64_t lease_id) {
  if (lease_missing_ != lease_id) {
    lease_missing_ = lease_id;
    recovery_.ReportDataLoss(DataLossIndication::kEpochMissing);
  }
  return !recovery_.verification().MaySeek();
}

net::Task<StoreResult> LeaderElection::Take(
    std::vector<Precondition> preconditions, std::vector<Mutation> mutations,
    uint64_t lease_id, uint64_t before) {
  StoreResult won =
      co_await store_.Write(std::move(preconditions), std::move(mutations),
                            Urgency::kLease, lease_id);
  if (won.status != StoreStatus::kUnknown) co_return won;
  // It may have been written: look before saying anything.
  won = co_await store_.Get(std::string(keys::kLeader), Urgency::kLease);
  const auto* seen = won.items.empty()
                         ? nullptr
                         : std::get_if<LeaderRecord>(&won.items[0].record);
  if (!won.ok() || seen == nullptr || seen->node != settings_.node ||
      seen->incarnation != incarnation_ ||
      won.items[0].mod_revision == before) {
    won.status = StoreStatus::kConflict;
  } else {
    won.revision = won.items[0].mod_revision;
  }
  co_return won;
}

// Where the key-value store takes too few changes at once, the marks of the
// epochs before go first, under the same conditions: they end with the new one
// anyway.
net::Task<bool> LeaderElection::CloseEpochs(
    const RecoveryCoordinator::Opening& opening,
    std::vector<Mutation>* mutations) {
  std::vector<Mutation> marks;
  const auto is_mark = [](const Mutation& change) {
    return std::holds_alternative<std::monostate>(change.record);
  };
  std::copy_if(mutations->begin(), mutations->end(), std::back_inserter(marks),
               is_mark);
  std::erase_if(*mutations, is_mark);
  const StoreResult closed =
      co_await store_.Write(opening.preconditions, marks, Urgency::kLease);
  co_return closed.ok();
}

// Under a right that still stands, or with nobody who could lead. One
// transaction opens the epoch and takes its leader key, under the stamps that
// were read before, so of several one opens it.
net::Task<void> LeaderElection::Reopen() {
  RecoveryCoordinator::Opening opening;
  const bool led = Valid();
  const bool prepared = co_await recovery_.Prepare(&opening, led);
  if (!prepared) co_return;
  // One whose right has run out meanwhile is one among all.
  if (led && !Valid()) co_return;
  if (!led && !leadership_.MaySeek(loop_.Refresh())) co_return;
  const net::Time sent = loop_.Refresh();
  const StoreResult granted = co_await store_.CreateLease(lease_seconds_);
  if (!granted.ok()) co_return;
  const std::string key(keys::kLeader);
  const LeaderRecord record{settings_.node, incarnation_, 0, false};
  std::vector<Mutation> mutations = opening.mutations;
  mutations.push_back({key, record});
  if (!settings_.store.FitsTransaction(mutations.size())) {
    const bool closed = co_await CloseEpochs(opening, &mutations);
    if (!closed) {
      co_await store_.EndLease(granted.lease_id);
      co_return;
    }
    if (led && !Valid()) co_return;
  }
  if (!led) leadership_.SeekStarted(0);
  const StoreResult won =
      co_await Take(opening.preconditions, std::move(mutations),
                    granted.lease_id, opening.preconditions[1].mod_revision);
  if (!won.ok()) {
    if (!led) leadership_.SeekFailed();
    co_await store_.EndLease(granted.lease_id);
    co_return;
  }
  // What is known is taken for what is owed from here on, under a core that
  // begins anew.
  callbacks_.stop_leading();
  if (led && Valid()) {
    leadership_.Rewon(won.revision, granted.lease_id, sent);
  } else {
    if (led) {
      leadership_.Retire();
      leadership_.SeekStarted(0);
    }
    leadership_.Won(won.revision, granted.lease_id, sent);
  }
  next_renewal_ = loop_.Now();
  reopening_ = true;
  recovery_.Opened(opening, won.revision);
  reopening_ = false;
  watcher_.Apply(key, record, won.revision);
  spdlog::info("{} opened epoch {} and leads, revision {}", settings_.node,
               opening.epoch.number, won.revision);
}

// A service that has lost data may have lost these too, and nobody would tell.
net::Task<std::optional<std::set<std::string>>>
LeaderElection::ReadDelegates() {
  const StoreResult list = co_await store_.List(std::string(keys::kZone), "");
  if (!list.ok() || list.more || catalog_.epoch().number > 1) {
    co_return std::nullopt;
  }
  std::set<std::string> delegates;
  for (const clients::KeyValue& item : list.items) {
    delegates.insert(item.key.substr(keys::kZone.size()));
  }
  co_return delegates;
}

net::Task<void> LeaderElection::Renew() {
  renewing_ = true;
  const net::Time sent = loop_.Refresh();
  const uint64_t lease_id = leadership_.lease_id();
  const StoreResult result =
      co_await store_.Renew(lease_id, lease_seconds_ / 3);
  if (result.status == StoreStatus::kNotFound && recovery_.on() && Valid() &&
      lease_id == leadership_.lease_id()) {
    const bool retaken = co_await Retake();
    if (retaken) {
      renewing_ = false;
      co_return;
    }
  }
  renewing_ = false;
  if (lease_id != leadership_.lease_id()) co_return;
  if (result.ok()) {
    leadership_.RenewGranted(sent);
    next_renewal_ = sent + lease_seconds_ / 5;
  } else if (result.status == StoreStatus::kNotFound && recovery_.on() &&
             Valid() && LeaseLost(lease_id)) {
    // The right stands, by what was granted before or by promises; a new lease
    // comes with the new epoch.
    next_renewal_ = loop_.Now() + lease_seconds_ / 20;
  } else if (result.status == StoreStatus::kNotFound) {
    StepDown("its lease has ended");
  } else {
    next_renewal_ = loop_.Now() + lease_seconds_ / 20;
  }
}

net::Task<void> LeaderElection::AskPromise(clients::PeerClient* peer) {
  PeerMessage ask;
  ask.kind = PeerKind::kPromise;
  ask.node = settings_.node;
  const uint64_t revision = leadership_.revision();
  const net::Time sent = loop_.Refresh();
  const auto answer = co_await peer->Ask(
      ask, kPromiseWaitRatio * settings_.workers.lease_seconds);
  if (answer.ok && answer.message.answer == PeerAnswer::kYes &&
      leadership_.revision() == revision) {
    leadership_.PromiseGranted(peer->name(), sent);
  }
}

// Before a promise: does the key-value store answer this controller right now?
net::Task<void> LeaderElection::ProbeState() {
  if (probing_) co_return;
  probing_ = true;
  co_await store_.Get(std::string(keys::kLeader), Urgency::kLease);
  probing_ = false;
}

bool LeaderElection::MayLead() {
  return watcher_.synced() && !store_.Failing() && !watcher_.types().empty() &&
         leadership_.MaySeek(loop_.Refresh());
}

void LeaderElection::StepDown(const std::string& why) {
  if (leadership_.state() == LeaderState::kFollower) return;
  spdlog::info("{} no longer leads: {}", settings_.node, why);
  leadership_.Lost();
  leadership_.Retire();
  callbacks_.stop_leading();
  net::Spawn(
      [](LeaderElection* self, uint64_t lease_seconds_) -> net::Task<void> {
        co_await self->store_.EndLease(lease_seconds_);
      }(this, leadership_.lease_id()));
}

}  // namespace oxbow::app
