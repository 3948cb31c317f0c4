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
    // Only by its user: done dependencies stay done.
    std::pair{kReleasing, kCancelling},
    // The write of an earlier leader, or a late one, may have moved the record.
    std::pair{kWaiting, kGone},
    std::pair{kReleasing, kGone},
    std::pair{kCancelling, kGone},
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
      CheckedTransition(job.state, kGone, kTransitions, "dependent job");
      return true;
  }
  return false;
}

void DependencyGraph::Add(const std::shared_ptr<const JobSpec>& spec,
                          Time submitted, const TerminalStateOf& end_of) {
  const auto [it, added] = jobs_.try_emplace(spec->id);
  if (!added) return;
  DependentJob& job = it->second;
  job.spec = spec;
  job.submitted = submitted;
  bool cancelled = false;
  for (const std::string& dependency : spec->dependencies) {
    const TerminalState end = end_of(dependency);
    if (end == TerminalState::kDone) continue;
    cancelled = cancelled || end == TerminalState::kAborted;
    job.unfinished_dependencies.insert(dependency);
    dependents_[dependency].insert(spec->id);
    Invalidate(dependency);
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
  // A cancelled one stays named: its dependents leave one by one.
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
  Invalidate(id);
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
    Invalidate(dependency);
  }
}

const DependentJob* DependencyGraph::Find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::vector<std::string> DependencyGraph::SampleOf(size_t most) const {
  std::vector<std::string> some;
  for (const auto& [id, job] : jobs_) {
    if (some.size() >= most) break;
    some.push_back(id);
  }
  return some;
}

std::optional<std::string> DependencyGraph::TakeDue() {
  while (!due_.empty()) {
    std::string id = std::move(due_.front());
    due_.pop_front();
    const DependentJob* job = Find(id);
    if (job != nullptr && job->state != kWaiting) return id;
  }
  return std::nullopt;
}

void DependencyGraph::PutBackDue(const std::string& id) { due_.push_back(id); }

const std::set<std::string>* DependencyGraph::DependentsOf(
    const std::string& id) const {
  const auto it = dependents_.find(id);
  return it == dependents_.end() ? nullptr : &it->second;
}

std::vector<std::string> DependencyGraph::NextDependencies(size_t most) {
  std::vector<std::string> next;
  auto it = dependents_.upper_bound(last_dependency_);
  for (; it != dependents_.end() && next.size() < most; ++it) {
    next.push_back(it->first);
  }
  last_dependency_ = it == dependents_.end() ? std::string() : next.back();
  return next;
}

void DependencyGraph::Invalidate(const std::string& id) {
  changed_.insert(id);
  std::vector<std::string> changed = {id};
  while (!changed.empty()) {
    const std::string job = std::move(changed.back());
    changed.pop_back();
    // Where a job has no entry, its dependencies have none either.
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

Inherited DependencyGraph::Combine(const std::string& id) const {
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

// Dependents first, without recursion: a chain of jobs may be long.
Inherited DependencyGraph::InheritedBy(const std::string& id) {
  if (DependentsOf(id) == nullptr) return {};
  std::vector<std::string> stack = {id};
  std::unordered_set<std::string> opened;
  while (!stack.empty()) {
    const std::string job = stack.back();
    if (inherited_.contains(job)) {
      stack.pop_back();
      continue;
    }
    if (opened.insert(job).second) {
      if (const auto* dependents = DependentsOf(job)) {
        for (const std::string& dependent : *dependents) {
          // One that is opened already would depend on itself.
          if (!inherited_.contains(dependent) && !opened.contains(dependent)) {
            stack.push_back(dependent);
          }
        }
      }
      continue;
    }
    inherited_[job] = Combine(job);
    stack.pop_back();
  }
  return inherited_.at(id);
}

}  // namespace oxbow
