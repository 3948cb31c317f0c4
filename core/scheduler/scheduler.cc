#include "core/scheduler/scheduler.h"

#include <algorithm>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/placement/placement.h"
#include "core/priority_tiers/tier_manager.h"
#include "core/rebalancing/rebalancing_manager.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"

namespace oxbow {
namespace {

// Between two passes, in heartbeat intervals. A pass over everything for each
// exit of a short task would cost more than it gains.
constexpr double kPassIntervalHeartbeats = 0.06;
// Bounds the work of the rebalancing, which looks for machines for each.
constexpr size_t kMaxLargeWaiting = 4;
// A job that waits for its minimum share comes next after the best tier.
constexpr int kMinimumShareTier = 1;

// Whether the job has been in the queue for longer; by id for equal times.
bool QueuedBefore(const Job& left, const Job& right) {
  if (left.queued_since() != right.queued_since())
    return left.queued_since() < right.queued_since();
  return left.id() < right.id();
}

}  // namespace

Scheduler::Scheduler(LeaderContext& context, const Modules& modules,
                     uint64_t seed)
    : context_(context),
      cluster_(context.cluster),
      tiers_(context.tiers),
      machine_health_(modules.machine_health),
      dispatcher_(modules.dispatcher),
      rollout_manager_(modules.rollout_manager),
      maintenance_(modules.maintenance),
      tier_manager_(modules.tier_manager),
      rebalancing_(modules.rebalancing),
      machine_selector_(context, modules.tier_manager, seed),
      task_starter_(context, modules.maintenance),
      preemption_planner_(context,
                          {modules.dispatcher, modules.rollout_manager}),
      reservations_(context, {modules.rollout_manager, modules.tier_manager,
                              preemption_planner_}),
      gang_scheduler_(context, {modules.dispatcher, modules.maintenance,
                                modules.tier_manager, machine_selector_,
                                task_starter_, preemption_planner_}),
      task_scheduler_(context, {modules.rollout_manager, modules.maintenance,
                                modules.tier_manager, modules.rebalancing,
                                machine_selector_, task_starter_,
                                preemption_planner_, reservations_}) {}

void Scheduler::ScheduleIfNeeded(Time now) {
  if (PassIsDue(now)) StartPass(now);
}

void Scheduler::StartPass(Time now) {
  next_pass_ = now + kPassIntervalHeartbeats *
                         context_.settings.workers.heartbeat_interval_seconds;
  cluster_.ClearChanges();
  RunPass(now);
}

void Scheduler::OnTick(Time now) {
  paused_ = false;
  if (round_.unfinished() && !context_.resigned) StartPass(now);
}

bool Scheduler::PassIsDue(Time now) const {
  if (!cluster_.changed() || context_.resigned || cluster_.types().empty() ||
      round_.unfinished() || paused_) {
    return false;
  }
  // Live services are scheduled at once, everything else in batches.
  return cluster_.urgent() || now >= next_pass_;
}

void Scheduler::RunPass(Time now) {
  SchedulingPass pass;
  pass.now = now;
  pass.all_machines_accounted_for = cluster_.AllMachinesAccountedFor();
  ComputeGuaranteedJobs();
  maintenance_.CountWindowUse();
  // What is held for jobs that have had their turn is held for the round.
  if (!round_.unfinished()) ResetQuotas();
  // Jobs may have been removed since the round's last pass.
  for (QuotaUsage& team : cluster_.quotas()) team.round_robin_jobs.clear();
  pass.partial_gang_reserved = round_.partial_gang_reserved;
  context_.fragmentation.UpdateMix(now);
  const std::vector<Job*> jobs = SchedulableJobs(pass);
  if (jobs.empty()) return round_.Finish();

  reservations_.DropExpired(now);
  pass.usable_machines = UsableMachines(now);
  pass.mean_bandwidth = MeasuredBandwidth();
  tier_manager_.BeginPass(jobs, pass.usable_machines,
                          pass.all_machines_accounted_for, now);
  const std::vector<QueuedJob> queue = BuildQueue(jobs, now);
  rebalancing_.ReserveMoveTargets(now);

  ServeQueue(queue, pass);
  RecordLargeWaiting(queue);
  for (Machine* machine : pass.usable_machines)
    dispatcher_.DispatchCommands(*machine, now);
  counters_.OnPass(pass.work);
  paused_ = SchedulingRound::NeedsPause(pass.work);
}

void Scheduler::ServeQueue(const std::vector<QueuedJob>& queue,
                           SchedulingPass& pass) {
  for (const QueuedJob& queued : queue) {
    if (round_.IsServed(*queued.job)) continue;
    ScheduleJob(queued, pass);
    if (SchedulingRound::PassIsOver(pass.work)) {
      round_.partial_gang_reserved = pass.partial_gang_reserved;
      return round_.set_unfinished();
    }
    if (!pass.jobs_over_tier_share.contains(queued.job))
      round_.OnServed(*queued.job);
  }
  round_.Finish();
  // What the other tiers have left is not left idle.
  tiers_.OnOtherTiersServed();
  for (const QueuedJob& queued : queue) {
    if (SchedulingRound::PassIsOver(pass.work)) return;
    if (pass.jobs_over_tier_share.contains(queued.job))
      ScheduleJob(queued, pass);
  }
}

// A job is within its team's guarantee if it fits into it together with the
// team's earlier unfinished jobs.
void Scheduler::ComputeGuaranteedJobs() {
  std::vector<Job*> jobs;
  for (const auto& [id, job] : cluster_.jobs()) {
    job->within_guarantee = false;
    if (job->live() && job->team() >= 0) jobs.push_back(job.get());
  }
  std::sort(jobs.begin(), jobs.end(), [](const Job* left, const Job* right) {
    return QueuedBefore(*left, *right);
  });
  std::vector<Resources> wanted_by_team(cluster_.quotas().size());
  for (Job* job : jobs) {
    const TeamQuota& quota = cluster_.quota(job->team()).quota;
    if (quota.cpus <= 0 && quota.gpus <= 0) continue;
    Resources& wanted = wanted_by_team[static_cast<size_t>(job->team())];
    wanted += job->spec().need * (job->size() - job->done());
    job->within_guarantee =
        wanted.cpus <= quota.cpus && wanted.gpus <= quota.gpus;
  }
}

void Scheduler::ResetQuotas() {
  const Resources orphaned_tasks = cluster_.OrphanedTasksUpperBound();
  for (QuotaUsage& team : cluster_.quotas()) {
    team.reserved_for_waiting = {};
    team.released_before_reserved_use = {};
    team.seconds_until_reserved_use = 0;
    team.orphaned_tasks = orphaned_tasks;
  }
}

std::vector<Job*> Scheduler::SchedulableJobs(const SchedulingPass& pass) const {
  std::vector<Job*> jobs;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (IsSchedulable(*job, pass)) jobs.push_back(job.get());
  }
  return jobs;
}

bool Scheduler::IsSchedulable(const Job& job,
                              const SchedulingPass& pass) const {
  if (!job.live() || rollout_manager_.StartableTasks(job) == 0 ||
      pass.now < job.not_before) {
    return false;
  }
  if (rollout_manager_.MayHaveUnseenRollout(job)) return false;
  if (!maintenance_.MayStartNow(job, pass.now)) return false;
  if (pass.all_machines_accounted_for) return true;
  // Tasks of a job accepted under this leader are on no machine that has not
  // reported yet. But what is there may use up the maximum of the team's quota.
  return !job.accepted_before_leadership &&
         (job.team() < 0 || !cluster_.quota(job.team()).has_maximum());
}

std::vector<Machine*> Scheduler::UsableMachines(Time now) const {
  std::vector<Machine*> usable;
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() != MachineState::kDeleted &&
        machine_health_.Usable(*machine, now)) {
      usable.push_back(machine.get());
    }
  }
  return usable;
}

double Scheduler::MeasuredBandwidth() const {
  std::vector<Machine*> machines;
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() != MachineState::kDeleted)
      machines.push_back(machine.get());
  }
  return MeanBandwidth(machines);
}

std::vector<Scheduler::QueuedJob> Scheduler::BuildQueue(
    const std::vector<Job*>& jobs, Time now) const {
  std::vector<QueuedJob> queue;
  queue.reserve(jobs.size());
  for (Job* job : jobs) {
    QueuePosition position = context_.queue_ranking.PositionOf(
        *job, context_.run_times.RunSeconds(job->spec()), now);
    position.tier = tiers_.RankOf(*job, job->tier);
    if (position.by_minimum_share)
      position.tier = std::min(position.tier, kMinimumShareTier);
    queue.push_back({position, job});
  }
  std::sort(queue.begin(), queue.end(),
            [](const QueuedJob& left, const QueuedJob& right) {
              if (left.position.Before(right.position)) return true;
              if (right.position.Before(left.position)) return false;
              return QueuedBefore(*left.job, *right.job);
            });
  return queue;
}

void Scheduler::ScheduleJob(const QueuedJob& queued, SchedulingPass& pass) {
  Job& job = *queued.job;
  if (!tiers_.MayStart(job, job.tier)) return;
  if (job.spec().kind == JobKind::kGang) {
    gang_scheduler_.Schedule(job, queued.position, pass);
  } else {
    task_scheduler_.Schedule(job, queued.position, pass);
  }
}

void Scheduler::RecordLargeWaiting(const std::vector<QueuedJob>& queue) {
  large_waiting_.clear();
  if (!rebalancing_.enabled()) return;
  for (const QueuedJob& queued : queue) {
    if (large_waiting_.size() >= kMaxLargeWaiting) return;
    const Job& job = *queued.job;
    const uint32_t wanted = rollout_manager_.StartableTasks(job);
    if (job.spec().need.gpus <= 0 || wanted == 0) continue;
    const uint32_t at_once = job.spec().kind == JobKind::kGang ? wanted : 1;
    if (cluster_.QuotaAllows(job, at_once)) large_waiting_.push_back(job.id());
  }
}

}  // namespace oxbow
