// Jobs that wait for others: which dependencies each still has, which of them
// are due to be released or cancelled, and what a job inherits from its
// dependents. Knows nothing of records or writes: its owner reports recorded
// terminal states and asks what is due. Everything here follows from records,
// so a new leader builds the same again.
//
// A job names only jobs that were accepted before it, so there are no cycles.
// The walks here rely on that for their results, not for their end: each visits
// a job once.
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

// Where a dependent job is on its way to an ordinary job or to its end.
enum class DependencyState : uint8_t {
  kWaiting,     // for its dependencies
  kReleasing,   // all of them are recorded as done
  kCancelling,  // one of them, or the job itself, is cancelled
  kGone,        // its record has moved: it does not wait any more
};

// What changes a DependencyState.
enum class DependencyEvent : uint8_t {
  kDependenciesDone,
  kDependencyCancelled,
  kCancelledByUser,
  kRecordMoved,
};

// A job that waits for others.
struct DependentJob {
  std::shared_ptr<const JobSpec> spec;
  Time submitted = 0;
  DependencyState state = DependencyState::kWaiting;
  // Those that are not recorded as done.
  std::set<std::string> unfinished_dependencies;
};

// See above. Owned and called by the DependencyCoordinator alone.
class DependencyGraph {
 public:
  // What the owner expects of jobs.
  class Estimates {
   public:
    virtual ~Estimates() = default;
    // Seconds from the release of such a job to its recorded end, at most.
    virtual double CriticalPathSeconds(const JobSpec& spec) const = 0;
    virtual DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const = 0;
  };
  // How a job is recorded to have ended; kNone if it has not, or if that is
  // unknown.
  using TerminalStateOf = std::function<TerminalState(const std::string&)>;

  // `estimates` must outlive the graph.
  explicit DependencyGraph(const Estimates& estimates)
      : estimates_(&estimates) {}

  // A job waits; ignored if it is in the graph already.
  void Add(const std::shared_ptr<const JobSpec>& spec, Time submitted,
           const TerminalStateOf& end_of);
  // A job's terminal state is recorded. Costs no more than its dependents.
  void OnTerminalState(const std::string& id, TerminalState end);
  // Its user cancels a job that waits. False: it does not.
  bool Cancel(const std::string& id);
  // Its record has moved: to the live jobs, or to the terminal records.
  void Remove(const std::string& id);

  bool empty() const { return jobs_.empty(); }
  size_t size() const { return jobs_.size(); }
  // Null for a job that does not wait.
  const DependentJob* Find(const std::string& id) const;
  // Some of the waiting jobs, in no particular order.
  std::vector<std::string> SampleOf(size_t most) const;
  // Takes the next that is due to be released or cancelled, if any.
  std::optional<std::string> TakeDue();
  // Due again: what was taken could not be released or cancelled.
  void PutBackDue(const std::string& id);

  // Jobs whose inheritance may have changed since the last call.
  std::vector<std::string> TakeChangedInheritance();
  // What the job inherits from all that depend on it, directly or not.
  Inherited InheritedBy(const std::string& id);
  // Waiting jobs that name this one; null for none.
  const std::set<std::string>* DependentsOf(const std::string& id) const;
  // The next jobs that others wait for, in turn, `most` at a time.
  std::vector<std::string> NextDependencies(size_t most);

 private:
  // The one function for a change of state. False: not from this state.
  bool Change(DependentJob& job, DependencyEvent event);
  // What this job inherits has changed, and so for all its dependencies.
  void Invalidate(const std::string& id);
  Inherited Combine(const std::string& id) const;

  const Estimates* estimates_;
  std::unordered_map<std::string, DependentJob> jobs_;
  // By dependency; ordered, for NextDependencies.
  std::map<std::string, std::set<std::string>> dependents_;
  std::deque<std::string> due_;
  // Where a job has an entry, all its dependents have theirs.
  std::unordered_map<std::string, Inherited> inherited_;
  std::set<std::string> changed_;
  std::string last_dependency_;  // of NextDependencies
};

}  // namespace oxbow
