#include "core/rebalancing/rebalancer.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum ReplicaMoveState;

constexpr std::array kChanges = {
    std::pair{kPlanned, kClaimed},  std::pair{kPlanned, kGivenUp},
    std::pair{kClaimed, kStopping}, std::pair{kClaimed, kGivenUp},
    std::pair{kStopping, kStarted}, std::pair{kStopping, kGivenUp},
    std::pair{kStarted, kSettled},  std::pair{kStarted, kGivenUp},
};

// How long a state may last, in worker leases. Recording takes a round trip; a
// claim that can't be used soon keeps room from others; a leg that was told to
// stop is surely gone after one lease, unless it hangs in a zone that is cut.
constexpr double kPlannedLeases = 0.5;
constexpr double kClaimedLeases = 0.5;
constexpr double kStoppingLeases = 2;
constexpr double kStartedLeases = 1;  // beside the fetch

}  // namespace

std::string_view NameOf(ReplicaMoveState state) {
  constexpr std::array<std::string_view, 6> kNames = {
      "planned", "claimed", "stopping", "started", "settled", "given up"};
  return kNames[static_cast<size_t>(state)];
}

int MostDown(uint32_t tasks, double service_share) {
  if (tasks < 2) return 0;
  const int share = static_cast<int>(std::floor(tasks * service_share));
  return std::clamp(share, 1, static_cast<int>(tasks) - 1);
}

void Rebalancer::Change(Move& move, ReplicaMoveState next, Time now,
                        std::string_view why) {
  CheckedChange(move.state, next, kChanges, "move");
  move.since = now;
  if (next == kStopping) move.stopped = now;
  move.why = why;
  settled_ += next == kSettled;
  given_up_ += next == kGivenUp;
}

int Rebalancer::Down(const std::string& job) const {
  return static_cast<int>(
      std::count_if(moves_.begin(), moves_.end(), [&](const auto& e) {
        const Move& move = e.second;
        return move.claim.job == job &&
               (move.state == kStopping || move.state == kStarted);
      }));
}

int Rebalancer::under_way() const {
  return static_cast<int>(
      std::count_if(moves_.begin(), moves_.end(),
                    [](const auto& e) { return !Ended(e.second.state); }));
}

void Rebalancer::Restore(const MoveClaim& claim, double wall_minus_steady,
                         Time now) {
  Move move;
  move.claim = claim;
  move.until = claim.until_wall - wall_minus_steady;
  move.cool = claim.cool_wall - wall_minus_steady;
  // A record of a clock that is far off, or a bad one, binds nobody for long.
  const double longest = limits_.cool_leases * limits_.lease_seconds;
  move.until = std::min(move.until, now + longest);
  move.cool = std::min(move.cool, now + 2 * longest);
  if (now >= move.cool) return;
  move.state = now < move.until ? kStopping : kGivenUp;
  if (move.state == kGivenUp) move.why = "of a former leader";
  move.since = move.stopped = now;
  moves_[claim.id] = std::move(move);
}

bool Rebalancer::MayBegin(const std::string& job, uint32_t tasks,
                          const std::string& team, const std::string& to,
                          const std::string& zone, bool fetches,
                          Time now) const {
  const int most_down = MostDown(tasks, limits_.service_share);
  if (most_down == 0 || under_way() >= limits_.at_once ||
      static_cast<int>(moves_.size()) >= limits_.budget) {
    return false;
  }
  int of_service = 0;
  int of_zone = 0;
  int of_team = 0;
  for (const auto& [id, m] : moves_) {
    // Hysteresis: neither a leg nor its sisters go to and fro, and a machine
    // that was filled by a move is not drained by the next.
    const bool same = m.claim.job == job;
    if (same && Ended(m.state) && now < m.cool) return false;
    if (m.claim.from == to && now < m.cool) return false;
    if (Ended(m.state)) continue;
    if (m.claim.to == to && fetches) return false;
    of_service += same;
    of_zone += m.zone == zone;
    of_team += m.team == team;
  }
  const auto part = [&](double share) {
    return std::max(1, static_cast<int>(share * limits_.at_once));
  };
  return of_service < most_down && of_zone < part(limits_.zone_share) &&
         of_team < part(limits_.team_share);
}

std::optional<MoveClaim> Rebalancer::Begin(MoveClaim claim,
                                           const std::string& zone,
                                           const std::string& team,
                                           double fetch_seconds,
                                           double wall_minus_steady, Time now) {
  // Names are few and used again, so that the records stay few. One whose
  // service has not cooled off yet is not free: that is the budget.
  for (int i = 0; i < limits_.budget; ++i) {
    const std::string id = std::to_string(i);
    if (moves_.contains(id)) continue;
    Move& move = moves_[id];
    const double lease = limits_.lease_seconds;
    const double longest =
        (kPlannedLeases + kClaimedLeases + kStoppingLeases + kStartedLeases) *
            lease +
        2 * fetch_seconds;
    move.until = now + longest;
    move.cool = now + std::max(longest, limits_.cool_leases * lease);
    claim.id = id;
    claim.until_wall = move.until + wall_minus_steady;
    claim.cool_wall = move.cool + wall_minus_steady;
    move.claim = claim;
    move.zone = zone;
    move.team = team;
    move.since = now;
    return claim;
  }
  return std::nullopt;
}

void Rebalancer::Recorded(const std::string& id, Time now) {
  const auto it = moves_.find(id);
  if (it != moves_.end() && it->second.state == kPlanned) {
    Change(it->second, kClaimed, now);
  }
}

void Rebalancer::Refused(const std::string& id, Time now) {
  const auto it = moves_.find(id);
  if (it != moves_.end() && it->second.state == kPlanned) {
    Change(it->second, kGivenUp, now, "not recorded");
  }
}

ReplicaMoveAction Rebalancer::Step(const std::string& id,
                                   const ReplicaMoveObservation& observation,
                                   Time now) {
  const auto it = moves_.find(id);
  if (it == moves_.end() || Ended(it->second.state))
    return ReplicaMoveAction::kNone;
  Move& move = it->second;
  const double lease = limits_.lease_seconds;
  const auto give_up = [&](std::string_view why) {
    Change(move, kGivenUp, now, why);
    return ReplicaMoveAction::kNone;
  };
  if (!observation.live) return give_up("the service ends");
  if (now > move.until) return give_up("took too long");
  // Before the stop nothing has been done that must be made good.
  const bool before = move.state == kPlanned || move.state == kClaimed;
  if (before) {
    const double longest =
        (move.state == kPlanned ? kPlannedLeases : kClaimedLeases) * lease;
    if (!observation.wanted)
      return give_up("nobody waits for the room any more");
    if (!observation.on_source || !observation.runs)
      return give_up("the leg has left");
    if (!observation.target_good) return give_up("the target is not there");
    if (now - move.since > longest) return give_up("took too long");
  }
  switch (move.state) {
    case kPlanned:
      return ReplicaMoveAction::kNone;
    case kClaimed: {
      // The floor, at the last moment: every other replica runs, but for those
      // that a move has stopped, and these are not too many.
      if (!observation.whole || !observation.allowed ||
          !observation.source_good) {
        return ReplicaMoveAction::kNone;
      }
      Change(move, kStopping, now);
      return ReplicaMoveAction::kStop;
    }
    case kStopping:
      if (observation.on_target) {
        Change(move, kStarted, now);
      } else if (!observation.on_source && !observation.wants) {
        return give_up("placed elsewhere");
      } else if (!observation.target_good) {
        return give_up("the target is not there");
      } else if (now - move.since > kStoppingLeases * lease) {
        return give_up("the leg does not leave");
      }
      return ReplicaMoveAction::kNone;
    case kStarted:
      if (observation.runs_on_target) {
        Change(move, kSettled, now);
      } else if (!observation.on_target) {
        return give_up("lost on the target");
      }
      return ReplicaMoveAction::kNone;
    case kSettled:
    case kGivenUp:
      break;
  }
  return ReplicaMoveAction::kNone;
}

bool Rebalancer::Drains(const std::string& host) const {
  return std::any_of(moves_.begin(), moves_.end(), [&](const auto& e) {
    return e.second.claim.from == host && !Ended(e.second.state);
  });
}

const std::string* Rebalancer::TargetFor(const std::string& job) const {
  for (const auto& [id, m] : moves_) {
    if (m.claim.job == job && m.state == kStopping) return &m.claim.to;
  }
  return nullptr;
}

void Rebalancer::Forget(Time now) {
  std::erase_if(moves_, [&](const auto& e) {
    return Ended(e.second.state) && now >= e.second.cool;
  });
}

}  // namespace oxbow
