#include "core/rebalancing/rebalancing_plan.h"

#include <algorithm>
#include <map>
#include <set>

namespace oxbow {
namespace {

constexpr double kNothing = 1e-6;

// One machine's way to be whole.
struct Vacating {
  Machine* from = nullptr;
  std::vector<PlannedMove> moves;
  double cost = 0;  // s of accelerators lost to their users
};

struct Taken {
  std::map<const Machine*, Resources> room;  // of targets
  std::set<const Machine*> fetching;
  std::set<const Machine*> drained;

  Resources On(const Machine* machine) const {
    const auto it = room.find(machine);
    return it == room.end() ? Resources{} : it->second;
  }
  void Take(const PlannedMove& move, const Resources& need) {
    room[move.to] += need;
    if (move.fetch_seconds > 0) fetching.insert(move.to);
  }
};

// The best target for one leg beyond what is spoken for; false for none.
bool FindTarget(const MovePlanInput& in, const TaskAttempt& attempt,
                const Machine& from, const Taken& taken, PlannedMove* out) {
  const JobSpec& spec = attempt.job->spec();
  ZoneSpread where = in.where(*attempt.job);
  where.Add(from.zone, -1);
  Machine* best = nullptr;
  double best_fetch = 0;
  for (Machine* machine : in.targets) {
    if (machine == &from || taken.drained.contains(machine)) continue;
    const Resources more = taken.On(machine) + spec.need;
    if (!Allowed(spec, *machine, where) ||
        !more.FitsIn(machine->CapacityFor(attempt.job, spec.priority)) ||
        !more.FitsIn(LastingRoom(*machine)) ||
        in.fragmentation->Added(*machine, spec.need) > kNothing) {
      continue;
    }
    const double fetch = SecondsToImage(*machine, spec);
    if (fetch > 0 && taken.fetching.contains(machine)) continue;
    if (!in.may_go(attempt, *machine, fetch > 0)) continue;
    // The weights first, then the fullest.
    if (best == nullptr || fetch < best_fetch - kNothing ||
        (fetch < best_fetch + kNothing &&
         machine->lasting.gpus > best->lasting.gpus)) {
      best = machine;
      best_fetch = fetch;
    }
  }
  if (best == nullptr) return false;
  *out = {KeyOf(attempt), const_cast<Machine*>(&from), best, best_fetch};
  return true;
}

bool PlanVacating(const MovePlanInput& in, Machine& machine, Taken taken,
                  size_t most, Vacating* out) {
  const Resources& need = in.waiting->need;
  Resources room = LastingRoom(machine);
  std::vector<const TaskAttempt*> legs;
  Resources could = room;
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (attempt.phase != TaskPhase::kRunning || attempt.stopping ||
        attempt.job == nullptr || !attempt.holds ||
        attempt.job->spec().kind != JobKind::kService ||
        attempt.job->spec().priority == Priority::kProduction ||
        attempt.job->spec().need.gpus <= 0 ||
        in.now - attempt.running_since < in.settled_seconds) {
      continue;
    }
    legs.push_back(&attempt);
    could += attempt.need;
  }
  if (!need.FitsIn(could)) return false;
  std::sort(legs.begin(), legs.end(),
            [](const TaskAttempt* a, const TaskAttempt* b) {
              if (a->need.gpus != b->need.gpus)
                return a->need.gpus < b->need.gpus;
              return KeyOf(*a) < KeyOf(*b);
            });
  taken.drained.insert(&machine);
  out->from = &machine;
  for (const TaskAttempt* attempt : legs) {
    if (need.FitsIn(room)) break;
    PlannedMove move;
    if (out->moves.size() >= most || !in.may_leave(*attempt) ||
        !FindTarget(in, *attempt, machine, taken, &move)) {
      return false;
    }
    taken.Take(move, attempt->need);
    room += attempt->need;
    out->cost +=
        attempt->need.gpus * (in.disturbance_seconds + move.fetch_seconds);
    out->moves.push_back(move);
  }
  const double gain = need.gpus * in.horizon_seconds;
  return need.FitsIn(room) && !out->moves.empty() && out->cost < gain;
}

}  // namespace

std::vector<PlannedMove> PlanMoves(const MovePlanInput& input) {
  MovePlanInput in = input;
  const JobSpec& waiting = *in.waiting;
  // Most machines are full or whole, and no target.
  std::vector<Machine*> fragmented;
  for (Machine* machine : in.usable) {
    if (machine->total().gpus > 0 && LastingRoom(*machine).gpus > kNothing &&
        in.fragmentation->Useless(*machine) > kNothing) {
      fragmented.push_back(machine);
    }
  }
  in.targets = fragmented;
  std::map<std::string, std::vector<Vacating>> zones;
  std::map<std::string, uint32_t> fitting;  // there already
  for (Machine* machine : in.usable) {
    if (!Allowed(waiting, *machine, {}) ||
        !waiting.need.FitsIn(machine->total()))
      continue;
    const std::string zone = waiting.one_zone ? machine->zone : "";
    const uint32_t here =
        waiting.need.TimesIn(LastingRoom(*machine), in.missing);
    fitting[zone] += here;
    if (here > 0) continue;
    Vacating vacating;
    if (PlanVacating(in, *machine, {}, in.most, &vacating)) {
      zones[zone].push_back(std::move(vacating));
    }
  }
  for (const auto& [zone, count] : fitting) {
    if (count >= in.missing) return {};  // it will go there
  }
  std::vector<PlannedMove> best;
  double best_cost = 0;
  for (auto& [zone, options] : zones) {
    uint32_t left = in.missing - fitting[zone];
    // A zone that can't become whole would be drained for nothing.
    if (waiting.kind == JobKind::kGang && options.size() < left) continue;
    std::sort(options.begin(), options.end(),
              [](const Vacating& a, const Vacating& b) {
                if (a.cost != b.cost) return a.cost < b.cost;
                return a.from->index() < b.from->index();
              });
    std::vector<PlannedMove> moves;
    double cost = 0;
    Taken taken;
    for (const Vacating& option : options) {
      if (left == 0 || moves.size() >= in.most) break;
      if (taken.room.contains(option.from)) continue;
      // Again, beside what the ones before it have taken.
      Vacating now;
      if (!PlanVacating(in, *option.from, taken, in.most - moves.size(),
                        &now)) {
        continue;
      }
      for (const PlannedMove& move : now.moves) {
        taken.Take(move, move.from->task_attempts.at(move.leg).need);
        moves.push_back(move);
      }
      taken.drained.insert(now.from);
      cost += now.cost;
      --left;
    }
    if (!moves.empty() && (best.empty() || cost < best_cost)) {
      best = std::move(moves);
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace oxbow
