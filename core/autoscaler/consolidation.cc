#include "core/autoscaler/consolidation.h"

#include <algorithm>
#include <map>

#include "core/autoscaler/quiescence.h"
#include "core/placement/placement.h"
#include "core/worker_sessions/machine_health.h"
#include "core/worker_sessions/machine_lifecycle.h"

namespace oxbow {
namespace {

// Of all replicas, how many may move in one round.
constexpr double kMaxMovedShare = 0.01;
// Where one machine holds more than that share, the next round waits for up to
// so many worker leases.
constexpr double kMaxPauseLeases = 3;
// A replica that has run for less is not worth another start.
constexpr double kSettledLeases = 3;

bool MoreExpensive(const Machine* first, const Machine* second) {
  if (first->type->price != second->type->price) {
    return first->type->price > second->type->price;
  }
  if (first->used_by_services.cpus != second->used_by_services.cpus) {
    return first->used_by_services.cpus < second->used_by_services.cpus;
  }
  return first->index() < second->index();
}

}  // namespace

Consolidator::Consolidator(LeaderContext& context,
                           MachineHealth& machine_health,
                           MachineLifecycle& machine_lifecycle)
    : settings_(context.settings),
      tuning_(context.tuning),
      cluster_(context.cluster),
      machine_health_(machine_health),
      machine_lifecycle_(machine_lifecycle) {}

void Consolidator::RunIfDue(Time now) {
  if (!IsQuiescent(cluster_, settings_, tuning_, now)) return;
  if (now >= next_run_) Run(now);
}

void Consolidator::Run(Time now) {
  std::vector<Machine*> usable;
  double largest_staying_cpus = 0;
  size_t replicas = 0;
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kDraining) return;
    if (!machine_health_.Usable(*machine, now)) continue;
    usable.push_back(machine.get());
    largest_staying_cpus =
        std::max(largest_staying_cpus, machine->used_by_services.cpus);
    replicas += machine->task_attempts.size();
  }
  const double max_moved = kMaxMovedShare * static_cast<double>(replicas);
  size_t moved = 0;
  for (Machine* machine : Candidates(usable, now)) {
    const size_t moved_with_it = moved + machine->task_attempts.size();
    if (moved > 0 && static_cast<double>(moved_with_it) > max_moved) break;
    if (!CanMoveAll(*machine, usable, largest_staying_cpus)) continue;
    if (!machine_lifecycle_.RemoveMachine(*machine, RemovalCause::kConsolidated,
                                          now)) {
      break;
    }
    moved = moved_with_it;
    std::erase(usable, machine);
  }
  if (moved == 0) return;
  next_run_ = now + settings_.workers.lease_seconds *
                        std::clamp(static_cast<double>(moved) / max_moved, 1.0,
                                   kMaxPauseLeases);
}

bool Consolidator::HasOnlySettledReplicas(const Machine& machine,
                                          Time now) const {
  const double settled_seconds =
      kSettledLeases * settings_.workers.lease_seconds;
  return std::all_of(machine.task_attempts.begin(), machine.task_attempts.end(),
                     [&](const auto& entry) {
                       const TaskAttempt& attempt = entry.second;
                       if (attempt.phase == TaskPhase::kExited) return true;
                       return attempt.phase == TaskPhase::kRunning &&
                              attempt.job != nullptr &&
                              attempt.job->spec().kind == JobKind::kService &&
                              now - attempt.running_since > settled_seconds;
                     });
}

std::vector<Machine*> Consolidator::Candidates(
    const std::vector<Machine*>& usable, Time now) const {
  std::vector<Machine*> candidates;
  for (Machine* machine : usable) {
    if (machine->used_by_services.cpus <= 0 || machine->batch ||
        !machine->queue.empty()) {
      continue;
    }
    if (HasOnlySettledReplicas(*machine, now)) candidates.push_back(machine);
  }
  std::sort(candidates.begin(), candidates.end(), MoreExpensive);
  return candidates;
}

const Machine* Consolidator::FindTarget(
    const Machine& from, const TaskAttempt& attempt,
    const std::vector<Machine*>& usable,
    std::map<const Machine*, Resources>& planned) const {
  const JobSpec& spec = attempt.job->spec();
  ZoneSpread zones = cluster_.ZoneSpreadOf(*attempt.job);
  zones.Add(from.zone, -1);
  const Machine* target = nullptr;
  for (const Machine* machine : usable) {
    if (machine == &from || !machine->HasImage(spec.image) ||
        !ConstraintsAllow(spec, *machine, zones)) {
      continue;
    }
    const Resources capacity =
        machine->CapacityFor(attempt.job, spec.priority) - planned[machine];
    if (!spec.need.FitsIn(capacity)) continue;
    if (machine->type->price > from.type->price) continue;
    // Only from the emptier to the fuller, or two machines would swap their
    // replicas for ever.
    if (machine->type->price == from.type->price &&
        machine->used_by_services.cpus < from.used_by_services.cpus) {
      continue;
    }
    if (target == nullptr || (IsConsolidationTarget(cluster_, *machine) &&
                              !IsConsolidationTarget(cluster_, *target))) {
      target = machine;
    }
  }
  return target;
}

bool Consolidator::CanMoveAll(const Machine& from,
                              const std::vector<Machine*>& usable,
                              double spare_cpus) const {
  std::map<const Machine*, Resources> planned;
  for (const auto& [key, attempt] : from.task_attempts) {
    if (attempt.phase == TaskPhase::kExited) continue;
    const Machine* target = FindTarget(from, attempt, usable, planned);
    if (target == nullptr) return false;
    planned[target] += attempt.job->spec().need;
  }
  double free_cpus = 0;
  for (const Machine* machine : usable) {
    if (machine == &from || machine->spot) continue;
    free_cpus += machine->free().cpus - planned[machine].cpus;
  }
  return free_cpus >= spare_cpus;
}

}  // namespace oxbow
