// The store epochs that this process has seen, and the conclusions from how
// long ago each was opened and reconciled. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "core/model/settings.h"
#include "core/recovery/store_epoch.h"

namespace oxbow::app {

// Takes in every epoch record that this controller reads or writes.
class EpochHistory {
 public:
  enum class Change : uint8_t { kNone, kFirstEpoch, kLaterEpoch };

  // `lease_seconds`: the workers' lease.
  explicit EpochHistory(double lease_seconds) : lease_seconds_(lease_seconds) {}

  // Takes in the number of the epoch as it is recorded now. `wall_now`: seconds
  // since 1970.
  Change OnEpochObserved(const StoreEpoch& epoch, Time now, double wall_now);
  // Takes in the other fields of the epoch. To be called after OnEpochObserved,
  // and after the caller has handled the change that OnEpochObserved returned.
  void OnEpochDetails(const StoreEpoch& epoch, Time now);

  // The number of the first epoch that this process has known; 0: none. This
  // process knows nothing of the data that was lost before that epoch.
  uint64_t first_epoch() const { return first_epoch_; }
  // Whether, at the end of the epoch before the present one, every accepted job
  // was recorded or remembered by a controller.
  bool WasCompleteBefore() const { return previous_epoch_complete_; }

  // Whether every worker must have sent a heartbeat since the data loss, so
  // that no worker can still show a task of a job that neither the store nor a
  // controller knows.
  bool AllWorkersHaveReported(const StoreEpoch& epoch, Time now) const;
  // Whether an accepted job that is unknown here may still be known to a
  // controller or worker that has not been in contact since `epoch` was opened.
  bool MayBeKnownElsewhere(const StoreEpoch& epoch, Time now) const;

 private:
  // From when on every worker counts as having sent a heartbeat since the
  // reconciliation of the epoch; nullopt before the reconciliation is complete.
  std::optional<Time> AllReportedAt(const StoreEpoch& epoch) const;
  // From when on controllers and workers that have not been in contact count as
  // retaining no records; nullopt before the reconciliation is complete.
  std::optional<Time> RetentionEndsAt(const StoreEpoch& epoch) const;

  const double lease_seconds_;
  uint64_t last_epoch_ = 0;
  Time last_epoch_since_ = 0;  // when its record was first seen here
  uint64_t first_epoch_ = 0;
  bool previous_epoch_complete_ = true;
  bool present_epoch_complete_ = true;
  // When this process saw the first epoch of the deployment, if the epoch had
  // been opened less than a worker lease before.
  std::optional<Time> new_deployment_since_;
  uint64_t rebuilt_epoch_ = 0;  // the last epoch that was seen to be rebuilt
  Time rebuilt_since_ = 0;      // when that was first seen
};

}  // namespace oxbow::app
