#include "app/recovery/epoch_history.h"

#include <algorithm>

namespace oxbow::app {
namespace {

// After a data loss in which accepted jobs may have been lost, an unknown job
// id is denied again only some time after the reconciliation. In worker leases:
// after kReportedLeases every machine has sent a heartbeat to the leader, or
// its tasks have ended. A controller or machine that has not been in contact
// until then is waited for up to kRetentionLeases.
constexpr double kReportedLeases = 2;
constexpr double kRetentionLeases = 7;
// The minimum of kReportedLeases when kMaxWaitSeconds shortens it: after this
// time a worker lease that was renewed just before the reconciliation was
// complete has ended.
constexpr double kMinReportedLeases = 1.1;
// The maximum wait from the opening of the epoch, also if leases are long.
// Users expect a definite status within 75 s, and ask every few seconds.
constexpr double kMaxWaitSeconds = 65;

}  // namespace

EpochHistory::Change EpochHistory::OnEpochObserved(const StoreEpoch& epoch,
                                                   Time now, double wall_now) {
  if (epoch.number == last_epoch_) return Change::kNone;
  const bool is_first = last_epoch_ == 0;
  last_epoch_ = epoch.number;
  last_epoch_since_ = now;
  previous_epoch_complete_ = present_epoch_complete_;
  if (!is_first) return Change::kLaterEpoch;
  first_epoch_ = epoch.number;
  if (wall_now - epoch.opened_wall < lease_seconds_)
    new_deployment_since_ = now;
  return Change::kFirstEpoch;
}

void EpochHistory::OnEpochDetails(const StoreEpoch& epoch, Time now) {
  present_epoch_complete_ = epoch.whole;
  if (epoch.rebuilt && rebuilt_epoch_ != epoch.number) {
    rebuilt_epoch_ = epoch.number;
    rebuilt_since_ = now;
  }
}

std::optional<Time> EpochHistory::AllReportedAt(const StoreEpoch& epoch) const {
  if (rebuilt_epoch_ != epoch.number) return std::nullopt;
  const Time earliest = rebuilt_since_ + kMinReportedLeases * lease_seconds_;
  return std::min(rebuilt_since_ + kReportedLeases * lease_seconds_,
                  std::max(last_epoch_since_ + kMaxWaitSeconds, earliest));
}

std::optional<Time> EpochHistory::RetentionEndsAt(
    const StoreEpoch& epoch) const {
  const std::optional<Time> all_reported_at = AllReportedAt(epoch);
  if (!all_reported_at) return std::nullopt;
  return std::min(
      rebuilt_since_ + kRetentionLeases * lease_seconds_,
      std::max(last_epoch_since_ + kMaxWaitSeconds, *all_reported_at));
}

bool EpochHistory::AllWorkersHaveReported(const StoreEpoch& epoch,
                                          Time now) const {
  // What looks like the first epoch of a deployment may have been opened after
  // the store and all controllers had lost everything. The workers of the
  // earlier deployment would send heartbeats within a lease.
  if (new_deployment_since_ && now <= *new_deployment_since_ + lease_seconds_)
    return false;
  if (epoch.whole) return true;
  const std::optional<Time> at = AllReportedAt(epoch);
  return at && now > *at;
}

bool EpochHistory::MayBeKnownElsewhere(const StoreEpoch& epoch,
                                       Time now) const {
  if (epoch.whole) return false;
  const std::optional<Time> at = RetentionEndsAt(epoch);
  return !at || now <= *at;
}

}  // namespace oxbow::app
