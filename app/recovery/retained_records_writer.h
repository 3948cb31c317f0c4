// Writes to the store the jobs and operators' records that this controller
// alone retains, after an epoch whose reconciliation it had no part in: the
// leader that reconciled may not have reached this controller, and nobody else
// would ever write them.
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

// Writes once for each epoch.
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

  // Whether the writing for that epoch has been started.
  bool HasStarted(uint64_t epoch) const { return started_for_epoch_ == epoch; }
  void Start(uint64_t epoch);

 private:
  enum class WriteOutcome : uint8_t {
    kWritten,
    kNotNeeded,  // it is in the store, has ended, or will never be accepted
    kRetry,
  };

  net::Task<void> WriteAll(uint64_t epoch);
  net::Task<void> WaitUntilVerified(uint64_t epoch);
  net::Task<WriteOutcome> WriteOne(std::string key);
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
