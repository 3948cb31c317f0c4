// The start of a controller: until it has learnt from the others what they
// remember of the store, it must not take a missing leader key for a free one.
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

// Runs once for each process.
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
  bool IsComplete() const { return is_complete_; }

 private:
  // What the other controllers' answers say about the store that is read here.
  struct PeerView {
    // Somebody remembers another store, or a later state of this one.
    bool remembers_other_store = false;
    uint64_t highest_term = 0;  // of those that know the same epoch
  };

  net::Task<void> Run();
  net::Task<PeerView> AskPeers();
  PeerView Summarize(const std::vector<clients::PeerMessage>& answers) const;
  // Whether the store lacks what peers of the same epoch have read.
  net::Task<void> CompareTerms(uint64_t highest_peer_term);

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  PeerBroadcast& broadcast_;
  PeerStateCollector& collector_;
  bool is_complete_ = false;
};

}  // namespace oxbow::app
