// The writes that end a job's waiting for others. Each deletes the waiting
// record in the transaction that writes what the job has become, and is
// conditioned on that record: of two in flight only one is applied.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/leader_context/leader_context.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

class DependencyCoordinator;

// What the three operations share: a waiting record that is deleted.
class WaitingRecordOperation : public StoreOperation {
 public:
  WaitingRecordOperation(LeaderContext& context,
                         DependencyCoordinator& coordinator,
                         std::string job_id);
  BuildResult Build(CompareAndSwap* txn) const final;
  void OnRecorded(uint64_t revision, Time now) final;

 protected:
  // Adds all but the deletion of the waiting record.
  virtual BuildResult BuildStep(const WaitingRecord& waiting,
                                CompareAndSwap* txn) const = 0;
  // Takes into the catalog what was written beside the deletion.
  virtual void ApplyToCatalog(const WaitingRecord& waiting,
                              uint64_t revision) = 0;
  // Whether the record is in force: no older copy of a job that has been
  // released or has ended.
  bool IsInForce() const;
  std::string WaitingKey() const { return keys::Of(keys::kWaiting, name()); }
  std::string JobKey() const { return keys::Of(keys::kJob, name()); }
  std::string TerminalKey() const { return keys::Of(keys::kTerminal, name()); }

  Catalog& catalog_;
  DependencyCoordinator& coordinator_;
};

// All that the job depends on is done: it becomes an ordinary live job.
class ReleaseDependentOperation : public WaitingRecordOperation {
 public:
  // `released_wall`: seconds of the wall clock.
  ReleaseDependentOperation(LeaderContext& context,
                            DependencyCoordinator& coordinator,
                            std::string job_id, double released_wall);
  std::string_view kind() const override { return "release dependent job"; }

 protected:
  BuildResult BuildStep(const WaitingRecord& waiting,
                        CompareAndSwap* txn) const override;
  void ApplyToCatalog(const WaitingRecord& waiting, uint64_t revision) override;

 private:
  JobRecord Released(const WaitingRecord& waiting) const;

  const double released_wall_;
};

// A job that it depends on, or the job itself, has been cancelled.
class CancelDependentOperation : public WaitingRecordOperation {
 public:
  using WaitingRecordOperation::WaitingRecordOperation;
  std::string_view kind() const override { return "cancel dependent job"; }

 protected:
  BuildResult BuildStep(const WaitingRecord& waiting,
                        CompareAndSwap* txn) const override;
  void ApplyToCatalog(const WaitingRecord& waiting, uint64_t revision) override;
};

// Deletes an older copy of a waiting record that is no longer in force.
class DeleteObsoleteWaitingOperation : public WaitingRecordOperation {
 public:
  using WaitingRecordOperation::WaitingRecordOperation;
  std::string_view kind() const override {
    return "delete obsolete waiting record";
  }

 protected:
  BuildResult BuildStep(const WaitingRecord& waiting,
                        CompareAndSwap* txn) const override;
  void ApplyToCatalog(const WaitingRecord& /*waiting*/,
                      uint64_t /*revision*/) override {}
};

}  // namespace oxbow
