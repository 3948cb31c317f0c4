// Runs the replica moves of the cluster on the leader: observes each move,
// plans new ones, and records their claims before any replica is stopped. The
// scheduler places a stopped replica again like any other task. Owns the moves
// in progress.
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
  // The modules that the manager calls.
  struct Modules {
    MachineHealth& machine_health;
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
  };
  RebalancingManager(LeaderContext& context, const Modules& modules);

  // The operators' record of that name has changed, or a write of it has
  // completed. Records of other kinds are ignored.
  void OnMoveRecord(const std::string& name, Time now);
  // Advances the moves, and plans new ones for the jobs that need whole
  // machines. `waiting_accelerator_jobs`: Scheduler::waiting_accelerator_jobs.
  void TickMoves(const std::vector<std::string>& waiting_accelerator_jobs,
                 Time now);
  bool enabled() const { return rebalancer_.has_value(); }
  // Null if the operators have not enabled moves.
  const Rebalancer* rebalancer() const {
    return rebalancer_ ? &*rebalancer_ : nullptr;
  }
  // Reserves capacity on the targets of moves. To be called in each scheduling
  // pass.
  void ReserveMoveTargets(Time now);
  // The machine that a move reserves for the service's next replica; null if
  // there is none or it can't take the replica.
  Machine* ReservedByMove(const Job& job, const ZoneSpread& zones, Time now);
  // Whether the machine is the source of a move in progress.
  bool DrainedByMove(const Machine& machine) const {
    return rebalancer_ && rebalancer_->IsSource(machine.host());
  }
  // Enables moves if the operators' settings allow them, and takes over the
  // claims that an earlier leader recorded. To be called before the first tick.
  void EnableReplicaMoves(const MoveCodec& codec, Time now);

 private:
  // Number of running replicas on machines that send heartbeats and accept
  // commands of this leader only.
  uint32_t CountConfirmedRunning(const Job& job, Time now) const;
  static bool IsRunning(const Machine& machine, const TaskAttempt& attempt);
  bool HasUnplacedTasks(const std::string& job_id) const;

  // --- moves in progress
  // Not const because a permission to stop counts against the loss limit. The
  // parts are observed in the order of the functions below.
  ReplicaMoveObservation Observe(const Rebalancer::Move& move, Time now);
  void ObserveSource(const MoveClaim& claim, Time now,
                     ReplicaMoveObservation& observation) const;
  void ObserveTarget(const Rebalancer::Move& move, const Job& job, Time now,
                     ReplicaMoveObservation& observation) const;
  void ObservePermission(const MoveClaim& claim, const Job& job, Time now,
                         ReplicaMoveObservation& observation);
  void AdvanceMoves(Time now);
  void LogState(const Rebalancer::Move& move);
  void StopReplica(const MoveClaim& claim, Time now);

  // --- new moves
  void PlanMovesFor(const Job& waiting, Time now);
  // The caller sets `usable`.
  MovePlanInput PlanInputFor(const Job& waiting, Time now) const;
  bool MayLeave(const TaskAttempt& replica, Time now) const;
  // Begins all of the moves, or none if the limits do not allow all of them.
  // `moves` have the same source machine.
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
  Time next_advance_ = 0;
  Time next_plan_ = 0;
};

}  // namespace oxbow
