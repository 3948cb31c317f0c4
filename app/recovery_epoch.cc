// A new store epoch: whether the leader key of the old one is nobody's, and how
// one is opened.

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "app/recovery_limits.h"

namespace oxbow::app {
namespace {

using clients::PeerKind;
using clients::PeerMessage;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

std::string NewId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

}  // namespace

// --- a new epoch

RecoveryCoordinator::Opening RecoveryCoordinator::InitialEpoch() const {
  Opening opening;
  if (!on() || catalog_.epoch().number > 0) return opening;
  opening.epoch.number = 1;
  opening.epoch.id = NewId();
  opening.epoch.opened_wall = net::WallNow();
  opening.preconditions = {{std::string(keys::kEpoch), 0}};
  opening.mutations = {
      {std::string(keys::kEpoch), opening.epoch},
      {keys::Of(keys::kEpochMark, opening.epoch.id), EpochMark{1, 0}}};
  return opening;
}

net::Task<bool> RecoveryCoordinator::Orphaned(const clients::KeyValue& leader) {
  // Asking lengthens a lease that is there, so each controller asks once, when
  // the lease of one that is gone must have ended.
  const double ttl =
      tuning_.leader_lease_ratio * settings_.workers.lease_seconds;
  constexpr double kLeaseMargin = 1.2;
  constexpr double kAgain = 10;  // worker leases
  const uint64_t lease = leader.lease;
  const net::Time now = loop_.Now();
  if (leader.mod_revision != leader_mod_revision_ ||
      now > leader_since_ + kAgain * settings_.workers.lease_seconds) {
    leader_mod_revision_ = leader.mod_revision;
    leader_since_ = now;
    leader_probed_ = false;
  }
  if (leader_probed_ || now < leader_since_ + kLeaseMargin * ttl) {
    co_return false;
  }
  leader_probed_ = true;
  const StoreResult there = co_await store_.Renew(lease, ttl / 3);
  if (there.status == StoreStatus::kNotFound) {
    leader_probed_ = false;  // as surely the next time
    co_return true;
  }
  if (!there.ok()) leader_probed_ = false;
  co_return false;
}

net::Task<void> RecoveryCoordinator::WatchLeader() {
  const LeaderRecord leader = catalog_.leader();
  clients::PeerClient* named = nullptr;
  for (const auto& peer : peers_) {
    if (peer->name() == leader.node) named = peer.get();
  }
  if (named == nullptr || leader.mod_revision == 0) {
    leader_heard_ = loop_.Now();
    co_return;
  }
  PeerMessage hello;
  hello.kind = PeerKind::kHello;
  hello.node = settings_.node;
  const double ttl =
      tuning_.leader_lease_ratio * settings_.workers.lease_seconds;
  const auto answer = co_await named->Ask(std::move(hello), ttl / 3);
  const LeaderRole role = answer.message.role;
  if (answer.ok &&
      (role == LeaderRole::kLeads || role == LeaderRole::kRenewsByKey)) {
    leader_heard_ = loop_.Now();
  }
  if (loop_.Now() < leader_heard_ + ttl) co_return;
  const StoreResult key =
      co_await store_.Get(std::string(keys::kLeader), Urgency::kLease);
  if (!key.ok() || key.items[0].mod_revision != leader.mod_revision) co_return;
  const bool orphaned = co_await Orphaned(key.items[0]);
  if (orphaned) callbacks_.orphaned(leader.mod_revision);
}

net::Task<bool> RecoveryCoordinator::Prepare(Opening* out, bool led) {
  const uint64_t known = catalog_.epoch().number;
  const std::string epoch_key(keys::kEpoch);
  const std::string leader_key(keys::kLeader);
  const std::vector<PeerMessage> answers = co_await AskAll();
  // What stands there by now is replaced under the stamps that are read here,
  // after everybody has said how far they have seen.
  const StoreResult epoch = co_await store_.Get(epoch_key, Urgency::kLease);
  const StoreResult leader = co_await store_.Get(leader_key, Urgency::kLease);
  const auto answered = [](const StoreResult& r) {
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
    term = std::max({term, answer.mod_revision, answer.term});
  }
  out->epoch = {
      number + 1,        NewId(),        NextBase(term, net::WallNow()),
      /*whole=*/false,
      /*rebuilt=*/false, net::WallNow(), 0};
  out->preconditions = {
      {epoch_key, epoch.ok() ? epoch.items[0].mod_revision : 0},
      {leader_key, leader.ok() ? leader.items[0].mod_revision : 0}};
  out->mutations = {{epoch_key, out->epoch},
                    {keys::Of(keys::kEpochMark, out->epoch.id),
                     EpochMark{out->epoch.number, 0}}};
  // From here on lower revisions are what is expected.
  foreign_term_ = term;
  store_.Restart(0);
  // The mark that an older copy has brought back would let late writes in.
  if (there != nullptr) {
    out->mutations.push_back({keys::Of(keys::kEpochMark, there->id), {}});
  }
  if (catalog_.epoch().number > 0 &&
      (there == nullptr || there->id != catalog_.epoch().id)) {
    out->mutations.push_back(
        {keys::Of(keys::kEpochMark, catalog_.epoch().id), {}});
  }
  co_return true;
}

void RecoveryCoordinator::Opened(const Opening& opening, uint64_t revision) {
  if (opening.epoch.number == 0) return;
  for (size_t i : {1, 0}) {  // the mark first, so that it is known with it
    watcher_.Apply(opening.mutations[i].key, opening.mutations[i].record,
                   revision);
  }
  // Until the others know of it they follow nothing, and what is recorded now
  // is remembered here alone.
  net::Spawn(SpreadWord());
}

}  // namespace oxbow::app
