// Jobs that wait for others, on the leader: when one is released or cancelled,
// by which write, and how jobs ended that nobody here remembers. A release and
// a cancellation are one transaction each, conditioned on the waiting record:
// of two that are under way only one is carried out, and a late one fails.

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"

namespace oxbow {
namespace {

// Needed jobs looked at in each round of planning.
constexpr size_t kNeedsAtOnce = 256;
// Reads of an end under way at once.
constexpr int kEndReadsAtOnce = 4;
// Estimates are often wrong by half.
constexpr double kPathMargin = 1.5;
// From a job's end to the next one's start, in report intervals: its last
// report, the record, the release, the order.
constexpr double kStepReports = 2;

std::string WaitingKey(const std::string& id) {
  return keys::Of(keys::kWaiting, id);
}

JobRecord Released(const WaitingRecord& waiting, double released_wall) {
  return {waiting.spec, waiting.submitted_wall, TerminalState::kNone, 0,
          released_wall};
}

}  // namespace

TerminalState Controller::EndOf(const std::string& id) const {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (end != TerminalState::kNone) return end;
  // A recorded cancellation decides, long before its user can be told.
  const JobRecord* job = catalog_.FindJob(id);
  return job == nullptr ? TerminalState::kNone : job->terminal_state;
}

double Controller::PathSeconds(const JobSpec& spec) const {
  return kPathMargin * RunSeconds(spec) +
         kStepReports * settings_.workers.report_s;
}

DueTimes Controller::DueOf(const JobSpec& spec, Time submitted) const {
  return queue_order_.DueOf(spec, submitted);
}

void Controller::OnWaitingRecord(const std::string& id, Time now) {
  const auto it = catalog_.waiting().find(id);
  if (it == catalog_.waiting().end()) return;
  // It was released or has ended: an older copy has come back.
  if (catalog_.FindWaiting(id) == nullptr) {
    writes_.Queue({WriteKind::kTidyWaiting, id}, /*lazy=*/true);
    return;
  }
  const WaitingRecord& record = it->second;
  const Time submitted =
      std::min(now, record.submitted_wall - wall_minus_steady_);
  chains_.Add(record.spec, submitted,
              [this](const std::string& need) { return EndOf(need); });
  for (const std::string& need : record.spec->waits_on) AskEnd(need, now);
  quiet_since_ = now;
  UpdateInherited();
  QueueChainSteps(now);
  writes_.Flush(now);
}

// A job that is neither live here, nor waiting, nor known to have ended. That
// it is missing proves nothing: only a record found counts.
void Controller::AskEnd(const std::string& need, Time now) {
  if (EndOf(need) != TerminalState::kNone ||
      catalog_.FindJob(need) != nullptr ||
      catalog_.FindWaiting(need) != nullptr) {
    end_reads_.erase(need);
    return;
  }
  if (end_reads_under_way_ >= kEndReadsAtOnce) return;
  EndRead& read = end_reads_[need];
  if (now < read.next) return;
  read.pause = std::clamp(2 * read.pause, settings_.workers.report_s,
                          3 * settings_.workers.lease_s);
  read.next = now + read.pause;
  ++end_reads_under_way_;
  actions_.push_back(ReadEnd{need});
}

void Controller::OnEndRead(const std::string& id, Time now) {
  end_reads_under_way_ = std::max(0, end_reads_under_way_ - 1);
  OnEndKnown(id, EndOf(id), now);
}

void Controller::OnEndKnown(const std::string& id, TerminalState end,
                            Time now) {
  if (end == TerminalState::kNone) return;
  end_reads_.erase(id);
  if (chains_.empty()) return;
  chains_.OnEnd(id, end);
  UpdateInherited();
  QueueChainSteps(now);
}

void Controller::SweepNeeds(Time now) {
  for (const std::string& need : chains_.NextNeeds(kNeedsAtOnce)) {
    const TerminalState end = EndOf(need);
    if (end != TerminalState::kNone) {
      OnEndKnown(need, end, now);
    } else {
      AskEnd(need, now);
    }
  }
  QueueChainSteps(now);
}

// No more than half of a transaction at a time, so that the cancellation of a
// long chain leaves room for the ends of other jobs.
void Controller::QueueChainSteps(Time now) {
  const size_t most =
      std::max<size_t>(1, static_cast<size_t>(settings_.state.txn_ops) / 2);
  while (chain_steps_.size() < most) {
    const std::string id = chains_.TakeDue();
    if (id.empty()) return;
    const bool releases = chains_.Find(id)->state == ChainState::kReleasing;
    // The wish of a user while the release was under way waits for its outcome.
    if (!chain_steps_.insert(id).second) continue;
    WriteOp op{releases ? WriteKind::kRelease : WriteKind::kCancelWaiting, id};
    op.released_wall = now + wall_minus_steady_;
    writes_.Queue(std::move(op));
  }
}

bool Controller::BuildChainStep(const WriteOp& op,
                                WriteTransaction* txn) const {
  const auto it = catalog_.waiting().find(op.name);
  if (it == catalog_.waiting().end()) return false;
  const WaitingRecord& waiting = it->second;
  const bool waits = catalog_.FindWaiting(op.name) != nullptr;
  const ChainJob* chain = chains_.Find(op.name);
  const std::string job_key = keys::Of(keys::kJob, op.name);
  const std::string final_key = keys::Of(keys::kTerminal, op.name);
  const std::string key = WaitingKey(op.name);
  switch (op.kind) {
    case WriteKind::kRelease:
      if (!waits || chain == nullptr ||
          chain->state != ChainState::kReleasing) {
        return false;
      }
      txn->conditions.push_back({key, waiting.stamp});
      txn->conditions.push_back({job_key, 0});
      txn->conditions.push_back({final_key, 0});
      txn->changes.push_back({job_key, Released(waiting, op.released_wall)});
      break;
    case WriteKind::kCancelWaiting:
      if (!waits || chain == nullptr ||
          chain->state != ChainState::kCancelling) {
        return false;
      }
      txn->conditions.push_back({key, waiting.stamp});
      txn->conditions.push_back({job_key, 0});
      txn->changes.push_back(
          {final_key,
           TerminalRecord{TerminalState::kAborted, waiting.spec->tasks, 0}});
      break;
    case WriteKind::kTidyWaiting: {
      if (waits) return false;
      txn->conditions.push_back({key, waiting.stamp});
      const JobRecord* job = catalog_.FindJob(op.name);
      if (job != nullptr) {
        // What is still to be written back goes first; see RestoreDone.
        if (catalog_.owed().contains(job_key)) return false;
        txn->conditions.push_back({job_key, job->stamp});
      } else {
        txn->changes.push_back(
            {final_key, TerminalRecord{catalog_.FindTerminalState(op.name),
                                       waiting.spec->tasks, 0}});
      }
      break;
    }
    default:
      return false;
  }
  txn->changes.push_back({key, {}});
  return true;
}

void Controller::ChainStepDone(const WriteOp& op, uint64_t revision, Time now) {
  const std::string& id = op.name;
  chain_steps_.erase(id);
  const auto it = catalog_.waiting().find(id);
  if (revision > 0 && it != catalog_.waiting().end()) {
    const WaitingRecord waiting = it->second;
    if (op.kind == WriteKind::kRelease) {
      catalog_.Put(keys::Of(keys::kJob, id),
                   Released(waiting, op.released_wall), revision);
    } else if (op.kind == WriteKind::kCancelWaiting) {
      catalog_.RememberEnd(id,
                           {TerminalState::kAborted, waiting.spec->tasks, 0});
    }
    catalog_.Erase(WaitingKey(id), revision);
  }
  SettleChainJob(id, now);
  QueueChainSteps(now);
}

// By the records as they are known now, whoever wrote them.
void Controller::SettleChainJob(const std::string& id, Time now) {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (catalog_.FindJob(id) != nullptr) {
    OnJobRecord(id, now);
  } else if (end != TerminalState::kNone) {
    if (chains_.Find(id) != nullptr) {
      Log("job " + id + " waited for others, " +
          (end == TerminalState::kDone ? "done" : "cancelled"));
      chains_.Remove(id);
      actions_.push_back(JobTerminated{id, end});
    }
    OnEndKnown(id, end, now);
  } else if (!catalog_.waiting().contains(id)) {
    // Neither of the two that it could have become was found; it is asked about
    // as long as others need it.
    chains_.Remove(id);
    if (chains_.DependentsOf(id) != nullptr) AskEnd(id, now);
  } else if (const ChainJob* chain = chains_.Find(id);
             chain != nullptr && chain->state != ChainState::kWaiting) {
    chains_.PutBackDue(id);
  }
  if (catalog_.waiting().contains(id) && catalog_.FindWaiting(id) == nullptr) {
    writes_.Queue({WriteKind::kTidyWaiting, id}, /*lazy=*/true);
  }
}

// A waiting job has become an ordinary one. True: its user cancelled it while
// the release was under way.
bool Controller::WaitsNoMore(const std::string& id) {
  const ChainJob* chain = chains_.Find(id);
  if (chain == nullptr) return false;
  const bool cancelled = chain->state == ChainState::kCancelling;
  chains_.Remove(id);
  return cancelled;
}

bool Controller::CancelWaiting(const std::string& id, Time now) {
  if (catalog_.FindWaiting(id) == nullptr) return false;
  if (chains_.Find(id) == nullptr) OnWaitingRecord(id, now);
  if (!chains_.Cancel(id)) return false;
  Log("cancel " + id + ", which waits for others: asked by its user");
  UpdateInherited();
  QueueChainSteps(now);
  writes_.Flush(now);
  return true;
}

// Costs no more than the jobs whose inheritance has changed.
void Controller::UpdateInherited() {
  for (const std::string& id : chains_.TakeChanged()) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    it->second->inherit(chains_.InheritedBy(id));
    dirty_ = true;
  }
}

// What the next steps of chains will need at once, when all that they wait for
// is about to be done.
Resources Controller::NextSteps(Time now) const {
  Resources soon;
  if (chains_.empty()) return soon;
  double boot_s = 0;
  for (const auto& [name, type] : types_) {
    boot_s = std::max(boot_s, type.boot_s);
  }
  const auto ends_soon = [&](const std::string& id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) return false;
    const Job& job = *it->second;
    return job.unplaced() == 0 &&
           job.queued_since() + RunSeconds(job.spec()) < now + boot_s;
  };
  std::set<std::string> counted;
  for (const auto& [id, job] : jobs_) {
    const std::set<std::string>* dependents = chains_.DependentsOf(id);
    if (dependents == nullptr || !ends_soon(id)) continue;
    for (const std::string& dependent : *dependents) {
      const ChainJob& next = *chains_.Find(dependent);
      if (counted.contains(dependent) ||
          !std::all_of(next.open.begin(), next.open.end(), ends_soon)) {
        continue;
      }
      counted.insert(dependent);
      soon += next.spec->need * next.spec->tasks;
    }
  }
  return soon;
}

std::vector<std::string> Controller::WaitingLines() const {
  constexpr size_t kMostLines = 20;
  constexpr size_t kMostNeeds = 5;
  std::vector<std::string> lines;
  if (chains_.empty()) return lines;
  lines.push_back(std::to_string(chains_.size()) + " jobs wait for others");
  for (const std::string& id : chains_.Some(kMostLines)) {
    const ChainJob& job = *chains_.Find(id);
    std::string line = id + " waits for";
    size_t named = 0;
    for (const std::string& need : job.open) {
      if (named++ == kMostNeeds) break;
      line += " " + need;
    }
    if (job.open.size() > kMostNeeds) {
      line += " and " + std::to_string(job.open.size() - kMostNeeds) + " more";
    }
    if (job.state == ChainState::kReleasing) line = id + " is being released";
    if (job.state == ChainState::kCancelling) line = id + " is being cancelled";
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace oxbow
