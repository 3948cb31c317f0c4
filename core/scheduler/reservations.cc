#include "core/scheduler/reservations.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/priority_tiers/tier_manager.h"
#include "core/rollout/rollout_manager.h"

namespace oxbow {
namespace {

// In leases: longer than a worker that has become unreachable can keep the
// preempted task running.
constexpr double kReservationLeases = 3;
// Of one job at a time; bounds the tasks that one job stops in one pass.
constexpr uint32_t kMaxReservationsPerJob = 40;

}  // namespace

Reservations::Reservations(LeaderContext& context, const Modules& modules)
    : settings_(context.settings),
      cluster_(context.cluster),
      rollout_manager_(modules.rollout_manager),
      tier_manager_(modules.tier_manager),
      preemption_planner_(modules.preemption_planner) {}

void Reservations::DropExpired(Time now) {
  for (const auto& machine : cluster_.machines()) {
    std::erase_if(machine->reservations, [&](const Reservation& reservation) {
      return now > reservation.until || !reservation.job->live() ||
             rollout_manager_.StartableTasks(*reservation.job) == 0;
    });
  }
}

void Reservations::Reserve(Job& job, Machine& machine,
                           const ReservationTerms& terms) {
  machine.reservations.push_back(
      {&job, job.spec().need, job.priority(), terms.until, terms.partial});
}

bool Reservations::ReserveByPreemption(Job& job,
                                       const std::vector<Machine*>& candidates,
                                       Time now) {
  const JobSpec& spec = job.spec();
  const Time until = now + kReservationLeases * settings_.workers.lease_seconds;
  ZoneSpread spread = cluster_.ZoneSpreadOf(job);
  uint32_t reserved = ReviewReservations(job, candidates, spread);
  const uint32_t wanted =
      std::min(rollout_manager_.StartableTasks(job), kMaxReservationsPerJob);
  std::vector<PreemptionPlan> plans;
  if (reserved < wanted) plans = PlansFor(job, candidates, spread, now);
  while (reserved < wanted && cluster_.QuotaAllows(job, reserved + 1)) {
    std::erase_if(plans, [&](const PreemptionPlan& plan) {
      return !ConstraintsAllow(spec, *plan.machine, spread);
    });
    const auto cheapest = std::min_element(
        plans.begin(), plans.end(),
        [](const PreemptionPlan& left, const PreemptionPlan& right) {
          return left.cost < right.cost;
        });
    if (cheapest == plans.end()) break;
    Machine& machine = *cheapest->machine;
    Reserve(job, machine, {until});
    spread.Add(machine.zone, 1);
    ++reserved;
    preemption_planner_.Execute(*cheapest, spec, now);
    // The machine may have capacity for another task of the job.
    if (auto next = preemption_planner_.Plan(
            job, machine, ClusterState::ReservedFor(job, machine), now)) {
      *cheapest = std::move(*next);
    } else {
      plans.erase(cheapest);
    }
  }
  return reserved > 0;
}

// A reservation where the job can't start would only make it wait: the machine
// has become unreachable, or a later attempt of the job leaves it no place
// there.
uint32_t Reservations::ReviewReservations(
    const Job& job, const std::vector<Machine*>& candidates,
    const ZoneSpread& spread) {
  const auto is_of_job = [&](const Reservation& reservation) {
    return reservation.job == &job;
  };
  uint32_t reserved = 0;
  for (const auto& machine : cluster_.machines()) {
    auto& reservations = machine->reservations;
    if (reservations.empty()) continue;
    const bool suitable = std::find(candidates.begin(), candidates.end(),
                                    machine.get()) != candidates.end() &&
                          ConstraintsAllow(job.spec(), *machine, spread);
    if (!suitable) std::erase_if(reservations, is_of_job);
    reserved += static_cast<uint32_t>(
        std::count_if(reservations.begin(), reservations.end(), is_of_job));
  }
  return reserved;
}

std::vector<PreemptionPlan> Reservations::PlansFor(
    const Job& job, const std::vector<Machine*>& candidates,
    const ZoneSpread& spread, Time now) const {
  std::vector<PreemptionPlan> plans;
  for (Machine* machine : candidates) {
    if (!ConstraintsAllow(job.spec(), *machine, spread)) continue;
    std::optional<PreemptionPlan> plan = preemption_planner_.Plan(
        job, *machine, ClusterState::ReservedFor(job, *machine), now);
    if (plan && !tier_manager_.UsesReservedHeadroom(job, *machine, *plan))
      plans.push_back(std::move(*plan));
  }
  return plans;
}

}  // namespace oxbow
