// Moves of replicas, one by one: a leg is stopped on one machine so that its
// room there becomes whole, and started on another that is claimed for it.
// Knows how far each move is and what it may do next; stops and starts nothing
// itself. The start is made as any other, once the old leg is surely gone, so
// a move can lead to no second copy.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/settings.h"

namespace oxbow {

enum class ReplicaMoveState : uint8_t {
  kPlanned,   // the claim is being recorded; nothing has been stopped
  kClaimed,   // recorded: the room on the target is held
  kStopping,  // the leg was told to stop, or a former leader may have told it
  kStarted,   // a replica of the service has been started on the target
  kSettled,   // and runs there
  kGivenUp,   // see the reason; what was stopped is placed as any other
};
std::string_view NameOf(ReplicaMoveState state);
inline bool Ended(ReplicaMoveState state) {
  return state >= ReplicaMoveState::kSettled;
}

// What a successor must know of a move, as the key-value store holds it under
// `move/ID`. Wall times in s: another leader's steady clock is another one.
struct MoveClaim {
  std::string id;
  std::string job;  // a service
  uint32_t task = 0;
  uint64_t attempt = 0;  // of the leg that is to be stopped
  std::string from;      // hosts
  std::string to;
  std::string for_job;    // that waits for the room
  double until_wall = 0;  // the claim ends, whatever became of the move
  double cool_wall = 0;   // no move of the service begins before
};

// How things stand, as the leader sees them.
struct ReplicaMoveObservation {
  bool live = false;       // the service, and nobody has asked for its end
  bool on_source = false;  // the claimed attempt is, or may be, there
  bool runs = false;       // there, and was not told to stop
  bool on_target = false;  // a replica of the service was started there
  bool runs_on_target = false;
  bool wants = false;  // a replica of the service has no place
  // Up, heard, takes commands, may carry one more, has the room.
  bool target_good = false;
  bool source_good = false;  // heard, and shows no token but the leader's
  // Every other replica runs on a machine that is heard and shows the leader's
  // token: no order of a former leader can stop a second one.
  bool whole = false;
  bool allowed = false;  // by rollouts' floors and the loss limiter
  bool wanted = false;   // the large one still waits
};

// How a claim is written down and read; JSON is not the core's business.
struct MoveCodec {
  std::string (*write)(const MoveClaim& claim) = nullptr;
  bool (*read)(const std::string& text, MoveClaim* out) = nullptr;
};

enum class ReplicaMoveAction : uint8_t { kNone, kStop };

struct MoveLimits {
  int at_once = 0;  // moves under way; 0: none at all
  int budget = 0;   // moves begun within a cool-off
  // Of a service's replicas, at once; one at least, never the last.
  double service_share = 0.125;
  double zone_share = 0.5;  // of the moves under way, with the same target zone
  double team_share = 0.5;  // and with the same team
  double lease_seconds = 10;
  double heartbeat_interval_seconds = 1;
  double cool_leases = 6;
};

class Rebalancer {
 public:
  struct Move {
    MoveClaim claim;
    ReplicaMoveState state = ReplicaMoveState::kPlanned;
    std::string_view why;  // it was given up
    std::string zone;      // of the target
    std::string team;
    Time since = 0;    // of the state
    Time stopped = 0;  // when the leg was told to stop
    Time until = 0;    // it ends by then, whatever happens
    Time cool = 0;
  };

  explicit Rebalancer(const MoveLimits& limits) : limits_(limits) {}

  // A claim that a former leader recorded. Its leg may have been told to stop,
  // and may be told late: this one commands nothing, it holds the room for a
  // replica that has no place, until the claim ends, and leaves the service
  // alone until it has cooled off. `fetch_s` as in Begin.
  void Restore(const MoveClaim& claim, double wall_minus_steady, Time now);

  // Whether a move of this service's leg to that machine may begin. `fetches`:
  // the target does not hold the weights; of those, one on a link.
  bool MayBegin(const std::string& job, uint32_t tasks, const std::string& team,
                const std::string& to, const std::string& zone, bool fetches,
                Time now) const;
  // Plans it; the claim comes back with its name and times, to be recorded.
  // Nothing if there is no room for it. `fetch_s`: what the target still has
  // to fetch, s.
  std::optional<MoveClaim> Begin(MoveClaim claim, const std::string& zone,
                                 const std::string& team, double fetch_seconds,
                                 double wall_minus_steady, Time now);
  // The claim stands in the key-value store.
  void Recorded(const std::string& id, Time now);
  // It can't be recorded.
  void Refused(const std::string& id, Time now);
  // What to do now. A stop that is answered here counts as ordered.
  ReplicaMoveAction Step(const std::string& id,
                         const ReplicaMoveObservation& observation, Time now);
  // Whether a move takes a leg off that machine: nothing new belongs there.
  bool Drains(const std::string& host) const;
  // The host held for the service's next replica; null for none.
  const std::string* TargetFor(const std::string& job) const;
  // Forgets ended ones that have cooled off.
  void Forget(Time now);

  const std::map<std::string, Move>& moves() const { return moves_; }
  int under_way() const;
  // Legs of the service that a move has stopped and that do not run yet. What
  // was given up does not count: its leg is one that is missing.
  int Down(const std::string& job) const;
  // Since this leader began.
  int settled() const { return settled_; }
  int given_up() const { return given_up_; }

 private:
  // The one function for a change of state.
  void Change(Move& move, ReplicaMoveState next, Time now,
              std::string_view why = {});
  MoveLimits limits_;
  std::map<std::string, Move> moves_;  // by id
  int settled_ = 0;
  int given_up_ = 0;
};

// The most replicas of a service that moves may have stopped at once: 0 for a
// service of one, whose only replica would be the last.
int MostDown(uint32_t tasks, double service_share);

}  // namespace oxbow
