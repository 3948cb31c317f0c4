#include "core/scheduler/gang_scheduler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/placement/placement.h"
#include "core/priority_tiers/tier_manager.h"

namespace oxbow {
namespace {

// The zones that the gang may be in, each alone, in the order in which their
// first machine comes; one empty name if it may be in several at once.
std::vector<std::string> CandidateZones(const JobSpec& spec,
                                        const std::vector<Machine*>& machines) {
  if (!spec.one_zone) return {std::string()};
  std::vector<std::string> zones;
  for (const Machine* machine : machines) {
    if (std::find(zones.begin(), zones.end(), machine->zone) == zones.end())
      zones.push_back(machine->zone);
  }
  return zones;
}

std::vector<Machine*> MachinesIn(const std::string& zone,
                                 const std::vector<Machine*>& machines) {
  std::vector<Machine*> in_zone;
  for (Machine* machine : machines) {
    if (zone.empty() || machine->zone == zone) in_zone.push_back(machine);
  }
  return in_zone;
}

// How good an offer is for a gang: first that it holds most of the gang, then
// that it can start soon, then that little has to be stopped.
struct OfferRating {
  size_t slots = 0;
  size_t waiting_slots = 0;
  double preemption_cost = 0;

  bool BetterThan(const OfferRating& other) const {
    if (slots != other.slots) return slots > other.slots;
    if (waiting_slots != other.waiting_slots)
      return waiting_slots < other.waiting_slots;
    return preemption_cost < other.preemption_cost;
  }
};

template <typename Slot>
OfferRating RatingOf(const std::vector<Slot>& slots) {
  OfferRating rating;
  rating.slots = slots.size();
  for (const Slot& slot : slots) {
    rating.waiting_slots += slot.waits_for_short_work ? 1 : 0;
    rating.preemption_cost += slot.plan.cost;
  }
  return rating;
}

}  // namespace

GangScheduler::GangScheduler(LeaderContext& context, const Modules& modules)
    : context_(context),
      cluster_(context.cluster),
      tiers_(context.tiers),
      queue_ranking_(context.queue_ranking),
      dispatcher_(modules.dispatcher),
      maintenance_(modules.maintenance),
      tier_manager_(modules.tier_manager),
      machine_selector_(modules.machine_selector),
      task_starter_(modules.task_starter),
      preemption_planner_(modules.preemption_planner) {}

void GangScheduler::Schedule(Job& job, const QueuePosition& position,
                             SchedulingPass& pass) {
  if (job.placed() > 0) {
    // A leader failed half-way through the starts, or a task was lost: what is
    // left is stopped, and the next attempt starts the whole gang.
    dispatcher_.StopTasks(job, 0, pass.now);
    return;
  }
  // Tasks of an earlier attempt may still run; two attempts of a gang must
  // never run at once.
  if (job.charged_attempts() > 0) return;
  if (!Admitted(job, pass)) return;
  const Assignment assignment = ChooseMachines(job, pass);
  // One that finds no place is counted first, then looks for what to preempt.
  const size_t searches = std::max<size_t>(assignment.machines.size(), 2);
  pass.work.Add(searches * pass.usable_machines.size());
  if (assignment.machines.empty()) {
    ReserveByPreemption(job, pass);
  } else {
    StartAll(job, assignment.machines, position, pass.now);
  }
}

bool GangScheduler::Admitted(Job& job, SchedulingPass& pass) {
  const uint32_t tasks = job.unplaced();
  if (!maintenance_.WindowAllows(job, tasks)) return false;
  if (!cluster_.QuotaAllows(job, tasks)) {
    preemption_planner_.PreemptWithinQuota(job, tasks, pass.now);
    return false;
  }
  if (!tiers_.WithinShare(job, job.tier, job.spec().need * tasks)) {
    pass.jobs_over_tier_share.insert(&job);
    return false;
  }
  return true;
}

GangScheduler::Assignment GangScheduler::ChooseMachines(
    const Job& job, const SchedulingPass& pass) {
  Assignment best;
  for (const std::string& zone :
       CandidateZones(job.spec(), pass.usable_machines)) {
    Assignment assignment = ChooseMachinesAmong(
        job, MachinesIn(zone, pass.usable_machines), pass.mean_bandwidth);
    if (assignment.machines.empty()) continue;
    if (best.machines.empty() || assignment.fetch_seconds < best.fetch_seconds)
      best = std::move(assignment);
  }
  return best;
}

GangScheduler::Assignment GangScheduler::ChooseMachinesAmong(
    const Job& job, const std::vector<Machine*>& machines,
    double mean_bandwidth) {
  // Counted first: choosing is expensive, and most zones fall short.
  if (!HasCapacityFor(job, machines)) return {};
  const JobSpec& spec = job.spec();
  const uint32_t tasks = job.unplaced();
  Assignment assignment;
  ZoneSpread spread;
  while (assignment.machines.size() < tasks) {
    Machine* machine =
        machine_selector_.FindMachine(job, machines, spread, mean_bandwidth);
    if (machine == nullptr) break;
    assignment.fetch_seconds = std::max(
        assignment.fetch_seconds, FetchSeconds(*machine, spec, mean_bandwidth));
    // Charged while the other tasks are chosen, and given back below.
    machine->used += spec.need;
    tiers_.TakeCapacity(machine->zone, spec.need);
    spread.Add(machine->zone, 1);
    assignment.machines.push_back(machine);
  }
  for (Machine* machine : assignment.machines) {
    machine->used -= spec.need;
    tiers_.ReturnCapacity(machine->zone, spec.need);
  }
  return assignment.machines.size() == tasks ? assignment : Assignment{};
}

bool GangScheduler::HasCapacityFor(const Job& job,
                                   const std::vector<Machine*>& machines) {
  const JobSpec& spec = job.spec();
  const uint32_t tasks = job.unplaced();
  uint32_t capacity = 0;
  for (const Machine* machine : machines) {
    if (!ConstraintsAllow(spec, *machine, {})) continue;
    capacity +=
        spec.need.TimesIn(machine->CapacityFor(&job, job.priority()), tasks);
  }
  return capacity >= tasks;
}

void GangScheduler::StartAll(Job& job, const std::vector<Machine*>& machines,
                             const QueuePosition& position, Time now) {
  const uint64_t attempt = context_.NextToken();
  if (attempt == 0) return;
  queue_ranking_.RecordPlaced(job, position, now);
  for (Machine* machine : machines) {
    task_starter_.StartNextTask(job, *machine, attempt, now);
  }
  tiers_.EndTurn(job, job.tier, now);
}

// Capacity for a gang is reserved whole, in one place, and anew in each pass.
// Gangs that each kept a part of what they needed have waited for one another
// for ever, with most machines idle.
void GangScheduler::ReserveByPreemption(Job& job, SchedulingPass& pass) {
  const uint32_t wanted = job.unplaced();
  cluster_.DropAllReservations(job);
  std::map<std::string, ZoneOffer> offers = CollectOffers(job, pass);
  const ZoneOffer* best = BestOffer(offers, wanted);
  if (best == nullptr) return;
  const bool whole = best->slots.size() == wanted;
  // Only the first gang in the queue may reserve less than it needs.
  if (!whole && std::exchange(pass.partial_gang_reserved, true)) return;
  const bool starts_soon = whole && !best->slots.back().waits_for_short_work;
  const ReservationTerms terms = {
      .until = pass.now + context_.settings.workers.lease_seconds,
      .partial = !whole};
  for (const Slot& slot : best->slots) {
    Reservations::Reserve(job, *slot.plan.machine, terms);
    if (starts_soon)
      preemption_planner_.Execute(slot.plan, job.spec(), pass.now);
  }
}

std::map<std::string, GangScheduler::ZoneOffer> GangScheduler::CollectOffers(
    const Job& job, const SchedulingPass& pass) const {
  const JobSpec& spec = job.spec();
  std::map<std::string, ZoneOffer> offers;
  for (Machine* machine : pass.usable_machines) {
    if (!ConstraintsAllow(spec, *machine, {}) ||
        !spec.need.FitsIn(machine->total()))
      continue;
    ZoneOffer& offer = offers[spec.one_zone ? machine->zone : ""];
    offer.capacity += spec.need.TimesIn(
        machine->total() - machine->used_by_services, job.unplaced());
    AddSlotsOf(job, *machine, pass.now, offer.slots);
  }
  return offers;
}

void GangScheduler::AddSlotsOf(const Job& job, Machine& machine, Time now,
                               std::vector<Slot>& slots) const {
  const Resources& need = job.spec().need;
  const Resources reserved_for_others =
      machine.free() - machine.CapacityFor(&job, job.priority());
  // Short work of equal priority is waited for.
  const Resources free_of_short_work =
      machine.total() - reserved_for_others - machine.used_by_long_running;
  Resources taken;
  for (uint32_t n = 0; n < job.unplaced(); ++n, taken += need) {
    std::optional<PreemptionPlan> plan =
        preemption_planner_.Plan(job, machine, taken, now);
    if (plan) {
      if (tier_manager_.UsesReservedHeadroom(job, machine, *plan)) return;
      slots.push_back({std::move(*plan), false});
    } else if (need.FitsIn(free_of_short_work - taken)) {
      // The less runs there, the sooner it has ended.
      slots.push_back({{&machine, machine.used.cpus, {}}, true});
    } else {
      return;
    }
  }
}

GangScheduler::ZoneOffer* GangScheduler::BestOffer(
    std::map<std::string, ZoneOffer>& offers, uint32_t wanted) {
  ZoneOffer* best = nullptr;
  for (auto& [zone, offer] : offers) {
    std::vector<Slot>& slots = offer.slots;
    std::sort(slots.begin(), slots.end(),
              [](const Slot& left, const Slot& right) {
                if (left.waits_for_short_work != right.waits_for_short_work)
                  return right.waits_for_short_work;
                return left.plan.cost < right.plan.cost;
              });
    if (slots.size() > wanted) slots.resize(wanted);
    // Nothing is reserved where the gang can't become whole.
    if (offer.capacity < wanted) continue;
    if (best == nullptr || RatingOf(slots).BetterThan(RatingOf(best->slots)))
      best = &offer;
  }
  return best;
}

}  // namespace oxbow
