// Opens a new store epoch after data loss and takes the leader key in it, in
// one transaction. If several controllers try, only one of them succeeds.
#pragma once

#include <functional>
#include <vector>

#include "app/election/election_context.h"
#include "app/election/leader_key_writer.h"
#include "core/leader_context/actions.h"
#include "net/task.h"

namespace oxbow::app {

// Makes one attempt at a time; the loop of the LeaderElection starts each.
class EpochElection {
 public:
  // Both references must outlive this object. `on_key_written` is called when
  // the leader key has been won, before the epoch is taken into the catalog and
  // other controllers are notified of it.
  EpochElection(const ElectionContext& context, LeaderKeyWriter& key_writer,
                std::function<void()> on_key_written)
      : context_(context),
        key_writer_(key_writer),
        on_key_written_(std::move(on_key_written)) {}

  // Makes one attempt. It is made either by a leader whose right to lead is
  // still valid, or by a candidate while no controller can lead.
  net::Task<void> OpenEpoch();
  // Whether an epoch that is observed now is the one that this controller is
  // opening.
  bool IsOpeningEpoch() const { return is_opening_; }

 private:
  // Whether this controller may still open an epoch in the role in which the
  // attempt began.
  bool MayStillOpen(OpenedBy opened_by) const;
  // Deletes the marks of earlier epochs in a transaction of its own, and
  // removes these deletions from `mutations`. Returns whether the transaction
  // succeeded.
  net::Task<bool> CloseEarlierEpochs(const EpochOpening& opening,
                                     std::vector<Mutation>* mutations);
  // The transaction succeeded: this controller leads in the new epoch.
  void OnOpened(const EpochOpening& opening, OpenedBy opened_by,
                const WonKey& won);

  const ElectionContext& context_;
  LeaderKeyWriter& key_writer_;
  const std::function<void()> on_key_written_;
  bool is_opening_ = false;
};

}  // namespace oxbow::app
