// Replica moves: a replica is stopped on one machine, so that its capacity
// there becomes part of a whole, and started on another that is claimed for it.
// Records how far each move is and decides what it may do next; stops and
// starts nothing itself. The start is made as any other, once the old attempt
// is surely gone, so a move can't lead to a second copy.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/settings.h"

namespace oxbow {

// How far a move is; see the table of changes in rebalancer.cc.
enum class ReplicaMoveState : uint8_t {
  kPlanned,   // the claim is being recorded; nothing has been stopped
  kClaimed,   // recorded: the capacity on the target is reserved
  kStopping,  // a stop was sent, perhaps by an earlier leader
  kStarted,   // a replica of the service has been started on the target
  kSettled,   // and runs there
  kGivenUp,   // see the reason; what was stopped is placed as any other
};
std::string_view NameOf(ReplicaMoveState state);
// Whether nothing follows the state.
inline bool Ended(ReplicaMoveState state) {
  return state >= ReplicaMoveState::kSettled;
}

// Why a move was given up.
enum class GiveUpReason : uint8_t {
  kNone,
  kEarlierLeader,  // its claim had ended when this leader began
  kNotRecorded,
  kServiceEnded,
  kTimeout,
  kNoDemand,  // no job waits for the capacity any more
  kReplicaLeft,
  kTargetUnusable,
  kPlacedElsewhere,
  kStopTimeout,
  kLostOnTarget,
};
std::string_view NameOf(GiveUpReason reason);

// What the next leader must know of a move, as the key-value store holds it
// under `move/ID`. Wall times in s: the steady clocks of leaders differ.
struct MoveClaim {
  std::string id;
  std::string job;  // a service
  uint32_t task = 0;
  uint64_t attempt = 0;  // of the replica that is to be stopped
  std::string from;      // hosts
  std::string to;
  std::string for_job;      // the job that waits for the capacity
  double expires_wall = 0;  // the claim ends, whatever became of the move
  double cooldown_until_wall = 0;  // no move of the service begins before
};

// What the leader observes of a move.
struct ReplicaMoveObservation {
  bool service_live = false;       // and nobody has asked for its end
  bool on_source = false;          // the claimed attempt is, or may be, there
  bool running_on_source = false;  // and no stop was sent
  bool on_target = false;          // a replica of the service was started there
  bool running_on_target = false;
  bool has_unplaced_replica = false;  // of the service
  // Up, sends heartbeats, takes commands, may run one more, has the capacity.
  bool target_usable = false;
  // Sends heartbeats, and shows no fencing token but the leader's.
  bool source_usable = false;
  // Every other replica runs on a usable machine: no command of an earlier
  // leader can stop a second one. Those that moves have stopped are excepted.
  bool others_running = false;
  bool stop_allowed = false;    // by rollouts' floors and the loss limiter
  bool demand_remains = false;  // the large job still waits
};

// How a claim is serialized: the core does not know the format.
struct MoveCodec {
  std::string (*write)(const MoveClaim& claim) = nullptr;
  bool (*read)(const std::string& text, MoveClaim* out) = nullptr;
};

// What the owner of a move has to do.
enum class ReplicaMoveAction : uint8_t { kNone, kStop };

// The operators' limits on moves.
struct MoveLimits {
  int at_once = 0;  // moves in progress; 0: none at all
  int budget = 0;   // moves begun within a cooling-off period
  // Of a service's replicas, at once; one at least, never the last.
  double service_share = 0.125;
  double zone_share = 0.5;  // of the moves in progress, to the same zone
  double team_share = 0.5;  // and of the same team
  double lease_seconds = 10;
  double heartbeat_interval_seconds = 1;
  double cool_leases = 6;
};

// A move that is asked for.
struct MoveRequest {
  std::string job;     // a service
  uint32_t tasks = 0;  // of the service
  std::string team;
  std::string to;            // host
  std::string zone;          // of the target
  double fetch_seconds = 0;  // until the target has the image; 0: it has it
};

// All moves of one leadership, within the operators' limits. Copyable: a plan
// is tried on a copy.
class Rebalancer {
 public:
  struct Move {
    MoveClaim claim;
    ReplicaMoveState state = ReplicaMoveState::kPlanned;
    GiveUpReason reason = GiveUpReason::kNone;
    std::string zone;  // of the target
    std::string team;
    Time state_since = 0;
    Time stop_sent_at = 0;
    Time ends_at = 0;  // at the latest, whatever happens
    Time cooled_off_at = 0;
  };

  explicit Rebalancer(const MoveLimits& limits) : limits_(limits) {}

  // Takes up a claim that an earlier leader recorded. A stop may have been sent
  // and may arrive late: this leader commands nothing. It reserves the capacity
  // for a replica without a place until the claim ends, and moves no replica of
  // the service until it has cooled off.
  void Restore(const MoveClaim& claim, double wall_minus_steady, Time now);

  // Whether such a move may begin within the limits.
  bool MayBegin(const MoveRequest& request, Time now) const;
  // Plans the move. Returns `claim` with its id and times set, to be recorded;
  // nothing if the budget is used up. `claim` names service, task, attempt and
  // hosts; see MayBegin for the limits.
  std::optional<MoveClaim> Begin(MoveClaim claim, const MoveRequest& request,
                                 double wall_minus_steady, Time now);
  // The claim is recorded in the key-value store.
  void OnRecorded(const std::string& id, Time now);
  // The claim can't be recorded.
  void OnRefused(const std::string& id, Time now);
  // What to do now. kStop: the caller sends the stop at once.
  ReplicaMoveAction Step(const std::string& id,
                         const ReplicaMoveObservation& observation, Time now);
  // Whether a move takes a replica off that machine: nothing is placed there.
  bool IsSource(const std::string& host) const;
  // The host reserved for the service's next replica; null for none.
  const std::string* TargetFor(const std::string& job) const;
  // Removes ended moves that have cooled off.
  void RemoveCooledOff(Time now);

  const std::map<std::string, Move>& moves() const { return moves_; }
  int in_progress() const;
  // Replicas of the service that moves have stopped and that do not run yet.
  // A move that was given up does not count: its replica is a missing one.
  int StoppedReplicas(const std::string& job) const;
  // Since this leader began.
  int settled() const { return settled_; }
  int given_up() const { return given_up_; }

 private:
  // The one function for changes of a move's state.
  void Change(Move& move, ReplicaMoveState next, Time now,
              GiveUpReason reason = GiveUpReason::kNone);
  // Nothing: the move goes on.
  std::optional<GiveUpReason> ReasonToGiveUp(
      const Move& move, const ReplicaMoveObservation& observation,
      Time now) const;

  MoveLimits limits_;
  std::map<std::string, Move> moves_;  // by id
  int settled_ = 0;
  int given_up_ = 0;
};

// The most replicas of a service that moves may have stopped at once: 0 for a
// service of one, whose only replica would be the last.
int MaxStoppedReplicas(uint32_t tasks, double service_share);

}  // namespace oxbow
