// Replica moves: to leave a whole machine free for a large job, a service's
// replica is stopped on one machine and started on another one, on which
// capacity is reserved for it by a recorded claim. Tracks the state of each
// move and decides on the next action, but stops and starts nothing itself. The
// scheduler places the replacement like any other task, once the old attempt is
// known to be gone, so a move cannot lead to two copies of a replica.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/settings.h"

namespace oxbow {

// State of a move; see the table of transitions in rebalancer.cc.
enum class ReplicaMoveState : uint8_t {
  kPlanned,   // the claim is being recorded; nothing has been stopped
  kClaimed,   // the claim is recorded and reserves capacity on the target
  kStopping,  // a stop was sent, perhaps by an earlier leader
  kStarted,   // a replica of the service has been started on the target
  kSettled,   // completed: the replica runs on the target
  kGivenUp,   // see GiveUpReason; a stopped replica is placed like any other
};
std::string_view NameOf(ReplicaMoveState state);
// Whether the state is final.
inline bool Ended(ReplicaMoveState state) {
  return state >= ReplicaMoveState::kSettled;
}

// Why a move was given up.
enum class GiveUpReason : uint8_t {
  kNone,
  kEarlierLeader,    // an earlier leader's claim had expired at takeover
  kNotRecorded,      // the claim could not be recorded
  kServiceEnded,     // the service has ended or is being ended
  kTimeout,          // the move, or one of its states, took too long
  kNoDemand,         // no job waits for the capacity any more
  kReplicaLeft,      // the replica stopped running before the move stopped it
  kTargetUnusable,   // the target can't take the replica any more
  kPlacedElsewhere,  // the replica was started on another machine
  kStopTimeout,      // the replica did not stop in time
  kLostOnTarget,     // the replica was lost after its start on the target
};
std::string_view NameOf(GiveUpReason reason);

// The part of a move that the next leader must know, stored in the key-value
// store under `move/ID`. Its times are wall times in seconds since 1970,
// because the steady clocks of leaders differ.
struct MoveClaim {
  std::string id;
  std::string job;  // the service
  uint32_t task = 0;
  uint64_t attempt = 0;  // of the replica that is to be stopped
  std::string from;      // host name of the source
  std::string to;        // host name of the target
  std::string for_job;   // the job that waits for the capacity on the source
  // When the claim expires, whatever the state of the move.
  double expires_wall = 0;
  // End of the cooldown: no new move of the service begins before.
  double cooldown_until_wall = 0;
};

// What the leader observes of a move at one moment.
struct ReplicaMoveObservation {
  bool service_live = false;  // has not ended, and its end is not requested
  bool on_source = false;     // the claimed attempt is or may be on the source
  bool running_on_source = false;  // it runs there, and no stop was sent
  bool on_target = false;  // a replica of the service was started on the target
  bool running_on_target = false;     // that replica runs
  bool has_unplaced_replica = false;  // of the service
  // The target is up, sends heartbeats, accepts commands, may run one more
  // replica of the service and has the capacity for it.
  bool target_usable = false;
  // The source sends heartbeats and reports no fencing token other than this
  // leader's.
  bool source_usable = false;
  // Every other replica, except those that moves have stopped, runs on a usable
  // machine. Commands of an earlier leader therefore cannot stop a second one.
  bool others_running = false;
  bool stop_allowed = false;    // by the rollouts' floors and the loss limiter
  bool demand_remains = false;  // the large job still waits for capacity
};

// Serialization of claims, passed in because the core does not depend on the
// wire format.
struct MoveCodec {
  std::string (*write)(const MoveClaim& claim) = nullptr;
  bool (*read)(const std::string& text, MoveClaim* out) = nullptr;
};

// What the owner of a move must do now.
enum class ReplicaMoveAction : uint8_t { kNone, kStop };

// The operators' limits on moves.
struct MoveLimits {
  int max_in_progress = 0;   // moves in progress; 0 disables moves
  int max_per_cooldown = 0;  // moves that are in progress or in their cooldown
  // Share of a service's replicas that moves may have stopped at once; at least
  // one replica, but never the last one.
  double service_share = 0.125;
  // Shares of `max_in_progress` that may have targets in one zone, or move
  // replicas of one team; at least one move.
  double zone_share = 0.5;
  double team_share = 0.5;
  double lease_seconds = 10;
  double heartbeat_interval_seconds = 1;
  double cooldown_leases = 6;
};

// The properties of a move that the limits depend on.
struct MoveRequest {
  std::string job;     // the service
  uint32_t tasks = 0;  // of the service
  std::string team;
  std::string to;            // host name of the target
  std::string zone;          // of the target
  double fetch_seconds = 0;  // to fetch the image; 0: the target has it
};

// All moves of one leadership, kept within the operators' limits. Copyable, so
// that a plan can be tried on a copy.
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
    Time ends_at = 0;  // given up if it is still in progress then
    Time cooldown_ends_at = 0;
  };

  explicit Rebalancer(const MoveLimits& limits) : limits_(limits) {}

  // Takes over a claim that an earlier leader recorded. That leader may have
  // sent a stop that arrives late, so this leader sends none. It reserves the
  // capacity for an unplaced replica of the service until the claim expires,
  // and begins no move of the service before the cooldown ends.
  void Restore(const MoveClaim& claim, double wall_minus_steady, Time now);

  // Whether the limits allow the move to begin now.
  bool MayBegin(const MoveRequest& request, Time now) const;
  // Adds a move in state kPlanned. `claim` names service, task, attempt and
  // hosts. Returns it with its id and times set, to be recorded; nothing if
  // `max_per_cooldown` is reached. The other limits are checked by MayBegin.
  std::optional<MoveClaim> Begin(MoveClaim claim, const MoveRequest& request,
                                 double wall_minus_steady, Time now);
  // The claim has been recorded in the key-value store.
  void OnRecorded(const std::string& id, Time now);
  // The claim could not be recorded.
  void OnNotRecorded(const std::string& id, Time now);
  // Advances the move by what is observed. If kStop is returned, the caller
  // must send the stop of the replica at once.
  ReplicaMoveAction Step(const std::string& id,
                         const ReplicaMoveObservation& observation, Time now);
  // Whether the machine is the source of a move in progress; nothing may be
  // placed on it then.
  bool IsSource(const std::string& host) const;
  // The host that a move reserves for the service's next replica; null if there
  // is none.
  const std::string* TargetFor(const std::string& job) const;
  // Removes ended moves whose cooldown is over.
  void RemoveAfterCooldown(Time now);

  const std::map<std::string, Move>& moves() const { return moves_; }
  int in_progress() const;
  // Number of replicas of the service that moves have stopped and that do not
  // run yet. The replica of a move that was given up does not count: it is
  // treated as missing.
  int StoppedReplicas(const std::string& job) const;
  // Numbers of moves since this leadership began.
  int settled() const { return settled_; }
  int given_up() const { return given_up_; }

 private:
  // Changes the state of the move; all state changes go through here.
  void Change(Move& move, ReplicaMoveState next, Time now,
              GiveUpReason reason = GiveUpReason::kNone);
  // Returns nothing if the move may continue.
  std::optional<GiveUpReason> ReasonToGiveUp(
      const Move& move, const ReplicaMoveObservation& observation,
      Time now) const;

  MoveLimits limits_;
  std::map<std::string, Move> moves_;  // by id
  int settled_ = 0;
  int given_up_ = 0;
};

// Maximum number of a service's replicas that moves may have stopped at once. 0
// for a service with a single replica.
int MaxStoppedReplicas(uint32_t tasks, double service_share);

}  // namespace oxbow
