#include "core/job_lifecycle/job_record_operations.h"

#include <utility>

#include "core/job_lifecycle/job_lifecycle.h"

namespace oxbow {

FinishJobOperation::FinishJobOperation(LeaderContext& context,
                                       ReadConsistencyGate& consistency_gate,
                                       JobLifecycle& job_lifecycle,
                                       std::string job_id,
                                       TerminalState terminal_state)
    : StoreOperation(std::move(job_id)),
      catalog_(context.catalog),
      consistency_gate_(consistency_gate),
      job_lifecycle_(job_lifecycle),
      terminal_state_(terminal_state) {}

BuildResult FinishJobOperation::Build(CompareAndSwap* txn) const {
  const JobRecord* record = catalog_.FindJob(name());
  if (record == nullptr || record->terminal_state != TerminalState::kNone) {
    return BuildResult::kNothingToDo;
  }
  const std::string key = keys::Of(keys::kJob, name());
  txn->preconditions.push_back({key, record->mod_revision});
  txn->mutations.push_back(
      {key, TerminatedRecord(*record, terminal_state_, compact())});
  return BuildResult::kAdded;
}

void FinishJobOperation::OnRecorded(uint64_t revision, Time now) {
  if (revision > 0) {
    catalog_.Put(
        keys::Of(keys::kJob, name()),
        TerminatedRecord(*catalog_.FindJob(name()), terminal_state_, compact()),
        revision);
  }
  const JobRecord* record = catalog_.FindJob(name());
  const TerminalState recorded = record != nullptr
                                     ? record->terminal_state
                                     : catalog_.FindTerminalState(name());
  if (recorded == TerminalState::kNone) return;
  consistency_gate_.OnConfirmed(name());
  job_lifecycle_.OnTerminalStateRecorded(name(), recorded, now);
}

RetireJobOperation::RetireJobOperation(LeaderContext& context,
                                       ReadConsistencyGate& consistency_gate,
                                       std::string job_id)
    : StoreOperation(std::move(job_id)),
      context_(context),
      catalog_(context.catalog),
      consistency_gate_(consistency_gate) {}

BuildResult RetireJobOperation::Build(CompareAndSwap* txn) const {
  const JobRecord* record = catalog_.FindJob(name());
  if (record == nullptr || record->terminal_state == TerminalState::kNone) {
    return BuildResult::kNothingToDo;
  }
  const std::string key = keys::Of(keys::kJob, name());
  txn->preconditions.push_back({key, record->mod_revision});
  txn->mutations.push_back(
      {keys::Of(keys::kTerminal, name()),
       TerminalRecord{record->terminal_state, record->spec->tasks, 0}});
  txn->mutations.push_back({key, {}});
  return BuildResult::kAdded;
}

void RetireJobOperation::OnRecorded(uint64_t revision, Time /*now*/) {
  if (revision > 0) catalog_.Erase(keys::Of(keys::kJob, name()), revision);
  if (catalog_.FindJob(name()) == nullptr) {
    consistency_gate_.OnConfirmed(name());
  }
  if (catalog_.FindTerminalState(name()) == TerminalState::kAborted) {
    context_.actions.push_back(JobTerminated{name(), TerminalState::kAborted});
  }
  const Job* job = context_.cluster.FindJob(name());
  if (job == nullptr) return;
  // A start that was unanswered for minutes has turned up since the write was
  // built: the job is removed once that attempt is gone as well.
  if (job->charged_attempts() > 0) return;
  context_.cluster.RemoveJob(name());
}

}  // namespace oxbow
