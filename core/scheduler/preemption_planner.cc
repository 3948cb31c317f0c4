#include "core/scheduler/preemption_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/rollout/rollout_manager.h"

namespace oxbow {
namespace {

// What any preemption loses beside the work: to fetch and to start again.
constexpr double kRestartSeconds = 5.0;
// A task with checkpoints loses at most so many times what one takes to save.
constexpr double kSavesLost = 2;

}  // namespace

PreemptionPlanner::PreemptionPlanner(LeaderContext& context,
                                     const Modules& modules)
    : context_(context),
      cluster_(context.cluster),
      dispatcher_(modules.dispatcher),
      rollout_manager_(modules.rollout_manager) {}

bool PreemptionPlanner::Victim::operator<(const Victim& other) const {
  return std::tuple(cost, machine->index(), key) <
         std::tuple(other.cost, other.machine->index(), other.key);
}

bool PreemptionPlanner::MayPreempt(const Job& job, const TaskAttempt& victim,
                                   Time now) const {
  if (victim.job == nullptr || victim.job == &job ||
      victim.phase == TaskPhase::kExited) {
    return false;
  }
  const Job& other = *victim.job;
  if (!rollout_manager_.DisruptionAllowed(KeyOf(victim), other, now))
    return false;
  if (other.priority() > job.priority()) return true;
  // Borrowed capacity is returned to a team that is within its guarantee.
  if (!job.within_guarantee || other.team() < 0 || other.team() == job.team() ||
      other.priority() == Priority::kProduction) {
    return false;
  }
  const QuotaUsage& owner = cluster_.quota(other.team());
  const bool beyond =
      owner.used.cpus > owner.quota.cpus || owner.used.gpus > owner.quota.gpus;
  return beyond && !other.within_guarantee;
}

double PreemptionPlanner::CostOf(const TaskAttempt& victim, Time now) const {
  const JobSpec& spec = victim.job->spec();
  const double ran_seconds =
      victim.running_since > 0 ? now - victim.running_since : 0.0;
  const double lost_seconds =
      spec.checkpoint_seconds > 0
          ? std::min(ran_seconds, spec.save_seconds * kSavesLost)
          : ran_seconds;
  const double priority_weight = 1 + (3 - static_cast<int>(spec.priority));
  // A gang is stopped whole. Without the weight the cost of one task counts, as
  // it did before there was a measure of fragmentation.
  const bool counts_whole_gang =
      context_.tuning.fragmentation_weight > 0 && spec.kind == JobKind::kGang;
  return (lost_seconds + kRestartSeconds) * spec.need.cpus * priority_weight *
         (counts_whole_gang ? spec.tasks : 1);
}

Resources PreemptionPlanner::CapacityUpperBound(const Job& job,
                                                const Machine& machine,
                                                Resources available) {
  const auto rank = static_cast<size_t>(job.priority());
  for (size_t priority = 1; priority < kPriorities; ++priority) {
    if (priority > rank || job.within_guarantee)
      available += machine.used_by[priority];
  }
  return available;
}

std::vector<PreemptionPlanner::Victim> PreemptionPlanner::VictimsOn(
    const Job& job, Machine& machine, Time now) const {
  std::vector<Victim> victims;
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (!attempt.stopping && MayPreempt(job, attempt, now))
      victims.push_back({CostOf(attempt, now), &machine, key});
  }
  std::sort(victims.begin(), victims.end());
  return victims;
}

std::optional<PreemptionPlan> PreemptionPlanner::Plan(const Job& job,
                                                      Machine& machine,
                                                      Resources taken,
                                                      Time now) const {
  const Resources& need = job.spec().need;
  Resources available = machine.CapacityFor(&job, job.priority()) +
                        machine.used_by_stopping - taken;
  // Rules out most machines without a look at each task there.
  if (!need.FitsIn(CapacityUpperBound(job, machine, available)))
    return std::nullopt;
  PreemptionPlan plan{&machine, 0, {}};
  if (need.FitsIn(available)) return plan;
  for (const Victim& victim : VictimsOn(job, machine, now)) {
    available += machine.task_attempts.at(victim.key).need;
    plan.cost += victim.cost;
    plan.victims.push_back(victim.key);
    if (need.FitsIn(available)) return plan;
  }
  return std::nullopt;
}

void PreemptionPlanner::Execute(const PreemptionPlan& plan,
                                const JobSpec& for_job, Time now) {
  Machine& machine = *plan.machine;
  for (const TaskAttemptKey& key : plan.victims) {
    const auto it = machine.task_attempts.find(key);
    // The tasks of a gang may have been stopped with one of them elsewhere, and
    // the victims before this one may have used up what a floor allows.
    if (it == machine.task_attempts.end() || it->second.stopping ||
        !rollout_manager_.DisruptionAllowed(key, *it->second.job, now)) {
      continue;
    }
    Preempt(machine, it->second, for_job, now);
  }
}

void PreemptionPlanner::Preempt(Machine& machine, TaskAttempt& victim,
                                const JobSpec& for_job, Time now) {
  const JobSpec& spec = victim.job->spec();
  const double grace_seconds =
      spec.checkpoint_seconds > 0
          ? spec.save_seconds +
                context_.settings.workers.heartbeat_interval_seconds
          : 0;
  context_.LogDetail([&] {
    return LogEvent{"preempting task",
                    {{"job", victim.job_id},
                     {"task", victim.task},
                     {"host", machine.host()},
                     {"for_job", for_job.id}}};
  });
  if (spec.kind == JobKind::kGang && spec.tasks > 1) {
    dispatcher_.StopTasks(*victim.job, grace_seconds, now);
  } else {
    dispatcher_.QueueStop(machine, victim, grace_seconds, now);
  }
}

// Where the team's services leave less than a gang needs, keeping the quota
// for it made all other jobs of the team wait for as long as the services ran
// (docs/incidents/2026-12-02-limit-held-in-vain.md). For as long as earlier
// work takes its turns, what the job will not need once it has started is left
// to later jobs. The tasks so started count against that share until they end:
// however many such jobs come, they do not keep the waiting one from starting.
// What it will need is left to them, too, for as long as the turns last: a job
// that is estimated to end before then does not put the waiting one off.
void PreemptionPlanner::PreemptWithinQuota(Job& job, uint32_t tasks, Time now) {
  QuotaUsage& team = cluster_.quota(job.team());
  TeamUsage usage = UsageOfTeam(job, now);
  tasks = TasksWithinMaximum(job, tasks,
                             usage.persistent + team.reserved_for_waiting);
  if (tasks == 0) return;
  std::sort(usage.victims.begin(), usage.victims.end());
  Resources released = usage.released;
  const auto fits = [&] {
    return team.WithinMaximum(team.used + team.reserved_for_waiting +
                              job.spec().need * tasks - released);
  };
  std::vector<Victim> chosen;
  for (const Victim& victim : usage.victims) {
    if (fits()) break;
    released += victim.machine->task_attempts.at(victim.key).need;
    chosen.push_back(victim);
  }
  // All or nothing: a stop that does not let the job start helps nobody.
  const bool enough = fits();
  if (team.has_reserved_quota()) {
    // When this one can start is not known.
    team.seconds_until_reserved_use = 0;
  } else {
    team.released_before_reserved_use = usage.released + usage.transient;
    team.seconds_until_reserved_use =
        SecondsOfTurnsBefore(team, usage.persistent);
  }
  team.reserved_for_waiting += job.spec().need * tasks;
  if (enough) StopVictims(chosen, job.spec(), now);
}

void PreemptionPlanner::RecordTakingTurns(const Job& job) {
  QuotaUsage& team = cluster_.quota(job.team());
  if (!team.has_reserved_quota()) team.round_robin_jobs.push_back(&job);
}

// The tasks that run may end at any moment. Those that wait then need as many
// turns as the maximum allows for, beside what never ends.
double PreemptionPlanner::SecondsOfTurnsBefore(
    const QuotaUsage& team, const Resources& persistent) const {
  double longest_seconds = 0;
  for (const Job* job : team.round_robin_jobs) {
    const uint32_t waiting = job->unplaced();
    const uint32_t at_once = TasksWithinMaximum(*job, waiting, persistent);
    if (at_once == 0) continue;
    const uint32_t turns = (waiting + at_once - 1) / at_once;
    longest_seconds =
        std::max(longest_seconds, turns * job->spec().estimate_seconds);
  }
  return longest_seconds;
}

PreemptionPlanner::TeamUsage PreemptionPlanner::UsageOfTeam(const Job& job,
                                                            Time now) const {
  TeamUsage usage;
  for (const auto& machine : cluster_.machines()) {
    for (const auto& [key, attempt] : machine->task_attempts) {
      if (attempt.job == nullptr || attempt.job->team() != job.team()) continue;
      if (attempt.stopping) {
        usage.released += attempt.need;
      } else if (attempt.phase != TaskPhase::kExited &&
                 attempt.job->priority() > job.priority() &&
                 rollout_manager_.DisruptionAllowed(key, *attempt.job, now)) {
        usage.victims.push_back({CostOf(attempt, now), machine.get(), key});
      } else if (attempt.job->spec().kind == JobKind::kService) {
        usage.persistent += attempt.need;
      } else if (attempt.charged && !attempt.backfilled) {
        usage.transient += attempt.need;
      }
    }
  }
  return usage;
}

uint32_t PreemptionPlanner::TasksWithinMaximum(
    const Job& job, uint32_t tasks, const Resources& persistent) const {
  const QuotaUsage& team = cluster_.quota(job.team());
  const JobSpec& spec = job.spec();
  while (tasks > 0 && !team.WithinMaximum(persistent + spec.need * tasks)) {
    tasks = spec.kind == JobKind::kGang ? 0 : tasks - 1;
  }
  return tasks;
}

void PreemptionPlanner::StopVictims(const std::vector<Victim>& victims,
                                    const JobSpec& for_job, Time now) {
  for (const Victim& victim : victims) {
    auto& attempts = victim.machine->task_attempts;
    const auto it = attempts.find(victim.key);
    if (it != attempts.end() &&
        rollout_manager_.DisruptionAllowed(victim.key, *it->second.job, now)) {
      Preempt(*victim.machine, it->second, for_job, now);
    }
  }
}

}  // namespace oxbow
