// Counts the work of scheduling passes. The leader renews its lease and answers
// requests only between two events, so the cost of one event has to be limited.
// The cost is counted in units of work, since the core reads no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace oxbow {

// The work of one pass. The unit is one machine considered for one task.
class SchedulingWork {
 public:
  void Add(size_t machines) { machines_considered_ += machines; }
  uint64_t machines_considered() const { return machines_considered_; }

 private:
  uint64_t machines_considered_ = 0;
};

// Counters over all passes of one leadership.
struct SchedulingCounters {
  uint64_t passes = 0;
  uint64_t most_machines_considered = 0;  // the most in a single pass

  void OnPass(const SchedulingWork& work) {
    ++passes;
    most_machines_considered =
        std::max(most_machines_considered, work.machines_considered());
  }
};

}  // namespace oxbow
