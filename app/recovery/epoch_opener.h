// Composes the transaction that opens a new store epoch. The LeaderElection
// decides whether this controller may open one, and sends the transaction.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "app/recovery/data_loss_detector.h"
#include "app/recovery/leader_key_monitor.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/store_inspector.h"
#include "clients/key_value_store.h"
#include "core/leader_context/actions.h"
#include "core/recovery/store_epoch.h"
#include "net/task.h"

namespace oxbow::app {

// A transaction that opens an epoch, without the write of the leader key, which
// the sender adds.
struct EpochOpening {
  StoreEpoch epoch;  // number 0: there is no epoch to open
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
  // The revision of the leader key that is replaced; 0: there is no such key.
  uint64_t leader_key_revision = 0;
};

// Whether the controller that opens an epoch is the leader or a candidate.
enum class OpenedBy : uint8_t { kLeader, kCandidate };

// Composes the transaction, and takes the epoch into the catalog after
// EpochElection has sent it.
class EpochOpener {
 public:
  // All arguments must outlive this object.
  EpochOpener(const RecoveryContext& context, StoreInspector& inspector,
              DataLossDetector& detector, LeaderKeyMonitor& leader_key_monitor)
      : context_(context),
        inspector_(inspector),
        detector_(detector),
        leader_key_monitor_(leader_key_monitor) {}

  // The opening of the first epoch of a deployment; its epoch has the number 0
  // if an epoch is known already or recovery is disabled.
  EpochOpening InitialEpoch() const;
  // Composes the opening of the next epoch from the epoch and leader key that
  // the store holds now, and from the highest epoch and term that any
  // controller has seen. Returns nullopt if the store does not answer, if
  // another controller has opened an epoch first, or, for a candidate, if a
  // controller may lead by the leader key in the store.
  net::Task<std::optional<EpochOpening>> Prepare(OpenedBy opened_by);
  // Takes the epoch that this controller has just written into the catalog, and
  // notifies the other controllers.
  void OnOpened(const EpochOpening& opening, uint64_t revision);

 private:
  // The highest epoch number and term that any controller or worker has shown.
  struct HighestSeen {
    uint64_t epoch_number = 0;
    uint64_t term = 0;
  };

  HighestSeen HighestSeenBy(
      const std::vector<clients::PeerMessage>& answers) const;
  // The opening that replaces the epoch and leader key that were read.
  EpochOpening Replace(const HighestSeen& highest,
                       const clients::StoreResult& epoch,
                       const clients::StoreResult& leader) const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  LeaderKeyMonitor& leader_key_monitor_;
};

}  // namespace oxbow::app
