#include "core/leader/leader_modules.h"

#include <utility>

namespace oxbow {
namespace {

// How long after its submission a job counts in the measure of fragmentation,
// in worker leases: long enough to cover several bursts of submissions, short
// enough to follow changes in the course of a day.
constexpr double kFragmentationWindowLeases = 15;

// The preconditions of every write of this leadership: the leader key still has
// the mod revision `revision` with which this leader was elected.
std::vector<Precondition> LeadershipPreconditions(const Catalog& catalog,
                                                  uint64_t revision) {
  std::vector<Precondition> preconditions{
      {std::string(keys::kLeader), revision}};
  // Also the epoch has to be the same: after the store has lost data and been
  // reset to an older state, the leader key could have the same revision again
  // by chance.
  if (catalog.epoch().number > 0) {
    auto [key, mod_revision] = catalog.Guard();
    preconditions.push_back({std::move(key), mod_revision});
  }
  return preconditions;
}

}  // namespace

LeaderModules::LeaderModules(
    const Settings& settings, const Tuning& tuning, Catalog& catalog,
    uint64_t revision, Time now, double wall_minus_steady, uint64_t seed,
    const std::optional<std::set<std::string>>& delegates)
    : context{settings,
              tuning,
              revision,
              TermOf(catalog.epoch(), revision),
              now,
              wall_minus_steady,
              SilenceTimeouts::From(settings.workers, tuning),
              catalog,
              cluster,
              writes,
              actions,
              tiers,
              liveness,
              fragmentation,
              queue_ranking,
              run_times,
              [this](Time at) { scheduler.ScheduleIfNeeded(at); },
              FencingTokenSource(TermOf(catalog.epoch(), revision)),
              /*counters=*/{}},
      writes(settings, LeadershipPreconditions(catalog, revision), actions),
      cluster(settings, FirstFencingToken(context.term),
              tuning.recovery_checks > 0, *this),
      liveness(settings, tuning, context.timeouts, cluster.machines(), now,
               seed, actions),
      fragmentation(kFragmentationWindowLeases * settings.workers.lease_seconds,
                    settings.workers.heartbeat_interval_seconds),
      tiers(settings, tuning.tiers > 0),
      queue_ranking(settings, tuning),
      machine_health(context),
      dispatcher(context, {maintenance}),
      dependencies(context, {job_lifecycle}),
      job_lifecycle(context, {dispatcher, dependencies, consistency_gate}),
      rollout_manager(context, {machine_health, dispatcher, job_lifecycle}),
      maintenance(context, {dispatcher, rollout_manager}),
      tier_manager(context, {rollout_manager}),
      reconciler(context, {dependencies, job_lifecycle}),
      machine_lifecycle(
          context, {machine_health, dispatcher, rollout_manager, reconciler}),
      worker_leases(context, {machine_lifecycle}, delegates),
      worker_sessions(context, {dispatcher, job_lifecycle, maintenance,
                                reconciler, machine_lifecycle, worker_leases}),
      rebalancing(context, {machine_health, dispatcher, rollout_manager}),
      autoscaler(context, {machine_health, dependencies, rollout_manager,
                           maintenance, tier_manager, machine_lifecycle}),
      scheduler(context,
                {machine_health, dispatcher, rollout_manager, maintenance,
                 tier_manager, rebalancing},
                seed) {}

void LeaderModules::OnCapacityCharged(const Job& job, const Resources& need) {
  tiers.AddUsage(job.tier, need);
}

void LeaderModules::OnCapacityReleased(const Job& job, const Resources& need) {
  tiers.SubtractUsage(job.tier, need);
}

void LeaderModules::OnAttemptStopping(const TaskAttempt& attempt) {
  rollout_manager.OnAttemptStopping(attempt);
}

void LeaderModules::OnAttemptRemoved(Job& job) {
  job_lifecycle.RetireIfClear(job);
}

}  // namespace oxbow
