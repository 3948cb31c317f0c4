#include "core/dependencies/dependency_coordinator.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/dependencies/dependency_operations.h"
#include "core/job_lifecycle/job_lifecycle.h"

namespace oxbow {
namespace {

// Number of dependencies that one call of PollDependencies looks at.
constexpr size_t kDependenciesPerPoll = 256;
// Maximum number of terminal-state reads in flight.
constexpr int kMaxTerminalStateReads = 4;
// Factor on the estimated run time: users' estimates are often wrong by half.
constexpr double kCriticalPathMargin = 1.5;
// Time from the end of a job to the start of a dependent one, in heartbeat
// intervals. It covers the heartbeat that reports the end, the write of the
// terminal state, the release and the start command.
constexpr double kReleaseDelayHeartbeats = 2;
// Longest backoff between two reads of one terminal state, in worker leases.
constexpr double kMaxReadBackoffLeases = 3;
// Limits on the lines that are shown to operators.
constexpr size_t kMaxWaitingLines = 20;
constexpr size_t kMaxDependenciesPerLine = 5;

std::string WaitingLine(const std::string& id, const DependentJob& job) {
  if (job.state == DependencyState::kReleasing)
    return id + " is being released";
  if (job.state == DependencyState::kCancelling) {
    return id + " is being cancelled";
  }
  std::string line = id + " waits for";
  size_t named = 0;
  for (const std::string& dependency : job.unfinished_dependencies) {
    if (named++ == kMaxDependenciesPerLine) break;
    line += " " + dependency;
  }
  const size_t total = job.unfinished_dependencies.size();
  if (total > kMaxDependenciesPerLine) {
    line += " and " + std::to_string(total - kMaxDependenciesPerLine) + " more";
  }
  return line;
}

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
  // A job record can hold a terminal state before the terminal record exists. A
  // recorded cancellation is final, although its user is answered much later.
  const JobRecord* job = catalog_.FindJob(id);
  return job == nullptr ? TerminalState::kNone : job->terminal_state;
}

double DependencyCoordinator::CriticalPathSeconds(const JobSpec& spec) const {
  return kCriticalPathMargin * run_times_.RunSeconds(spec) +
         kReleaseDelayHeartbeats * settings_.workers.heartbeat_interval_seconds;
}

DueTimes DependencyCoordinator::DueTimesOf(const JobSpec& spec,
                                           Time submitted) const {
  return queue_ranking_.DueTimesOf(spec, submitted);
}

void DependencyCoordinator::OnWaitingRecord(const std::string& id, Time now) {
  const auto it = catalog_.waiting().find(id);
  if (it == catalog_.waiting().end()) return;
  // The job has already been released or has ended: this is an obsolete copy of
  // its waiting record that has reappeared.
  if (catalog_.FindWaiting(id) == nullptr) {
    DeleteObsoleteWaitingRecord(id);
    return;
  }
  const WaitingRecord& record = it->second;
  const Time submitted =
      std::min(now, record.submitted_wall - context_.wall_minus_steady);
  dependency_graph_.Add(record.spec, submitted,
                        [this](const std::string& dependency) {
                          return TerminalStateOf(dependency);
                        });
  for (const std::string& dependency : record.spec->dependencies)
    RequestTerminalStateRead(dependency, now);
  cluster_.NoteDemand(now);
  UpdateInherited();
  EnqueueDueOperations(now);
  writes_.Flush(now);
}

// A dependency without any record in the catalog must be looked up in the
// store. Its absence from the catalog proves nothing about its state: only a
// record that is found counts.
void DependencyCoordinator::RequestTerminalStateRead(
    const std::string& dependency, Time now) {
  if (TerminalStateOf(dependency) != TerminalState::kNone ||
      catalog_.FindJob(dependency) != nullptr ||
      catalog_.FindWaiting(dependency) != nullptr) {
    terminal_state_reads_.erase(dependency);
    return;
  }
  if (terminal_state_reads_in_flight_ >= kMaxTerminalStateReads) return;
  TerminalStateRead& read = terminal_state_reads_[dependency];
  if (read.not_before && now < *read.not_before) return;
  read.backoff_seconds = std::clamp(
      2 * read.backoff_seconds, settings_.workers.heartbeat_interval_seconds,
      kMaxReadBackoffLeases * settings_.workers.lease_seconds);
  read.not_before = now + read.backoff_seconds;
  ++terminal_state_reads_in_flight_;
  actions_.push_back(ReadTerminalState{dependency});
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
  dependency_graph_.OnTerminalState(id, end);
  UpdateInherited();
  EnqueueDueOperations(now);
}

void DependencyCoordinator::PollDependencies(Time now) {
  for (const std::string& dependency :
       dependency_graph_.NextDependencies(kDependenciesPerPoll)) {
    const TerminalState end = TerminalStateOf(dependency);
    if (end != TerminalState::kNone) {
      OnTerminalStateKnown(dependency, end, now);
    } else {
      RequestTerminalStateRead(dependency, now);
    }
  }
  EnqueueDueOperations(now);
}

// Keeps at most half as many operations in flight as one transaction holds, so
// that the cancellation of many dependent jobs does not delay the recording of
// other jobs' terminal states.
void DependencyCoordinator::EnqueueDueOperations(Time now) {
  const size_t max_in_flight =
      std::max<size_t>(1, static_cast<size_t>(settings_.store.txn_ops) / 2);
  while (operations_in_flight_.size() < max_in_flight) {
    const std::optional<std::string> due = dependency_graph_.PopDue();
    if (!due) return;
    const std::string& id = *due;
    const bool releases =
        dependency_graph_.Find(id)->state == DependencyState::kReleasing;
    // A cancellation that was requested while the job's release is in flight
    // waits for the outcome of the release.
    if (!operations_in_flight_.insert(id).second) continue;
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
  operations_in_flight_.erase(id);
  ReconcileDependentJob(id, now);
  EnqueueDueOperations(now);
}

void DependencyCoordinator::DeleteObsoleteWaitingRecord(const std::string& id) {
  writes_.Enqueue(
      std::make_unique<DeleteObsoleteWaitingOperation>(context_, *this, id),
      WritePriority::kBackground);
}

// Decides by the current records only, since an earlier leader or a late write
// may have written them.
void DependencyCoordinator::ReconcileDependentJob(const std::string& id,
                                                  Time now) {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (catalog_.FindJob(id) != nullptr) {
    job_lifecycle_.OnJobRecord(id, now);
  } else if (end != TerminalState::kNone) {
    if (dependency_graph_.Find(id) != nullptr) {
      context_.Log(
          "waiting job ended",
          {{"job", id},
           {"state", end == TerminalState::kDone ? "done" : "cancelled"}});
      dependency_graph_.Remove(id);
      actions_.push_back(JobTerminated{id, end});
    }
    OnTerminalStateKnown(id, end, now);
  } else if (!catalog_.waiting().contains(id)) {
    // The waiting record is gone, but neither a live nor a terminal record was
    // found. The terminal state is read as long as other jobs depend on it.
    dependency_graph_.Remove(id);
    if (dependency_graph_.DependentsOf(id) != nullptr)
      RequestTerminalStateRead(id, now);
  } else if (const DependentJob* dependent = dependency_graph_.Find(id);
             dependent != nullptr &&
             dependent->state != DependencyState::kWaiting) {
    dependency_graph_.RequeueDue(id);
  }
  if (catalog_.waiting().contains(id) && catalog_.FindWaiting(id) == nullptr) {
    DeleteObsoleteWaitingRecord(id);
  }
}

bool DependencyCoordinator::OnDependentReleased(const std::string& id) {
  const DependentJob* dependent = dependency_graph_.Find(id);
  if (dependent == nullptr) return false;
  const bool cancelled = dependent->state == DependencyState::kCancelling;
  dependency_graph_.Remove(id);
  return cancelled;
}

bool DependencyCoordinator::CancelWaiting(const std::string& id, Time now) {
  if (catalog_.FindWaiting(id) == nullptr) return false;
  if (dependency_graph_.Find(id) == nullptr) OnWaitingRecord(id, now);
  if (!dependency_graph_.Cancel(id)) return false;
  context_.Log("cancellation of waiting job requested", {{"job", id}});
  UpdateInherited();
  EnqueueDueOperations(now);
  writes_.Flush(now);
  return true;
}

// The cost is proportional to the number of jobs whose inherited values may
// have changed.
void DependencyCoordinator::UpdateInherited() {
  for (const std::string& id : dependency_graph_.TakeChangedInheritance()) {
    const auto it = cluster_.jobs().find(id);
    if (it == cluster_.jobs().end()) continue;
    it->second->set_inherited(dependency_graph_.InheritedBy(id));
    cluster_.MarkChanged();
  }
}

Resources DependencyCoordinator::UpcomingReleaseDemand(Time now) const {
  Resources soon;
  if (dependency_graph_.empty()) return soon;
  const double boot_seconds = LongestBootSeconds();
  const auto ends_soon = [&](const std::string& id) {
    return EndsWithin(id, boot_seconds, now);
  };
  std::set<std::string> counted;
  for (const auto& [id, job] : cluster_.jobs()) {
    const std::set<std::string>* dependents =
        dependency_graph_.DependentsOf(id);
    if (dependents == nullptr || !ends_soon(id)) continue;
    for (const std::string& dependent : *dependents) {
      const DependentJob& next = *dependency_graph_.Find(dependent);
      if (counted.contains(dependent) ||
          !std::all_of(next.unfinished_dependencies.begin(),
                       next.unfinished_dependencies.end(), ends_soon)) {
        continue;
      }
      counted.insert(dependent);
      soon += next.spec->need * next.spec->tasks;
    }
  }
  return soon;
}

double DependencyCoordinator::LongestBootSeconds() const {
  double boot_seconds = 0;
  for (const auto& [name, type] : cluster_.types()) {
    boot_seconds = std::max(boot_seconds, type.boot_seconds);
  }
  return boot_seconds;
}

bool DependencyCoordinator::EndsWithin(const std::string& id, double seconds,
                                       Time now) const {
  const auto it = cluster_.jobs().find(id);
  if (it == cluster_.jobs().end()) return false;
  const Job& job = *it->second;
  return job.unplaced() == 0 &&
         job.queued_since() + run_times_.RunSeconds(job.spec()) < now + seconds;
}

std::vector<std::string> DependencyCoordinator::DescribeWaitingJobs() const {
  std::vector<std::string> lines;
  if (dependency_graph_.empty()) return lines;
  lines.push_back(std::to_string(dependency_graph_.size()) +
                  " jobs wait for others");
  for (const std::string& id : dependency_graph_.SampleIds(kMaxWaitingLines)) {
    lines.push_back(WaitingLine(id, *dependency_graph_.Find(id)));
  }
  return lines;
}

}  // namespace oxbow
