#include "app/recovery/epoch_history.h"

namespace oxbow::app {
namespace {

// Worker leases from a rebuild that may lack something, until an id that nobody
// knows is denied again. After the first every machine has sent a heartbeat to
// the leader, or its tasks have ended. A controller or machine that is still
// away then is waited for up to the second, which is below the 75 s within
// which users expect a definite status.
constexpr double kReportedLeases = 2;
constexpr double kForgottenLeases = 7;

}  // namespace

EpochHistory::Change EpochHistory::OnNumber(const StoreEpoch& epoch, Time now,
                                            double wall_now) {
  if (epoch.number == last_epoch_) return Change::kNone;
  const bool is_first = last_epoch_ == 0;
  last_epoch_ = epoch.number;
  was_complete_before_ = is_complete_now_;
  if (!is_first) return Change::kLaterEpoch;
  first_epoch_ = epoch.number;
  if (wall_now - epoch.opened_wall < lease_seconds_) founded_at_ = now;
  return Change::kFirstEpoch;
}

void EpochHistory::OnFacts(const StoreEpoch& epoch, Time now) {
  is_complete_now_ = epoch.whole;
  if (epoch.rebuilt && rebuilt_epoch_ != epoch.number) {
    rebuilt_epoch_ = epoch.number;
    rebuilt_since_ = now;
  }
}

bool EpochHistory::RebuiltLongerThan(const StoreEpoch& epoch, Time now,
                                     double leases) const {
  return rebuilt_epoch_ == epoch.number &&
         now > rebuilt_since_ + leases * lease_seconds_;
}

bool EpochHistory::AllWorkersHaveReported(const StoreEpoch& epoch,
                                          Time now) const {
  // A first epoch may have been opened in a store that has lost everything,
  // together with all controllers: the workers would report within a lease.
  if (founded_at_ && now <= *founded_at_ + lease_seconds_) return false;
  return epoch.whole || RebuiltLongerThan(epoch, now, kReportedLeases);
}

bool EpochHistory::MayBeKnownElsewhere(const StoreEpoch& epoch,
                                       Time now) const {
  return !epoch.whole && !RebuiltLongerThan(epoch, now, kForgottenLeases);
}

}  // namespace oxbow::app
