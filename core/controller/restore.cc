// After the state service has lost data: what is owed to it is written back,
// and what has no record is left alone. See docs/recovery.md.

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"

namespace oxbow {
namespace {

// A job that is remembered alive, and whose end has been read since, goes back
// as one that has ended.
Record OwedRecord(const Catalog& catalog, const WriteOp& op) {
  Record record = catalog.RecordOf(op.name);
  auto* job = std::get_if<JobRecord>(&record);
  if (job != nullptr && job->terminal_state == TerminalState::kNone) {
    job->terminal_state =
        catalog.FindTerminalState(op.name.substr(keys::kJob.size()));
  }
  if (job != nullptr && job->terminal_state != TerminalState::kNone) {
    *job = EndedRecord(*job, job->terminal_state, op.compact);
  }
  return record;
}

}  // namespace

std::vector<Condition> Controller::Mandate(const Catalog& catalog,
                                           uint64_t revision) {
  std::vector<Condition> mandate{{std::string(keys::kLeader), revision}};
  // Without it, a write that is applied after the service has stepped back
  // could find the leader key at the same revision by chance.
  if (catalog.epoch().number > 0) {
    auto [key, stamp] = catalog.Guard();
    mandate.push_back({std::move(key), stamp});
  }
  return mandate;
}

// A task that runs without a record: either its job has ended, which is known
// or can be read, or its record is lost, and killing it would be the loss of
// the work as well.
bool Controller::MayDropUnknown(const Resident& r, Time now) {
  if (!Careful() ||
      catalog_.FindTerminalState(r.job_id) != TerminalState::kNone) {
    return true;
  }
  const auto [asked, first] = asked_jobs_.try_emplace(r.job_id, now);
  if (first || now >= asked->second) {
    asked->second = now + settings_.workers.lease_s;
    actions_.push_back(AskJob{r.job_id});
  }
  return false;
}

Resources Controller::OrphanBound() const {
  Resources bound;
  for (const auto& m : machines_) {
    if (m->orphans > 0) bound += m->total();
  }
  return bound;
}

bool Controller::ViewOrphans(const std::string& id, JobView* out) const {
  bool there = false;
  out->done = 0;
  out->running = 0;
  for (const auto& m : machines_) {
    if (m->orphans == 0) continue;
    for (auto r = m->residents.lower_bound({id, 0, 0});
         r != m->residents.end() && r->first.job_id == id; ++r) {
      there = there || IsOrphan(r->second);
      out->running += r->second.phase == TaskPhase::kRunning;
    }
  }
  out->status = out->running > 0 ? "running" : "pending";
  return there;
}

std::vector<std::string> Controller::Alarms() const {
  std::vector<std::string> alarms = liveness_.Alarms();
  int orphans = 0;
  for (const auto& m : machines_) orphans += m->orphans;
  if (orphans > 0) {
    alarms.push_back(std::to_string(orphans) +
                     " tasks run whose jobs have no record");
  }
  if (!catalog_.owed().empty()) {
    alarms.push_back(std::to_string(catalog_.owed().size()) +
                     " records are still to be written back");
  }
  if (writes_.set_aside() > 0) {
    alarms.push_back(std::to_string(writes_.set_aside()) +
                     " writes are larger than the state service takes");
  }
  if (!catalog_.epoch().whole) {
    alarms.push_back(
        "jobs may have been lost with the state service's data: whoever misses "
        "one submits it again");
  }
  return alarms;
}

// Machines first: a leader that takes over has to know where to look. Then
// live services, then all else that users wait for.
std::vector<std::string> Controller::RestoreOrder() const {
  const auto rank = [this](const std::string& key) {
    if (key.starts_with(keys::kMachine)) return 0;
    if (!key.starts_with(keys::kJob)) return 3;
    const JobRecord* job = catalog_.FindJob(key.substr(keys::kJob.size()));
    return job != nullptr && job->spec->priority == Priority::kProduction ? 1
                                                                          : 2;
  };
  std::vector<std::pair<int, std::string>> ranked;
  for (const auto& [key, version] : catalog_.owed()) {
    ranked.emplace_back(rank(key), key);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (auto& [r, key] : ranked) order.push_back(std::move(key));
  return order;
}

void Controller::OnEndsOwed(
    std::vector<std::pair<std::string, TerminalState>> ends, bool whole) {
  ends_owed_ = std::move(ends);
  ends_compared_ = true;
  memory_whole_ = whole;
}

void Controller::TickRestore(Time now) {
  // The picture against the records, once a lease: a record that came past
  // every event (its hint lost, its job taken in while this leader took office)
  // runs all the same, an end that was read on the side ends its job, and a job
  // whose record is gone is asked about. Each of these would stay as it is for
  // ever, and a cancellation of the last be refused for as long. Stands for all
  // of them among those that are asked about.
  const auto [next, first] = asked_jobs_.try_emplace("", now);
  if (now >= next->second) {
    next->second = now + settings_.workers.lease_s;
    std::vector<std::string> news;
    for (const auto& [id, record] : catalog_.jobs()) {
      const auto it = jobs_.find(id);
      if (it == jobs_.end() || (record.terminal_state != TerminalState::kNone &&
                                it->second->state() != JobState::kDone &&
                                it->second->state() != JobState::kAborted)) {
        news.push_back(id);
      }
    }
    for (const std::string& id : news) OnJobRecord(id, now);
    std::vector<std::string> waiting;
    for (const auto& [id, record] : catalog_.waiting()) {
      if (chains_.Find(id) == nullptr) waiting.push_back(id);
    }
    for (const std::string& id : waiting) OnWaitingRecord(id, now);
    std::vector<std::pair<std::string, TerminalState>> ended;
    for (const auto& [id, job] : jobs_) {
      if (job->state() == JobState::kDone ||
          job->state() == JobState::kAborted ||
          catalog_.FindJob(id) != nullptr) {
        continue;
      }
      const TerminalState end = catalog_.FindTerminalState(id);
      if (end != TerminalState::kNone) {
        ended.emplace_back(id, end);
      } else if (Careful()) {
        actions_.push_back(AskJob{id});
      }
    }
    for (const auto& [id, end] : ended) OnTerminalStateRecorded(id, end, now);
  }
  // After the rebuild nothing is owed, but by one that had no part in it and
  // leads before it has handed in what it remembers.
  if (catalog_.epoch().rebuilt && catalog_.owed().empty()) return;
  // What is going on comes first; this fills the rest of the transactions.
  const auto batch = static_cast<size_t>(settings_.state.txn_ops);
  if (writes_.waiting() >= batch) return;
  if (restore_.empty()) restore_ = RestoreOrder();
  size_t queued = 0;
  while (!restore_.empty() && queued < batch) {
    writes_.Queue({WriteKind::kRestore, restore_.back()}, /*lazy=*/true);
    restore_.pop_back();
    ++queued;
  }
  while (restore_.empty() && !ends_owed_.empty() && queued < batch) {
    auto& [id, state] = ends_owed_.back();
    writes_.Queue({WriteKind::kRestoreTerminalState, id, state}, /*lazy=*/true);
    ends_owed_.pop_back();
    ++queued;
  }
  if (queued == 0 && ends_compared_ && catalog_.owed().empty() &&
      writes_.waiting() == 0) {
    writes_.Queue({WriteKind::kRebuilt, "epoch"}, /*lazy=*/true);
  }
  writes_.Flush(now);
}

bool Controller::BuildRestore(const WriteOp& op, WriteTransaction* txn) const {
  switch (op.kind) {
    case WriteKind::kRestore: {
      if (!catalog_.owed().contains(op.name)) return false;
      // Something newer goes into this very transaction, and would be undone.
      if (std::any_of(txn->changes.begin(), txn->changes.end(),
                      [&](const KeyChange& c) { return c.key == op.name; })) {
        return false;
      }
      const Record record = OwedRecord(catalog_, op);
      const uint64_t there = std::visit(
          [](const auto& r) -> uint64_t {
            if constexpr (requires { r.stamp; }) {
              return r.stamp;
            } else {
              return 0;
            }
          },
          record);
      if (std::holds_alternative<std::monostate>(record)) return false;
      txn->conditions.push_back({op.name, there});
      // Carried out late, after the job has ended and moved, it would let it
      // live again.
      const auto* job = std::get_if<JobRecord>(&record);
      if (job != nullptr && job->terminal_state == TerminalState::kNone) {
        txn->conditions.push_back(
            {keys::Of(keys::kTerminal, op.name.substr(keys::kJob.size())), 0});
      }
      // Likewise, after the job was released or cancelled, it would wait again.
      if (std::holds_alternative<WaitingRecord>(record)) {
        const std::string id = op.name.substr(keys::kWaiting.size());
        if (catalog_.FindWaiting(id) == nullptr) return false;
        txn->conditions.push_back({keys::Of(keys::kJob, id), 0});
        txn->conditions.push_back({keys::Of(keys::kTerminal, id), 0});
      }
      txn->changes.push_back({op.name, record});
      return true;
    }
    case WriteKind::kRestoreTerminalState: {
      const TerminalRecord known = catalog_.FindEnd(op.name);
      txn->changes.push_back(
          {keys::Of(keys::kTerminal, op.name),
           TerminalRecord{op.terminal_state, known.tasks, 0}});
      return true;
    }
    case WriteKind::kRebuilt: {
      StoreEpoch epoch = catalog_.epoch();
      if (epoch.rebuilt) return false;
      txn->conditions.push_back({std::string(keys::kEpoch), epoch.stamp});
      epoch.rebuilt = true;
      epoch.whole = memory_whole_;
      txn->changes.push_back({std::string(keys::kEpoch), epoch});
      return true;
    }
    default:
      return false;
  }
}

void Controller::RestoreDone(const WriteOp& op, uint64_t revision) {
  if (revision == 0) return;
  if (op.kind == WriteKind::kRestore) {
    catalog_.Put(op.name, OwedRecord(catalog_, op), revision);
    if (op.name.starts_with(keys::kJob)) {
      const std::string id = op.name.substr(keys::kJob.size());
      if (catalog_.waiting().contains(id)) {
        writes_.Queue({WriteKind::kTidyWaiting, id}, /*lazy=*/true);
      }
    }
  } else if (op.kind == WriteKind::kRebuilt) {
    StoreEpoch epoch = catalog_.epoch();
    epoch.rebuilt = true;
    epoch.whole = memory_whole_;
    catalog_.Put(std::string(keys::kEpoch), epoch, revision);
    Log("everything that is remembered stands in the state service again");
  }
}

}  // namespace oxbow
