// A model checker for replica moves. It explores every order of events in a
// small cluster: two services with two replicas each, three machines, one
// change of leader, one machine that dies, one replica that exits by itself,
// and a waiting job that may go away. Commands to workers are delivered at any
// later time or lost; writes succeed at any later time or fail. The model of
// the leader knows only what the protocol tells it; the state machine of the
// moves is the production code (class Rebalancer).
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/rebalancing/rebalancer.h"

namespace oxbow::move_explorer {

inline constexpr int kMachines = 3;
inline constexpr int kServices = 2;
inline constexpr int kReplicas = 2;
inline constexpr int kAllReplicas = kServices * kReplicas;
inline constexpr double kFetchSeconds = 1;  // of a target without the image

// Safety checks to leave out, in order to see that the exploration detects
// their absence. Checks that cover for each other are left out together.
struct Without {
  bool whole = false;     // a move stops a replica without checking the others
  bool token = false;     // late commands of an earlier leader are ignored
  bool cool_off = false;  // a new leader does not restore the recorded claims
  bool gone = false;   // a replica is placed before the old one is known gone
  bool limit = false;  // not read: no limit on stopped replicas of a service
};

struct WorkerCommand {
  bool start = false;
  int replica = 0;
  int machine = 0;
  int leader = 0;
};

// One state of the modelled cluster. The arrays by replica are bit masks of
// machines.
struct Simulation {
  int now = 0;         // ticks
  int leader = 0;      // number of the current leader
  bool wanted = true;  // the large job still waits for capacity
  int dead = -1;       // the machine that has died; -1: none
  // Where the replica really is.
  std::array<uint8_t, kAllReplicas> there{};
  // Where the replica may be, as far as the leader knows.
  std::array<uint8_t, kAllReplicas> belief{};
  // Where the leader knows that the replica was told to stop.
  std::array<uint8_t, kAllReplicas> stopped{};
  // Where a heartbeat has shown the replica since its start.
  std::array<uint8_t, kAllReplicas> seen{};
  bool exited = false;  // a replica has exited by itself; happens at most once
  // The latest leader of which the worker has seen a message.
  std::array<int, kMachines> token{};
  // Whether the machine has sent a heartbeat to the current leader.
  std::array<bool, kMachines> heard{};
  std::vector<WorkerCommand> commands;      // in flight
  std::map<std::string, MoveClaim> stored;  // claims in the key-value store
  std::vector<MoveClaim> writes;            // of this leader, in flight
  Rebalancer rebalancer{Limits()};

  static MoveLimits Limits() {
    MoveLimits limits;
    limits.max_in_progress = 2;
    limits.max_per_cooldown = 2;
    limits.zone_share = limits.team_share = 1;
    limits.lease_seconds = 2;
    limits.heartbeat_interval_seconds = 1;
    limits.cooldown_leases = 3;
    return limits;
  }

  // Identifies the state; states with equal keys are explored only once.
  std::string Key() const {
    std::string key =
        fmt::format("{} {} {} {} {}|", now, leader, wanted, dead, exited);
    for (int index = 0; index < kAllReplicas; ++index) {
      key += fmt::format("{},{},{},{};", there[index], belief[index],
                         stopped[index], seen[index]);
    }
    for (int machine = 0; machine < kMachines; ++machine) {
      key += fmt::format("{}{}", token[machine], heard[machine]);
    }
    std::vector<std::string> sorted;
    for (const WorkerCommand& command : commands) {
      sorted.push_back(fmt::format("{}{}{}{}", command.start, command.replica,
                                   command.machine, command.leader));
    }
    std::sort(sorted.begin(), sorted.end());
    for (const std::string& s : sorted) key += "o" + s;
    for (const MoveClaim& claim : writes) key += "w" + claim.id + claim.job;
    for (const auto& [id, claim] : stored) {
      key += fmt::format("s{}{}{}{:.1f}", id, claim.job, claim.task,
                         claim.expires_wall);
    }
    for (const auto& [id, move] : rebalancer.moves()) {
      key += fmt::format("m{}{}{}{}{:.1f}{:.1f}{:.1f}", id, move.claim.job,
                         move.claim.task, move.claim.to, move.state_since,
                         move.ends_at, move.cooldown_ends_at) +
             std::string(NameOf(move.state));
    }
    return key;
  }
};

inline std::string Host(int machine) { return fmt::format("{}", machine); }
inline std::string Service(int replica) {
  return fmt::format("s{}", replica / kReplicas);
}
inline int ReplicaOf(const MoveClaim& claim) {
  return (claim.job[1] - '0') * kReplicas + static_cast<int>(claim.task);
}

// Enumerates every sequence of choices: a loop runs the same code with one
// sequence after another, until Next returns false.
class Choices {
 public:
  // Returns the next choice of the current sequence, from 0 to `ways` - 1.
  int operator()(int ways) {
    if (at_ == taken_.size()) taken_.push_back({0, ways});
    return taken_[at_++].first;
  }
  // Goes on to the next sequence. Returns false if there is none.
  bool Next() {
    at_ = 0;
    while (!taken_.empty() && taken_.back().first + 1 == taken_.back().second) {
      taken_.pop_back();
    }
    if (taken_.empty()) return false;
    ++taken_.back().first;
    return true;
  }

 private:
  std::vector<std::pair<int, int>> taken_;
  size_t at_ = 0;
};

// Explores all reachable states breadth-first and checks each of them.
class Explorer {
 public:
  Explorer(Without without, int ticks) : without_(without), ticks_(ticks) {}

  // Returns the first violation that is found; empty if there is none.
  // `mid_move`: begin with a move whose leader has just been replaced.
  std::string Run(bool mid_move = false) {
    Simulation start;
    start.rebalancer = Rebalancer(Simulation::Limits());
    // Service s0 is on machines 0 and 1, service s1 on machines 1 and 2.
    start.there = start.belief = start.seen = {1, 2, 2, 4};
    start.heard.fill(true);
    if (mid_move) {
      // The first leader has recorded a claim and sent a stop that is still in
      // flight, and has then been replaced.
      start.now = 0;
      start.commands.push_back({false, 0, 0, 0});
      MoveClaim claim;
      claim.job = "s0";
      claim.from = Host(0);
      claim.to = Host(2);
      const auto begun = start.rebalancer.Begin(
          claim, {claim.job, kReplicas, "t", claim.to, "a", 0}, 0, 0);
      start.stored[begun->id] = *begun;
      ChangeLeader(start);
    }
    Add(start);
    while (!open_.empty() && bad_.empty()) {
      const Simulation simulation = std::move(open_.front());
      open_.pop_front();
      if (simulation.now == ticks_) continue;
      Choices choices;
      do {
        Simulation next = simulation;
        if (Step(next, choices)) Add(std::move(next));
      } while (choices.Next());
    }
    return bad_;
  }
  size_t states() const { return seen_.size(); }
  size_t settled() const { return settled_; }
  size_t given_up() const { return given_up_; }

 private:
  void Add(Simulation simulation) {
    Check(simulation);
    if (seen_.insert(simulation.Key()).second) {
      open_.push_back(std::move(simulation));
    }
  }

  void Check(const Simulation& state) {
    for (int index = 0; index < kAllReplicas; ++index) {
      if (std::popcount(state.there[index]) > 1)
        bad_ = "a replica on two machines";
    }
    if (state.dead >= 0) return;  // the loss was not caused by a move
    for (int s = state.exited ? 1 : 0; s < kServices; ++s) {
      int there = 0;
      for (int r = 0; r < kReplicas; ++r) {
        there += state.there[s * kReplicas + r] != 0;
      }
      if (there < kReplicas - MaxStoppedReplicas(kReplicas, 0.125)) {
        bad_ = "a service below its floor";
      }
    }
    for (const auto& [id, move] : state.rebalancer.moves()) {
      if (!Ended(move.state) && state.now > move.ends_at + 1)
        bad_ = "a state without end";
    }
  }

  bool Outstanding(const Simulation& state, int machine, int leader) const {
    return std::any_of(state.commands.begin(), state.commands.end(),
                       [&](const WorkerCommand& command) {
                         return command.machine == machine &&
                                command.leader == leader;
                       });
  }
  bool Good(const Simulation& state, int machine) const {
    return state.heard[machine] &&
           (state.token[machine] == state.leader || without_.token) &&
           !Outstanding(state, machine, state.leader);
  }

  // Whether the replica certainly runs and no command in flight can stop it.
  bool RunsSurely(const Simulation& state, int replica) const {
    if (std::popcount(state.belief[replica]) != 1 ||
        state.stopped[replica] != 0 ||
        state.seen[replica] != state.belief[replica]) {
      return false;
    }
    return Good(state, std::countr_zero(state.belief[replica]));
  }

  ReplicaMoveObservation ObservationOf(const Simulation& state,
                                       const Rebalancer::Move& move) const {
    ReplicaMoveObservation observation;
    const int replica = ReplicaOf(move.claim);
    const int from = move.claim.from[0] - '0';
    const int to = move.claim.to[0] - '0';
    observation.service_live = true;
    observation.on_source = (state.belief[replica] & (1 << from)) != 0;
    observation.running_on_source =
        state.belief[replica] == (1 << from) && state.stopped[replica] == 0;
    observation.on_target = (state.belief[replica] & (1 << to)) != 0;
    observation.running_on_target = state.belief[replica] == (1 << to) &&
                                    !Outstanding(state, to, state.leader);
    observation.has_unplaced_replica = state.belief[replica] == 0;
    observation.target_usable = to != state.dead && Good(state, to);
    observation.source_usable = from != state.dead && Good(state, from);
    int missing = 0;
    const int first = replica / kReplicas * kReplicas;
    for (int index = first; index < first + kReplicas; ++index) {
      missing += index != replica && !RunsSurely(state, index);
    }
    observation.others_running =
        without_.whole ||
        missing <= state.rebalancer.StoppedReplicas(move.claim.job);
    observation.stop_allowed = true;
    observation.demand_remains = state.wanted;
    return observation;
  }

  // Checks a stop by a move: as far as the leader can know, another replica of
  // the service must be left.
  void Stopped(const Simulation& state, int replica) {
    int left = 0;
    const int first = replica / kReplicas * kReplicas;
    for (int index = first; index < first + kReplicas; ++index) {
      left += index != replica && state.belief[index] != 0 &&
              state.stopped[index] == 0;
    }
    if (left < 1) bad_ = "the last replica stopped by a move";
  }

  void Send(Simulation& state, bool start, int replica, int machine) {
    state.commands.push_back({start, replica, machine, state.leader});
    if (start) state.belief[replica] |= 1 << machine;
    if (!start) state.stopped[replica] |= 1 << machine;
    state.seen[replica] = 0;
  }

  void Tick(Simulation& state) {
    ++state.now;
    for (const auto& [id, move] : std::map(state.rebalancer.moves())) {
      if (state.rebalancer.Step(id, ObservationOf(state, move), state.now) ==
          ReplicaMoveAction::kStop) {
        Send(state, false, ReplicaOf(move.claim), move.claim.from[0] - '0');
        Stopped(state, ReplicaOf(move.claim));
      }
    }
    // Placement as in the production code: a replica is started again once it
    // is known to be gone and every machine is accounted for.
    bool accounted = true;
    for (int machine = 0; machine < kMachines; ++machine)
      accounted &= machine == state.dead || state.heard[machine];
    for (int index = 0; accounted && index < kAllReplicas; ++index) {
      const bool gone = without_.gone
                            ? (state.belief[index] & ~state.stopped[index]) == 0
                            : state.belief[index] == 0;
      if (!gone) continue;
      const std::string* held = state.rebalancer.TargetFor(Service(index));
      for (int machine = kMachines - 1; machine >= 0; --machine) {
        const bool here = held == nullptr || *held == Host(machine);
        if (!here || machine == state.dead || !Good(state, machine)) continue;
        state.stopped[index] = 0;
        Send(state, true, index, machine);
        break;
      }
    }
    state.rebalancer.RemoveAfterCooldown(state.now);
    for (const auto& [id, move] : state.rebalancer.moves()) {
      settled_ += move.state == ReplicaMoveState::kSettled &&
                  move.state_since == state.now;
      given_up_ += move.state == ReplicaMoveState::kGivenUp &&
                   move.state_since == state.now;
    }
  }

  // One heartbeat interval: chooses what happens to each message, to the leader
  // and to the machines, and then lets the leader act. Returns false if other
  // choices lead to the same state.
  bool Step(Simulation& state, Choices& choose) {
    std::vector<WorkerCommand> commands = std::move(state.commands);
    state.commands.clear();
    for (const WorkerCommand& command : commands) {
      // A command that the worker would reject is treated as lost.
      const bool dead = command.machine == state.dead ||
                        command.leader < state.token[command.machine];
      switch (dead ? 1 : choose(3)) {
        case 0:
          Execute(state, command);
          break;
        case 1:
          break;
        default:
          state.commands.push_back(command);
      }
    }
    if (!state.writes.empty()) {
      const MoveClaim claim = state.writes.front();
      switch (choose(4)) {
        case 0:
          state.stored[claim.id] = claim;
          state.rebalancer.OnRecorded(claim.id, state.now);
          state.writes.erase(state.writes.begin());
          break;
        case 1:
          state.rebalancer.OnNotRecorded(claim.id, state.now);
          state.writes.erase(state.writes.begin());
          break;
        case 2:  // the write is applied, but its response is lost
          state.stored[claim.id] = claim;
          state.writes.erase(state.writes.begin());
          break;
        default:
          break;
      }
    }
    const int event = choose(5);
    if (event == 1) {
      if (state.leader > 0) return false;
      ChangeLeader(state);
    } else if (event == 2) {
      if (state.dead >= 0) return false;
      state.dead = 2;  // a possible target that also runs a replica
      Bury(state);
    } else if (event == 3) {
      if (!state.wanted || state.rebalancer.in_progress() == 0) return false;
      state.wanted = false;
    } else if (event == 4) {
      if (state.exited || state.there[1] == 0) return false;
      state.there[1] = 0;
      state.exited = true;
    }
    for (int machine = 0; machine < kMachines; ++machine) {
      if (machine == state.dead || Outstanding(state, machine, state.leader))
        continue;
      if ((!state.heard[machine] || Differs(state, machine)) && choose(2) == 0)
        Report(state, machine);
    }
    Tick(state);
    Begin(state, choose);
    return true;
  }

  static void Execute(Simulation& state, const WorkerCommand& command) {
    state.token[command.machine] = command.leader;
    const auto bit = static_cast<uint8_t>(1 << command.machine);
    if (command.start) {
      state.there[command.replica] |= bit;
    } else {
      state.there[command.replica] &= static_cast<uint8_t>(~bit);
    }
  }

  // A heartbeat of the worker, sent with the current leader's token after all
  // earlier commands of this leader.
  void Report(Simulation& state, int machine) {
    if (!without_.token) state.token[machine] = state.leader;
    state.heard[machine] = true;
    const auto bit = static_cast<uint8_t>(1 << machine);
    for (int index = 0; index < kAllReplicas; ++index) {
      const bool there = (state.there[index] & bit) != 0;
      if (there) {
        state.belief[index] |= bit;
        if (state.stopped[index] == 0) state.seen[index] = bit;
      } else {
        state.belief[index] &= static_cast<uint8_t>(~bit);
        state.stopped[index] &= static_cast<uint8_t>(~bit);
      }
    }
  }

  void ChangeLeader(Simulation& state) {
    ++state.leader;
    state.writes
        .clear();  // conditioned on the old leader's key: they fail from now on
    state.heard.fill(false);
    state.stopped.fill(0);
    state.seen.fill(0);
    // The new leader knows nothing, so each replica may be on any machine.
    for (int index = 0; index < kAllReplicas; ++index)
      state.belief[index] = (1 << kMachines) - 1;
    if (state.dead >= 0) Bury(state);
    state.rebalancer = Rebalancer(Simulation::Limits());
    if (!without_.cool_off) {
      for (const auto& [id, claim] : state.stored)
        state.rebalancer.Restore(claim, 0, state.now);
    }
  }

  static void Bury(Simulation& state) {
    const auto left = static_cast<uint8_t>(~(1 << state.dead));
    for (int index = 0; index < kAllReplicas; ++index) {
      state.there[index] &= left;
      state.belief[index] &= left;
      state.stopped[index] &= left;
      state.seen[index] &= left;
    }
  }

  bool Differs(const Simulation& state, int machine) const {
    const auto bit = static_cast<uint8_t>(1 << machine);
    for (int index = 0; index < kAllReplicas; ++index) {
      if ((state.there[index] & bit) != (state.belief[index] & bit))
        return true;
    }
    return state.token[machine] != state.leader;
  }

  // Begins a move of any replica that certainly runs to any machine. These are
  // more moves than the production planner would choose.
  void Begin(Simulation& state, Choices& choose) {
    if (!state.wanted) return;
    std::vector<std::pair<int, int>> options;
    for (int index = 0; index < kAllReplicas; ++index) {
      if (!RunsSurely(state, index)) continue;
      for (int to = 0; to < kMachines; ++to) {
        if (state.belief[index] == (1 << to) || to == state.dead ||
            !Good(state, to) ||
            !state.rebalancer.MayBegin(
                {Service(index), kReplicas, "t", Host(to), "a", kFetchSeconds},
                state.now)) {
          continue;
        }
        options.emplace_back(index, to);
      }
    }
    const int picked = choose(static_cast<int>(options.size()) + 1);
    if (picked == 0) return;
    const auto [replica, to] = options[static_cast<size_t>(picked) - 1];
    MoveClaim claim;
    claim.job = Service(replica);
    claim.task = static_cast<uint32_t>(replica % kReplicas);
    claim.from = Host(std::countr_zero(state.belief[replica]));
    claim.to = Host(to);
    const auto begun = state.rebalancer.Begin(
        claim, {claim.job, kReplicas, "t", claim.to, "a", 0}, 0, state.now);
    if (begun) state.writes.push_back(*begun);
  }

  const Without without_;
  const int ticks_;  // a tick is one heartbeat interval; a lease is two ticks
  std::deque<Simulation> open_;
  std::unordered_set<std::string> seen_;
  std::string bad_;
  size_t settled_ = 0;
  size_t given_up_ = 0;
};

}  // namespace oxbow::move_explorer
