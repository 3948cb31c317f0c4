// What would have to be stopped on one machine so that one more task fits.
#pragma once

#include <vector>

#include "core/model/machine.h"

namespace oxbow {

// The tasks to stop on one machine, and what that costs.
struct PreemptionPlan {
  // Not owned; never null in a plan that a planner returns.
  Machine* machine = nullptr;
  // Of all victims: weighted core seconds of lost work. Comparable between
  // plans for the same job.
  double cost = 0;
  // The cheapest first. Empty: enough capacity is free or about to be.
  std::vector<TaskAttemptKey> victims;
};

}  // namespace oxbow
