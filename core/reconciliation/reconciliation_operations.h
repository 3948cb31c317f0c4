// Store operations that restore the records of a key-value store that has lost
// data.
#pragma once

#include <string>
#include <string_view>

#include "core/leader_context/leader_context.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

class DependencyCoordinator;
class Reconciler;

// Writes back a record that the store has lost or holds in an older version;
// see Catalog::pending_writes.
class ReconcileRecordOperation : public StoreOperation {
 public:
  ReconcileRecordOperation(LeaderContext& context,
                           DependencyCoordinator& dependencies,
                           std::string key);
  std::string_view kind() const override { return "reconcile record"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  // The record to write; monostate if it is no longer known.
  Record PendingRecord() const;

  Catalog& catalog_;
  DependencyCoordinator& dependencies_;
};

// Writes the terminal state of a job whose terminal record the store has lost.
class ReconcileTerminalStateOperation : public StoreOperation {
 public:
  ReconcileTerminalStateOperation(LeaderContext& context, std::string job_id,
                                  TerminalState terminal_state);
  std::string_view kind() const override { return "reconcile terminal state"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t /*revision*/, Time /*now*/) override {}

 private:
  Catalog& catalog_;
  const TerminalState terminal_state_;
};

// Records in the epoch record that all records of this store epoch are written
// back.
class CompleteReconciliationOperation : public StoreOperation {
 public:
  CompleteReconciliationOperation(LeaderContext& context,
                                  const Reconciler& reconciler);
  std::string_view kind() const override { return "complete reconciliation"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  // The current epoch record, marked as rebuilt.
  StoreEpoch CompletedEpoch() const;

  LeaderContext& context_;
  Catalog& catalog_;
  const Reconciler& reconciler_;
};

}  // namespace oxbow
