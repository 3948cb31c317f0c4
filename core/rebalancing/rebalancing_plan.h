// Which replicas to move so that a job whose tasks need whole machines gets
// them: what the job gains against what the moves cost. A pure function of its
// input; stops and starts nothing.
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

// One replica from one machine to another. The machines outlive the plan.
struct PlannedMove {
  TaskAttemptKey replica;
  Machine* from = nullptr;
  Machine* to = nullptr;
  double fetch_seconds = 0;  // until the target has the replica's image
};

// What a plan is made of. What is pointed to must outlive the call.
struct MovePlanInput {
  const FragmentationIndex* fragmentation = nullptr;
  std::span<Machine* const> usable;
  const JobSpec* waiting = nullptr;  // the job that needs whole machines
  uint32_t missing = 0;              // its tasks that have no place
  size_t max_moves = 0;
  double settled_seconds = 0;      // a replica that has run for less stays
  double disturbance_seconds = 0;  // of a stop and a start without a fetch
  // What having a machine whole now is worth, in seconds of its accelerators:
  // about how long it would take to empty by itself.
  double horizon_seconds = 0;
  Time now = 0;
  // Whether the replica may be moved at all, and whether to that machine.
  std::function<bool(const TaskAttempt& replica)> may_leave;
  std::function<bool(const TaskAttempt& replica, const Machine& to,
                     double fetch_seconds)>
      may_move_to;
  std::function<ZoneSpread(const Job& job)> zone_spread;
};

// The moves after which machines can take one more task of the waiting job,
// the cheapest machine first, each with all the moves that it needs or none of
// them. Targets are fragmented machines that become no less useful by the move,
// and never machines that are being emptied. A job that stays in one zone gets
// machines of one zone only, and a gang none where it can't be placed whole.
std::vector<PlannedMove> PlanMoves(const MovePlanInput& input);

}  // namespace oxbow
