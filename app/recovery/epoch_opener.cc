#include "app/recovery/epoch_opener.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace oxbow::app {
namespace {

using clients::PeerMessage;
using clients::StoreResult;
using clients::Urgency;

std::string NewEpochId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

// The epoch that was read; null if the store holds none.
const StoreEpoch* EpochIn(const StoreResult& read) {
  return read.ok() ? std::get_if<StoreEpoch>(&read.items[0].record) : nullptr;
}

uint64_t RevisionIn(const StoreResult& read) {
  return read.ok() ? read.items[0].mod_revision : 0;
}

std::string MarkKey(const StoreEpoch& epoch) {
  return keys::Of(keys::kEpochMark, epoch.id);
}

std::vector<Mutation> MutationsThatOpen(const StoreEpoch& epoch) {
  return {{std::string(keys::kEpoch), epoch},
          {MarkKey(epoch), EpochMark{epoch.number, 0}}};
}

}  // namespace

EpochOpening EpochOpener::InitialEpoch() const {
  EpochOpening opening;
  if (!context_.IsEnabled() || context_.catalog.epoch().number > 0) {
    return opening;
  }
  opening.epoch.number = 1;
  opening.epoch.id = NewEpochId();
  opening.epoch.opened_wall = net::WallNow();
  opening.preconditions = {{std::string(keys::kEpoch), 0}};
  opening.mutations = MutationsThatOpen(opening.epoch);
  return opening;
}

net::Task<std::optional<EpochOpening>> EpochOpener::Prepare(
    OpenedBy opened_by) {
  const uint64_t known_number = context_.catalog.epoch().number;
  const std::vector<PeerMessage> answers = co_await detector_.AskPeers();
  // The store is read after the other controllers have answered. Their answers
  // are then older than the revisions that become the preconditions of the
  // opening.
  const StoreResult epoch =
      co_await context_.store.Get(std::string(keys::kEpoch), Urgency::kLease);
  const StoreResult leader =
      co_await context_.store.Get(std::string(keys::kLeader), Urgency::kLease);
  if (!IsAnsweredOrSteppedBack(epoch) || !IsAnsweredOrSteppedBack(leader) ||
      detector_.verification().state() != StoreVerificationState::kLost) {
    co_return std::nullopt;
  }
  const StoreEpoch* stored = EpochIn(epoch);
  if (stored != nullptr && stored->number > known_number) {
    co_await inspector_.CheckEpoch();  // takes it into the catalog
    co_return std::nullopt;
  }
  // The store may hold the leader key of a controller that has won it since the
  // data loss.
  if (opened_by == OpenedBy::kCandidate && leader.ok()) {
    const bool is_orphaned =
        co_await leader_key_monitor_.IsOrphaned(leader.items[0]);
    if (!is_orphaned) co_return std::nullopt;
  }
  HighestSeen highest = HighestSeenBy(answers);
  highest.epoch_number = std::max(
      {highest.epoch_number, known_number, stored ? stored->number : 0});
  EpochOpening opening = Replace(highest, epoch, leader);
  // From here on lower revisions of the store are expected.
  detector_.RaiseForeignTerm(highest.term);
  context_.store.Restart(0);
  co_return opening;
}

EpochOpener::HighestSeen EpochOpener::HighestSeenBy(
    const std::vector<PeerMessage>& answers) const {
  HighestSeen highest;
  highest.term = std::max(context_.HighestTerm(), detector_.foreign_term());
  for (const PeerMessage& answer : answers) {
    highest.epoch_number =
        std::max<uint64_t>(highest.epoch_number, answer.done);
    highest.term = std::max({highest.term, answer.mod_revision, answer.term});
  }
  return highest;
}

EpochOpening EpochOpener::Replace(const HighestSeen& highest,
                                  const StoreResult& epoch,
                                  const StoreResult& leader) const {
  EpochOpening opening;
  opening.epoch.number = highest.epoch_number + 1;
  opening.epoch.id = NewEpochId();
  opening.epoch.base = NextTermBase(highest.term, net::WallNow());
  opening.epoch.whole = false;
  opening.epoch.rebuilt = false;
  opening.epoch.opened_wall = net::WallNow();
  opening.leader_key_revision = RevisionIn(leader);
  opening.preconditions = {
      {std::string(keys::kEpoch), RevisionIn(epoch)},
      {std::string(keys::kLeader), opening.leader_key_revision}};
  opening.mutations = MutationsThatOpen(opening.epoch);
  // Marks of earlier epochs are deleted: a mark that came back with an older
  // copy of the store would let delayed writes of its epoch succeed.
  const StoreEpoch* stored = EpochIn(epoch);
  if (stored != nullptr) opening.mutations.push_back({MarkKey(*stored), {}});
  const StoreEpoch& known = context_.catalog.epoch();
  if (known.number > 0 && (stored == nullptr || stored->id != known.id)) {
    opening.mutations.push_back({MarkKey(known), {}});
  }
  return opening;
}

void EpochOpener::OnOpened(const EpochOpening& opening, uint64_t revision) {
  const StoreEpoch& epoch = opening.epoch;
  if (epoch.number == 0) return;
  // The mark comes first, so that it is known when the epoch becomes known.
  context_.watcher.Apply(MarkKey(epoch), EpochMark{epoch.number, 0}, revision);
  context_.watcher.Apply(std::string(keys::kEpoch), epoch, revision);
  // Until the other controllers know of the epoch, their watches deliver
  // nothing, so records that are written now are retained by this controller
  // only.
  net::Spawn(detector_.NotifyPeers());
}

}  // namespace oxbow::app
