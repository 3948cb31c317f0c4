// The dependency graph of waiting jobs: which dependencies of each job are
// unfinished, which jobs are due to be released or cancelled, and which
// priority and due times a job inherits from the jobs that depend on it. The
// graph does no I/O: its owner reports recorded terminal states and asks which
// jobs are due. Its contents follow from the stored records alone, so a new
// leader rebuilds the same graph.
//
// A job can only depend on jobs that were accepted before it, so the graph has
// no cycles. The traversals need this for correct results but not to terminate:
// each visits a job at most once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// State of a dependent job until it becomes an ordinary live job or ends.
enum class DependencyState : uint8_t {
  kWaiting,     // some of its dependencies are unfinished
  kReleasing,   // all its dependencies are recorded as done
  kCancelling,  // the job itself or one of its dependencies is cancelled
  kRemoved,     // its waiting record is gone: the job is live or has ended
};

// Events that change a DependencyState.
enum class DependencyEvent : uint8_t {
  kDependenciesDone,
  kDependencyCancelled,
  kCancelledByUser,
  kRecordMoved,
};

// A job that waits for other jobs.
struct DependentJob {
  std::shared_ptr<const JobSpec> spec;
  Time submitted = 0;
  DependencyState state = DependencyState::kWaiting;
  // Ids of the dependencies that are not recorded as done; includes cancelled
  // ones.
  std::set<std::string> unfinished_dependencies;
};

// The dependency graph of all waiting jobs. Owned and called only by the
// DependencyCoordinator.
class DependencyGraph {
 public:
  // Estimates of run times and due times, implemented by the graph's owner.
  class Estimates {
   public:
    virtual ~Estimates() = default;
    // An upper estimate of the seconds from the job's release until its
    // terminal state is recorded.
    virtual double CriticalPathSeconds(const JobSpec& spec) const = 0;
    // The job's own due times, without inherited ones.
    virtual DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const = 0;
  };
  // Returns the recorded terminal state of the job with this id; kNone if the
  // job has not ended or its terminal state is unknown.
  using TerminalStateOf = std::function<TerminalState(const std::string&)>;

  // `estimates` must outlive the graph.
  explicit DependencyGraph(const Estimates& estimates)
      : estimates_(&estimates) {}

  // Adds a waiting job; does nothing if it is in the graph already.
  void Add(const std::shared_ptr<const JobSpec>& spec, Time submitted,
           const TerminalStateOf& terminal_state_of);
  // The terminal state of the job `id` has been recorded. The cost is
  // proportional to the number of its dependents.
  void OnTerminalState(const std::string& id, TerminalState end);
  // The user cancels a waiting job. Returns false if the job is not waiting.
  bool Cancel(const std::string& id);
  // Removes a job whose waiting record has been replaced by a live job's record
  // or by a terminal record.
  void Remove(const std::string& id);

  bool empty() const { return jobs_.empty(); }
  size_t size() const { return jobs_.size(); }
  // Returns null if the job is not waiting.
  const DependentJob* Find(const std::string& id) const;
  // Ids of up to `max_count` waiting jobs, in no particular order.
  std::vector<std::string> SampleIds(size_t max_count) const;
  // Removes and returns the next job that is due to be released or cancelled;
  // nothing if there is none.
  std::optional<std::string> PopDue();
  // Queues a job from PopDue again because its release or cancellation failed.
  void RequeueDue(const std::string& id);

  // Ids of the jobs whose inherited values may have changed since the last
  // call.
  std::vector<std::string> TakeChangedInheritance();
  // The priority and due times that the job inherits from all jobs that depend
  // on it, directly or indirectly. Results are cached.
  Inherited InheritedBy(const std::string& id);
  // Ids of the waiting jobs that depend directly on this job; null if there are
  // none.
  const std::set<std::string>* DependentsOf(const std::string& id) const;
  // Ids of the next `max_count` jobs that others wait for. Successive calls
  // cycle through all of them in the order of their ids; the last batch of a
  // cycle may be smaller.
  std::vector<std::string> NextDependencies(size_t max_count);

 private:
  // Applies the event to the job's state; all state changes go through here.
  // Returns false if the event has no effect in the current state.
  bool Change(DependentJob& job, DependencyEvent event);
  // Drops the cached inherited values of this job and of everything that it
  // depends on, directly or indirectly.
  void InvalidateInherited(const std::string& id);
  Inherited ComputeInherited(const std::string& id) const;

  const Estimates* estimates_;
  std::unordered_map<std::string, DependentJob> jobs_;
  // Direct dependents by the id of the dependency; ordered, because
  // NextDependencies iterates by id.
  std::map<std::string, std::set<std::string>> dependents_;
  std::deque<std::string> due_;  // ids; may hold jobs that have been removed
  // Cache of InheritedBy. If a job has an entry, so do all its dependents.
  std::unordered_map<std::string, Inherited> inherited_;
  std::set<std::string> changed_;       // for TakeChangedInheritance
  std::string last_polled_dependency_;  // position of NextDependencies
};

}  // namespace oxbow
