#include "core/priority_tiers/tier_manager.h"

#include <algorithm>

#include "core/rollout/rollout_manager.h"

namespace oxbow {

TierManager::TierManager(LeaderContext& context, const Modules& modules) : context_(context), settings_(context.settings), cluster_(context.cluster), tiers_(context.tiers), rollout_manager_(modules.rollout_manager) {}

void TierManager::UseTiers(std::shared_ptr<const TierSet> set) {
  if (!tiers_.Use(std::move(set))) return;
  tiers_.ForgetHeld();
  for (auto& [id, job] : cluster_.jobs()) {
    job->tier = tiers_.Classify(job->spec());
  }
  for (const auto& machine : cluster_.machines()) {
    for (const auto& [key, attempt] : machine->task_attempts) {
      if (attempt.holds) tiers_.Hold(attempt.job->tier, attempt.need);
    }
  }
  context_.Log("tiers: " + std::to_string(tiers_.set().listed().size()) +
      " in force besides the one for what is left over");
  cluster_.MarkChanged();
}

void TierManager::BeginTiers(const std::vector<Job*>& order,
                        const std::vector<Machine*>& usable, bool accounted,
                        Time now) {
  if (!tiers_.active()) return;
  TierView view;
  view.machines = usable.size();
  for (const Machine* machine : usable) {
    view.total[machine->zone] += machine->total();
    view.free[machine->zone] += machine->free();
  }
  for (const Job* job : order) {
    view.waiting.push_back({job, job->tier, now - job->queued_since(),
                            job->placed() + job->done() > 0});
  }
  // Before each machine has been heard, nobody knows what is missing.
  const double settled = 3 * settings_.workers.lease_seconds;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (!accounted || job->tier != 0 || !job->live() ||
        job->spec().kind != JobKind::kService ||
        now - job->queued_since() < settled) {
      continue;
    }
    view.best_wanted += job->placed() + rollout_manager_.StartableTasks(*job);
    view.best_placed += job->placed();
    view.best_running += job->running();
  }
  const RecoveryStep before = tiers_.recovery().step();
  tiers_.Begin(view, now);
  const RecoveryStep step = tiers_.recovery().step();
  if (step == before) return;
  if (step == RecoveryStep::kLoss) {
    context_.Log("tiers: many replicas of the best tier are lost, the others wait");
  } else if (step == RecoveryStep::kNextTier) {
    context_.Log("tiers: the best tier has had its time, the others follow");
  } else if (step == RecoveryStep::kRest) {
    context_.Log("tiers: all may start again");
  }
}

bool TierManager::TierAllows(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  if (tiers_.MayUse(job, job.tier, machine.zone, spec.need,
                    machine.BytesToFetch(spec.image, spec.image_gb) > 0)) {
    return true;
  }
  // Room that was made for the job by stopping others is its own: refused here,
  // they would have been stopped for nothing.
  return spec.need.FitsIn(cluster_.ReservedFor(job, machine));
}

bool TierManager::UsesReservedHeadroom(const Job& job, const Machine& machine,
                                  const PreemptionPlan& plan) const {
  const JobSpec& spec = job.spec();
  return plan.victims.empty() && spec.need.FitsIn(machine.free()) &&
         !TierAllows(job, machine);
}

void TierManager::SurveyTiers() {
  if (!tiers_.active()) return;
  for (size_t place = 0; place < tiers_.set().size(); ++place) {
    const auto tier = static_cast<uint8_t>(place);
    if (!tiers_.Keeps(tier)) continue;
    std::map<int32_t, Resources> by_machine;
    for (const auto& [id, job] : cluster_.jobs()) {
      if (job->tier != tier) continue;
      for (const auto& [index, presence] : job->presence()) {
        by_machine[index] += job->spec().need * presence.holding;
      }
    }
    std::map<std::string, TierHolding> where;
    for (const auto& [index, held] : by_machine) {
      TierHolding& holding = where[cluster_.machine(index).zone];
      holding.in_zone += held;
      holding.on_one_machine = Larger(holding.on_one_machine, held);
    }
    tiers_.Survey(tier, where);
  }
}

void TierManager::ReserveTierHeadroom(AutoscalerInput& input) const {
  if (!tiers_.active()) return;
  uint8_t last = 0;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->live() && job->unplaced() > 0) last = std::max(last, job->tier);
  }
  std::map<std::string, Resources> kept;
  for (PoolCapacity& capacity : input.capacity) {
    const auto [it, first] = kept.try_emplace(capacity.pool.zone);
    if (first) it->second = tiers_.KeptAgainst(last, capacity.pool.zone);
    const Resources reserved =
        Smaller(Larger(it->second, {}), Larger(capacity.free, {}));
    capacity.free -= reserved;
    it->second -= reserved;
  }
}

}  // namespace oxbow
