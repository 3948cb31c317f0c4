// Plans which replicas to move so that a job whose tasks need whole machines
// can be placed, as long as the job's gain exceeds the cost of the moves. A
// pure function of its input; stops and starts nothing.
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

// A move of one replica. The machines must outlive the plan.
struct PlannedMove {
  TaskAttemptKey replica;
  Machine* from = nullptr;
  Machine* to = nullptr;
  double fetch_seconds = 0;  // for the target to fetch the replica's image
};

// The input of a plan. Everything that it points to must outlive the call.
struct MovePlanInput {
  const FragmentationIndex* fragmentation = nullptr;
  std::span<Machine* const> usable;  // machines that tasks may be placed on
  const JobSpec* waiting = nullptr;  // the job that needs whole machines
  uint32_t missing = 0;              // number of its tasks that are unplaced
  size_t max_moves = 0;
  double min_run_seconds = 0;  // replicas that have run for less are not moved
  double disturbance_seconds = 0;  // downtime of a move without an image fetch
  // The gain of a machine that is free now, in seconds of use of its
  // accelerators: about the time that it would take to become free by itself.
  double horizon_seconds = 0;
  Time now = 0;
  // Whether the replica may be moved at all, and whether to the machine `to`.
  std::function<bool(const TaskAttempt& replica)> may_leave;
  std::function<bool(const TaskAttempt& replica, const Machine& to,
                     double fetch_seconds)>
      may_move_to;
  std::function<ZoneSpread(const Job& job)> zone_spread;
};

// Returns moves that enable machines to take one task of the waiting job each.
// The cheapest machine comes first, and each machine gets either all the moves
// that it needs or none. Targets are fragmented machines that the move does not
// fragment further, and never machines that are being emptied. For a job that
// must stay in one zone, all the machines are in one zone; for a gang, the plan
// is empty unless the whole gang can be placed.
std::vector<PlannedMove> PlanMoves(const MovePlanInput& input);

}  // namespace oxbow
