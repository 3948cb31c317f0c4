#include "core/worker_sessions/machine_record_operations.h"

#include <utility>

namespace oxbow {

RecordMachineOperation::RecordMachineOperation(LeaderContext& context,
                                               std::string host)
    : StoreOperation(std::move(host)),
      context_(context),
      catalog_(context.catalog) {}

MachineRecord RecordMachineOperation::RecordOf(const Machine& machine) const {
  return {machine.type_name,
          machine.zone,
          machine.spot,
          machine.endpoint,
          machine.requested_at + context_.wall_minus_steady,
          0};
}

BuildResult RecordMachineOperation::Build(CompareAndSwap* txn) const {
  const Machine* machine = context_.cluster.FindMachine(name());
  if (machine == nullptr || machine->state() == MachineState::kDeleted) {
    return BuildResult::kNothingToDo;
  }
  const auto it = catalog_.machines().find(name());
  const bool known = it != catalog_.machines().end();
  if (known && it->second.endpoint == machine->endpoint) {
    return BuildResult::kNothingToDo;
  }
  const std::string key = keys::Of(keys::kMachine, name());
  txn->preconditions.push_back({key, known ? it->second.mod_revision : 0});
  txn->mutations.push_back({key, RecordOf(*machine)});
  return BuildResult::kAdded;
}

void RecordMachineOperation::OnRecorded(uint64_t revision, Time /*now*/) {
  Machine* machine = context_.cluster.FindMachine(name());
  if (machine == nullptr) return;
  if (revision > 0) {
    catalog_.Put(keys::Of(keys::kMachine, name()), RecordOf(*machine),
                 revision);
  }
  machine->recorded_up = true;
  context_.cluster.MarkChanged();
}

ForgetMachineOperation::ForgetMachineOperation(LeaderContext& context,
                                               std::string host)
    : StoreOperation(std::move(host)), catalog_(context.catalog) {}

BuildResult ForgetMachineOperation::Build(CompareAndSwap* txn) const {
  const auto it = catalog_.machines().find(name());
  if (it == catalog_.machines().end()) return BuildResult::kNothingToDo;
  const std::string key = keys::Of(keys::kMachine, name());
  txn->preconditions.push_back({key, it->second.mod_revision});
  txn->mutations.push_back({key, {}});
  return BuildResult::kAdded;
}

void ForgetMachineOperation::OnRecorded(uint64_t revision, Time /*now*/) {
  if (revision > 0) catalog_.Erase(keys::Of(keys::kMachine, name()), revision);
}

}  // namespace oxbow
