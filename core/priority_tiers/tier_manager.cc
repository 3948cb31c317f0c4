#include "core/priority_tiers/tier_manager.h"

#include <algorithm>

#include "core/rollout/rollout_manager.h"

namespace oxbow {
namespace {

// A service that has waited for less is new.
constexpr double kSettledLeases = 3;

}  // namespace

TierManager::TierManager(LeaderContext& context, const Modules& modules)
    : context_(context),
      settings_(context.settings),
      cluster_(context.cluster),
      tiers_(context.tiers),
      rollout_manager_(modules.rollout_manager) {}

void TierManager::SetTiers(std::shared_ptr<const TierSet> set) {
  if (!tiers_.SetTiers(std::move(set))) return;
  tiers_.ClearUsage();
  for (const auto& [id, job] : cluster_.jobs()) {
    job->tier = tiers_.Classify(job->spec());
  }
  for (const auto& machine : cluster_.machines()) {
    for (const auto& [key, attempt] : machine->task_attempts) {
      if (attempt.charged) tiers_.AddUsage(attempt.job->tier, attempt.need);
    }
  }
  context_.Log("priority tiers in force",
               {{"listed", tiers_.set().listed().size()}});
  cluster_.MarkChanged();
}

void TierManager::BeginPass(const std::vector<Job*>& order,
                            const std::vector<Machine*>& usable, bool accounted,
                            Time now) {
  if (!tiers_.active()) return;
  TierObservation observation;
  observation.machines = usable.size();
  for (const Machine* machine : usable) {
    observation.total[machine->zone] += machine->total();
    observation.free[machine->zone] += machine->free();
  }
  for (const Job* job : order) {
    observation.waiting.push_back({job, job->tier, now - job->queued_since(),
                                   job->placed() + job->done() > 0});
  }
  // Before every machine is accounted for, nobody knows what is missing.
  if (accounted) ObserveBestTier(now, observation);
  const RecoveryStep before = tiers_.recovery().step();
  tiers_.BeginPass(observation, now);
  LogRecoveryStep(before);
}

void TierManager::ObserveBestTier(Time now,
                                  TierObservation& observation) const {
  // A service that has just arrived does not count as lost.
  const double settled_seconds =
      kSettledLeases * settings_.workers.lease_seconds;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->tier != 0 || !job->live() ||
        job->spec().kind != JobKind::kService ||
        now - job->queued_since() < settled_seconds) {
      continue;
    }
    observation.best_wanted +=
        job->placed() + rollout_manager_.StartableTasks(*job);
    observation.best_placed += job->placed();
    observation.best_running += job->running();
  }
}

void TierManager::LogRecoveryStep(RecoveryStep before) {
  const RecoveryStep step = tiers_.recovery().step();
  if (step == before) return;
  switch (step) {
    case RecoveryStep::kAssessingLoss:
      context_.Log("mass failure: lower tiers wait for the best tier");
      break;
    case RecoveryStep::kReleasingTiers:
      context_.Log("mass failure: lower tiers are released one by one");
      break;
    case RecoveryStep::kCooldown:
      context_.Log("mass failure: all tiers may start");
      break;
    case RecoveryStep::kNormal:
    case RecoveryStep::kBestTierFirst:
      break;
  }
}

bool TierManager::TierAllowsPlacement(const Job& job,
                                      const Machine& machine) const {
  const JobSpec& spec = job.spec();
  if (tiers_.MayUse(job, job.tier, machine.zone, spec.need,
                    machine.GbToFetch(spec.image, spec.image_gb) > 0)) {
    return true;
  }
  // Capacity that was freed for the job by preemption is its own: if it were
  // refused here, the others would have been stopped for nothing.
  return spec.need.FitsIn(ClusterState::ReservedFor(job, machine));
}

bool TierManager::UsesReservedHeadroom(const Job& job, const Machine& machine,
                                       const PreemptionPlan& plan) const {
  const JobSpec& spec = job.spec();
  return plan.victims.empty() && spec.need.FitsIn(machine.free()) &&
         !TierAllowsPlacement(job, machine);
}

void TierManager::UpdateTierUsage() {
  if (!tiers_.active()) return;
  for (size_t place = 0; place < tiers_.set().size(); ++place) {
    const auto tier = static_cast<uint8_t>(place);
    if (tiers_.ReservesHeadroom(tier))
      tiers_.UpdateLargestLoss(tier, UseByZone(tier));
  }
}

std::map<std::string, TierUse> TierManager::UseByZone(uint8_t tier) const {
  std::map<int32_t, Resources> by_machine;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->tier != tier) continue;
    for (const auto& [index, presence] : job->presence()) {
      by_machine[index] += job->spec().need * presence.charged_attempts;
    }
  }
  std::map<std::string, TierUse> by_zone;
  for (const auto& [index, used] : by_machine) {
    TierUse& use = by_zone[cluster_.machine(index).zone];
    use.in_zone += used;
    use.on_one_machine = Larger(use.on_one_machine, used);
  }
  return by_zone;
}

void TierManager::ReserveTierHeadroom(ScaleOutInput& input) const {
  if (!tiers_.active()) return;
  uint8_t lowest_waiting = 0;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (!job->live() || job->unplaced() == 0) continue;
    lowest_waiting = std::max(lowest_waiting, job->tier);
  }
  std::map<std::string, Resources> to_reserve;  // by zone
  for (MachineCapacity& capacity : input.capacity) {
    const auto [it, first] = to_reserve.try_emplace(capacity.pool.zone);
    if (first) {
      it->second =
          tiers_.HeadroomOfBetterTiers(lowest_waiting, capacity.pool.zone);
    }
    const Resources reserved =
        Smaller(Larger(it->second, {}), Larger(capacity.free, {}));
    capacity.free -= reserved;
    it->second -= reserved;
  }
}

}  // namespace oxbow
