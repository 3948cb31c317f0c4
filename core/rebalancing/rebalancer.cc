#include "core/rebalancing/rebalancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum ReplicaMoveState;

constexpr std::array kTransitions = {
    std::pair{kPlanned, kClaimed},  std::pair{kPlanned, kGivenUp},
    std::pair{kClaimed, kStopping}, std::pair{kClaimed, kGivenUp},
    std::pair{kStopping, kStarted}, std::pair{kStopping, kGivenUp},
    std::pair{kStarted, kSettled},  std::pair{kStarted, kGivenUp},
};

// How long a state may last, in worker leases. Recording the claim takes one
// round trip. A claim that cannot be used soon withholds capacity from other
// jobs. A stopped replica is known to be gone after one lease, unless it is in
// a partitioned zone.
constexpr double kPlannedLeases = 0.5;
constexpr double kClaimedLeases = 0.5;
constexpr double kStoppingLeases = 2;
constexpr double kStartedLeases = 1;  // plus the time to fetch the image

// Nothing has been stopped yet, so the move can be given up without a loss.
std::optional<GiveUpReason> GiveUpReasonBeforeStop(
    const ReplicaMoveObservation& observation) {
  if (!observation.demand_remains) return GiveUpReason::kNoDemand;
  if (!observation.on_source || !observation.running_on_source) {
    return GiveUpReason::kReplicaLeft;
  }
  if (!observation.target_usable) return GiveUpReason::kTargetUnusable;
  return std::nullopt;
}

std::optional<GiveUpReason> GiveUpReasonWhileStopping(
    const ReplicaMoveObservation& observation) {
  if (observation.on_target) return std::nullopt;
  if (!observation.on_source && !observation.has_unplaced_replica) {
    return GiveUpReason::kPlacedElsewhere;
  }
  if (!observation.target_usable) return GiveUpReason::kTargetUnusable;
  return std::nullopt;
}

}  // namespace

std::string_view NameOf(ReplicaMoveState state) {
  constexpr std::array<std::string_view, 6> kNames = {
      "planned", "claimed", "stopping", "started", "settled", "given up"};
  return kNames[static_cast<size_t>(state)];
}

std::string_view NameOf(GiveUpReason reason) {
  constexpr std::array<std::string_view, 11> kNames = {
      "none",
      "claim of an earlier leader had ended",
      "claim not recorded",
      "service ended",
      "timeout",
      "no job waits for the capacity any more",
      "replica left the source",
      "target not usable",
      "replica placed elsewhere",
      "replica did not stop in time",
      "replica lost on the target"};
  return kNames[static_cast<size_t>(reason)];
}

int MaxStoppedReplicas(uint32_t tasks, double service_share) {
  if (tasks < 2) return 0;
  const int share = static_cast<int>(std::floor(tasks * service_share));
  return std::clamp(share, 1, static_cast<int>(tasks) - 1);
}

void Rebalancer::Change(Move& move, ReplicaMoveState next, Time now,
                        GiveUpReason reason) {
  CheckedTransition(move.state, next, kTransitions, "replica move");
  move.state_since = now;
  if (next == kStopping) move.stop_sent_at = now;
  move.reason = reason;
  settled_ += next == kSettled;
  given_up_ += next == kGivenUp;
}

int Rebalancer::StoppedReplicas(const std::string& job) const {
  return static_cast<int>(
      std::count_if(moves_.begin(), moves_.end(), [&](const auto& entry) {
        const Move& move = entry.second;
        return move.claim.job == job &&
               (move.state == kStopping || move.state == kStarted);
      }));
}

int Rebalancer::in_progress() const {
  return static_cast<int>(std::count_if(
      moves_.begin(), moves_.end(),
      [](const auto& entry) { return !Ended(entry.second.state); }));
}

void Rebalancer::Restore(const MoveClaim& claim, double wall_minus_steady,
                         Time now) {
  Move move;
  move.claim = claim;
  move.ends_at = claim.expires_wall - wall_minus_steady;
  move.cooldown_ends_at = claim.cooldown_until_wall - wall_minus_steady;
  // The times are bounded in case the record is wrong or was written by a
  // controller with a wrong wall clock.
  const double longest = limits_.cooldown_leases * limits_.lease_seconds;
  move.ends_at = std::min(move.ends_at, now + longest);
  move.cooldown_ends_at = std::min(move.cooldown_ends_at, now + 2 * longest);
  if (now >= move.cooldown_ends_at) return;
  move.state = now < move.ends_at ? kStopping : kGivenUp;
  if (move.state == kGivenUp) move.reason = GiveUpReason::kEarlierLeader;
  move.state_since = move.stop_sent_at = now;
  moves_[claim.id] = std::move(move);
}

bool Rebalancer::MayBegin(const MoveRequest& request, Time now) const {
  const int max_stopped =
      MaxStoppedReplicas(request.tasks, limits_.service_share);
  if (max_stopped == 0 || in_progress() >= limits_.max_in_progress ||
      static_cast<int>(moves_.size()) >= limits_.max_per_cooldown) {
    return false;
  }
  int of_service = 0;
  int of_zone = 0;
  int of_team = 0;
  for (const auto& [id, move] : moves_) {
    // Hysteresis: replicas of a service must not move back and forth, and a
    // machine that a move has freed must not become the target of another one.
    const bool same_service = move.claim.job == request.job;
    const bool cooling = now < move.cooldown_ends_at;
    if (same_service && Ended(move.state) && cooling) return false;
    if (move.claim.from == request.to && cooling) return false;
    if (Ended(move.state)) continue;
    // A target fetches one image at a time, since its network link is shared.
    if (move.claim.to == request.to && request.fetch_seconds > 0) return false;
    of_service += same_service;
    of_zone += move.zone == request.zone;
    of_team += move.team == request.team;
  }
  const auto share_of_moves = [&](double share) {
    return std::max(1, static_cast<int>(share * limits_.max_in_progress));
  };
  return of_service < max_stopped &&
         of_zone < share_of_moves(limits_.zone_share) &&
         of_team < share_of_moves(limits_.team_share);
}

std::optional<MoveClaim> Rebalancer::Begin(MoveClaim claim,
                                           const MoveRequest& request,
                                           double wall_minus_steady, Time now) {
  // There are `max_per_cooldown` ids, which are reused, so that the number of
  // records stays small. An id is free again only after the cooldown of its
  // last move, which enforces the limit.
  for (int i = 0; i < limits_.max_per_cooldown; ++i) {
    const std::string id = std::to_string(i);
    if (moves_.contains(id)) continue;
    Move& move = moves_[id];
    const double lease = limits_.lease_seconds;
    const double longest =
        (kPlannedLeases + kClaimedLeases + kStoppingLeases + kStartedLeases) *
            lease +
        2 * request.fetch_seconds;
    move.ends_at = now + longest;
    move.cooldown_ends_at =
        now + std::max(longest, limits_.cooldown_leases * lease);
    claim.id = id;
    claim.expires_wall = move.ends_at + wall_minus_steady;
    claim.cooldown_until_wall = move.cooldown_ends_at + wall_minus_steady;
    move.claim = claim;
    move.zone = request.zone;
    move.team = request.team;
    move.state_since = now;
    return claim;
  }
  return std::nullopt;
}

void Rebalancer::OnRecorded(const std::string& id, Time now) {
  const auto it = moves_.find(id);
  if (it != moves_.end() && it->second.state == kPlanned) {
    Change(it->second, kClaimed, now);
  }
}

void Rebalancer::OnNotRecorded(const std::string& id, Time now) {
  const auto it = moves_.find(id);
  if (it != moves_.end() && it->second.state == kPlanned) {
    Change(it->second, kGivenUp, now, GiveUpReason::kNotRecorded);
  }
}

std::optional<GiveUpReason> Rebalancer::ReasonToGiveUp(
    const Move& move, const ReplicaMoveObservation& observation,
    Time now) const {
  if (!observation.service_live) return GiveUpReason::kServiceEnded;
  if (now > move.ends_at) return GiveUpReason::kTimeout;
  const auto lasts_longer_than = [&](double leases) {
    return now - move.state_since > leases * limits_.lease_seconds;
  };
  std::optional<GiveUpReason> reason;
  switch (move.state) {
    case kPlanned:
    case kClaimed:
      reason = GiveUpReasonBeforeStop(observation);
      if (!reason && lasts_longer_than(move.state == kPlanned ? kPlannedLeases
                                                              : kClaimedLeases))
        reason = GiveUpReason::kTimeout;
      return reason;
    case kStopping:
      reason = GiveUpReasonWhileStopping(observation);
      if (!reason && !observation.on_target &&
          lasts_longer_than(kStoppingLeases)) {
        reason = GiveUpReason::kStopTimeout;
      }
      return reason;
    case kStarted:
      if (observation.running_on_target || observation.on_target) break;
      return GiveUpReason::kLostOnTarget;
    case kSettled:
    case kGivenUp:
      break;
  }
  return std::nullopt;
}

ReplicaMoveAction Rebalancer::Step(const std::string& id,
                                   const ReplicaMoveObservation& observation,
                                   Time now) {
  const auto it = moves_.find(id);
  if (it == moves_.end() || Ended(it->second.state)) {
    return ReplicaMoveAction::kNone;
  }
  Move& move = it->second;
  if (const auto reason = ReasonToGiveUp(move, observation, now)) {
    Change(move, kGivenUp, now, *reason);
    return ReplicaMoveAction::kNone;
  }
  switch (move.state) {
    case kClaimed:
      // Right before the stop: every other replica must still run, except for
      // the limited number that moves have stopped.
      if (!observation.others_running || !observation.stop_allowed ||
          !observation.source_usable) {
        break;
      }
      Change(move, kStopping, now);
      return ReplicaMoveAction::kStop;
    case kStopping:
      if (observation.on_target) Change(move, kStarted, now);
      break;
    case kStarted:
      if (observation.running_on_target) Change(move, kSettled, now);
      break;
    case kPlanned:
    case kSettled:
    case kGivenUp:
      break;
  }
  return ReplicaMoveAction::kNone;
}

bool Rebalancer::IsSource(const std::string& host) const {
  return std::any_of(moves_.begin(), moves_.end(), [&](const auto& entry) {
    return entry.second.claim.from == host && !Ended(entry.second.state);
  });
}

const std::string* Rebalancer::TargetFor(const std::string& job) const {
  for (const auto& [id, move] : moves_) {
    if (move.claim.job == job && move.state == kStopping) return &move.claim.to;
  }
  return nullptr;
}

void Rebalancer::RemoveAfterCooldown(Time now) {
  std::erase_if(moves_, [&](const auto& entry) {
    return Ended(entry.second.state) && now >= entry.second.cooldown_ends_at;
  });
}

}  // namespace oxbow
