// Replica moves under this leader: observes each, plans new ones, and has their
// claims recorded before anything is stopped. A replica that is stopped here is
// placed again as any other. Owns the moves in progress.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/rebalancing/rebalancer.h"
#include "core/rebalancing/rebalancing_plan.h"

namespace oxbow {

class MachineHealth;
class CommandDispatcher;
class RolloutManager;

// One per leadership. Does nothing until EnableReplicaMoves enables it.
class RebalancingManager {
 public:
  // The modules that it calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
  };
  RebalancingManager(LeaderContext& context, const Modules& modules);

  // The operators' record of that name has changed, or a write of it was
  // refused. Records of other kinds are ignored.
  void OnMoveRecord(const std::string& name, Time now);
  // Advances the moves, and plans new ones for the jobs that need whole
  // machines. `waiting_accelerator_jobs`: Scheduler::waiting_accelerator_jobs.
  void TickMoves(const std::vector<std::string>& waiting_accelerator_jobs,
                 Time now);
  bool enabled() const { return rebalancer_.has_value(); }
  // Null where the operators have not enabled moves.
  const Rebalancer* rebalancer() const {
    return rebalancer_ ? &*rebalancer_ : nullptr;
  }
  // Reserves the capacity on the targets; in each scheduling pass.
  void ReserveMoveTargets(Time now);
  // The machine that a move reserves for the service's next replica; null:
  // none.
  Machine* ReservedByMove(const Job& job, const ZoneSpread& zones, Time now);
  // Whether a move takes a replica off the machine.
  bool DrainedByMove(const Machine& machine) const {
    return rebalancer_ && rebalancer_->IsSource(machine.host());
  }
  // Enables moves, as far as the operators' settings do, and takes up the
  // claims that an earlier leader has recorded; before the first tick.
  void EnableReplicaMoves(const MoveCodec& codec, Time now);

 private:
  // Replicas that run, on machines that send heartbeats and obey this leader
  // alone.
  uint32_t CountConfirmedRunning(const Job& job, Time now) const;
  static bool IsRunning(const Machine& machine, const TaskAttempt& attempt);
  bool HasUnplacedTasks(const std::string& job_id) const;

  // --- moves in progress
  // Not const: permission to stop counts against the loss limit.
  ReplicaMoveObservation Observe(const Rebalancer::Move& move, Time now);
  void ObserveSource(const MoveClaim& claim, Time now,
                     ReplicaMoveObservation& observation) const;
  // After the source.
  void ObserveTarget(const Rebalancer::Move& move, const Job& job, Time now,
                     ReplicaMoveObservation& observation) const;
  // After everything else.
  void ObservePermission(const MoveClaim& claim, const Job& job, Time now,
                         ReplicaMoveObservation& observation);
  void StepMoves(Time now);
  void LogState(const Rebalancer::Move& move);
  void StopReplica(const MoveClaim& claim, Time now);

  // --- new moves
  void PlanMovesFor(const Job& waiting, Time now);
  // Without the usable machines.
  MovePlanInput PlanInputFor(const Job& waiting, Time now) const;
  bool MayLeave(const TaskAttempt& replica, Time now) const;
  // `moves`: all off one machine.
  void BeginAllOrNone(std::span<const PlannedMove> moves, const Job& waiting,
                      Time now);
  void RecordClaim(const MoveClaim& claim, Time now);

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
  Time next_step_ = 0;
  Time next_plan_ = 0;
};

}  // namespace oxbow
