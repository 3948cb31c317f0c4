#include "core/dependencies/dependency_graph.h"

#include <algorithm>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum DependencyState;

constexpr std::array kTransitions = {
    std::pair{kWaiting, kReleasing},
    std::pair{kWaiting, kCancelling},
    // Only a cancellation by the user: a dependency that is done stays done.
    std::pair{kReleasing, kCancelling},
    // A write of an earlier leader, or one that was applied late, may have
    // replaced the waiting record in any state.
    std::pair{kWaiting, kRemoved},
    std::pair{kReleasing, kRemoved},
    std::pair{kCancelling, kRemoved},
};

}  // namespace

bool DependencyGraph::Change(DependentJob& job, DependencyEvent event) {
  switch (event) {
    case DependencyEvent::kDependenciesDone:
      if (job.state != kWaiting) return false;
      CheckedTransition(job.state, kReleasing, kTransitions, "dependent job");
      return true;
    case DependencyEvent::kDependencyCancelled:
      if (job.state != kWaiting) return false;
      CheckedTransition(job.state, kCancelling, kTransitions, "dependent job");
      return true;
    case DependencyEvent::kCancelledByUser:
      if (job.state != kWaiting && job.state != kReleasing) return false;
      CheckedTransition(job.state, kCancelling, kTransitions, "dependent job");
      return true;
    case DependencyEvent::kRecordMoved:
      CheckedTransition(job.state, kRemoved, kTransitions, "dependent job");
      return true;
  }
  return false;
}

void DependencyGraph::Add(const std::shared_ptr<const JobSpec>& spec,
                          Time submitted,
                          const TerminalStateOf& terminal_state_of) {
  const auto [it, added] = jobs_.try_emplace(spec->id);
  if (!added) return;
  DependentJob& job = it->second;
  job.spec = spec;
  job.submitted = submitted;
  bool cancelled = false;
  for (const std::string& dependency : spec->dependencies) {
    const TerminalState end = terminal_state_of(dependency);
    if (end == TerminalState::kDone) continue;
    cancelled = cancelled || end == TerminalState::kAborted;
    job.unfinished_dependencies.insert(dependency);
    dependents_[dependency].insert(spec->id);
    InvalidateInherited(dependency);
  }
  const bool due = cancelled
                       ? Change(job, DependencyEvent::kDependencyCancelled)
                   : job.unfinished_dependencies.empty()
                       ? Change(job, DependencyEvent::kDependenciesDone)
                       : false;
  if (due) due_.push_back(spec->id);
}

void DependencyGraph::OnTerminalState(const std::string& id,
                                      TerminalState end) {
  const auto it = dependents_.find(id);
  if (it == dependents_.end() || end == TerminalState::kNone) return;
  // The entry of a cancelled dependency stays until Remove has been called for
  // each of its dependents.
  const std::vector<std::string> dependents(it->second.begin(),
                                            it->second.end());
  if (end == TerminalState::kDone) dependents_.erase(it);
  for (const std::string& dependent : dependents) {
    DependentJob& job = jobs_.at(dependent);
    if (end == TerminalState::kDone) {
      job.unfinished_dependencies.erase(id);
      if (job.unfinished_dependencies.empty() &&
          Change(job, DependencyEvent::kDependenciesDone)) {
        due_.push_back(dependent);
      }
    } else if (Change(job, DependencyEvent::kDependencyCancelled)) {
      due_.push_back(dependent);
    }
  }
  InvalidateInherited(id);
}

bool DependencyGraph::Cancel(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return false;
  if (Change(it->second, DependencyEvent::kCancelledByUser)) due_.push_back(id);
  return true;
}

void DependencyGraph::Remove(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Change(it->second, DependencyEvent::kRecordMoved);
  const std::set<std::string> unfinished =
      std::move(it->second.unfinished_dependencies);
  jobs_.erase(it);
  for (const std::string& dependency : unfinished) {
    const auto named = dependents_.find(dependency);
    if (named == dependents_.end()) continue;
    named->second.erase(id);
    if (named->second.empty()) dependents_.erase(named);
    InvalidateInherited(dependency);
  }
}

const DependentJob* DependencyGraph::Find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::vector<std::string> DependencyGraph::SampleIds(size_t max_count) const {
  std::vector<std::string> some;
  for (const auto& [id, job] : jobs_) {
    if (some.size() >= max_count) break;
    some.push_back(id);
  }
  return some;
}

std::optional<std::string> DependencyGraph::PopDue() {
  while (!due_.empty()) {
    std::string id = std::move(due_.front());
    due_.pop_front();
    const DependentJob* job = Find(id);
    if (job != nullptr && job->state != kWaiting) return id;
  }
  return std::nullopt;
}

void DependencyGraph::RequeueDue(const std::string& id) { due_.push_back(id); }

const std::set<std::string>* DependencyGraph::DependentsOf(
    const std::string& id) const {
  const auto it = dependents_.find(id);
  return it == dependents_.end() ? nullptr : &it->second;
}

std::vector<std::string> DependencyGraph::NextDependencies(size_t max_count) {
  std::vector<std::string> next;
  auto it = dependents_.upper_bound(last_polled_dependency_);
  for (; it != dependents_.end() && next.size() < max_count; ++it) {
    next.push_back(it->first);
  }
  last_polled_dependency_ =
      it == dependents_.end() ? std::string() : next.back();
  return next;
}

void DependencyGraph::InvalidateInherited(const std::string& id) {
  changed_.insert(id);
  std::vector<std::string> changed = {id};
  while (!changed.empty()) {
    const std::string job = std::move(changed.back());
    changed.pop_back();
    // A job without a cache entry has no dependencies with cache entries.
    if (inherited_.erase(job) == 0) continue;
    changed_.insert(job);
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) continue;
    changed.insert(changed.end(), it->second.unfinished_dependencies.begin(),
                   it->second.unfinished_dependencies.end());
  }
}

std::vector<std::string> DependencyGraph::TakeChangedInheritance() {
  std::vector<std::string> taken(changed_.begin(), changed_.end());
  changed_.clear();
  return taken;
}

Inherited DependencyGraph::ComputeInherited(const std::string& id) const {
  Inherited all;
  const std::set<std::string>* dependents = DependentsOf(id);
  if (dependents == nullptr) return all;
  for (const std::string& dependent : *dependents) {
    const DependentJob& job = jobs_.at(dependent);
    if (job.state == kCancelling) continue;
    const auto further = inherited_.find(dependent);
    const Inherited after =
        further == inherited_.end() ? Inherited{} : further->second;
    const DueTimes own = estimates_->DueTimesOf(*job.spec, job.submitted);
    const double path = estimates_->CriticalPathSeconds(*job.spec);
    all.priority = std::min({all.priority, job.spec->priority, after.priority});
    all.due.first =
        std::min(all.due.first, std::min(own.first, after.due.first) - path);
    all.due.last =
        std::min(all.due.last, std::min(own.last, after.due.last) - path);
  }
  return all;
}

// A depth-first traversal that computes the dependents of a job before the job
// itself. It is iterative because a dependency chain can be long enough to
// overflow the call stack.
Inherited DependencyGraph::InheritedBy(const std::string& id) {
  if (DependentsOf(id) == nullptr) return {};
  std::vector<std::string> stack = {id};
  std::unordered_set<std::string> expanded;
  while (!stack.empty()) {
    const std::string job = stack.back();
    if (inherited_.contains(job)) {
      stack.pop_back();
      continue;
    }
    if (expanded.insert(job).second) {
      if (const auto* dependents = DependentsOf(job)) {
        for (const std::string& dependent : *dependents) {
          // A dependent that is expanded but has no result yet would be part of
          // a cycle; it is skipped.
          if (!inherited_.contains(dependent) &&
              !expanded.contains(dependent)) {
            stack.push_back(dependent);
          }
        }
      }
      continue;
    }
    inherited_[job] = ComputeInherited(job);
    stack.pop_back();
  }
  return inherited_.at(id);
}

}  // namespace oxbow
