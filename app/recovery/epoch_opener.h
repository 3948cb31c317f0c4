// Puts together the records of a new store epoch. Whether this controller may
// write them, and writes them, is for the LeaderElection.
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

// A transaction that opens an epoch, without the leader key of the one who
// opens it.
struct EpochOpening {
  StoreEpoch epoch;  // number 0: there is none to open
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
  // Of the leader key that is replaced; 0: there is none.
  uint64_t leader_key_revision = 0;
};

// Whether a controller that opens an epoch has led until now.
enum class OpenedBy : uint8_t { kLeader, kCandidate };

// Composes the transaction and announces the epoch; see EpochElection for who
// sends it.
class EpochOpener {
 public:
  // All arguments must outlive this object.
  EpochOpener(const RecoveryContext& context, StoreInspector& inspector,
              DataLossDetector& detector, LeaderKeyMonitor& leader_key_monitor)
      : context_(context),
        inspector_(inspector),
        detector_(detector),
        leader_key_monitor_(leader_key_monitor) {}

  // The first epoch of a deployment; number 0 if there is one already.
  EpochOpening InitialEpoch() const;
  // Reads what the store holds now and asks all controllers how far they have
  // seen. Nothing if the store does not answer, another controller was first,
  // or, for a candidate, somebody may lead by the key that is there.
  net::Task<std::optional<EpochOpening>> Prepare(OpenedBy opened_by);
  // Takes an epoch into the catalog that this controller has just written.
  void OnOpened(const EpochOpening& opening, uint64_t revision);

 private:
  // The highest epoch number and term that anybody has shown.
  struct HighestSeen {
    uint64_t epoch_number = 0;
    uint64_t term = 0;
  };

  HighestSeen HighestSeenBy(
      const std::vector<clients::PeerMessage>& answers) const;
  // The opening that replaces what was read.
  EpochOpening Replace(const HighestSeen& highest,
                       const clients::StoreResult& epoch,
                       const clients::StoreResult& leader) const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  LeaderKeyMonitor& leader_key_monitor_;
};

}  // namespace oxbow::app
