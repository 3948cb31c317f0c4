// Counts the work of scheduling passes. The leader renews its right to lead and
// answers everybody between two events, so what one event may cost is a limit
// that users notice; it is counted, since the core reads no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace oxbow {

// The work of one pass. Unit: a machine that was considered for a task.
class SchedulingWork {
 public:
  void Add(size_t machines) { machines_considered_ += machines; }
  uint64_t machines_considered() const { return machines_considered_; }

 private:
  uint64_t machines_considered_ = 0;
};

// Of all passes of a leadership.
struct SchedulingCounters {
  uint64_t passes = 0;
  uint64_t most_machines_considered = 0;  // in one pass

  void OnPass(const SchedulingWork& work) {
    ++passes;
    most_machines_considered =
        std::max(most_machines_considered, work.machines_considered());
  }
};

}  // namespace oxbow
