#include "core/reconciliation/reconciler.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/reconciliation/reconciliation_operations.h"

namespace oxbow {
namespace {

// The order in which records are written back. Machines come first, since a
// leader that is elected meanwhile must know which machines to ask. Then come
// live production jobs, then the other live jobs that users wait for.
enum class Urgency { kMachine, kProductionJob, kOtherJob, kOther };

Urgency UrgencyOf(const Catalog& catalog, const std::string& key) {
  if (key.starts_with(keys::kMachine)) return Urgency::kMachine;
  if (!key.starts_with(keys::kJob)) return Urgency::kOther;
  const JobRecord* job = catalog.FindJob(key.substr(keys::kJob.size()));
  return job != nullptr && job->spec->priority == Priority::kProduction
             ? Urgency::kProductionJob
             : Urgency::kOtherJob;
}

bool HasEnded(const Job& job) {
  return job.state() == JobState::kDone || job.state() == JobState::kAborted;
}

}  // namespace

Reconciler::Reconciler(LeaderContext& context, const Modules& modules)
    : context_(context),
      settings_(context.settings),
      tuning_(context.tuning),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      dependencies_(modules.dependencies),
      job_lifecycle_(modules.job_lifecycle) {}

// A task's job is unknown either because it has ended, which is known or can be
// read from the store, or because its record is lost. In the latter case, to
// stop the task would lose its work as well.
bool Reconciler::MayStopUnknownTask(const TaskAttempt& attempt, Time now) {
  if (!RecoveryEnabled() ||
      catalog_.FindTerminalState(attempt.job_id) != TerminalState::kNone) {
    return true;
  }
  const auto [next, first] =
      next_record_request_.try_emplace(attempt.job_id, now);
  if (first || now >= next->second) {
    next->second = now + settings_.workers.lease_seconds;
    actions_.push_back(RequestJobRecord{attempt.job_id});
  }
  return false;
}

UnrecordedJobView Reconciler::ViewOrphanedTasks(
    const std::string& job_id) const {
  UnrecordedJobView unrecorded;
  for (const auto& machine : cluster_.machines()) {
    if (machine->orphaned_tasks == 0) continue;
    for (auto it = machine->task_attempts.lower_bound({job_id, 0, 0});
         it != machine->task_attempts.end() && it->first.job_id == job_id;
         ++it) {
      const TaskAttempt& attempt = it->second;
      if (cluster_.IsOrphaned(attempt)) unrecorded.has_orphaned_tasks = true;
      if (attempt.phase == TaskPhase::kRunning) ++unrecorded.view.running;
    }
  }
  unrecorded.view.status = unrecorded.view.running > 0 ? "running" : "pending";
  return unrecorded;
}

std::vector<std::string> Reconciler::PendingKeysByUrgency() const {
  struct RankedKey {
    Urgency urgency;
    std::string key;
    auto operator<=>(const RankedKey&) const = default;
  };
  std::vector<RankedKey> ranked;
  for (const auto& [key, version] : catalog_.pending_writes()) {
    ranked.push_back({UrgencyOf(catalog_, key), key});
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> keys_by_urgency;
  keys_by_urgency.reserve(ranked.size());
  for (RankedKey& entry : ranked) {
    keys_by_urgency.push_back(std::move(entry.key));
  }
  return keys_by_urgency;
}

void Reconciler::OnUnrecordedTerminalStates(
    std::vector<UnrecordedTerminalState> states, bool complete) {
  unrecorded_terminal_states_ = std::move(states);
  terminal_states_compared_ = true;
  retained_records_complete_ = complete;
}

void Reconciler::TickReconciliation(Time now) {
  CompareWithRecords(now);
  // Once this store epoch is rebuilt nothing is pending, except on a leader
  // that had no part in the rebuild and was elected before it has contributed
  // the records that it retains.
  if (catalog_.epoch().rebuilt && catalog_.pending_writes().empty()) return;
  // Current writes come first. Writes of the reconciliation only fill the rest
  // of a transaction.
  const auto batch = static_cast<size_t>(settings_.store.txn_ops);
  if (writes_.waiting() >= batch) return;
  size_t queued = QueuePendingRecords(batch);
  queued += QueueTerminalStates(batch - queued);
  if (queued == 0 && terminal_states_compared_ &&
      catalog_.pending_writes().empty() && writes_.waiting() == 0) {
    writes_.Enqueue(
        std::make_unique<CompleteReconciliationOperation>(context_, *this),
        WritePriority::kBackground);
  }
  writes_.Flush(now);
}

// This leader may learn of a record by no event: the notification was lost, the
// job was accepted while this leader was being elected, or its terminal state
// was read for another purpose. Without this comparison the job would keep its
// state forever, and a request to cancel it would be refused forever.
void Reconciler::CompareWithRecords(Time now) {
  if (next_comparison_ && now < *next_comparison_) return;
  next_comparison_ = now + settings_.workers.lease_seconds;
  ProcessMissedJobRecords(now);
  ProcessMissedWaitingRecords(now);
  ResolveJobsWithoutRecord(now);
}

void Reconciler::ProcessMissedJobRecords(Time now) {
  std::vector<std::string> missed;
  for (const auto& [id, record] : catalog_.jobs()) {
    const auto it = cluster_.jobs().find(id);
    if (it == cluster_.jobs().end() ||
        (record.terminal_state != TerminalState::kNone &&
         !HasEnded(*it->second))) {
      missed.push_back(id);
    }
  }
  for (const std::string& id : missed) job_lifecycle_.OnJobRecord(id, now);
}

void Reconciler::ProcessMissedWaitingRecords(Time now) {
  std::vector<std::string> missed;
  for (const auto& [id, record] : catalog_.waiting()) {
    if (dependencies_.Find(id) == nullptr) missed.push_back(id);
  }
  for (const std::string& id : missed) dependencies_.OnWaitingRecord(id, now);
}

void Reconciler::ResolveJobsWithoutRecord(Time now) {
  std::vector<UnrecordedTerminalState> ended;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (HasEnded(*job) || catalog_.FindJob(id) != nullptr) continue;
    const TerminalState state = catalog_.FindTerminalState(id);
    if (state != TerminalState::kNone) {
      ended.push_back({id, state});
    } else if (RecoveryEnabled()) {
      actions_.push_back(RequestJobRecord{id});
    }
  }
  for (const UnrecordedTerminalState& job : ended) {
    job_lifecycle_.OnTerminalStateRecorded(job.job_id, job.state, now);
  }
}

size_t Reconciler::QueuePendingRecords(size_t max_operations) {
  if (pending_keys_.empty()) pending_keys_ = PendingKeysByUrgency();
  size_t queued = 0;
  while (!pending_keys_.empty() && queued < max_operations) {
    writes_.Enqueue(std::make_unique<ReconcileRecordOperation>(
                        context_, dependencies_, pending_keys_.back()),
                    WritePriority::kBackground);
    pending_keys_.pop_back();
    ++queued;
  }
  return queued;
}

size_t Reconciler::QueueTerminalStates(size_t max_operations) {
  size_t queued = 0;
  while (pending_keys_.empty() && !unrecorded_terminal_states_.empty() &&
         queued < max_operations) {
    const UnrecordedTerminalState& job = unrecorded_terminal_states_.back();
    writes_.Enqueue(std::make_unique<ReconcileTerminalStateOperation>(
                        context_, job.job_id, job.state),
                    WritePriority::kBackground);
    unrecorded_terminal_states_.pop_back();
    ++queued;
  }
  return queued;
}

}  // namespace oxbow
