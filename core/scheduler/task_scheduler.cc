#include "core/scheduler/task_scheduler.h"

#include <algorithm>

#include "core/autoscaler/quiescence.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/priority_tiers/tier_manager.h"
#include "core/rebalancing/rebalancing_manager.h"
#include "core/rollout/rollout_manager.h"
#include "core/scheduler/scheduling_round.h"

namespace oxbow {

TaskScheduler::TaskScheduler(LeaderContext& context, const Modules& modules)
    : context_(context),
      cluster_(context.cluster),
      tiers_(context.tiers),
      queue_ranking_(context.queue_ranking),
      rollout_manager_(modules.rollout_manager),
      maintenance_(modules.maintenance),
      tier_manager_(modules.tier_manager),
      rebalancing_(modules.rebalancing),
      machine_selector_(modules.machine_selector),
      task_starter_(modules.task_starter),
      preemption_planner_(modules.preemption_planner),
      reservations_(modules.reservations) {}

void TaskScheduler::Schedule(Job& job, const QueuePosition& position,
                             SchedulingPass& pass) {
  ZoneSpread spread = cluster_.ZoneSpreadOf(job);
  uint32_t left = position.by_minimum_share
                      ? QueueRanking::MinimumShareOf(job.spec())
                      : UINT32_MAX;
  while (left > 0 && !SchedulingRound::PassIsOver(pass.work) &&
         rollout_manager_.StartableTasks(job) > 0 && job.PeekPending() >= 0) {
    if (!Admitted(job, pass)) return;
    pass.work.Add(pass.usable_machines.size());
    const MachineChoice choice = ChooseMachine(job, spread, pass);
    if (choice.preemption_in_progress) return;
    if (choice.machine == nullptr) {
      pass.work.Add(pass.usable_machines.size());
      reservations_.ReserveByPreemption(job, pass.usable_machines, pass.now);
      return;
    }
    const std::optional<uint32_t> started =
        StartTasksOn(job, *choice.machine, left, spread, pass.now);
    if (!started) return;
    left -= *started;
  }
}

bool TaskScheduler::Admitted(Job& job, SchedulingPass& pass) {
  const JobSpec& spec = job.spec();
  if (!maintenance_.WindowAllows(job, 1)) return false;
  if (!cluster_.QuotaAllows(job, 1)) {
    if (spec.kind == JobKind::kService) {
      preemption_planner_.PreemptWithinQuota(
          job, rollout_manager_.StartableTasks(job), pass.now);
    } else {
      preemption_planner_.RecordTakingTurns(job);
    }
    return false;
  }
  if (!tiers_.MayStart(job, job.tier)) return false;
  if (!tiers_.WithinShare(job, job.tier, spec.need)) {
    pass.jobs_over_tier_share.insert(&job);
    return false;
  }
  return true;
}

TaskScheduler::MachineChoice TaskScheduler::ChooseMachine(
    Job& job, const ZoneSpread& spread, const SchedulingPass& pass) {
  if (job.spec().kind == JobKind::kService)
    return ChooseReplicaMachine(job, spread, pass);
  return {machine_selector_.FindMachine(job, pass.usable_machines, spread,
                                        pass.mean_bandwidth)};
}

// Exception to the design, "accelerator headroom": a replica stays for long,
// and one too many on a machine keeps accelerator work off it all that time.
// Before it goes to such a machine, it preempts short work on another.
TaskScheduler::MachineChoice TaskScheduler::ChooseReplicaMachine(
    Job& job, const ZoneSpread& spread, const SchedulingPass& pass) {
  const JobSpec& spec = job.spec();
  const auto find = [&](const std::vector<Machine*>& candidates) {
    return machine_selector_.FindMachine(job, candidates, spread,
                                         pass.mean_bandwidth);
  };
  const MachineChoice preempting = {nullptr, /*preemption_in_progress=*/true};

  Machine* const move_target =
      rebalancing_.ReservedByMove(job, spread, pass.now);
  if (move_target != nullptr) return {move_target};

  const std::vector<Machine*> preferred = PreferredReplicaMachines(spec, pass);
  Machine* best = find(preferred);
  if (best == nullptr) {
    if (reservations_.ReserveByPreemption(job, preferred, pass.now))
      return preempting;
    best = find(pass.usable_machines);
  }
  // Exception to the design, "warm start": where the fetch alone would take
  // longer than the class may wait, a machine that has the image comes before
  // any other, and if need be short work is preempted on it.
  if (best != nullptr &&
      FetchExceedsWaitSlo(spec, *best, pass.mean_bandwidth)) {
    std::vector<Machine*> warm;
    for (Machine* machine : preferred) {
      if (machine->HasImage(spec.image)) warm.push_back(machine);
    }
    Machine* const warm_machine = find(warm);
    if (warm_machine != nullptr) return {warm_machine};
    if (reservations_.ReserveByPreemption(job, warm, pass.now))
      return preempting;
  }
  return {best};
}

std::vector<Machine*> TaskScheduler::PreferredReplicaMachines(
    const JobSpec& spec, const SchedulingPass& pass) const {
  const bool quiescent =
      IsQuiescent(cluster_, context_.settings, context_.tuning, pass.now);
  // In a quiescent cluster replicas are consolidated on machines that
  // accelerator work can't use anyway. Left beside the capacity for gangs, they
  // had kept sixty machines rented after the last gang.
  const auto may_take_replica = [&](const Machine& machine) {
    return quiescent ? IsConsolidationTarget(cluster_, machine)
                     : !BlocksAcceleratorWork(
                           spec, machine, cluster_.largest_accelerator_task());
  };
  std::vector<Machine*> preferred;
  for (Machine* machine : pass.usable_machines) {
    if (may_take_replica(*machine) &&
        !machine_selector_.FragmentsWholeMachine(spec, *machine) &&
        !rebalancing_.DrainedByMove(*machine)) {
      preferred.push_back(machine);
    }
  }
  return preferred;
}

bool TaskScheduler::FetchExceedsWaitSlo(const JobSpec& spec,
                                        const Machine& machine,
                                        double mean_bandwidth) const {
  return !machine.HasImage(spec.image) &&
         FetchSeconds(machine, spec, mean_bandwidth) >
             queue_ranking_.WaitSloSeconds(spec).value_or(
                 kUnlimitedWaitSeconds);
}

std::optional<uint32_t> TaskScheduler::StartTasksOn(Job& job, Machine& machine,
                                                    uint32_t most,
                                                    ZoneSpread& spread,
                                                    Time now) {
  const JobSpec& spec = job.spec();
  const uint32_t batch = BatchSize(job, machine, most);
  uint32_t started = 0;
  for (; started < batch; ++started) {
    if (!MayStartOn(job, machine, spread)) break;
    // The first one has been admitted already.
    if (started > 0 && (!tiers_.MayStart(job, job.tier) ||
                        !tiers_.WithinShare(job, job.tier, spec.need))) {
      break;
    }
    const uint64_t attempt = context_.NextToken();
    if (attempt == 0) return std::nullopt;
    task_starter_.StartNextTask(job, machine, attempt, now);
    spread.Add(machine.zone, 1);
  }
  return started;
}

// With one task of an array on it, the machine has the image queued and is
// fuller, so it would be chosen again until it is full. Chosen anew for each of
// 25,000 tasks, the pass took longer than the leader's lease.
uint32_t TaskScheduler::BatchSize(const Job& job, const Machine& machine,
                                  uint32_t most) const {
  const JobSpec& spec = job.spec();
  if (spec.kind != JobKind::kArray) return 1;
  const uint32_t startable =
      std::min(most, rollout_manager_.StartableTasks(job));
  const Resources capacity = machine.CapacityFor(&job, job.priority());
  return std::max(1U, spec.need.TimesIn(capacity, startable));
}

bool TaskScheduler::MayStartOn(Job& job, const Machine& machine,
                               const ZoneSpread& spread) const {
  return job.PeekPending() >= 0 && cluster_.QuotaAllows(job, 1) &&
         maintenance_.WindowAllows(job, 1) &&
         ConstraintsAllow(job.spec(), machine, spread) &&
         tier_manager_.TierAllowsPlacement(job, machine);
}

}  // namespace oxbow
