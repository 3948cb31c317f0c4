#include "core/reconciliation/reconciliation_operations.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/dependencies/dependency_coordinator.h"
#include "core/reconciliation/reconciler.h"

namespace oxbow {
namespace {

bool Mutates(const CompareAndSwap& txn, const std::string& key) {
  return std::any_of(
      txn.mutations.begin(), txn.mutations.end(),
      [&](const Mutation& mutation) { return mutation.key == key; });
}

uint64_t ModRevisionOf(const Record& record) {
  return std::visit(
      [](const auto& value) -> uint64_t {
        if constexpr (requires { value.mod_revision; }) {
          return value.mod_revision;
        } else {
          return 0;
        }
      },
      record);
}

}  // namespace

ReconcileRecordOperation::ReconcileRecordOperation(
    LeaderContext& context, DependencyCoordinator& dependencies,
    std::string key)
    : StoreOperation(std::move(key)),
      catalog_(context.catalog),
      dependencies_(dependencies) {}

// A job whose retained record is that of a live job, and whose terminal state
// has been read since, is written back as a job that has ended.
Record ReconcileRecordOperation::PendingRecord() const {
  Record record = catalog_.RecordOf(name());
  auto* job = std::get_if<JobRecord>(&record);
  if (job == nullptr) return record;
  if (job->terminal_state == TerminalState::kNone) {
    job->terminal_state =
        catalog_.FindTerminalState(name().substr(keys::kJob.size()));
  }
  if (job->terminal_state != TerminalState::kNone) {
    *job = TerminatedRecord(*job, job->terminal_state, compact());
  }
  return record;
}

BuildResult ReconcileRecordOperation::Build(CompareAndSwap* txn) const {
  if (!catalog_.pending_writes().contains(name())) {
    return BuildResult::kNothingToDo;
  }
  // The transaction already contains a newer write to this key, which this
  // write would undo.
  if (Mutates(*txn, name())) return BuildResult::kNothingToDo;
  const Record record = PendingRecord();
  if (std::holds_alternative<std::monostate>(record)) {
    return BuildResult::kNothingToDo;
  }
  txn->preconditions.push_back({name(), ModRevisionOf(record)});
  // The write may be applied late, after the job has ended and its record has
  // been replaced by a terminal record. Without this precondition it would make
  // the job live again.
  const auto* job = std::get_if<JobRecord>(&record);
  if (job != nullptr && job->terminal_state == TerminalState::kNone) {
    const std::string id = name().substr(keys::kJob.size());
    txn->preconditions.push_back({keys::Of(keys::kTerminal, id), 0});
  }
  // For the same reason: without these preconditions, a late write would make a
  // job wait again that has been released or cancelled.
  if (std::holds_alternative<WaitingRecord>(record)) {
    const std::string id = name().substr(keys::kWaiting.size());
    if (catalog_.FindWaiting(id) == nullptr) return BuildResult::kNothingToDo;
    txn->preconditions.push_back({keys::Of(keys::kJob, id), 0});
    txn->preconditions.push_back({keys::Of(keys::kTerminal, id), 0});
  }
  txn->mutations.push_back({name(), record});
  return BuildResult::kAdded;
}

void ReconcileRecordOperation::OnRecorded(uint64_t revision, Time /*now*/) {
  if (revision == 0) return;
  catalog_.Put(name(), PendingRecord(), revision);
  if (!name().starts_with(keys::kJob)) return;
  const std::string id = name().substr(keys::kJob.size());
  if (catalog_.waiting().contains(id)) {
    dependencies_.DeleteObsoleteWaitingRecord(id);
  }
}

ReconcileTerminalStateOperation::ReconcileTerminalStateOperation(
    LeaderContext& context, std::string job_id, TerminalState terminal_state)
    : StoreOperation(std::move(job_id)),
      catalog_(context.catalog),
      terminal_state_(terminal_state) {}

BuildResult ReconcileTerminalStateOperation::Build(CompareAndSwap* txn) const {
  const uint32_t tasks = catalog_.FindTerminalRecord(name()).tasks;
  txn->mutations.push_back({keys::Of(keys::kTerminal, name()),
                            TerminalRecord{terminal_state_, tasks, 0}});
  return BuildResult::kAdded;
}

CompleteReconciliationOperation::CompleteReconciliationOperation(
    LeaderContext& context, const Reconciler& reconciler)
    : StoreOperation("epoch"),
      context_(context),
      catalog_(context.catalog),
      reconciler_(reconciler) {}

StoreEpoch CompleteReconciliationOperation::CompletedEpoch() const {
  StoreEpoch epoch = catalog_.epoch();
  epoch.rebuilt = true;
  epoch.whole = reconciler_.retained_records_complete();
  return epoch;
}

BuildResult CompleteReconciliationOperation::Build(CompareAndSwap* txn) const {
  const StoreEpoch& epoch = catalog_.epoch();
  if (epoch.rebuilt) return BuildResult::kNothingToDo;
  const std::string key(keys::kEpoch);
  txn->preconditions.push_back({key, epoch.mod_revision});
  txn->mutations.push_back({key, CompletedEpoch()});
  return BuildResult::kAdded;
}

void CompleteReconciliationOperation::OnRecorded(uint64_t revision,
                                                 Time /*now*/) {
  if (revision == 0) return;
  catalog_.Put(std::string(keys::kEpoch), CompletedEpoch(), revision);
  context_.Log(
      "reconciliation complete: all retained records are in the store");
}

}  // namespace oxbow
