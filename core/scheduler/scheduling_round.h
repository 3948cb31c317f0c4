// A scheduling round serves every waiting job once, in as many passes as that
// takes. A pass ends early when it reaches its work limit, and the next one
// continues with the jobs that have not been served. So the cost of one event
// does not grow with the number of machines, and no job waits behind the same
// other jobs forever.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/job.h"
#include "core/scheduler/scheduling_work.h"

namespace oxbow {

// Tracks which jobs the current round has served. Owned by Scheduler.
class SchedulingRound {
 public:
  // Whether a pass that has done this much work has to end.
  static bool PassIsOver(const SchedulingWork& work) {
    return work.machines_considered() >= kMaxMachinesConsidered;
  }
  // Whether the scheduler has to pause after a pass that has done this much
  // work, so that other events are handled first. Decided by the work because
  // the time at which the pass began does not tell how long it took.
  static bool NeedsPause(const SchedulingWork& work) {
    return work.machines_considered() >= kPauseShare * kMaxMachinesConsidered;
  }

  // Whether some jobs have not been served yet in this round.
  bool unfinished() const { return unfinished_; }
  void set_unfinished() { unfinished_ = true; }
  // Whether the job has been served and has no more unplaced tasks than then.
  bool IsServed(const Job& job) const {
    const auto it = unplaced_when_served_.find(job.id());
    return it != unplaced_when_served_.end() && job.unplaced() <= it->second;
  }
  void OnServed(const Job& job) {
    unplaced_when_served_[job.id()] = job.unplaced();
  }
  // Ends the round: every job has been served.
  void Finish() { *this = SchedulingRound(); }

  // As SchedulingPass::partial_gang_reserved, for all passes of the round.
  bool partial_gang_reserved = false;

 private:
  // The work limit of one pass. It takes a tenth of a second of processor time,
  // which is well below the leader's lease even where the process gets only a
  // fifth of a processor.
  static constexpr uint64_t kMaxMachinesConsidered = 1'000'000;
  // The share of the limit from which on the scheduler pauses after a pass.
  static constexpr double kPauseShare = 0.125;

  bool unfinished_ = false;
  // The number of unplaced tasks of each served job at that time, by job id.
  std::map<std::string, uint32_t> unplaced_when_served_;
};

}  // namespace oxbow
