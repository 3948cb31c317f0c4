// Which replicas to move so that work that waits for whole machines finds them:
// gain against cost.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/packing/fragmentation.h"
#include "core/placement/placement.h"

namespace oxbow {

struct PlannedMove {
  TaskAttemptKey leg;
  Machine* from = nullptr;
  Machine* to = nullptr;
  double fetch_seconds = 0;
};

struct MovePlanInput {
  const FragmentationIndex* fragmentation = nullptr;
  std::span<Machine* const> usable;
  std::span<Machine* const> targets;  // set by PlanMoves itself
  const JobSpec* waiting = nullptr;   // the large one
  uint32_t missing = 0;               // its tasks that have no place
  size_t most = 0;                    // moves
  double settled_seconds = 0;         // a replica that has run for less stays
  double disturbance_seconds = 0;     // of a stop and a start without a fetch
  // What a whole machine sooner is worth, s of its accelerators: about how long
  // it would take until it drains by itself.
  double horizon_seconds = 0;
  Time now = 0;
  // Whether this leg may be moved at all, and whether to that machine.
  std::function<bool(const TaskAttempt&)> may_leave;
  std::function<bool(const TaskAttempt&, const Machine& to, bool fetches)>
      may_go;
  std::function<ZoneSpread(const Job&)> where;
};

// Machines that become able to take one more task of the waiting job, each with
// all moves that this needs or none of them; the cheapest first. Targets are
// fragmented already and stay of the same use to the mix, or gain; they are
// never machines that are being drained. A job in one zone gets machines of one
// zone only, and none where it can't become whole.
std::vector<PlannedMove> PlanMoves(const MovePlanInput& input);

}  // namespace oxbow
