#include "core/leader/leader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oxbow {
namespace {

// How long a job shapes the measure of fragmentation after it was asked for, in
// worker leases: some waves of work, not the whole day.
constexpr double kMixLeases = 15;

// The changes that end a job: its end is recorded, or moves to the final keys.
std::vector<TerminalStateWrite> TerminalStatesIn(const CompareAndSwap& txn) {
  std::vector<TerminalStateWrite> ends;
  for (const Mutation& change : txn.mutations) {
    if (!change.key.starts_with(keys::kJob)) continue;
    const auto* job = std::get_if<JobRecord>(&change.record);
    if (job != nullptr && job->terminal_state == TerminalState::kNone) continue;
    uint64_t mod_revision = 0;
    for (const Precondition& precondition : txn.preconditions) {
      if (precondition.key == change.key)
        mod_revision = precondition.mod_revision;
    }
    ends.push_back({change.key.substr(keys::kJob.size()), mod_revision});
  }
  return ends;
}

// The leader key has to be the one that this leadership rests on.
std::vector<Precondition> LeadershipPreconditions(const Catalog& catalog,
                                                  uint64_t revision) {
  std::vector<Precondition> preconditions{
      {std::string(keys::kLeader), revision}};
  // Without it, a write that is applied after the store has stepped back could
  // find the leader key at the same revision by chance.
  if (catalog.epoch().number > 0) {
    auto [key, mod_revision] = catalog.Guard();
    preconditions.push_back({std::move(key), mod_revision});
  }
  return preconditions;
}

}  // namespace

Leader::Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
               uint64_t revision, Time now, double wall_minus_steady,
               uint64_t seed,
               const std::optional<std::set<std::string>>& delegates)
    : context_{settings,
               tuning,
               revision,
               TermOf(catalog.epoch(), revision),
               now,
               wall_minus_steady,
               SilenceTimeouts::From(settings.workers, tuning),
               catalog,
               cluster_,
               writes_,
               actions_,
               tiers_,
               liveness_,
               fragmentation_,
               queue_ranking_,
               run_times_,
               [this](Time at) { scheduler_.ScheduleIfNeeded(at); },
               FencingTokenSource(TermOf(catalog.epoch(), revision))},
      store_operations_(context_,
                        {consistency_gate_, dependencies_, job_lifecycle_,
                         rollout_manager_, reconciler_, autoscaler_,
                         [this](const std::string& name, Time at) {
                           OnOperatorRecord(name, at);
                         }}),
      writes_(settings, LeadershipPreconditions(catalog, revision),
              store_operations_, actions_),
      cluster_(settings, FirstFencingToken(context_.term), tuning.recovery_checks > 0,
               *this),
      liveness_(settings, tuning, context_.timeouts, cluster_.machines(), now,
                seed, actions_),
      fragmentation_(kMixLeases * settings.workers.lease_seconds,
                     settings.workers.heartbeat_interval_seconds),
      tiers_(settings, tuning.tiers > 0),
      queue_ranking_(settings, tuning),
      machine_health_(context_),
      dispatcher_(context_, {maintenance_}),
      dependencies_(context_, {job_lifecycle_}),
      job_lifecycle_(context_, {dispatcher_, dependencies_}),
      rollout_manager_(context_,
                       {machine_health_, dispatcher_, job_lifecycle_}),
      maintenance_(context_, {dispatcher_, rollout_manager_}),
      tier_manager_(context_, {rollout_manager_}),
      reconciler_(context_, {dependencies_, job_lifecycle_}),
      machine_lifecycle_(context_, {machine_health_, dispatcher_,
                                    rollout_manager_, reconciler_}),
      worker_sessions_(context_,
                       {dispatcher_, job_lifecycle_, maintenance_, reconciler_,
                        machine_lifecycle_},
                       delegates),
      rebalancing_(context_, {machine_health_, dispatcher_, rollout_manager_}),
      autoscaler_(context_, {machine_health_, dependencies_, rollout_manager_,
                             maintenance_, tier_manager_, machine_lifecycle_}),
      scheduler_(context_,
                 {machine_health_, dispatcher_, rollout_manager_, maintenance_,
                  tier_manager_, rebalancing_},
                 seed) {
  TakeUpRecords(now);
}

void Leader::TakeUpRecords(Time now) {
  const Catalog& catalog = context_.catalog;
  for (const auto& [host, record] : catalog.machines()) {
    Machine& machine = cluster_.AddMachine(host, record);
    machine.incarnation.Change(IncarnationEvent::kFailover, 0, now);
    machine.recorded_up = !record.endpoint.empty();
    machine.requested_at =
        std::min(now, record.requested_wall - context_.wall_minus_steady);
    if (machine.recorded_up) actions_.push_back(Probe{host, machine.endpoint});
  }
  for (const auto& [id, record] : catalog.jobs()) {
    job_lifecycle_.AddJob(record, now);
  }
  std::vector<std::string> waiting;
  for (const auto& [id, record] : catalog.waiting()) waiting.push_back(id);
  for (const std::string& id : waiting) dependencies_.OnWaitingRecord(id, now);
  for (const auto& [name, record] : catalog.scale_outs()) {
    autoscaler_.Restore(name, record);
  }
  std::vector<std::pair<uint64_t, std::string>> rollouts;
  for (const auto& [id, record] : catalog.rollouts()) {
    rollouts.emplace_back(record.mod_revision, id);
  }
  std::sort(rollouts.begin(), rollouts.end());
  for (const auto& [mod_revision, id] : rollouts) {
    rollout_manager_.OnRolloutRecord(id, now);
  }
  context_.Log("leading under revision " + std::to_string(context_.revision) +
               ": " + std::to_string(cluster_.jobs().size()) + " jobs, " +
               std::to_string(cluster_.machines().size()) + " machines, " +
               std::to_string(autoscaler_.open_scale_outs()) +
               " open scale-outs");
}

void Leader::OnOperatorRecord(const std::string& name, Time now) {
  rebalancing_.OnMoveRecord(name, now);
  cluster_.MarkChanged();
  scheduler_.ScheduleIfNeeded(now);
}

HeartbeatResponse Leader::OnHeartbeat(const Heartbeat& heartbeat, Time now) {
  HeartbeatResponse response = worker_sessions_.OnHeartbeat(heartbeat, now);
  if (!response.refused) Settle(now);
  return response;
}

void Leader::OnCommandResponse(const std::string& host, uint64_t batch,
                               CommandOutcome outcome,
                               const Heartbeat* heartbeat, Time now) {
  Machine* machine = cluster_.FindMachine(host);
  if (machine == nullptr) return;
  dispatcher_.OnCommandResponse(*machine, batch, outcome, now);
  if (heartbeat != nullptr) {
    worker_sessions_.ApplyHeartbeat(*machine, *heartbeat,
                                    HeartbeatChannel::kWorkerResponse, now);
  }
  dispatcher_.DispatchCommands(*machine, now);
  Settle(now);
}

void Leader::OnProbeAnswer(const Heartbeat& heartbeat, Time now) {
  if (worker_sessions_.OnProbeAnswer(heartbeat, now)) Settle(now);
}

void Leader::OnReach(uint64_t round, std::vector<Reach> answers, Time now) {
  if (!liveness_.OnReach(round, std::move(answers), now)) {
    context_.resigned = true;
  }
}

void Leader::OnTransferAccepted() {
  context_.resigned = true;
  liveness_.OnTransferAccepted();
}

void Leader::OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                           const std::vector<std::string>& failed, Time now) {
  switch (outcome) {
    case WriteOutcome::kApplied:
      consistency_gate_.Applied(id);
      break;
    case WriteOutcome::kNotExecuted:
    case WriteOutcome::kRefused:
      consistency_gate_.Refused(id);
      break;
    case WriteOutcome::kConflict: {
      std::set<std::string> differing;
      for (const std::string& key : failed) {
        if (!key.starts_with(keys::kJob)) continue;
        differing.insert(key.substr(keys::kJob.size()));
      }
      consistency_gate_.Refused(id, differing);
      break;
    }
    case WriteOutcome::kUnknown:
      consistency_gate_.Unanswered(id);
      break;
  }
  if (!writes_.OnAnswer(id, outcome, revision, failed, now)) {
    context_.GiveUp("the leader key has changed");
  }
}

std::vector<Action> Leader::TakeActions() {
  for (const Action& action : actions_) {
    const auto* txn = std::get_if<CompareAndSwap>(&action);
    // From here on it may be carried out.
    if (txn != nullptr) consistency_gate_.Left(txn->id, TerminalStatesIn(*txn));
  }
  return std::exchange(actions_, {});
}

JobObservation Leader::View(const std::string& id, JobView* out) const {
  const auto it = cluster_.jobs().find(id);
  const DependentJob* chain = dependencies_.Find(id);
  if (it == cluster_.jobs().end() && chain != nullptr &&
      context_.catalog.FindWaiting(id) != nullptr) {
    *out = {"pending", 0, 0};
    // The write that ends it may have left, and been read elsewhere.
    return chain->state == DependencyState::kCancelling
               ? JobObservation::kInDoubt
               : JobObservation::kLive;
  }
  if (it == cluster_.jobs().end()) {
    return reconciler_.ViewOrphanedTasks(id, out) ? JobObservation::kUnrecorded
                                                  : JobObservation::kUnseen;
  }
  const Job& job = *it->second;
  out->done = job.done();
  out->running = job.running();
  if (job.state() == JobState::kDone) {
    out->status = "done";
    out->done = job.size();
    out->running = 0;
    return JobObservation::kEnded;
  }
  if (job_lifecycle_.CancellationStands(job)) {
    out->status = "aborted";
    return JobObservation::kEnded;
  }
  out->status = job.running() > 0 ? "running" : "pending";
  // Another controller may have read the end by now, and told it: see
  // went-back-done-told-elsewhere.txt.
  const JobRecord* record = context_.catalog.FindJob(id);
  const uint64_t mod_revision = record == nullptr ? 0 : record->mod_revision;
  return consistency_gate_.InDoubt(id, mod_revision) ? JobObservation::kInDoubt
                                                     : JobObservation::kLive;
}

std::vector<std::string> Leader::Alarms() const {
  std::vector<std::string> alarms = liveness_.Alarms();
  int orphaned_tasks = 0;
  for (const auto& machine : cluster_.machines())
    orphaned_tasks += machine->orphaned_tasks;
  if (orphaned_tasks > 0) {
    alarms.push_back(std::to_string(orphaned_tasks) +
                     " tasks run whose jobs have no record");
  }
  if (!context_.catalog.pending_writes().empty()) {
    alarms.push_back(std::to_string(context_.catalog.pending_writes().size()) +
                     " records are still to be written back");
  }
  if (writes_.set_aside() > 0) {
    alarms.push_back(std::to_string(writes_.set_aside()) +
                     " writes are larger than the state service takes");
  }
  if (!context_.catalog.epoch().whole) {
    alarms.push_back(
        "jobs may have been lost with the state service's data: whoever misses "
        "one submits it again");
  }
  return alarms;
}

void Leader::LogFragmentation(Time now) {
  if (context_.tuning.fragmentation_weight <= 0 ||
      now < next_fragmentation_log_) {
    return;
  }
  constexpr double kEvery = 60;  // s: for people, whatever the lease
  next_fragmentation_log_ = now + kEvery;
  const Rebalancer* rebalancer = rebalancing_.rebalancer();
  const FragmentationCount n = CountFragmentation();
  if (n.accelerators <= 0) return;
  const auto whole = [](double x) {
    return std::to_string(static_cast<int64_t>(std::llround(x)));
  };
  context_.Log("fragmentation: of " + whole(n.accelerators) + " accelerators " +
               whole(n.free) + " free, " + whole(n.useless) +
               " of these of no use to what is asked " + "for; " +
               std::to_string(n.whole) + " machines whole, " +
               std::to_string(n.fragmented) + " fragmented" +
               (rebalancer != nullptr
                    ? "; moves settled " +
                          std::to_string(rebalancer->settled()) +
                          ", given up " + std::to_string(rebalancer->given_up())
                    : ""));
}

void Leader::Tick(Time now, bool by_lease) {
  liveness_.Count(now);
  worker_sessions_.BeginTick();
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kGone) continue;
    if (by_lease) worker_sessions_.ExpireIfOver(*machine, now);
    machine_lifecycle_.TickMachine(*machine, now);
  }
  worker_sessions_.EndTick(now);
  liveness_.StartSurveys(now);
  autoscaler_.TickRequests(now);
  rollout_manager_.TickRollouts(now);
  rebalancing_.TickMoves(scheduler_.large_waiting(), now);
  reconciler_.TickReconciliation(now);
  autoscaler_.ForgetRefusals(now);
  if (autoscaler_.IsDue(now)) TickSlowly(now);
  Settle(now);
}

void Leader::TickSlowly(Time now) {
  tier_manager_.SurveyTiers();
  dependencies_.PollDependencies(now);
  autoscaler_.RunAutoscaler(now);
  autoscaler_.SetNextRun(now +
                         context_.settings.workers.heartbeat_interval_seconds);
  maintenance_.TickCalendar(now);
  for (const auto& [id, job] : cluster_.jobs()) {
    job_lifecycle_.RetireIfClear(*job);
  }
  LogFragmentation(now);
  // Jobs whose back-off is over, expired reservations, machines that are no
  // longer suspect.
  cluster_.MarkChanged();
}

void Leader::Settle(Time now) {
  scheduler_.ScheduleIfNeeded(now);
  writes_.Flush(now);
}

void Leader::OnCapacityCharged(const Job& job, const Resources& need) {
  tiers_.Hold(job.tier, need);
}

void Leader::OnCapacityReleased(const Job& job, const Resources& need) {
  tiers_.Release(job.tier, need);
}

void Leader::OnAttemptStopping(const TaskAttempt& attempt) {
  rollout_manager_.OnAttemptStopping(attempt);
}

void Leader::OnAttemptRemoved(Job& job) { job_lifecycle_.RetireIfClear(job); }

}  // namespace oxbow
