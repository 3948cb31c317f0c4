// The store epochs that this process has seen, and what may be concluded from
// their age. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "core/model/settings.h"
#include "core/recovery/store_epoch.h"

namespace oxbow::app {

// Fed with every epoch record that is read or written here.
class EpochHistory {
 public:
  enum class Change : uint8_t { kNone, kFirstEpoch, kLaterEpoch };

  // `lease_seconds`: of the workers.
  explicit EpochHistory(double lease_seconds) : lease_seconds_(lease_seconds) {}

  // An epoch as recorded now. `wall_now`: seconds since 1970.
  Change OnEpochObserved(const StoreEpoch& epoch, Time now, double wall_now);
  // Its other facts, once what follows from a change of the number is done.
  void OnEpochDetails(const StoreEpoch& epoch, Time now);

  // The first epoch that this process has known; 0: none. It is no witness of
  // what was lost before.
  uint64_t first_epoch() const { return first_epoch_; }
  // Whether all that was accepted up to the epoch before the present one was
  // recorded or remembered.
  bool WasCompleteBefore() const { return was_complete_before_; }

  // Whether a job that neither the store nor a controller knows was never
  // accepted in `epoch`, as far as the workers' heartbeats can tell.
  bool AllWorkersHaveReported(const StoreEpoch& epoch, Time now) const;
  // Whether an accepted job of `epoch` that is unknown here may still be known
  // to a controller or worker that has not been in contact.
  bool MayBeKnownElsewhere(const StoreEpoch& epoch, Time now) const;

 private:
  // When it may be said that every worker has reported since the rebuild, and
  // that nobody who has not been in contact retains anything; nothing before
  // the rebuild.
  std::optional<Time> AllReportedAt(const StoreEpoch& epoch) const;
  std::optional<Time> ForgottenAt(const StoreEpoch& epoch) const;

  const double lease_seconds_;
  uint64_t last_epoch_ = 0;
  Time last_epoch_since_ = 0;  // when its record was first seen here
  uint64_t first_epoch_ = 0;
  bool was_complete_before_ = true;  // the epoch before the present one
  bool is_complete_now_ = true;
  // When the first epoch of the deployment was seen to be young.
  std::optional<Time> founded_at_;
  uint64_t rebuilt_epoch_ = 0;  // seen to be rebuilt, and since when
  Time rebuilt_since_ = 0;
};

}  // namespace oxbow::app
