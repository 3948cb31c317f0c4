#include "app/election/epoch_election.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::Urgency;

}  // namespace

bool EpochElection::MayStillOpen(OpenedBy opened_by) const {
  // A leader whose right has run out meanwhile is one candidate among all.
  return opened_by == OpenedBy::kLeader
             ? context_.IsValidLeader()
             : context_.leadership.MayCampaign(context_.loop.Refresh());
}

// Under a right that is still valid, or with nobody who could lead. One
// transaction opens the epoch and takes its leader key, at the revisions that
// were read before, so of several controllers one opens it.
net::Task<void> EpochElection::OpenEpoch() {
  const OpenedBy opened_by =
      context_.IsValidLeader() ? OpenedBy::kLeader : OpenedBy::kCandidate;
  const std::optional<EpochOpening> opening =
      co_await context_.recovery.PrepareEpoch(opened_by);
  if (!opening || !MayStillOpen(opened_by)) co_return;
  const net::Time sent_at = context_.loop.Refresh();
  const StoreResult lease =
      co_await context_.store.CreateLease(context_.lease_seconds);
  if (!lease.ok()) co_return;
  std::vector<Mutation> mutations = opening->mutations;
  mutations.push_back({std::string(keys::kLeader),
                       context_.LeaderRecordFor(/*may_lead=*/true)});
  if (!context_.settings.store.FitsTransaction(mutations.size())) {
    const bool is_closed = co_await CloseEarlierEpochs(*opening, &mutations);
    if (!is_closed) {
      co_await context_.store.EndLease(lease.lease_id);
      co_return;
    }
    if (opened_by == OpenedBy::kLeader && !context_.IsValidLeader()) co_return;
  }
  if (opened_by == OpenedBy::kCandidate)
    context_.leadership.OnCampaignStarted(0);
  const auto revision =
      co_await key_writer_.Write(opening->preconditions, std::move(mutations),
                                 lease.lease_id, opening->leader_key_revision);
  if (!revision) {
    if (opened_by == OpenedBy::kCandidate)
      context_.leadership.OnCampaignFailed();
    co_await context_.store.EndLease(lease.lease_id);
    co_return;
  }
  OnOpened(*opening, opened_by, {*revision, lease.lease_id, sent_at});
}

// Where the store takes too few changes at once, the marks of the earlier
// epochs go first, under the same preconditions: they end with the new epoch
// anyway. The pointer belongs to the awaiting caller.
net::Task<bool> EpochElection::CloseEarlierEpochs(
    const EpochOpening& opening, std::vector<Mutation>* mutations) {
  std::vector<Mutation> deletions;
  const auto is_deletion = [](const Mutation& mutation) {
    return std::holds_alternative<std::monostate>(mutation.record);
  };
  std::copy_if(mutations->begin(), mutations->end(),
               std::back_inserter(deletions), is_deletion);
  std::erase_if(*mutations, is_deletion);
  const StoreResult closed = co_await context_.store.Write(
      opening.preconditions, deletions, Urgency::kLease);
  co_return closed.ok();
}

void EpochElection::OnOpened(const EpochOpening& opening, OpenedBy opened_by,
                             const WonKey& won) {
  // What is known is taken for pending writes from here on, by a core that
  // begins anew.
  context_.stop_leading();
  const bool led = opened_by == OpenedBy::kLeader;
  if (led && context_.IsValidLeader()) {
    context_.leadership.Rewon(won.revision, won.lease_id, won.sent_at);
  } else {
    if (led) {
      context_.leadership.BecomeFollower();
      context_.leadership.OnCampaignStarted(0);
    }
    context_.leadership.OnElected(won.revision, won.lease_id, won.sent_at);
  }
  on_key_written_();
  is_opening_ = true;
  context_.recovery.OnEpochOpened(opening, won.revision);
  is_opening_ = false;
  context_.watcher.Apply(std::string(keys::kLeader),
                         context_.LeaderRecordFor(/*may_lead=*/true),
                         won.revision);
  logging::Info("opened a store epoch and leads",
                {{"node", context_.settings.node},
                 {"epoch", opening.epoch.number},
                 {"revision", won.revision}});
}

}  // namespace oxbow::app
