// Replica moves under this leader: what they observe, which are planned, and
// how their claims are recorded. What is stopped here is placed again as any
// other replica. Owns the moves.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/rebalancing/rebalancer.h"

namespace oxbow {

class MachineHealth;
class CommandDispatcher;
class RolloutManager;

class RebalancingManager {
 public:
  // The modules that it calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
  };
  RebalancingManager(LeaderContext& context, const Modules& modules);

  // The task's record under its name has changed, or was not to be changed.
  void OnMoveRecord(const std::string& name, Time now);
  // `large_waiting`: Scheduler::large_waiting.
  void TickMoves(const std::vector<std::string>& large_waiting, Time now);
  bool enabled() const { return rebalancer_.has_value(); }
  // Null where the operators have not enabled it.
  const Rebalancer* rebalancer() const {
    return rebalancer_ ? &*rebalancer_ : nullptr;
  }
  // Holds the room on the targets; in each pass.
  void ReserveMoveTargets(Time now);
  // The machine that a move holds for the service's next replica; null: none.
  Machine* ReservedByMove(const Job& job, const ZoneSpread& where, Time now);
  bool DrainedByMove(const Machine& machine) const {
    return rebalancer_ && rebalancer_->Drains(machine.host());
  }
  // Lets replicas be moved, as far as the operators' settings do. Takes up the
  // claims that a former leader has recorded; before the first Tick.
  void UseMoves(const MoveCodec& codec, Time now);

 private:
  // Replicas that run, on machines that are heard and obey this leader alone.
  uint32_t CountConfirmedRunning(const Job& job, Time now) const;
  ReplicaMoveObservation ObservationOf(const Rebalancer::Move& move, Time now);
  void StepMoves(Time now);
  void PlanMovesFor(const Job& waiting, Time now);

  LeaderContext& context_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  ClusterState& cluster_;
  WriteQueue& writes_;
  LivenessMonitor& liveness_;
  FragmentationIndex& fragmentation_;
  MachineHealth& machine_health_;
  CommandDispatcher& dispatcher_;
  RolloutManager& rollout_manager_;
  std::optional<Rebalancer> rebalancer_;
  MoveCodec move_codec_;
  Time next_moves_ = 0;
  Time next_move_plan_ = 0;
};

}  // namespace oxbow
