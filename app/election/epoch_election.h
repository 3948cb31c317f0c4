// Opens a new store epoch after data loss and takes the leader key in it, in
// one transaction: of several controllers that try, one opens it.
#pragma once

#include <functional>
#include <vector>

#include "app/election/election_context.h"
#include "app/election/leader_key_writer.h"
#include "core/leader_context/actions.h"
#include "net/task.h"

namespace oxbow::app {

// One attempt at a time, by the loop of the LeaderElection.
class EpochElection {
 public:
  // Both references must outlive this object. `on_key_written` is called when
  // the key has been won and before anybody is notified of the epoch.
  EpochElection(const ElectionContext& context, LeaderKeyWriter& key_writer,
                std::function<void()> on_key_written)
      : context_(context),
        key_writer_(key_writer),
        on_key_written_(std::move(on_key_written)) {}

  // Tries once, under a right to lead that is still valid, or with nobody who
  // could lead.
  net::Task<void> OpenEpoch();
  // Whether an epoch that is observed now is the one this controller opens.
  bool IsOpeningEpoch() const { return is_opening_; }

 private:
  bool MayStillOpen(OpenedBy opened_by) const;
  net::Task<bool> CloseEarlierEpochs(const EpochOpening& opening,
                                     std::vector<Mutation>* mutations);
  void OnOpened(const EpochOpening& opening, OpenedBy opened_by,
                const WonKey& won);

  const ElectionContext& context_;
  LeaderKeyWriter& key_writer_;
  const std::function<void()> on_key_written_;
  bool is_opening_ = false;
};

}  // namespace oxbow::app
