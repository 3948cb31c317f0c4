// The tasks that would have to be stopped on one machine so that one more task
// fits on it.
#pragma once

#include <vector>

#include "core/model/machine.h"

namespace oxbow {

// The tasks to stop on one machine, and the cost of stopping them.
struct PreemptionPlan {
  // Not owned; never null in a plan that PreemptionPlanner returns.
  Machine* machine = nullptr;
  // The work that all victims together lose, in core seconds weighted by
  // priority. Comparable between plans for the same job.
  double cost = 0;
  // The cheapest victim first. Empty if enough capacity is free or is about to
  // be released.
  std::vector<TaskAttemptKey> victims;
};

}  // namespace oxbow
