// The store operations that end the waiting of a dependent job. Each deletes
// the waiting record in the same transaction that writes the live record or the
// terminal record which replaces it. The transaction is conditioned on the
// revision of the waiting record, so of two operations in flight for one job
// only one is applied.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/leader_context/leader_context.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

class DependencyCoordinator;

// Base of the three operations: deletes the job's waiting record.
class WaitingRecordOperation : public StoreOperation {
 public:
  WaitingRecordOperation(LeaderContext& context,
                         DependencyCoordinator& coordinator,
                         std::string job_id);
  BuildResult Build(CompareAndSwap* txn) const final;
  void OnRecorded(uint64_t revision, Time now) final;

 protected:
  // Adds the preconditions and mutations of the subclass. The base class adds
  // the deletion of the waiting record.
  virtual BuildResult BuildOutcome(const WaitingRecord& waiting,
                                   CompareAndSwap* txn) const = 0;
  // Updates the catalog with the record that was written beside the deletion.
  virtual void ApplyToCatalog(const WaitingRecord& waiting,
                              uint64_t revision) = 0;
  // False if the waiting record is an obsolete copy: its job has already been
  // released or has ended.
  bool IsWaitingRecordCurrent() const;
  std::string WaitingKey() const { return keys::Of(keys::kWaiting, name()); }
  std::string JobKey() const { return keys::Of(keys::kJob, name()); }
  std::string TerminalKey() const { return keys::Of(keys::kTerminal, name()); }

  Catalog& catalog_;
  DependencyCoordinator& coordinator_;
};

// Turns a waiting job whose dependencies are all done into an ordinary live
// job.
class ReleaseDependentOperation : public WaitingRecordOperation {
 public:
  // `released_wall`: wall time of the release, in seconds since 1970.
  ReleaseDependentOperation(LeaderContext& context,
                            DependencyCoordinator& coordinator,
                            std::string job_id, double released_wall);
  std::string_view kind() const override { return "release dependent job"; }

 protected:
  BuildResult BuildOutcome(const WaitingRecord& waiting,
                           CompareAndSwap* txn) const override;
  void ApplyToCatalog(const WaitingRecord& waiting, uint64_t revision) override;

 private:
  // The live record that replaces the waiting record.
  JobRecord ReleasedRecord(const WaitingRecord& waiting) const;

  const double released_wall_;
};

// Records a waiting job as aborted because its user has cancelled it or one of
// its dependencies was cancelled.
class CancelDependentOperation : public WaitingRecordOperation {
 public:
  using WaitingRecordOperation::WaitingRecordOperation;
  std::string_view kind() const override { return "cancel dependent job"; }

 protected:
  BuildResult BuildOutcome(const WaitingRecord& waiting,
                           CompareAndSwap* txn) const override;
  void ApplyToCatalog(const WaitingRecord& waiting, uint64_t revision) override;
};

// Deletes an obsolete copy of a waiting record whose job has already been
// released or has ended.
class DeleteObsoleteWaitingOperation : public WaitingRecordOperation {
 public:
  using WaitingRecordOperation::WaitingRecordOperation;
  std::string_view kind() const override {
    return "delete obsolete waiting record";
  }

 protected:
  BuildResult BuildOutcome(const WaitingRecord& waiting,
                           CompareAndSwap* txn) const override;
  void ApplyToCatalog(const WaitingRecord& /*waiting*/,
                      uint64_t /*revision*/) override {}
};

}  // namespace oxbow
