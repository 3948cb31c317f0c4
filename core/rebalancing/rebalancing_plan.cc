#include "core/rebalancing/rebalancing_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace oxbow {
namespace {

// Smaller differences are rounding errors.
constexpr double kEpsilon = 1e-6;

// The moves that make room for one task of the waiting job on one machine.
struct Evacuation {
  Machine* from = nullptr;
  std::vector<PlannedMove> moves;
  double cost = 0;  // accelerator-seconds lost by the moved replicas
};

// Resources and machines that the moves planned so far use.
class PlannedUse {
 public:
  Resources On(const Machine* machine) const {
    const auto it = target_use_.find(machine);
    return it == target_use_.end() ? Resources{} : it->second;
  }
  bool IsTarget(const Machine* machine) const {
    return target_use_.contains(machine);
  }
  bool IsFetching(const Machine* machine) const {
    return fetching_.contains(machine);
  }
  bool IsEvacuated(const Machine* machine) const {
    return evacuated_.contains(machine);
  }
  void Add(const PlannedMove& move, const Resources& need) {
    target_use_[move.to] += need;
    if (move.fetch_seconds > 0) fetching_.insert(move.to);
  }
  void AddEvacuated(const Machine* machine) { evacuated_.insert(machine); }

 private:
  std::map<const Machine*, Resources> target_use_;
  std::set<const Machine*> fetching_;
  std::set<const Machine*> evacuated_;
};

// The placement options of the waiting job in one zone, or in all zones
// together if the job may be placed across zones.
struct ZoneOptions {
  uint32_t fitting_tasks = 0;  // tasks that fit without any move
  std::vector<Evacuation> evacuations;
};

struct ZonePlan {
  std::vector<PlannedMove> moves;
  double cost = 0;
};

class MovePlanner {
 public:
  explicit MovePlanner(const MovePlanInput& input);
  std::vector<PlannedMove> Plan() const;

 private:
  std::map<std::string, ZoneOptions> OptionsByZone() const;
  ZonePlan PlanZone(ZoneOptions options) const;
  // Returns nothing if `max_moves` moves cannot make room on the machine, or
  // only at a cost that is not below the gain.
  std::optional<Evacuation> Evacuate(Machine& machine, PlannedUse use,
                                     size_t max_moves) const;
  std::vector<const TaskAttempt*> MovableReplicas(const Machine& machine) const;
  bool IsMovable(const TaskAttempt& attempt) const;
  // The best target given the moves in `use`; nothing if there is none.
  std::optional<PlannedMove> FindTarget(const TaskAttempt& attempt,
                                        Machine& from,
                                        const PlannedUse& use) const;
  // Whether the target has capacity for the replica and is not fragmented
  // further by it.
  bool FitsOn(const TaskAttempt& attempt, const Machine& target,
              const ZoneSpread& zones, const PlannedUse& use) const;

  const MovePlanInput& input_;
  std::vector<Machine*> targets_;
};

MovePlanner::MovePlanner(const MovePlanInput& input) : input_(input) {
  // Only fragmented machines are targets; most machines are full or empty.
  for (Machine* machine : input.usable) {
    if (machine->total().gpus > 0 &&
        CapacityBesideLongRunning(*machine).gpus > kEpsilon &&
        input.fragmentation->UnusableAccelerators(*machine) > kEpsilon) {
      targets_.push_back(machine);
    }
  }
}

bool MovePlanner::FitsOn(const TaskAttempt& attempt, const Machine& target,
                         const ZoneSpread& zones, const PlannedUse& use) const {
  const JobSpec& spec = attempt.job->spec();
  const Resources planned = use.On(&target) + spec.need;
  return ConstraintsAllow(spec, target, zones) &&
         planned.FitsIn(target.CapacityFor(attempt.job, spec.priority)) &&
         planned.FitsIn(CapacityBesideLongRunning(target)) &&
         input_.fragmentation->AddedFragmentation(target, spec.need) <=
             kEpsilon;
}

std::optional<PlannedMove> MovePlanner::FindTarget(
    const TaskAttempt& attempt, Machine& from, const PlannedUse& use) const {
  ZoneSpread zones = input_.zone_spread(*attempt.job);
  zones.Add(from.zone, -1);
  Machine* best = nullptr;
  double best_fetch = 0;
  for (Machine* machine : targets_) {
    if (machine == &from || use.IsEvacuated(machine)) continue;
    if (!FitsOn(attempt, *machine, zones, use)) continue;
    const double fetch = SecondsUntilImageCached(*machine, attempt.job->spec());
    if (fetch > 0 && use.IsFetching(machine)) continue;
    if (!input_.may_move_to(attempt, *machine, fetch)) continue;
    // Prefer the shortest image fetch, then the fullest machine.
    if (best == nullptr || fetch < best_fetch - kEpsilon ||
        (fetch < best_fetch + kEpsilon &&
         machine->used_by_long_running.gpus >
             best->used_by_long_running.gpus)) {
      best = machine;
      best_fetch = fetch;
    }
  }
  if (best == nullptr) return std::nullopt;
  return PlannedMove{KeyOf(attempt), &from, best, best_fetch};
}

bool MovePlanner::IsMovable(const TaskAttempt& attempt) const {
  if (attempt.phase != TaskPhase::kRunning || attempt.stopping ||
      attempt.job == nullptr || !attempt.charged) {
    return false;
  }
  const JobSpec& spec = attempt.job->spec();
  return spec.kind == JobKind::kService &&
         spec.priority != Priority::kProduction && spec.need.gpus > 0 &&
         input_.now - attempt.running_since >= input_.min_run_seconds;
}

std::vector<const TaskAttempt*> MovePlanner::MovableReplicas(
    const Machine& machine) const {
  std::vector<const TaskAttempt*> movable;
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (IsMovable(attempt)) movable.push_back(&attempt);
  }
  return movable;
}

std::optional<Evacuation> MovePlanner::Evacuate(Machine& machine,
                                                PlannedUse use,
                                                size_t max_moves) const {
  const Resources& need = input_.waiting->need;
  Resources capacity = CapacityBesideLongRunning(machine);
  std::vector<const TaskAttempt*> movable = MovableReplicas(machine);
  Resources capacity_without_all = capacity;
  for (const TaskAttempt* attempt : movable) {
    capacity_without_all += attempt->need;
  }
  if (!need.FitsIn(capacity_without_all)) return std::nullopt;
  std::sort(movable.begin(), movable.end(),
            [](const TaskAttempt* first, const TaskAttempt* second) {
              if (first->need.gpus != second->need.gpus) {
                return first->need.gpus < second->need.gpus;
              }
              return KeyOf(*first) < KeyOf(*second);
            });
  use.AddEvacuated(&machine);
  Evacuation evacuation{&machine, {}, 0};
  for (const TaskAttempt* attempt : movable) {
    if (need.FitsIn(capacity)) break;
    if (evacuation.moves.size() >= max_moves || !input_.may_leave(*attempt)) {
      return std::nullopt;
    }
    const std::optional<PlannedMove> move = FindTarget(*attempt, machine, use);
    if (!move) return std::nullopt;
    use.Add(*move, attempt->need);
    capacity += attempt->need;
    evacuation.cost +=
        attempt->need.gpus * (input_.disturbance_seconds + move->fetch_seconds);
    evacuation.moves.push_back(*move);
  }
  const double gain = need.gpus * input_.horizon_seconds;
  if (!need.FitsIn(capacity) || evacuation.moves.empty() ||
      evacuation.cost >= gain) {
    return std::nullopt;
  }
  return evacuation;
}

std::map<std::string, ZoneOptions> MovePlanner::OptionsByZone() const {
  const JobSpec& waiting = *input_.waiting;
  std::map<std::string, ZoneOptions> zones;
  for (Machine* machine : input_.usable) {
    if (!ConstraintsAllow(waiting, *machine, {}) ||
        !waiting.need.FitsIn(machine->total())) {
      continue;
    }
    ZoneOptions& options = zones[waiting.one_zone ? machine->zone : ""];
    const uint32_t fitting = waiting.need.TimesIn(
        CapacityBesideLongRunning(*machine), input_.missing);
    options.fitting_tasks += fitting;
    if (fitting > 0) continue;
    std::optional<Evacuation> evacuation =
        Evacuate(*machine, {}, input_.max_moves);
    if (evacuation) options.evacuations.push_back(*std::move(evacuation));
  }
  return zones;
}

ZonePlan MovePlanner::PlanZone(ZoneOptions options) const {
  ZonePlan plan;
  uint32_t missing = input_.missing - options.fitting_tasks;
  // The machines would stay empty if the gang could not be placed as a whole.
  if (input_.waiting->kind == JobKind::kGang &&
      options.evacuations.size() < missing) {
    return plan;
  }
  std::sort(options.evacuations.begin(), options.evacuations.end(),
            [](const Evacuation& first, const Evacuation& second) {
              if (first.cost != second.cost) return first.cost < second.cost;
              return first.from->index() < second.from->index();
            });
  PlannedUse use;
  for (const Evacuation& option : options.evacuations) {
    if (missing == 0 || plan.moves.size() >= input_.max_moves) break;
    if (use.IsTarget(option.from)) continue;
    // Plan again, since the evacuations chosen before this one use resources.
    const std::optional<Evacuation> evacuation =
        Evacuate(*option.from, use, input_.max_moves - plan.moves.size());
    if (!evacuation) continue;
    for (const PlannedMove& move : evacuation->moves) {
      use.Add(move, move.from->task_attempts.at(move.replica).need);
      plan.moves.push_back(move);
    }
    use.AddEvacuated(evacuation->from);
    plan.cost += evacuation->cost;
    --missing;
  }
  return plan;
}

std::vector<PlannedMove> MovePlanner::Plan() const {
  std::map<std::string, ZoneOptions> zones = OptionsByZone();
  for (const auto& [zone, options] : zones) {
    if (options.fitting_tasks >= input_.missing) return {};  // no move needed
  }
  ZonePlan best;
  for (auto& [zone, options] : zones) {
    ZonePlan plan = PlanZone(std::move(options));
    if (plan.moves.empty()) continue;
    if (best.moves.empty() || plan.cost < best.cost) best = std::move(plan);
  }
  return best.moves;
}

}  // namespace

std::vector<PlannedMove> PlanMoves(const MovePlanInput& input) {
  return MovePlanner(input).Plan();
}

}  // namespace oxbow
