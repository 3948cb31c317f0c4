#include "core/reconciliation/reconciler.h"

#include <algorithm>
#include <utility>

#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/reconciliation/reconciliation_operations.h"

namespace oxbow {
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

// A task that runs without a record: either its job has ended, which is known
// or can be read, or its record is lost, and killing it would be the loss of
// the work as well.
bool Reconciler::MayStopUnknownTask(const TaskAttempt& attempt, Time now) {
  if (!RecoveryEnabled() ||
      catalog_.FindTerminalState(attempt.job_id) != TerminalState::kNone) {
    return true;
  }
  const auto [asked, first] = asked_jobs_.try_emplace(attempt.job_id, now);
  if (first || now >= asked->second) {
    asked->second = now + settings_.workers.lease_seconds;
    actions_.push_back(RequestJobRecord{attempt.job_id});
  }
  return false;
}

bool Reconciler::ViewOrphanedTasks(const std::string& id, JobView* out) const {
  bool there = false;
  out->done = 0;
  out->running = 0;
  for (const auto& machine : cluster_.machines()) {
    if (machine->orphaned_tasks == 0) continue;
    for (auto r = machine->task_attempts.lower_bound({id, 0, 0});
         r != machine->task_attempts.end() && r->first.job_id == id; ++r) {
      there = there || cluster_.IsOrphaned(r->second);
      out->running += r->second.phase == TaskPhase::kRunning;
    }
  }
  out->status = out->running > 0 ? "running" : "pending";
  return there;
}

// Machines first: a leader that takes over has to know where to look. Then
// live services, then all else that users wait for.
std::vector<std::string> Reconciler::ReconciliationOrder() const {
  const auto rank = [this](const std::string& key) {
    if (key.starts_with(keys::kMachine)) return 0;
    if (!key.starts_with(keys::kJob)) return 3;
    const JobRecord* job = catalog_.FindJob(key.substr(keys::kJob.size()));
    return job != nullptr && job->spec->priority == Priority::kProduction ? 1
                                                                          : 2;
  };
  std::vector<std::pair<int, std::string>> ranked;
  for (const auto& [key, version] : catalog_.pending_writes()) {
    ranked.emplace_back(rank(key), key);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (auto& [r, key] : ranked) order.push_back(std::move(key));
  return order;
}

void Reconciler::OnUnrecordedTerminalStates(
    std::vector<std::pair<std::string, TerminalState>> ends, bool whole) {
  unrecorded_terminal_states_ = std::move(ends);
  terminal_states_compared_ = true;
  retained_records_complete_ = whole;
}

void Reconciler::TickReconciliation(Time now) {
  // The picture against the records, once a lease: a record that came past
  // every event (its hint lost, its job taken in while this leader took office)
  // runs all the same, an end that was read on the side ends its job, and a job
  // whose record is gone is asked about. Each of these would stay as it is for
  // ever, and a cancellation of the last be refused for as long. Stands for all
  // of them among those that are asked about.
  const auto [next, first] = asked_jobs_.try_emplace("", now);
  if (now >= next->second) {
    next->second = now + settings_.workers.lease_seconds;
    std::vector<std::string> news;
    for (const auto& [id, record] : catalog_.jobs()) {
      const auto it = cluster_.jobs().find(id);
      if (it == cluster_.jobs().end() ||
          (record.terminal_state != TerminalState::kNone &&
           it->second->state() != JobState::kDone &&
           it->second->state() != JobState::kAborted)) {
        news.push_back(id);
      }
    }
    for (const std::string& id : news) job_lifecycle_.OnJobRecord(id, now);
    std::vector<std::string> waiting;
    for (const auto& [id, record] : catalog_.waiting()) {
      if (dependencies_.Find(id) == nullptr) waiting.push_back(id);
    }
    for (const std::string& id : waiting)
      dependencies_.OnWaitingRecord(id, now);
    std::vector<std::pair<std::string, TerminalState>> ended;
    for (const auto& [id, job] : cluster_.jobs()) {
      if (job->state() == JobState::kDone ||
          job->state() == JobState::kAborted ||
          catalog_.FindJob(id) != nullptr) {
        continue;
      }
      const TerminalState end = catalog_.FindTerminalState(id);
      if (end != TerminalState::kNone) {
        ended.emplace_back(id, end);
      } else if (RecoveryEnabled()) {
        actions_.push_back(RequestJobRecord{id});
      }
    }
    for (const auto& [id, end] : ended)
      job_lifecycle_.OnTerminalStateRecorded(id, end, now);
  }
  // After the rebuild nothing is owed, but by one that had no part in it and
  // leads before it has handed in what it remembers.
  if (catalog_.epoch().rebuilt && catalog_.pending_writes().empty()) return;
  // What is going on comes first; this fills the rest of the transactions.
  const auto batch = static_cast<size_t>(settings_.store.txn_ops);
  if (writes_.waiting() >= batch) return;
  if (reconciliation_queue_.empty())
    reconciliation_queue_ = ReconciliationOrder();
  size_t queued = 0;
  while (!reconciliation_queue_.empty() && queued < batch) {
    writes_.Enqueue(std::make_unique<ReconcileRecordOperation>(
                        context_, dependencies_, reconciliation_queue_.back()),
                    WritePriority::kBackground);
    reconciliation_queue_.pop_back();
    ++queued;
  }
  while (reconciliation_queue_.empty() &&
         !unrecorded_terminal_states_.empty() && queued < batch) {
    auto& [id, state] = unrecorded_terminal_states_.back();
    writes_.Enqueue(
        std::make_unique<ReconcileTerminalStateOperation>(context_, id, state),
        WritePriority::kBackground);
    unrecorded_terminal_states_.pop_back();
    ++queued;
  }
  if (queued == 0 && terminal_states_compared_ &&
      catalog_.pending_writes().empty() && writes_.waiting() == 0) {
    writes_.Enqueue(
        std::make_unique<CompleteReconciliationOperation>(context_, *this),
        WritePriority::kBackground);
  }
  writes_.Flush(now);
}

}  // namespace oxbow
