// Writes to the store the jobs and operators' records that only this controller
// retains. This is needed after the reconciliation of an epoch in which this
// controller took no part: the leader may not have reached it, and no other
// controller would ever write these records.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "app/recovery/data_loss_detector.h"
#include "app/recovery/peer_state_collector.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/store_inspector.h"
#include "net/task.h"

namespace oxbow::app {

// Runs once for each epoch.
class RetainedRecordsWriter {
 public:
  // All arguments must outlive this object, and this object the event loop: the
  // writing is a detached coroutine.
  RetainedRecordsWriter(const RecoveryContext& context,
                        StoreInspector& inspector, DataLossDetector& detector,
                        PeerStateCollector& collector)
      : context_(context),
        inspector_(inspector),
        detector_(detector),
        collector_(collector) {}

  // Whether Start was called for this epoch.
  bool HasStarted(uint64_t epoch) const { return started_for_epoch_ == epoch; }
  // Starts to write the records that are retained in this epoch.
  void Start(uint64_t epoch);

 private:
  enum class WriteOutcome : uint8_t {
    kWritten,
    kNotNeeded,  // the record is in the store, its job has ended, or the store
                 // would never accept the record
    kRetry,
  };

  net::Task<void> WriteAll(uint64_t epoch);
  net::Task<void> WaitUntilVerified(uint64_t epoch);
  net::Task<WriteOutcome> WriteOne(std::string key);
  // Whether the epoch is no longer the present one, or its data has been lost.
  bool IsStale(uint64_t epoch) const;
  bool IsStillNeeded(const std::string& key, const Record& record) const;
  std::vector<std::string> KeysToWrite() const;
  std::vector<Precondition> PreconditionsFor(const std::string& key) const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  PeerStateCollector& collector_;
  uint64_t started_for_epoch_ = 0;
};

}  // namespace oxbow::app
