// Jobs that wait for others: what each still needs, which of them are due to be
// released or cancelled, and what a job inherits from those that need it. Knows
// nothing of records or writes: its owner tells it how jobs ended, as far as
// that is recorded, and asks what is due. Everything here follows from records,
// so a new leader builds the same again.
//
// A job names only jobs that were accepted before it, so no job needs itself
// through others. The walks here rely on that for what they answer, not for
// coming to an end: each visits a job once.
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

enum class DependencyState : uint8_t {
  kWaiting,     // for jobs that it needs
  kReleasing,   // all that it needs are recorded as done
  kCancelling,  // one that it needs is cancelled, or its user has cancelled it
  kGone,        // its record has moved: it does not wait any more
};

enum class DependencyEvent : uint8_t {
  kAllDone,
  kNeedCancelled,
  kUserCancels,
  kMoved,  // its record
};

struct DependentJob {
  std::shared_ptr<const JobSpec> spec;
  Time submitted = 0;
  DependencyState state = DependencyState::kWaiting;
  std::set<std::string> open;  // needed, and not recorded as done
};

class DependencyGraph {
 public:
  // What the owner knows of jobs' lengths and aims.
  class Estimates {
   public:
    virtual ~Estimates() = default;
    // From the release of such a job to its recorded end, on the safe side.
    virtual double CriticalPathSeconds(const JobSpec& spec) const = 0;
    virtual DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const = 0;
  };
  // How a job is recorded to have ended; kNone if it has not, or nobody knows.
  using TerminalStateOf = std::function<TerminalState(const std::string&)>;

  explicit DependencyGraph(const Estimates& estimates)
      : estimates_(&estimates) {}

  // A job waits; nothing if it is known already.
  void Add(const std::shared_ptr<const JobSpec>& spec, Time submitted,
           const TerminalStateOf& end_of);
  // A job's end is recorded. Costs no more than the jobs that need it.
  void OnEnd(const std::string& id, TerminalState end);
  // Its user cancels a job that waits. False: none such.
  bool Cancel(const std::string& id);
  // Its record has moved: to the live jobs, or to the terminal states.
  void Remove(const std::string& id);

  bool empty() const { return jobs_.empty(); }
  size_t size() const { return jobs_.size(); }
  const DependentJob* Find(const std::string& id) const;
  // Some that wait, for people.
  std::vector<std::string> Some(size_t most) const;
  // Takes the next that is due to be released or cancelled; empty: none.
  std::string TakeDue();
  // Due again: what its owner took could not be carried out.
  void PutBackDue(const std::string& id);

  // Jobs whose inheritance may have changed since the last call.
  std::vector<std::string> TakeChanged();
  Inherited InheritedBy(const std::string& id);
  // Waiting jobs that name this one.
  const std::set<std::string>* DependentsOf(const std::string& id) const;
  // The next jobs that others wait for, in turn, `most` at a time.
  std::vector<std::string> NextDependencies(size_t most);

 private:
  // The one function for a change of state. False: not from this state.
  bool Change(DependentJob& job, DependencyEvent event);
  // What the job inherits, and all that it needs, has changed.
  void Invalidate(const std::string& id);
  Inherited Combine(const std::string& id) const;

  const Estimates* estimates_;
  std::unordered_map<std::string, DependentJob> jobs_;
  // By the job that is needed; ordered, for NextDependencies.
  std::map<std::string, std::set<std::string>> dependents_;
  std::deque<std::string> due_;
  // Where a job has an entry, all that need it have theirs.
  std::unordered_map<std::string, Inherited> inherited_;
  std::set<std::string> changed_;
  std::string last_need_;  // of NextDependencies
};

}  // namespace oxbow
