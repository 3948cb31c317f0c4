#include "app/election/lease_renewer.h"

#include <utility>
#include <vector>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;

// Parts of the lease: the timeout of a renewal, the time from a renewal that
// was granted to the next, and from one that was not.
constexpr double kTimeoutsPerLease = 3;
constexpr double kRenewalsPerLease = 5;
constexpr double kRetriesPerLease = 20;

}  // namespace

void LeaseRenewer::RenewIfDue(net::Time now) {
  if (!is_renewing_ && now >= next_renewal_at_) net::Spawn(Renew());
}

net::Task<void> LeaseRenewer::Renew() {
  is_renewing_ = true;
  const net::Time sent_at = context_.loop.Refresh();
  const uint64_t lease_id = context_.leadership.lease_id();
  const StoreResult result = co_await context_.store.Renew(
      lease_id, context_.lease_seconds / kTimeoutsPerLease);
  if (result.status == StoreStatus::kNotFound &&
      context_.recovery.IsEnabled() && context_.IsValidLeader() &&
      lease_id == context_.leadership.lease_id()) {
    const bool is_retaken = co_await Retake();
    if (is_retaken) {
      is_renewing_ = false;
      co_return;
    }
  }
  is_renewing_ = false;
  if (lease_id != context_.leadership.lease_id()) co_return;
  OnRenewed(result, lease_id, sent_at);
}

void LeaseRenewer::OnRenewed(const StoreResult& result, uint64_t lease_id,
                             net::Time sent_at) {
  if (result.ok()) {
    context_.leadership.RenewGranted(sent_at);
    next_renewal_at_ = sent_at + context_.lease_seconds / kRenewalsPerLease;
    return;
  }
  const bool is_missing = result.status == StoreStatus::kNotFound;
  // The right is still valid then, by what was granted before or by promises; a
  // new lease comes with the new epoch.
  const bool is_lost_with_epoch = is_missing && context_.recovery.IsEnabled() &&
                                  context_.IsValidLeader() &&
                                  IsLeaseLost(lease_id);
  if (is_missing && !is_lost_with_epoch) {
    on_lease_ended_();
    return;
  }
  next_renewal_at_ =
      context_.loop.Now() + context_.lease_seconds / kRetriesPerLease;
}

// A lease never ends early, so one that has is lost. If the key is still there
// as this leader wrote it, nobody else can have taken it.
net::Task<bool> LeaseRenewer::Retake() {
  const std::string key(keys::kLeader);
  const LeaderRecord record = context_.LeaderRecordFor(/*may_lead=*/true);
  const net::Time sent_at = context_.loop.Refresh();
  const StoreResult lease =
      co_await context_.store.CreateLease(context_.lease_seconds);
  if (!lease.ok()) co_return false;
  std::vector<Precondition> preconditions{
      {key, context_.leadership.revision()}};
  context_.recovery.AddEpochPrecondition(&preconditions);
  std::vector<Mutation> mutations{{key, record}};
  const auto revision = co_await key_writer_.Write(
      std::move(preconditions), std::move(mutations), lease.lease_id,
      context_.leadership.revision());
  if (!revision || !context_.IsValidLeader()) {
    co_await context_.store.EndLease(lease.lease_id);
    co_return false;
  }
  context_.stop_leading();
  context_.leadership.Rewon(*revision, lease.lease_id, sent_at);
  OnKeyWritten();
  context_.watcher.Apply(key, record, *revision);
  logging::Info("lost its lease and wrote the leader key again",
                {{"node", context_.settings.node}, {"revision", *revision}});
  co_return true;
}

// The key is not there as this leader wrote it: perhaps lost with all else.
bool LeaseRenewer::IsLeaseLost(uint64_t lease_id) {
  if (reported_lease_ != lease_id) {
    reported_lease_ = lease_id;
    context_.recovery.ReportDataLoss(DataLossIndication::kEpochMissing);
  }
  return !context_.recovery.verification().MayCampaign();
}

}  // namespace oxbow::app
