#include "core/dependencies/dependency_operations.h"

#include <memory>
#include <utility>

#include "core/dependencies/dependency_coordinator.h"

namespace oxbow {
namespace {

bool IsInState(const DependentJob* job, DependencyState state) {
  return job != nullptr && job->state == state;
}

}  // namespace

WaitingRecordOperation::WaitingRecordOperation(
    LeaderContext& context, DependencyCoordinator& coordinator,
    std::string job_id)
    : StoreOperation(std::move(job_id)),
      catalog_(context.catalog),
      coordinator_(coordinator) {}

bool WaitingRecordOperation::IsWaitingRecordCurrent() const {
  return catalog_.FindWaiting(name()) != nullptr;
}

BuildResult WaitingRecordOperation::Build(CompareAndSwap* txn) const {
  const auto it = catalog_.waiting().find(name());
  if (it == catalog_.waiting().end()) return BuildResult::kNothingToDo;
  const WaitingRecord& waiting = it->second;
  if (BuildOutcome(waiting, txn) == BuildResult::kNothingToDo) {
    return BuildResult::kNothingToDo;
  }
  txn->mutations.push_back({WaitingKey(), {}});
  return BuildResult::kAdded;
}

void WaitingRecordOperation::OnRecorded(uint64_t revision, Time now) {
  const auto it = catalog_.waiting().find(name());
  if (revision > 0 && it != catalog_.waiting().end()) {
    const WaitingRecord waiting = it->second;
    ApplyToCatalog(waiting, revision);
    catalog_.Erase(WaitingKey(), revision);
  }
  coordinator_.OnWaitingRecordWritten(name(), now);
}

ReleaseDependentOperation::ReleaseDependentOperation(
    LeaderContext& context, DependencyCoordinator& coordinator,
    std::string job_id, double released_wall)
    : WaitingRecordOperation(context, coordinator, std::move(job_id)),
      released_wall_(released_wall) {}

JobRecord ReleaseDependentOperation::ReleasedRecord(
    const WaitingRecord& waiting) const {
  JobRecord job{waiting.spec, waiting.submitted_wall, TerminalState::kNone, 0,
                released_wall_};
  if (compact()) {
    // The store rejected the record as too large. A released job does not need
    // the ids of its dependencies any more.
    auto spec = std::make_shared<JobSpec>(*waiting.spec);
    spec->dependencies.clear();
    job.spec = std::move(spec);
  }
  return job;
}

BuildResult ReleaseDependentOperation::BuildOutcome(
    const WaitingRecord& waiting, CompareAndSwap* txn) const {
  if (!IsWaitingRecordCurrent() ||
      !IsInState(coordinator_.Find(name()), DependencyState::kReleasing)) {
    return BuildResult::kNothingToDo;
  }
  txn->preconditions.push_back({WaitingKey(), waiting.mod_revision});
  txn->preconditions.push_back({JobKey(), 0});
  txn->preconditions.push_back({TerminalKey(), 0});
  txn->mutations.push_back({JobKey(), ReleasedRecord(waiting)});
  return BuildResult::kAdded;
}

void ReleaseDependentOperation::ApplyToCatalog(const WaitingRecord& waiting,
                                               uint64_t revision) {
  catalog_.Put(JobKey(), ReleasedRecord(waiting), revision);
}

BuildResult CancelDependentOperation::BuildOutcome(const WaitingRecord& waiting,
                                                   CompareAndSwap* txn) const {
  if (!IsWaitingRecordCurrent() ||
      !IsInState(coordinator_.Find(name()), DependencyState::kCancelling)) {
    return BuildResult::kNothingToDo;
  }
  txn->preconditions.push_back({WaitingKey(), waiting.mod_revision});
  txn->preconditions.push_back({JobKey(), 0});
  txn->mutations.push_back(
      {TerminalKey(),
       TerminalRecord{TerminalState::kAborted, waiting.spec->tasks, 0}});
  return BuildResult::kAdded;
}

void CancelDependentOperation::ApplyToCatalog(const WaitingRecord& waiting,
                                              uint64_t /*revision*/) {
  catalog_.RememberTerminalState(
      name(), {TerminalState::kAborted, waiting.spec->tasks, 0});
}

BuildResult DeleteObsoleteWaitingOperation::BuildOutcome(
    const WaitingRecord& waiting, CompareAndSwap* txn) const {
  if (IsWaitingRecordCurrent()) return BuildResult::kNothingToDo;
  txn->preconditions.push_back({WaitingKey(), waiting.mod_revision});
  const JobRecord* job = catalog_.FindJob(name());
  if (job == nullptr) {
    txn->mutations.push_back(
        {TerminalKey(), TerminalRecord{catalog_.FindTerminalState(name()),
                                       waiting.spec->tasks, 0}});
    return BuildResult::kAdded;
  }
  // The live record must be written back first. ReconcileRecordOperation
  // requests this deletion again when that is done.
  if (catalog_.pending_writes().contains(JobKey())) {
    return BuildResult::kNothingToDo;
  }
  txn->preconditions.push_back({JobKey(), job->mod_revision});
  return BuildResult::kAdded;
}

}  // namespace oxbow
