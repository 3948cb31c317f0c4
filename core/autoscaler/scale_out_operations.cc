#include "core/autoscaler/scale_out_operations.h"

#include <memory>
#include <utility>

#include "core/autoscaler/autoscaler.h"
#include "core/worker_sessions/machine_record_operations.h"

namespace oxbow {

RecordScaleOutOperation::RecordScaleOutOperation(LeaderContext& context,
                                                 Autoscaler& autoscaler,
                                                 std::string scale_out)
    : StoreOperation(std::move(scale_out)),
      catalog_(context.catalog),
      autoscaler_(autoscaler) {}

BuildResult RecordScaleOutOperation::Build(CompareAndSwap* txn) const {
  if (catalog_.scale_outs().contains(name())) return BuildResult::kNothingToDo;
  const std::string key = keys::Of(keys::kScaleOut, name());
  txn->preconditions.push_back({key, 0});
  txn->mutations.push_back({key, *autoscaler_.FindRecord(name())});
  return BuildResult::kAdded;
}

void RecordScaleOutOperation::OnRecorded(uint64_t revision, Time now) {
  if (revision > 0) {
    catalog_.Put(keys::Of(keys::kScaleOut, name()),
                 *autoscaler_.FindRecord(name()), revision);
  }
  autoscaler_.OnScaleOutRecorded(name(), now);
}

RecordScaledOutMachineOperation::RecordScaledOutMachineOperation(
    LeaderContext& context, Autoscaler& autoscaler, std::string host,
    std::string scale_out)
    : StoreOperation(std::move(host)),
      context_(context),
      catalog_(context.catalog),
      autoscaler_(autoscaler),
      scale_out_(std::move(scale_out)) {}

BuildResult RecordScaledOutMachineOperation::Build(CompareAndSwap* txn) const {
  // If the scale-out has no record, it is settled already and this was a late
  // response. If the machine has an endpoint, it has sent a heartbeat meanwhile
  // and is recorded by RecordMachineOperation.
  const auto scale_out = catalog_.scale_outs().find(scale_out_);
  const Machine* machine = context_.cluster.FindMachine(name());
  if (scale_out == catalog_.scale_outs().end() || machine == nullptr ||
      !machine->endpoint.empty() || catalog_.machines().contains(name())) {
    return BuildResult::kNothingToDo;
  }
  const std::string key = keys::Of(keys::kMachine, name());
  txn->preconditions.push_back(
      {keys::Of(keys::kScaleOut, scale_out_), scale_out->second.mod_revision});
  txn->preconditions.push_back({key, 0});
  txn->mutations.push_back(
      {key, autoscaler_.RecordOfNewMachine(scale_out->second,
                                           machine->requested_at)});
  return BuildResult::kAdded;
}

void RecordScaledOutMachineOperation::OnRecorded(uint64_t revision, Time now) {
  const Machine* machine = context_.cluster.FindMachine(name());
  const auto scale_out = catalog_.scale_outs().find(scale_out_);
  if (revision > 0 && scale_out != catalog_.scale_outs().end()) {
    catalog_.Put(keys::Of(keys::kMachine, name()),
                 autoscaler_.RecordOfNewMachine(
                     scale_out->second,
                     machine != nullptr ? machine->requested_at : now),
                 revision);
    // The machine was deleted while the write of its record was in flight.
    if (machine == nullptr) {
      context_.writes.Enqueue(
          std::make_unique<ForgetMachineOperation>(context_, name()),
          WritePriority::kBackground);
    }
  }
  autoscaler_.SettleScaleOut(scale_out_);
}

SettleScaleOutOperation::SettleScaleOutOperation(LeaderContext& context,
                                                 Autoscaler& autoscaler,
                                                 std::string scale_out)
    : StoreOperation(std::move(scale_out)),
      catalog_(context.catalog),
      autoscaler_(autoscaler) {}

BuildResult SettleScaleOutOperation::Build(CompareAndSwap* txn) const {
  const auto it = catalog_.scale_outs().find(name());
  if (it == catalog_.scale_outs().end()) return BuildResult::kNothingToDo;
  const std::string key = keys::Of(keys::kScaleOut, name());
  txn->preconditions.push_back({key, it->second.mod_revision});
  txn->mutations.push_back({key, {}});
  return BuildResult::kAdded;
}

void SettleScaleOutOperation::OnRecorded(uint64_t revision, Time /*now*/) {
  if (revision > 0) {
    catalog_.Erase(keys::Of(keys::kScaleOut, name()), revision);
  }
  autoscaler_.RemoveScaleOut(name());
}

}  // namespace oxbow
