// One turn of every waiting job, over as many passes as it takes. A pass ends
// early once it has done its share of work; the next one goes on with the jobs
// that have not had their turn. So no event costs more in a larger fleet, and
// no job waits behind the same others for ever.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/job.h"
#include "core/scheduler/scheduling_work.h"

namespace oxbow {

// Owned by the scheduler.
class SchedulingRound {
 public:
  // Whether a pass that has done so much work has to end.
  static bool PassIsOver(const SchedulingWork& work) {
    return work.machines_considered() >= kMaxMachinesConsidered;
  }
  // Whether other events come first after a pass that has done so much work:
  // the time since it began does not show how long it took.
  static bool NeedsPause(const SchedulingWork& work) {
    return work.machines_considered() >= kPauseShare * kMaxMachinesConsidered;
  }

  // Some jobs have not had their turn yet.
  bool unfinished() const { return unfinished_; }
  void set_unfinished() { unfinished_ = true; }
  // Whether the job has had its turn and has lost no task since.
  bool IsServed(const Job& job) const {
    const auto it = unplaced_when_served_.find(job.id());
    return it != unplaced_when_served_.end() && job.unplaced() <= it->second;
  }
  void OnServed(const Job& job) {
    unplaced_when_served_[job.id()] = job.unplaced();
  }
  // Every job has had its turn.
  void Finish() { *this = SchedulingRound(); }

  // As SchedulingPass::partial_gang_reserved, of all passes of the round.
  bool partial_gang_reserved = false;

 private:
  // In one pass: a tenth of a second of a processor, well below the leader's
  // lease even where the process has a fifth of one.
  static constexpr uint64_t kMaxMachinesConsidered = 1'000'000;
  static constexpr double kPauseShare = 0.125;

  bool unfinished_ = false;
  std::map<std::string, uint32_t> unplaced_when_served_;  // tasks, by job
};

}  // namespace oxbow
