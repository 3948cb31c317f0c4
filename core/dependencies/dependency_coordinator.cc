#include "core/dependencies/dependency_coordinator.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/dependencies/dependency_operations.h"
#include "core/job_lifecycle/job_lifecycle.h"

namespace oxbow {
namespace {

// Jobs that others depend on, looked at in each round of polling.
constexpr size_t kDependenciesPerPoll = 256;
// Reads of terminal states in flight at once.
constexpr int kMaxTerminalStateReads = 4;
// Users' estimates of run times are often wrong by half.
constexpr double kCriticalPathMargin = 1.5;
// From the end of a job to the start of the next one, in heartbeat intervals:
// its last heartbeat, the record, the release, the command.
constexpr double kStepHeartbeats = 2;
// Longest pause between two reads of one terminal state, in worker leases.
constexpr double kMaxReadPauseLeases = 3;
// Of what is shown to operators.
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
  // A recorded cancellation decides, long before its user gets an answer.
  const JobRecord* job = catalog_.FindJob(id);
  return job == nullptr ? TerminalState::kNone : job->terminal_state;
}

double DependencyCoordinator::CriticalPathSeconds(const JobSpec& spec) const {
  return kCriticalPathMargin * run_times_.RunSeconds(spec) +
         kStepHeartbeats * settings_.workers.heartbeat_interval_seconds;
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
  dependency_graph_.Add(record.spec, submitted,
                        [this](const std::string& dependency) {
                          return TerminalStateOf(dependency);
                        });
  for (const std::string& dependency : record.spec->dependencies)
    RequestTerminalState(dependency, now);
  cluster_.NoteDemand(now);
  UpdateInherited();
  QueueDependencySteps(now);
  writes_.Flush(now);
}

// A job that is neither live here, nor waiting, nor recorded as ended. That
// it is missing proves nothing: only a record found counts.
void DependencyCoordinator::RequestTerminalState(const std::string& dependency,
                                                 Time now) {
  if (TerminalStateOf(dependency) != TerminalState::kNone ||
      catalog_.FindJob(dependency) != nullptr ||
      catalog_.FindWaiting(dependency) != nullptr) {
    terminal_state_reads_.erase(dependency);
    return;
  }
  if (terminal_state_reads_in_flight_ >= kMaxTerminalStateReads) return;
  TerminalStateRead& read = terminal_state_reads_[dependency];
  if (read.not_before && now < *read.not_before) return;
  read.pause_seconds = std::clamp(
      2 * read.pause_seconds, settings_.workers.heartbeat_interval_seconds,
      kMaxReadPauseLeases * settings_.workers.lease_seconds);
  read.not_before = now + read.pause_seconds;
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
  QueueDependencySteps(now);
}

void DependencyCoordinator::PollDependencies(Time now) {
  for (const std::string& dependency :
       dependency_graph_.NextDependencies(kDependenciesPerPoll)) {
    const TerminalState end = TerminalStateOf(dependency);
    if (end != TerminalState::kNone) {
      OnTerminalStateKnown(dependency, end, now);
    } else {
      RequestTerminalState(dependency, now);
    }
  }
  QueueDependencySteps(now);
}

// At most half of a transaction at a time, so that the cancellation of many
// dependent jobs does not delay the terminal states of others.
void DependencyCoordinator::QueueDependencySteps(Time now) {
  const size_t most =
      std::max<size_t>(1, static_cast<size_t>(settings_.store.txn_ops) / 2);
  while (steps_in_flight_.size() < most) {
    const std::optional<std::string> due = dependency_graph_.TakeDue();
    if (!due) return;
    const std::string& id = *due;
    const bool releases =
        dependency_graph_.Find(id)->state == DependencyState::kReleasing;
    // A cancellation that was asked for while the release was in flight waits
    // for its outcome.
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

// By the records as they are now, whoever wrote them.
void DependencyCoordinator::SettleDependentJob(const std::string& id,
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
    // Neither of the two that it could have become was found; it is asked about
    // as long as others depend on it.
    dependency_graph_.Remove(id);
    if (dependency_graph_.DependentsOf(id) != nullptr)
      RequestTerminalState(id, now);
  } else if (const DependentJob* dependent = dependency_graph_.Find(id);
             dependent != nullptr &&
             dependent->state != DependencyState::kWaiting) {
    dependency_graph_.PutBackDue(id);
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
  QueueDependencySteps(now);
  writes_.Flush(now);
  return true;
}

// Costs no more than the jobs whose inheritance has changed.
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
  for (const std::string& id : dependency_graph_.SampleOf(kMaxWaitingLines)) {
    lines.push_back(WaitingLine(id, *dependency_graph_.Find(id)));
  }
  return lines;
}

}  // namespace oxbow
