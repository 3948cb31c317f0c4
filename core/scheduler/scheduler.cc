#include "core/scheduler/scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/autoscaler/quiescence.h"
#include "core/command_dispatch/command_dispatcher.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/priority_tiers/tier_manager.h"
#include "core/rebalancing/rebalancing_manager.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"

namespace oxbow {

Scheduler::Scheduler(LeaderContext& context, const Modules& modules,
                     uint64_t seed)
    : context_(context),
      settings_(context.settings),
      tuning_(context.tuning),
      cluster_(context.cluster),
      tiers_(context.tiers),
      fragmentation_(context.fragmentation),
      queue_ranking_(context.queue_ranking),
      run_times_(context.run_times),
      machine_health_(modules.machine_health),
      dispatcher_(modules.dispatcher),
      rollout_manager_(modules.rollout_manager),
      maintenance_(modules.maintenance),
      tier_manager_(modules.tier_manager),
      rebalancing_(modules.rebalancing),
      placer_(context.tuning, seed) {
  if (context.tuning.fragmentation_weight > 0)
    placer_.SetFragmentation(&fragmentation_);
}

// A job is within its team's guarantee if it fits into it together with the
// team's earlier unfinished jobs.
void Scheduler::ComputeGuaranteedJobs() {
  std::vector<Job*> order;
  for (auto& [id, job] : cluster_.jobs()) {
    job->within_guarantee = false;
    if (job->live() && job->team() >= 0) order.push_back(job.get());
  }
  std::sort(order.begin(), order.end(), [](const Job* a, const Job* b) {
    if (a->queued_since() != b->queued_since()) {
      return a->queued_since() < b->queued_since();
    }
    return a->id() < b->id();
  });
  std::vector<Resources> sum(cluster_.quotas().size());
  for (Job* job : order) {
    const TeamQuota& team = cluster_.quota(job->team()).quota;
    if (team.cpus <= 0 && team.gpus <= 0) continue;
    Resources& used = sum[job->team()];
    used += job->spec().need * (job->size() - job->done());
    job->within_guarantee = used.cpus <= team.cpus && used.gpus <= team.gpus;
  }
}

bool Scheduler::Placeable(const Job& job, Time now, bool accounted) const {
  if (!job.live() || rollout_manager_.StartableTasks(job) == 0 ||
      now < job.not_before)
    return false;
  if (rollout_manager_.MayBeRestricted(job)) return false;
  if (!maintenance_.MayStartNow(job, now)) return false;
  if (accounted) return true;
  // Tasks of a job accepted under this leader are nowhere else. In a capped
  // team, unheard machines may hold what fills the limit.
  return !job.from_before &&
         (job.team() < 0 || !cluster_.quota(job.team()).has_maximum());
}

void Scheduler::ScheduleIfNeeded(Time now) {
  if (!cluster_.changed() || context_.resigned || cluster_.types().empty())
    return;
  // Live services are placed at once, the rest in batches: a pass over
  // everything for each exit of a short task would cost more than it gains.
  if (!cluster_.urgent() && now < next_schedule_) return;
  next_schedule_ = now + 0.06 * settings_.workers.heartbeat_interval_seconds;
  cluster_.ClearChanges();
  const bool accounted = cluster_.AllMachinesAccountedFor();
  ComputeGuaranteedJobs();
  maintenance_.CountWindows();
  const Resources orphaned_tasks = cluster_.OrphanedTasksUpperBound();
  for (QuotaUsage& team : cluster_.quotas()) {
    team.held = {};
    team.orphaned_tasks = orphaned_tasks;
  }
  part_is_held_ = false;
  fragmentation_.Settle(now);
  std::vector<Job*> order;
  for (auto& [id, job] : cluster_.jobs()) {
    if (Placeable(*job, now, accounted)) order.push_back(job.get());
  }
  if (order.empty()) return;
  std::vector<Machine*> usable;
  std::vector<Machine*> alive;
  for (auto& machine : cluster_.machines()) {
    std::erase_if(machine->reservations, [&](const Reservation& reservation) {
      return now > reservation.until || !reservation.job->live() ||
             rollout_manager_.StartableTasks(*reservation.job) == 0;
    });
    if (machine->state() == MachineState::kGone) continue;
    alive.push_back(machine.get());
    if (machine_health_.Usable(*machine, now)) usable.push_back(machine.get());
  }
  over_share_.clear();
  tier_manager_.BeginTiers(order, usable, accounted, now);
  struct Entry {
    QueuePosition place;
    Job* job;
  };
  std::vector<Entry> entries;
  entries.reserve(order.size());
  for (Job* job : order) {
    QueuePosition where = queue_ranking_.PositionOf(
        *job, run_times_.RunSeconds(job->spec()), now);
    where.tier = tiers_.RankOf(*job, job->tier);
    // What has waited for its minimum share comes next after the best tier.
    if (where.by_minimum_share) where.tier = std::min(where.tier, 1);
    entries.push_back({where, job});
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.place.Before(b.place)) return true;
    if (b.place.Before(a.place)) return false;
    if (a.job->queued_since() != b.job->queued_since()) {
      return a.job->queued_since() < b.job->queued_since();
    }
    return a.job->id() < b.job->id();
  });
  rebalancing_.ReserveMoveTargets(now);
  const double bandwidth = MeanBandwidth(alive);
  const auto place = [&](const Entry& entry) {
    Job* job = entry.job;
    if (!tiers_.MayStart(*job, job->tier)) return;
    if (job->spec().kind == JobKind::kGang) {
      PlaceGang(*job, entry.place, usable, bandwidth, now);
    } else {
      PlaceJob(*job, entry.place, usable, bandwidth, now);
    }
  };
  for (const Entry& entry : entries) place(entry);
  // What the others have left is not left idle.
  tiers_.OthersServed();
  for (const Entry& entry : entries) {
    if (over_share_.contains(entry.job)) place(entry);
  }
  over_share_.clear();
  large_waiting_.clear();
  constexpr size_t kMostLarge = 4;
  for (const Entry& entry : entries) {
    if (!rebalancing_.enabled() || large_waiting_.size() >= kMostLarge) break;
    const Job& job = *entry.job;
    const uint32_t wanted = rollout_manager_.StartableTasks(job);
    if (job.spec().need.gpus > 0 && wanted > 0 &&
        cluster_.QuotaAllows(job,
                             job.spec().kind == JobKind::kGang ? wanted : 1)) {
      large_waiting_.push_back(job.id());
    }
  }
  for (Machine* machine : usable) dispatcher_.DispatchCommands(*machine, now);
}

Machine* Scheduler::FindPlace(const Job& job,
                              const std::vector<Machine*>& usable,
                              const ZoneSpread& where, double bandwidth) {
  const JobSpec& spec = job.spec();
  std::vector<Machine*> fitting;
  for (Machine* machine : usable) {
    if (spec.need.FitsIn(machine->CapacityFor(&job, job.priority())) &&
        Allowed(spec, *machine, where) &&
        tier_manager_.TierAllows(job, *machine)) {
      fitting.push_back(machine);
    }
  }
  return placer_.Choose(
      job, fitting, where,
      [&](const Machine& machine) { return cluster_.CountOn(job, machine); },
      bandwidth, queue_ranking_.WaitSloSeconds(spec));
}

void Scheduler::Start(Job& job, uint32_t task, Machine& machine,
                      uint64_t attempt, Time now) {
  const JobSpec& spec = job.spec();
  context_.LogDetail([&] {
    return "start " + spec.id + "/" + std::to_string(task) + " on " +
           machine.host() + ", image " +
           (machine.HasImage(spec.image)                          ? "there"
            : machine.BytesToFetch(spec.image, spec.image_gb) > 0 ? "to fetch"
                                                                  : "queued") +
           ", waited " + std::to_string(now - job.queued_since()) + " s";
  });
  TaskAttempt task_attempt;
  task_attempt.job = &job;
  task_attempt.job_id = spec.id;
  task_attempt.task = task;
  task_attempt.attempt = attempt;
  task_attempt.start_progress = StartProgress::kQueued;
  task_attempt.started = now;
  machine.idle_since = 0;
  tiers_.Take(machine.zone, spec.need);
  tiers_.Started(job, job.tier, machine.zone, spec.need,
                 machine.BytesToFetch(spec.image, spec.image_gb) > 0, now);
  machine.QueueImage(spec.image, spec.image_gb, now);
  machine.queue.push_back({CommandKind::kStart, spec.id, task, attempt, 0});
  cluster_.AddAttempt(machine, std::move(task_attempt), /*present=*/true);
  job.Place(task, machine.index(), attempt);
  maintenance_.NoteStart(job);
  job.ChangeTask(task, TaskState::kStarting);
  cluster_.DropReservation(job, machine);
}

std::optional<Machine*> Scheduler::FindReplicaPlace(
    Job& job, const std::vector<Machine*>& usable, const ZoneSpread& where,
    double bandwidth, Time now) {
  const JobSpec& spec = job.spec();
  if (Machine* held = rebalancing_.ReservedByMove(job, where, now)) return held;
  // Exception to the design, "accelerator headroom": a replica stays for
  // long, and one too many on a machine keeps accelerator work off it all
  // that time. Rather than spoil one, it takes the room of short work.
  std::vector<Machine*> sparing;
  const bool calm = IsQuiescent(cluster_, settings_, tuning_, now);
  for (Machine* machine : usable) {
    // In a calm replicas gather where they spoil nothing any more. Two beside
    // every gang's room had kept sixty machines rented after the last gang.
    // Nor does it break a whole machine while there is fragmented room.
    if ((calm ? IsConsolidationTarget(cluster_, *machine)
              : !BlocksAcceleratorWork(spec, *machine,
                                       cluster_.largest_accelerator_task())) &&
        !placer_.FragmentsWholeMachine(spec, *machine,
                                       queue_ranking_.WaitSloSeconds(spec)) &&
        !rebalancing_.DrainedByMove(*machine)) {
      sparing.push_back(machine);
    }
  }
  Machine* best = FindPlace(job, sparing, where, bandwidth);
  if (best == nullptr) {
    if (ReserveByPreemption(job, sparing, now)) return std::nullopt;
    best = FindPlace(job, usable, where, bandwidth);
  }
  // Exception to the design, "warm start": where the fetch alone would take
  // longer than the class may wait, a machine that has the image goes before
  // any other, and if need be short work makes way on it.
  if (best != nullptr && !best->HasImage(spec.image) &&
      FetchSeconds(*best, spec, bandwidth) >
          queue_ranking_.WaitSloSeconds(spec)) {
    std::vector<Machine*> warm;
    for (Machine* machine : sparing) {
      if (machine->HasImage(spec.image)) warm.push_back(machine);
    }
    if (Machine* there = FindPlace(job, warm, where, bandwidth)) return there;
    if (ReserveByPreemption(job, warm, now)) return std::nullopt;
  }
  return best;
}

void Scheduler::PlaceJob(Job& job, const QueuePosition& from,
                         const std::vector<Machine*>& usable, double bandwidth,
                         Time now) {
  ZoneSpread where = cluster_.ZoneSpreadOf(job);
  int64_t task;
  uint32_t left = from.by_minimum_share
                      ? QueueRanking::MinimumShareOf(job.spec())
                      : UINT32_MAX;
  while (left > 0 && rollout_manager_.StartableTasks(job) > 0 &&
         (task = job.PeekPending()) >= 0) {
    if (!maintenance_.WindowAllows(job, 1)) return;
    if (!cluster_.QuotaAllows(job, 1)) {
      if (job.spec().kind == JobKind::kService) {
        PreemptWithinQuota(job, rollout_manager_.StartableTasks(job), now);
      }
      return;
    }
    if (!tiers_.MayStart(job, job.tier)) return;
    if (!tiers_.WithinShare(job, job.tier, job.spec().need)) {
      over_share_.insert(&job);
      return;
    }
    Machine* machine = nullptr;
    if (job.spec().kind == JobKind::kService) {
      const auto place = FindReplicaPlace(job, usable, where, bandwidth, now);
      if (!place) return;  // room is being made
      machine = *place;
    } else {
      machine = FindPlace(job, usable, where, bandwidth);
    }
    if (machine == nullptr) {
      ReserveByPreemption(job, usable, now);
      return;
    }
    // With a task of an array there the machine has the image queued and is
    // fuller, so it goes on winning until it is full: asked again for each of
    // 25,000 tasks, the choice took the leader longer than its lease.
    uint32_t here = 1;
    if (job.spec().kind == JobKind::kArray) {
      here = std::max(
          1u, job.spec().need.TimesIn(
                  machine->CapacityFor(&job, job.priority()),
                  std::min(left, rollout_manager_.StartableTasks(job))));
    }
    for (uint32_t n = 0; n < here; ++n) {
      task = job.PeekPending();
      if (task < 0 || !cluster_.QuotaAllows(job, 1) ||
          !maintenance_.WindowAllows(job, 1) ||
          !Allowed(job.spec(), *machine, where) ||
          !tier_manager_.TierAllows(job, *machine) ||
          (n > 0 && (!tiers_.MayStart(job, job.tier) ||
                     !tiers_.WithinShare(job, job.tier, job.spec().need)))) {
        break;
      }
      const uint64_t attempt = context_.NextNumber();
      if (attempt == 0) return;
      job.PopPending();
      Start(job, static_cast<uint32_t>(task), *machine, attempt, now);
      where.Add(machine->zone, 1);
      --left;
    }
  }
}

// Whole or not at all, all tasks under one attempt number, and not before the
// last task of the attempt before is surely gone.
void Scheduler::PlaceGang(Job& job, const QueuePosition& from,
                          const std::vector<Machine*>& usable, double bandwidth,
                          Time now) {
  const JobSpec& spec = job.spec();
  if (job.placed() > 0) {
    // A leader that crashed half-way through the starts, or a task lost: what
    // is left is stopped, and the next attempt takes the whole.
    dispatcher_.StopTasks(job, 0, now);
    return;
  }
  // Zombies of an earlier attempt hold their zone and their place.
  if (job.holding() > 0) return;
  const uint32_t tasks = job.unplaced();
  if (!maintenance_.WindowAllows(job, tasks)) return;
  if (!cluster_.QuotaAllows(job, tasks)) {
    PreemptWithinQuota(job, tasks, now);
    return;
  }
  if (!tiers_.WithinShare(job, job.tier, spec.need * tasks)) {
    over_share_.insert(&job);
    return;
  }
  std::vector<std::string> zones;
  if (spec.one_zone) {
    for (const Machine* machine : usable) {
      if (std::find(zones.begin(), zones.end(), machine->zone) == zones.end()) {
        zones.push_back(machine->zone);
      }
    }
  } else {
    zones.emplace_back();
  }
  std::vector<Machine*> best;
  double best_fetch = 0;
  for (const std::string& zone : zones) {
    std::vector<Machine*> there;
    for (Machine* machine : usable) {
      if (zone.empty() || machine->zone == zone) there.push_back(machine);
    }
    ZoneSpread where;
    std::vector<Machine*> chosen;
    double fetch = 0;
    // Counted first: choosing is dear, and most zones fall short.
    uint32_t fits = 0;
    for (const Machine* machine : there) {
      if (!Allowed(spec, *machine, where)) continue;
      fits +=
          spec.need.TimesIn(machine->CapacityFor(&job, job.priority()), tasks);
    }
    while (fits >= tasks && chosen.size() < tasks) {
      Machine* machine = FindPlace(job, there, where, bandwidth);
      if (machine == nullptr) break;
      // The gang starts with its slowest fetch.
      fetch = std::max(fetch, FetchSeconds(*machine, spec, bandwidth));
      machine->used += spec.need;
      tiers_.Take(machine->zone, spec.need);
      where.Add(machine->zone, 1);
      chosen.push_back(machine);
    }
    for (Machine* machine : chosen) {
      machine->used -= spec.need;
      tiers_.Give(machine->zone, spec.need);
    }
    if (chosen.size() == tasks && (best.empty() || fetch < best_fetch)) {
      best = std::move(chosen);
      best_fetch = fetch;
    }
  }
  if (best.empty()) {
    ReserveGangByPreemption(job, usable, now);
    return;
  }
  const uint64_t attempt = context_.NextNumber();
  if (attempt == 0) return;
  queue_ranking_.Placed(job, from, now);
  for (Machine* machine : best) {
    const int64_t task = job.PeekPending();
    job.PopPending();
    Start(job, static_cast<uint32_t>(task), *machine, attempt, now);
  }
  tiers_.TurnUsed(job, job.tier, now);
}

bool Scheduler::MayPreempt(const Job& job, const TaskAttempt& victim,
                           Time now) const {
  if (victim.job == nullptr || victim.job == &job ||
      victim.phase == TaskPhase::kExited) {
    return false;
  }
  const Job& other = *victim.job;
  if (!rollout_manager_.DisruptionAllowed(KeyOf(victim), other, now))
    return false;
  if (other.priority() > job.priority()) return true;
  // Borrowed room goes back to a team that is within its guarantee.
  if (!job.within_guarantee || other.team() < 0 || other.team() == job.team() ||
      other.priority() == Priority::kProduction) {
    return false;
  }
  const QuotaUsage& owner = cluster_.quota(other.team());
  const bool beyond =
      owner.used.cpus > owner.quota.cpus || owner.used.gpus > owner.quota.gpus;
  return beyond && !other.within_guarantee;
}

double Scheduler::PreemptionCost(const TaskAttempt& victim, Time now) const {
  const JobSpec& spec = victim.job->spec();
  const double ran =
      victim.running_since > 0 ? now - victim.running_since : 0.0;
  const double lost =
      spec.checkpoint_seconds > 0 ? std::min(ran, spec.save_seconds * 2) : ran;
  constexpr double kDisturbance = 5.0;  // s: fetch and start again
  const double rank = 1 + (3 - static_cast<int>(spec.priority));
  // One task of a gang takes all of them along.
  const bool whole =
      tuning_.fragmentation_weight > 0 && spec.kind == JobKind::kGang;
  return (lost + kDisturbance) * spec.need.cpus * rank *
         (whole ? spec.tasks : 1);
}

void Scheduler::Preempt(Machine& machine, TaskAttempt& victim,
                        const JobSpec& for_job, Time now) {
  const JobSpec& theirs = victim.job->spec();
  const double grace =
      theirs.checkpoint_seconds > 0
          ? theirs.save_seconds + settings_.workers.heartbeat_interval_seconds
          : 0;
  context_.LogDetail([&] {
    return "stop " + victim.job_id + "/" + std::to_string(victim.task) +
           " on " + machine.host() + " for " + for_job.id;
  });
  if (theirs.kind == JobKind::kGang && theirs.tasks > 1) {
    dispatcher_.StopTasks(*victim.job, grace, now);
  } else {
    dispatcher_.QueueStop(machine, victim, grace, now);
  }
}

// Stops what may be stopped for the job and holds the limit for it meanwhile.
// Not in vain: where the team's services leave less than a gang needs, holding
// what they leave kept all other jobs of the team waiting for as long as they
// ran (docs/incidents/2026-12-02-limit-held-in-vain.md).
void Scheduler::PreemptWithinQuota(Job& job, uint32_t tasks, Time now) {
  QuotaUsage& team = cluster_.quota(job.team());
  Resources room;
  Resources staying;  // what neither ends by itself nor makes way
  std::vector<std::pair<double, std::pair<Machine*, TaskAttemptKey>>> victims;
  for (const auto& machine : cluster_.machines()) {
    for (const auto& [key, attempt] : machine->task_attempts) {
      if (attempt.job == nullptr || attempt.job->team() != job.team()) continue;
      if (attempt.stopping) {
        room += attempt.need;
      } else if (attempt.phase != TaskPhase::kExited &&
                 attempt.job->priority() > job.priority() &&
                 rollout_manager_.DisruptionAllowed(key, *attempt.job, now)) {
        victims.push_back({PreemptionCost(attempt, now), {machine.get(), key}});
      } else if (attempt.job->spec().kind == JobKind::kService) {
        staying += attempt.need;
      }
    }
  }
  const bool whole = job.spec().kind == JobKind::kGang;
  while (tasks > 0 && !team.WithinMaximum(staying + job.spec().need * tasks)) {
    tasks = whole ? 0 : tasks - 1;
  }
  if (tasks == 0) return;
  std::sort(victims.begin(), victims.end());
  const auto fits = [&] {
    return team.WithinMaximum(team.used + team.held + job.spec().need * tasks -
                              room);
  };
  std::vector<std::pair<Machine*, TaskAttemptKey>> chosen;
  for (const auto& [cost, where] : victims) {
    if (fits()) break;
    room += where.first->task_attempts.at(where.second).need;
    chosen.push_back(where);
  }
  // All or nothing: stopping work without making the room helps nobody.
  const bool enough = fits();
  team.held += job.spec().need * tasks;
  if (!enough) return;
  for (const auto& [machine, key] : chosen) {
    const auto it = machine->task_attempts.find(key);
    if (it != machine->task_attempts.end() &&
        rollout_manager_.DisruptionAllowed(key, *it->second.job, now)) {
      Preempt(*machine, it->second, job.spec(), now);
    }
  }
}

// What would have to be stopped on the machine for one more task of the job,
// when `taken` of its room is spoken for, besides what is on its way out
// already; nothing if even all would not do.
std::optional<PreemptionPlan> Scheduler::PlanPreemption(const Job& job,
                                                        Machine& machine,
                                                        Resources taken,
                                                        Time now) const {
  const JobSpec& spec = job.spec();
  Resources room =
      machine.CapacityFor(&job, job.priority()) + machine.leaving - taken;
  // Most machines can be ruled out without a look at each task there.
  const auto rank = static_cast<size_t>(job.priority());
  Resources most = room;
  for (size_t p = 1; p < kPriorities; ++p) {
    if (p > rank || job.within_guarantee) most += machine.used_by[p];
  }
  if (!spec.need.FitsIn(most)) return std::nullopt;
  PreemptionPlan plan{&machine, 0, {}};
  if (spec.need.FitsIn(room)) return plan;
  std::vector<std::pair<double, TaskAttemptKey>> victims;
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (!attempt.stopping && MayPreempt(job, attempt, now)) {
      victims.emplace_back(PreemptionCost(attempt, now), key);
    }
  }
  std::sort(victims.begin(), victims.end());
  for (const auto& [cost, key] : victims) {
    room += machine.task_attempts.at(key).need;
    plan.cost += cost;
    plan.victims.push_back(key);
    if (spec.need.FitsIn(room)) return plan;
  }
  return std::nullopt;
}

void Scheduler::ExecutePreemption(const PreemptionPlan& plan,
                                  const JobSpec& for_job, Time now) {
  Machine& machine = *plan.machine;
  for (const TaskAttemptKey& key : plan.victims) {
    const auto it = machine.task_attempts.find(key);
    // A gang's tasks may have been stopped for their place elsewhere, and the
    // victims before this one may have used up what a floor allows.
    if (it == machine.task_attempts.end() || it->second.stopping ||
        !rollout_manager_.DisruptionAllowed(key, *it->second.job, now)) {
      continue;
    }
    Preempt(machine, it->second, for_job, now);
  }
}

// Nothing fits. Picks the machines whose eviction costs least and holds their
// room for the job, by stopping what may be stopped.
bool Scheduler::ReserveByPreemption(Job& job,
                                    const std::vector<Machine*>& usable,
                                    Time now) {
  const JobSpec& spec = job.spec();
  const double hold = 3 * settings_.workers.lease_seconds;
  ZoneSpread where = cluster_.ZoneSpreadOf(job);
  uint32_t held = 0;
  for (const auto& machine : cluster_.machines()) {
    // Room held where the job can't go any more would only make it wait: the
    // machine has fallen silent, or what came since leaves it no place there.
    if (machine->reservations.empty()) continue;
    const bool good = std::find(usable.begin(), usable.end(), machine.get()) !=
                          usable.end() &&
                      Allowed(spec, *machine, where);
    if (!good) {
      std::erase_if(machine->reservations, [&](const Reservation& reservation) {
        return reservation.job == &job;
      });
    }
    for (const Reservation& reservation : machine->reservations)
      held += reservation.job == &job;
  }
  const uint32_t wanted = std::min(rollout_manager_.StartableTasks(job), 40u);
  std::vector<PreemptionPlan> options;
  if (held < wanted) {
    for (Machine* machine : usable) {
      if (!Allowed(spec, *machine, where)) continue;
      if (auto option = PlanPreemption(
              job, *machine, cluster_.ReservedFor(job, *machine), now)) {
        if (!tier_manager_.UsesReservedHeadroom(job, *machine, *option))
          options.push_back(std::move(*option));
      }
    }
  }
  while (held < wanted && cluster_.QuotaAllows(job, held + 1)) {
    std::erase_if(options, [&](const PreemptionPlan& plan) {
      return !Allowed(spec, *plan.machine, where);
    });
    const auto best =
        std::min_element(options.begin(), options.end(),
                         [](const PreemptionPlan& a, const PreemptionPlan& b) {
                           return a.cost < b.cost;
                         });
    if (best == options.end()) break;
    Machine& machine = *best->machine;
    machine.reservations.push_back(
        {&job, spec.need, job.priority(), now + hold});
    where.Add(machine.zone, 1);
    ++held;
    ExecutePreemption(*best, spec, now);
    if (auto next = PlanPreemption(job, machine,
                                   cluster_.ReservedFor(job, machine), now)) {
      *best = std::move(*next);
    } else {
      options.erase(best);
    }
  }
  return held > 0;
}

// Room for a gang is held whole, in one place, and anew in each pass. Gangs
// that each kept a part of what they needed have waited for one another for
// ever, with most machines idle.
bool Scheduler::ReserveGangByPreemption(Job& job,
                                        const std::vector<Machine*>& usable,
                                        Time now) {
  const JobSpec& spec = job.spec();
  const uint32_t wanted = job.unplaced();
  cluster_.DropAllReservations(job);
  std::map<std::string, std::vector<GangSlot>> zones;
  std::map<std::string, uint32_t> most;  // that could ever be there
  for (Machine* machine : usable) {
    if (!Allowed(spec, *machine, {}) || !spec.need.FitsIn(machine->total()))
      continue;
    const std::string zone = spec.one_zone ? machine->zone : "";
    std::vector<GangSlot>& slots = zones[zone];
    most[zone] +=
        spec.need.TimesIn(machine->total() - machine->staying, wanted);
    Resources taken;
    const Resources held =
        machine->free() - machine->CapacityFor(&job, job.priority());
    // Of equal rank, short work is waited for.
    const Resources runs_off = machine->total() - held - machine->lasting;
    for (uint32_t n = 0; n < wanted; ++n, taken += spec.need) {
      if (auto plan = PlanPreemption(job, *machine, taken, now)) {
        if (tier_manager_.UsesReservedHeadroom(job, *machine, *plan)) break;
        slots.push_back({std::move(*plan), false});
      } else if (spec.need.FitsIn(runs_off - taken)) {
        slots.push_back({{machine, machine->used.cpus, {}}, true});
      } else {
        break;
      }
    }
  }
  std::vector<GangSlot>* best = nullptr;
  const auto rating = [](const std::vector<GangSlot>& slots) {
    double cost = 0;
    size_t waits = 0;
    for (const GangSlot& slot : slots) {
      cost += slot.plan.cost;
      waits += slot.waits;
    }
    return std::tuple(slots.size(), -static_cast<double>(waits), -cost);
  };
  for (auto& [zone, slots] : zones) {
    std::sort(slots.begin(), slots.end(),
              [](const GangSlot& a, const GangSlot& b) {
                return std::tie(a.waits, a.plan.cost) <
                       std::tie(b.waits, b.plan.cost);
              });
    if (slots.size() > wanted) slots.resize(wanted);
    // Nothing is kept where the gang can't become whole.
    if (most[zone] < wanted) continue;
    if (best == nullptr || rating(slots) > rating(*best)) best = &slots;
  }
  if (best == nullptr) return false;
  const bool whole = best->size() == wanted;
  // What falls short is kept together for one gang alone, the first in turn.
  if (!whole && std::exchange(part_is_held_, true)) return false;
  const bool at_once = whole && !best->back().waits;
  const double hold = settings_.workers.lease_seconds;
  for (const GangSlot& slot : *best) {
    Machine& machine = *slot.plan.machine;
    machine.reservations.push_back(
        {&job, spec.need, job.priority(), now + hold, !whole});
    if (at_once) ExecutePreemption(slot.plan, spec, now);
  }
  return true;
}

}  // namespace oxbow
