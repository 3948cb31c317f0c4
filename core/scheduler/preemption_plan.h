// What would have to be stopped on one machine so that a task fits.
#pragma once

#include <vector>

#include "core/model/machine.h"

namespace oxbow {

struct PreemptionPlan {
  Machine* machine = nullptr;
  double cost = 0;  // of all victims; comparable between plans
  std::vector<TaskAttemptKey> victims;
};

}  // namespace oxbow
