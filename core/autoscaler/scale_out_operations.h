// Store operations of a scale-out, in this order: the scale-out is recorded, so
// that a new leader can repeat its request under the same name; each machine
// that the cloud grants is recorded; and the record of the scale-out is
// deleted.
#pragma once

#include <string>
#include <string_view>

#include "core/leader_context/leader_context.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

class Autoscaler;

// Records a scale-out before its request is sent to the cloud.
class RecordScaleOutOperation : public StoreOperation {
 public:
  RecordScaleOutOperation(LeaderContext& context, Autoscaler& autoscaler,
                          std::string scale_out);
  std::string_view kind() const override { return "record scale-out"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  Catalog& catalog_;
  Autoscaler& autoscaler_;
};

// Records a machine that the cloud has granted to a scale-out.
class RecordScaledOutMachineOperation : public StoreOperation {
 public:
  RecordScaledOutMachineOperation(LeaderContext& context,
                                  Autoscaler& autoscaler, std::string host,
                                  std::string scale_out);
  std::string_view kind() const override { return "record new machine"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  LeaderContext& context_;
  Catalog& catalog_;
  Autoscaler& autoscaler_;
  const std::string scale_out_;
};

// Deletes the record of a scale-out whose machines are all recorded.
class SettleScaleOutOperation : public StoreOperation {
 public:
  SettleScaleOutOperation(LeaderContext& context, Autoscaler& autoscaler,
                          std::string scale_out);
  std::string_view kind() const override { return "settle scale-out"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  Catalog& catalog_;
  Autoscaler& autoscaler_;
};

}  // namespace oxbow
