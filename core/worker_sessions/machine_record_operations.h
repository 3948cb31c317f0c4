// Store operations that write and delete the records of machines. A machine is
// recorded before it gets tasks, so that a new leader knows every machine that
// may run some.
#pragma once

#include <string>
#include <string_view>

#include "core/leader_context/leader_context.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

// Records a machine that has sent a heartbeat, with the worker's endpoint, or
// updates the record when the endpoint has changed.
class RecordMachineOperation : public StoreOperation {
 public:
  RecordMachineOperation(LeaderContext& context, std::string host);
  std::string_view kind() const override { return "record machine"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  MachineRecord RecordOf(const Machine& machine) const;

  LeaderContext& context_;
  Catalog& catalog_;
};

// Deletes the record of a machine that the cloud has deleted.
class ForgetMachineOperation : public StoreOperation {
 public:
  ForgetMachineOperation(LeaderContext& context, std::string host);
  std::string_view kind() const override { return "forget machine"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  Catalog& catalog_;
};

}  // namespace oxbow
