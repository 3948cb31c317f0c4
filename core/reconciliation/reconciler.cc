#include "core/reconciliation/reconciler.h"

#include <algorithm>
#include <utility>

#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_lifecycle.h"

namespace oxbow {
namespace {

// A job that is remembered alive, and whose end has been read since, goes back
// as one that has ended.
Record PendingRecord(const Catalog& catalog, const WriteOp& op) {
  Record record = catalog.RecordOf(op.name);
  auto* job = std::get_if<JobRecord>(&record);
  if (job != nullptr && job->terminal_state == TerminalState::kNone) {
    job->terminal_state =
        catalog.FindTerminalState(op.name.substr(keys::kJob.size()));
  }
  if (job != nullptr && job->terminal_state != TerminalState::kNone) {
    *job = TerminatedRecord(*job, job->terminal_state, op.compact);
  }
  return record;
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
    writes_.Queue({WriteKind::kReconcileRecord, reconciliation_queue_.back()},
                  /*lazy=*/true);
    reconciliation_queue_.pop_back();
    ++queued;
  }
  while (reconciliation_queue_.empty() &&
         !unrecorded_terminal_states_.empty() && queued < batch) {
    auto& [id, state] = unrecorded_terminal_states_.back();
    writes_.Queue({WriteKind::kReconcileTerminalState, id, state},
                  /*lazy=*/true);
    unrecorded_terminal_states_.pop_back();
    ++queued;
  }
  if (queued == 0 && terminal_states_compared_ &&
      catalog_.pending_writes().empty() && writes_.waiting() == 0) {
    writes_.Queue({WriteKind::kCompleteReconciliation, "epoch"}, /*lazy=*/true);
  }
  writes_.Flush(now);
}

bool Reconciler::BuildReconciliationWrite(const WriteOp& op,
                                          CompareAndSwap* txn) const {
  switch (op.kind) {
    case WriteKind::kReconcileRecord: {
      if (!catalog_.pending_writes().contains(op.name)) return false;
      // Something newer goes into this very transaction, and would be undone.
      if (std::any_of(txn->mutations.begin(), txn->mutations.end(),
                      [&](const Mutation& mutation) {
                        return mutation.key == op.name;
                      })) {
        return false;
      }
      const Record record = PendingRecord(catalog_, op);
      const uint64_t there = std::visit(
          [](const auto& r) -> uint64_t {
            if constexpr (requires { r.mod_revision; }) {
              return r.mod_revision;
            } else {
              return 0;
            }
          },
          record);
      if (std::holds_alternative<std::monostate>(record)) return false;
      txn->preconditions.push_back({op.name, there});
      // Carried out late, after the job has ended and moved, it would let it
      // live again.
      const auto* job = std::get_if<JobRecord>(&record);
      if (job != nullptr && job->terminal_state == TerminalState::kNone) {
        txn->preconditions.push_back(
            {keys::Of(keys::kTerminal, op.name.substr(keys::kJob.size())), 0});
      }
      // Likewise, after the job was released or cancelled, it would wait again.
      if (std::holds_alternative<WaitingRecord>(record)) {
        const std::string id = op.name.substr(keys::kWaiting.size());
        if (catalog_.FindWaiting(id) == nullptr) return false;
        txn->preconditions.push_back({keys::Of(keys::kJob, id), 0});
        txn->preconditions.push_back({keys::Of(keys::kTerminal, id), 0});
      }
      txn->mutations.push_back({op.name, record});
      return true;
    }
    case WriteKind::kReconcileTerminalState: {
      const TerminalRecord known = catalog_.FindTerminalRecord(op.name);
      txn->mutations.push_back(
          {keys::Of(keys::kTerminal, op.name),
           TerminalRecord{op.terminal_state, known.tasks, 0}});
      return true;
    }
    case WriteKind::kCompleteReconciliation: {
      StoreEpoch epoch = catalog_.epoch();
      if (epoch.rebuilt) return false;
      txn->preconditions.push_back(
          {std::string(keys::kEpoch), epoch.mod_revision});
      epoch.rebuilt = true;
      epoch.whole = retained_records_complete_;
      txn->mutations.push_back({std::string(keys::kEpoch), epoch});
      return true;
    }
    default:
      return false;
  }
}

void Reconciler::OnReconciliationWritten(const WriteOp& op, uint64_t revision) {
  if (revision == 0) return;
  if (op.kind == WriteKind::kReconcileRecord) {
    catalog_.Put(op.name, PendingRecord(catalog_, op), revision);
    if (op.name.starts_with(keys::kJob)) {
      const std::string id = op.name.substr(keys::kJob.size());
      if (catalog_.waiting().contains(id)) {
        writes_.Queue({WriteKind::kTidyWaiting, id}, /*lazy=*/true);
      }
    }
  } else if (op.kind == WriteKind::kCompleteReconciliation) {
    StoreEpoch epoch = catalog_.epoch();
    epoch.rebuilt = true;
    epoch.whole = retained_records_complete_;
    catalog_.Put(std::string(keys::kEpoch), epoch, revision);
    context_.Log(
        "everything that is remembered stands in the state service again");
  }
}

}  // namespace oxbow
