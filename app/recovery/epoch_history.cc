#include "app/recovery/epoch_history.h"

#include <algorithm>

namespace oxbow::app {
namespace {

// Worker leases from a rebuild that may lack something, until an id that nobody
// knows is denied again. After the first every machine has sent a heartbeat to
// the leader, or its tasks have ended. A controller or machine that is still
// away then is waited for up to the second.
constexpr double kReportedLeases = 2;
constexpr double kForgottenLeases = 7;
// The least that the first may be: with it, a lease that was renewed just
// before the rebuild has ended.
constexpr double kMinReportedLeases = 1.1;
// Users expect a definite status within 75 s, and ask every few seconds. So
// longer leases do not make the wait from the epoch's beginning any longer.
constexpr double kMaxWaitSeconds = 65;

}  // namespace

EpochHistory::Change EpochHistory::OnEpochObserved(const StoreEpoch& epoch,
                                                   Time now, double wall_now) {
  if (epoch.number == last_epoch_) return Change::kNone;
  const bool is_first = last_epoch_ == 0;
  last_epoch_ = epoch.number;
  last_epoch_since_ = now;
  was_complete_before_ = is_complete_now_;
  if (!is_first) return Change::kLaterEpoch;
  first_epoch_ = epoch.number;
  if (wall_now - epoch.opened_wall < lease_seconds_) founded_at_ = now;
  return Change::kFirstEpoch;
}

void EpochHistory::OnEpochDetails(const StoreEpoch& epoch, Time now) {
  is_complete_now_ = epoch.whole;
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

std::optional<Time> EpochHistory::ForgottenAt(const StoreEpoch& epoch) const {
  const std::optional<Time> all_reported_at = AllReportedAt(epoch);
  if (!all_reported_at) return std::nullopt;
  return std::min(
      rebuilt_since_ + kForgottenLeases * lease_seconds_,
      std::max(last_epoch_since_ + kMaxWaitSeconds, *all_reported_at));
}

bool EpochHistory::AllWorkersHaveReported(const StoreEpoch& epoch,
                                          Time now) const {
  // A first epoch may have been opened in a store that has lost everything,
  // together with all controllers: the workers would report within a lease.
  if (founded_at_ && now <= *founded_at_ + lease_seconds_) return false;
  if (epoch.whole) return true;
  const std::optional<Time> at = AllReportedAt(epoch);
  return at && now > *at;
}

bool EpochHistory::MayBeKnownElsewhere(const StoreEpoch& epoch,
                                       Time now) const {
  if (epoch.whole) return false;
  const std::optional<Time> at = ForgottenAt(epoch);
  return !at || now <= *at;
}

}  // namespace oxbow::app
