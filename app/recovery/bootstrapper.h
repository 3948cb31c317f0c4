// The start of a controller. Until the other controllers have told it what they
// remember of the key-value store, it must not conclude from a missing leader
// key that no controller leads: the store may have lost the key.
#pragma once

#include <string>
#include <vector>

#include "app/recovery/data_loss_detector.h"
#include "app/recovery/peer_broadcast.h"
#include "app/recovery/peer_state_collector.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/store_inspector.h"
#include "net/task.h"

namespace oxbow::app {

// Runs once in each process.
class Bootstrapper {
 public:
  // All arguments must outlive this object, and this object the event loop:
  // the bootstrap is a detached coroutine.
  Bootstrapper(const RecoveryContext& context, StoreInspector& inspector,
               DataLossDetector& detector, PeerBroadcast& broadcast,
               PeerStateCollector& collector)
      : context_(context),
        inspector_(inspector),
        detector_(detector),
        broadcast_(broadcast),
        collector_(collector) {}

  void Start();
  // Whether this controller may now conclude from a missing leader key that the
  // key is free.
  bool IsComplete() const { return is_complete_; }

 private:
  // What the other controllers' answers say about the contents of the store.
  struct PeerView {
    // A controller remembers another epoch, or records that the store lacks.
    bool remembers_other_store = false;
    // The highest term that controllers with the same epoch have seen.
    uint64_t highest_term = 0;
  };

  net::Task<void> Run();
  net::Task<PeerView> AskPeers();
  PeerView Summarize(const std::vector<clients::PeerMessage>& answers) const;
  // Reports an indication of data loss if controllers with the same epoch have
  // seen a higher term than the store's present revision allows.
  net::Task<void> CompareTerms(uint64_t highest_peer_term);

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  PeerBroadcast& broadcast_;
  PeerStateCollector& collector_;
  bool is_complete_ = false;
};

}  // namespace oxbow::app
