#include "core/dependencies/dependency_coordinator.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/dependencies/dependency_operations.h"
#include "core/job_lifecycle/job_lifecycle.h"

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

}  // namespace

DependencyCoordinator::DependencyCoordinator(LeaderContext& context,
                                             const Modules& modules)
    : context_(context),
      settings_(context.settings),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      queue_ranking_(context.queue_ranking),
      run_times_(context.run_times),
      job_lifecycle_(modules.job_lifecycle),
      dependency_graph_(*this) {}

TerminalState DependencyCoordinator::TerminalStateOf(
    const std::string& id) const {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (end != TerminalState::kNone) return end;
  // A recorded cancellation decides, long before its user can be told.
  const JobRecord* job = catalog_.FindJob(id);
  return job == nullptr ? TerminalState::kNone : job->terminal_state;
}

double DependencyCoordinator::CriticalPathSeconds(const JobSpec& spec) const {
  return kPathMargin * run_times_.RunSeconds(spec) +
         kStepReports * settings_.workers.heartbeat_interval_seconds;
}

DueTimes DependencyCoordinator::DueTimesOf(const JobSpec& spec,
                                           Time submitted) const {
  return queue_ranking_.DueTimesOf(spec, submitted);
}

void DependencyCoordinator::OnWaitingRecord(const std::string& id, Time now) {
  const auto it = catalog_.waiting().find(id);
  if (it == catalog_.waiting().end()) return;
  // It was released or has ended: an older copy has come back.
  if (catalog_.FindWaiting(id) == nullptr) {
    DeleteObsoleteWaitingRecord(id);
    return;
  }
  const WaitingRecord& record = it->second;
  const Time submitted =
      std::min(now, record.submitted_wall - context_.wall_minus_steady);
  dependency_graph_.Add(
      record.spec, submitted,
      [this](const std::string& need) { return TerminalStateOf(need); });
  for (const std::string& need : record.spec->dependencies)
    RequestTerminalState(need, now);
  cluster_.NoteDemand(now);
  UpdateInherited();
  QueueDependencySteps(now);
  writes_.Flush(now);
}

// A job that is neither live here, nor waiting, nor known to have ended. That
// it is missing proves nothing: only a record found counts.
void DependencyCoordinator::RequestTerminalState(const std::string& need,
                                                 Time now) {
  if (TerminalStateOf(need) != TerminalState::kNone ||
      catalog_.FindJob(need) != nullptr ||
      catalog_.FindWaiting(need) != nullptr) {
    terminal_state_reads_.erase(need);
    return;
  }
  if (terminal_state_reads_in_flight_ >= kEndReadsAtOnce) return;
  TerminalStateRead& read = terminal_state_reads_[need];
  if (now < read.next) return;
  read.pause =
      std::clamp(2 * read.pause, settings_.workers.heartbeat_interval_seconds,
                 3 * settings_.workers.lease_seconds);
  read.next = now + read.pause;
  ++terminal_state_reads_in_flight_;
  actions_.push_back(ReadTerminalState{need});
}

void DependencyCoordinator::OnTerminalStateRead(const std::string& id,
                                                Time now) {
  terminal_state_reads_in_flight_ =
      std::max(0, terminal_state_reads_in_flight_ - 1);
  OnTerminalStateKnown(id, TerminalStateOf(id), now);
}

void DependencyCoordinator::OnTerminalStateKnown(const std::string& id,
                                                 TerminalState end, Time now) {
  if (end == TerminalState::kNone) return;
  terminal_state_reads_.erase(id);
  if (dependency_graph_.empty()) return;
  dependency_graph_.OnEnd(id, end);
  UpdateInherited();
  QueueDependencySteps(now);
}

void DependencyCoordinator::PollDependencies(Time now) {
  for (const std::string& need :
       dependency_graph_.NextDependencies(kNeedsAtOnce)) {
    const TerminalState end = TerminalStateOf(need);
    if (end != TerminalState::kNone) {
      OnTerminalStateKnown(need, end, now);
    } else {
      RequestTerminalState(need, now);
    }
  }
  QueueDependencySteps(now);
}

// No more than half of a transaction at a time, so that the cancellation of a
// long chain leaves room for the ends of other jobs.
void DependencyCoordinator::QueueDependencySteps(Time now) {
  const size_t most =
      std::max<size_t>(1, static_cast<size_t>(settings_.store.txn_ops) / 2);
  while (steps_in_flight_.size() < most) {
    const std::string id = dependency_graph_.TakeDue();
    if (id.empty()) return;
    const bool releases =
        dependency_graph_.Find(id)->state == DependencyState::kReleasing;
    // The wish of a user while the release was under way waits for its outcome.
    if (!steps_in_flight_.insert(id).second) continue;
    if (releases) {
      writes_.Enqueue(std::make_unique<ReleaseDependentOperation>(
          context_, *this, id, now + context_.wall_minus_steady));
    } else {
      writes_.Enqueue(
          std::make_unique<CancelDependentOperation>(context_, *this, id));
    }
  }
}

void DependencyCoordinator::OnWaitingRecordWritten(const std::string& id,
                                                   Time now) {
  steps_in_flight_.erase(id);
  SettleDependentJob(id, now);
  QueueDependencySteps(now);
}

void DependencyCoordinator::DeleteObsoleteWaitingRecord(const std::string& id) {
  writes_.Enqueue(
      std::make_unique<DeleteObsoleteWaitingOperation>(context_, *this, id),
      WritePriority::kBackground);
}

// By the records as they are known now, whoever wrote them.
void DependencyCoordinator::SettleDependentJob(const std::string& id,
                                               Time now) {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (catalog_.FindJob(id) != nullptr) {
    job_lifecycle_.OnJobRecord(id, now);
  } else if (end != TerminalState::kNone) {
    if (dependency_graph_.Find(id) != nullptr) {
      context_.Log("job " + id + " waited for others, " +
                   (end == TerminalState::kDone ? "done" : "cancelled"));
      dependency_graph_.Remove(id);
      actions_.push_back(JobTerminated{id, end});
    }
    OnTerminalStateKnown(id, end, now);
  } else if (!catalog_.waiting().contains(id)) {
    // Neither of the two that it could have become was found; it is asked about
    // as long as others need it.
    dependency_graph_.Remove(id);
    if (dependency_graph_.DependentsOf(id) != nullptr)
      RequestTerminalState(id, now);
  } else if (const DependentJob* chain = dependency_graph_.Find(id);
             chain != nullptr && chain->state != DependencyState::kWaiting) {
    dependency_graph_.PutBackDue(id);
  }
  if (catalog_.waiting().contains(id) && catalog_.FindWaiting(id) == nullptr) {
    DeleteObsoleteWaitingRecord(id);
  }
}

// A waiting job has become an ordinary one. True: its user cancelled it while
// the release was under way.
bool DependencyCoordinator::StopWaiting(const std::string& id) {
  const DependentJob* chain = dependency_graph_.Find(id);
  if (chain == nullptr) return false;
  const bool cancelled = chain->state == DependencyState::kCancelling;
  dependency_graph_.Remove(id);
  return cancelled;
}

bool DependencyCoordinator::CancelWaiting(const std::string& id, Time now) {
  if (catalog_.FindWaiting(id) == nullptr) return false;
  if (dependency_graph_.Find(id) == nullptr) OnWaitingRecord(id, now);
  if (!dependency_graph_.Cancel(id)) return false;
  context_.Log("cancel " + id + ", which waits for others: asked by its user");
  UpdateInherited();
  QueueDependencySteps(now);
  writes_.Flush(now);
  return true;
}

// Costs no more than the jobs whose inheritance has changed.
void DependencyCoordinator::UpdateInherited() {
  for (const std::string& id : dependency_graph_.TakeChanged()) {
    const auto it = cluster_.jobs().find(id);
    if (it == cluster_.jobs().end()) continue;
    it->second->inherit(dependency_graph_.InheritedBy(id));
    cluster_.MarkChanged();
  }
}

// What the next steps of chains will need at once, when all that they wait for
// is about to be done.
Resources DependencyCoordinator::NextSteps(Time now) const {
  Resources soon;
  if (dependency_graph_.empty()) return soon;
  double boot_seconds = 0;
  for (const auto& [name, type] : cluster_.types()) {
    boot_seconds = std::max(boot_seconds, type.boot_seconds);
  }
  const auto ends_soon = [&](const std::string& id) {
    const auto it = cluster_.jobs().find(id);
    if (it == cluster_.jobs().end()) return false;
    const Job& job = *it->second;
    return job.unplaced() == 0 &&
           job.queued_since() + run_times_.RunSeconds(job.spec()) <
               now + boot_seconds;
  };
  std::set<std::string> counted;
  for (const auto& [id, job] : cluster_.jobs()) {
    const std::set<std::string>* dependents =
        dependency_graph_.DependentsOf(id);
    if (dependents == nullptr || !ends_soon(id)) continue;
    for (const std::string& dependent : *dependents) {
      const DependentJob& next = *dependency_graph_.Find(dependent);
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

std::vector<std::string> DependencyCoordinator::WaitingLines() const {
  constexpr size_t kMostLines = 20;
  constexpr size_t kMostNeeds = 5;
  std::vector<std::string> lines;
  if (dependency_graph_.empty()) return lines;
  lines.push_back(std::to_string(dependency_graph_.size()) +
                  " jobs wait for others");
  for (const std::string& id : dependency_graph_.Some(kMostLines)) {
    const DependentJob& job = *dependency_graph_.Find(id);
    std::string line = id + " waits for";
    size_t named = 0;
    for (const std::string& need : job.open) {
      if (named++ == kMostNeeds) break;
      line += " " + need;
    }
    if (job.open.size() > kMostNeeds) {
      line += " and " + std::to_string(job.open.size() - kMostNeeds) + " more";
    }
    if (job.state == DependencyState::kReleasing)
      line = id + " is being released";
    if (job.state == DependencyState::kCancelling)
      line = id + " is being cancelled";
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace oxbow
