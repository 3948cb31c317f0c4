#include "core/leader/leader.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace oxbow {
namespace {

// The interval of the log line on fragmentation.
constexpr double kFragmentationLogIntervalSeconds = 60;

// The mutations of live job records that end a job: they record its terminal
// state, or delete the record when it moves to the terminal records.
std::vector<TerminalStateWrite> TerminalStatesIn(const CompareAndSwap& txn) {
  std::vector<TerminalStateWrite> writes;
  for (const Mutation& mutation : txn.mutations) {
    if (!mutation.key.starts_with(keys::kJob)) continue;
    const auto* job = std::get_if<JobRecord>(&mutation.record);
    if (job != nullptr && job->terminal_state == TerminalState::kNone) continue;
    uint64_t mod_revision = 0;
    for (const Precondition& precondition : txn.preconditions) {
      if (precondition.key != mutation.key) continue;
      mod_revision = precondition.mod_revision;
    }
    writes.push_back({mutation.key.substr(keys::kJob.size()), mod_revision});
  }
  return writes;
}

// The IDs of the jobs among the keys whose preconditions did not hold.
std::set<std::string> JobsIn(const std::vector<std::string>& failed) {
  std::set<std::string> jobs;
  for (const std::string& key : failed) {
    if (!key.starts_with(keys::kJob)) continue;
    jobs.insert(key.substr(keys::kJob.size()));
  }
  return jobs;
}

// The IDs of all rollouts, in the order of their mod revisions.
std::vector<std::string> RolloutsByRevision(const Catalog& catalog) {
  std::vector<std::string> ids;
  for (const auto& [id, record] : catalog.rollouts()) ids.push_back(id);
  std::sort(ids.begin(), ids.end(),
            [&](const std::string& one, const std::string& other) {
              const uint64_t revision = catalog.rollouts().at(one).mod_revision;
              const uint64_t other_revision =
                  catalog.rollouts().at(other).mod_revision;
              return std::tie(revision, one) < std::tie(other_revision, other);
            });
  return ids;
}

}  // namespace

Leader::Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
               uint64_t revision, Time now, double wall_minus_steady,
               uint64_t seed,
               const std::optional<std::set<std::string>>& delegates)
    : modules_(settings, tuning, catalog, revision, now, wall_minus_steady,
               seed, delegates) {
  LoadRecords(now);
}

void Leader::LoadRecords(Time now) {
  const Catalog& catalog = modules_.context.catalog;
  for (const auto& [host, record] : catalog.machines()) {
    Machine& machine = modules_.cluster.AddMachine(host, record);
    machine.incarnation.Change(IncarnationEvent::kFailover, 0, now);
    machine.recorded_up = !record.endpoint.empty();
    machine.requested_at = std::min(
        now, record.requested_wall - modules_.context.wall_minus_steady);
    if (machine.recorded_up)
      modules_.actions.push_back(Probe{host, machine.endpoint});
  }
  for (const auto& [id, record] : catalog.jobs()) {
    modules_.job_lifecycle.AddJob(record, now);
  }
  std::vector<std::string> waiting;
  for (const auto& [id, record] : catalog.waiting()) waiting.push_back(id);
  for (const std::string& id : waiting)
    modules_.dependencies.OnWaitingRecord(id, now);
  for (const auto& [name, record] : catalog.scale_outs()) {
    modules_.autoscaler.Restore(name, record);
  }
  for (const std::string& id : RolloutsByRevision(catalog)) {
    modules_.rollout_manager.OnRolloutRecord(id, now);
  }
  modules_.context.Log(
      "leadership begins",
      {{"revision", modules_.context.revision},
       {"first_token", FirstFencingToken(modules_.context.term)},
       {"jobs", modules_.cluster.jobs().size()},
       {"machines", modules_.cluster.machines().size()},
       {"open_scale_outs", modules_.autoscaler.open_scale_outs()}});
}

void Leader::OnOperatorRecord(const std::string& name, Time now) {
  modules_.rebalancing.OnMoveRecord(name, now);
  modules_.cluster.MarkChanged();
  modules_.scheduler.ScheduleIfNeeded(now);
}

HeartbeatResponse Leader::OnHeartbeat(const Heartbeat& heartbeat, Time now) {
  HeartbeatResponse response =
      modules_.worker_sessions.OnHeartbeat(heartbeat, now);
  if (!response.refused) ScheduleAndFlush(now);
  return response;
}

void Leader::OnCommandResponse(const std::string& host, uint64_t batch,
                               CommandOutcome outcome,
                               const Heartbeat* heartbeat, Time now) {
  Machine* machine = modules_.cluster.FindMachine(host);
  if (machine == nullptr) return;
  const std::optional<FencingToken> shown_token =
      heartbeat == nullptr ? std::nullopt : std::optional(heartbeat->token);
  modules_.dispatcher.OnCommandResponse(*machine, batch, outcome, shown_token,
                                        now);
  if (heartbeat != nullptr) {
    modules_.worker_sessions.ApplyHeartbeat(
        *machine, *heartbeat, HeartbeatChannel::kWorkerResponse, now);
  }
  modules_.dispatcher.DispatchCommands(*machine, now);
  ScheduleAndFlush(now);
}

void Leader::OnProbeAnswer(const Heartbeat& heartbeat, Time now) {
  if (modules_.worker_sessions.OnProbeAnswer(heartbeat, now))
    ScheduleAndFlush(now);
}

void Leader::OnReachabilityAnswers(uint64_t round,
                                   std::vector<ReachabilityAnswer> answers,
                                   Time now) {
  if (!modules_.liveness.OnReachabilityAnswers(round, std::move(answers),
                                               now)) {
    modules_.context.resigned = true;
  }
}

void Leader::OnTransferAccepted() {
  modules_.context.resigned = true;
  modules_.liveness.OnTransferAccepted();
}

void Leader::OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                           const std::vector<std::string>& failed, Time now) {
  switch (outcome) {
    case WriteOutcome::kApplied:
      modules_.consistency_gate.OnApplied(id);
      break;
    case WriteOutcome::kNotExecuted:
    case WriteOutcome::kRefused:
      modules_.consistency_gate.OnRejected(id);
      break;
    case WriteOutcome::kConflict:
      modules_.consistency_gate.OnRejected(id, JobsIn(failed));
      break;
    case WriteOutcome::kUnknown:
      modules_.consistency_gate.OnUnanswered(id);
      break;
  }
  if (!modules_.writes.OnAnswer(id, outcome, revision, failed, now)) {
    modules_.context.ResignLeadership("the leader key has changed");
  }
}

std::vector<Action> Leader::TakeActions() {
  for (const Action& action : modules_.actions) {
    const auto* txn = std::get_if<CompareAndSwap>(&action);
    // The store may apply the transaction from now on.
    if (txn != nullptr)
      modules_.consistency_gate.OnSent(txn->id, TerminalStatesIn(*txn));
  }
  return std::exchange(modules_.actions, {});
}

JobObservation Leader::View(const std::string& id, JobView* out) const {
  const auto it = modules_.cluster.jobs().find(id);
  if (it != modules_.cluster.jobs().end()) return ViewOfJob(*it->second, out);
  const DependentJob* dependent = modules_.dependencies.Find(id);
  if (dependent != nullptr &&
      modules_.context.catalog.FindWaiting(id) != nullptr) {
    *out = {"pending", 0, 0};
    // The write of the terminal state may have been applied already, and
    // another controller may have read it.
    return dependent->state == DependencyState::kCancelling
               ? JobObservation::kInDoubt
               : JobObservation::kLive;
  }
  const UnrecordedJobView unrecorded =
      modules_.reconciler.ViewOrphanedTasks(id);
  *out = unrecorded.view;
  return unrecorded.has_orphaned_tasks ? JobObservation::kUnrecorded
                                       : JobObservation::kUnseen;
}

JobObservation Leader::ViewOfJob(const Job& job, JobView* out) const {
  if (job.state() == JobState::kDone) {
    *out = {"done", job.size(), 0};
    return JobObservation::kEnded;
  }
  out->done = job.done();
  out->running = job.running();
  if (modules_.job_lifecycle.CancellationCompleted(job)) {
    out->status = "aborted";
    return JobObservation::kEnded;
  }
  out->status = job.running() > 0 ? "running" : "pending";
  // Another controller may already have read the terminal state and told a user
  // of it; see tests/scenarios/went-back-done-told-elsewhere.txt.
  const JobRecord* record = modules_.context.catalog.FindJob(job.id());
  const uint64_t mod_revision = record == nullptr ? 0 : record->mod_revision;
  return modules_.consistency_gate.InDoubt(job.id(), mod_revision)
             ? JobObservation::kInDoubt
             : JobObservation::kLive;
}

// These texts are served over HTTP and must not be changed.
std::vector<std::string> Leader::Alarms() const {
  std::vector<std::string> alarms = modules_.liveness.Alarms();
  int orphaned_tasks = 0;
  for (const auto& machine : modules_.cluster.machines())
    orphaned_tasks += machine->orphaned_tasks;
  if (orphaned_tasks > 0) {
    alarms.push_back(std::to_string(orphaned_tasks) +
                     " tasks run whose jobs have no record");
  }
  if (!modules_.context.catalog.pending_writes().empty()) {
    alarms.push_back(
        std::to_string(modules_.context.catalog.pending_writes().size()) +
        " records are still to be written back");
  }
  if (modules_.writes.refused_for_size() > 0) {
    alarms.push_back(std::to_string(modules_.writes.refused_for_size()) +
                     " writes are larger than the state service takes");
  }
  if (!modules_.context.catalog.epoch().whole) {
    alarms.push_back(
        "jobs may have been lost with the state service's data: whoever misses "
        "one submits it again");
  }
  return alarms;
}

void Leader::LogFragmentation(Time now) {
  if (modules_.context.tuning.fragmentation_weight <= 0 ||
      now < next_fragmentation_log_) {
    return;
  }
  next_fragmentation_log_ = now + kFragmentationLogIntervalSeconds;
  const Rebalancer* rebalancer = modules_.rebalancing.rebalancer();
  const FragmentationCount count =
      modules_.fragmentation.Count(modules_.cluster.machines());
  if (count.accelerators <= 0) return;
  const auto rounded = [](double accelerators) {
    return static_cast<int64_t>(std::llround(accelerators));
  };
  LogFields fields = {{"accelerators", rounded(count.accelerators)},
                      {"free", rounded(count.free)},
                      {"useless", rounded(count.unusable)},
                      {"whole_machines", count.whole},
                      {"fragmented_machines", count.fragmented}};
  if (rebalancer != nullptr) {
    fields.emplace_back("moves_settled", rebalancer->settled());
    fields.emplace_back("moves_abandoned", rebalancer->given_up());
  }
  modules_.context.Log("fragmentation of accelerators", std::move(fields));
}

void Leader::Tick(Time now, bool by_lease) {
  modules_.liveness.CountSilentMachines(now);
  modules_.worker_leases.BeginTick();
  for (const auto& machine : modules_.cluster.machines()) {
    if (machine->state() == MachineState::kDeleted) continue;
    if (by_lease) modules_.worker_leases.ExpireIfLeaseEnded(*machine, now);
    modules_.machine_lifecycle.TickMachine(*machine, now);
  }
  modules_.worker_leases.EndTick(now);
  modules_.liveness.StartSurveys(now);
  modules_.autoscaler.TickRequests(now);
  modules_.rollout_manager.TickRollouts(now);
  modules_.rebalancing.TickMoves(modules_.scheduler.waiting_accelerator_jobs(),
                                 now);
  modules_.reconciler.TickReconciliation(now);
  modules_.autoscaler.ExpireRefusals(now);
  if (modules_.autoscaler.IsDue(now)) RunPeriodicWork(now);
  modules_.scheduler.OnTick(now);
  ScheduleAndFlush(now);
}

void Leader::RunPeriodicWork(Time now) {
  modules_.tier_manager.UpdateTierUsage();
  modules_.dependencies.PollDependencies(now);
  modules_.autoscaler.RunAutoscaler(now);
  modules_.autoscaler.SetNextRun(
      now + modules_.context.settings.workers.heartbeat_interval_seconds);
  modules_.maintenance.TickCalendar(now);
  for (const auto& [id, job] : modules_.cluster.jobs()) {
    modules_.job_lifecycle.RetireIfClear(*job);
  }
  LogFragmentation(now);
  // A scheduling pass may be due for reasons that no event announces: a job's
  // back-off is over, a reservation has expired, or a machine is no longer
  // suspect.
  modules_.cluster.MarkChanged();
}

void Leader::ScheduleAndFlush(Time now) {
  modules_.scheduler.ScheduleIfNeeded(now);
  modules_.writes.Flush(now);
}

void Leader::OnTypes(const std::vector<MachineType>& types) {
  modules_.cluster.SetMachineTypes(types);
}

void Leader::SetTiers(std::shared_ptr<const TierSet> set) {
  modules_.tier_manager.SetTiers(std::move(set));
}

void Leader::EnableReplicaMoves(const MoveCodec& codec, Time now) {
  modules_.rebalancing.EnableReplicaMoves(codec, now);
}

void Leader::OnJobRecord(const std::string& id, Time now) {
  modules_.job_lifecycle.OnJobRecord(id, now);
}

void Leader::OnWaitingRecord(const std::string& id, Time now) {
  modules_.dependencies.OnWaitingRecord(id, now);
}

void Leader::OnRolloutRecord(const std::string& id, Time now) {
  modules_.rollout_manager.OnRolloutRecord(id, now);
}

void Leader::OnMaintenanceWindow(const MaintenanceWindow& booking,
                                 uint64_t version, Time now) {
  modules_.maintenance.OnMaintenanceWindow(booking, version, now);
}

void Leader::OnMaintenanceWindowWithdrawn(const std::string& id,
                                          uint64_t version, Time now) {
  modules_.maintenance.OnMaintenanceWindowWithdrawn(id, version, now);
}

void Leader::OnReadAnswer(uint64_t id, bool succeeded, Time now) {
  modules_.writes.OnRead(id, succeeded, now);
}

void Leader::OnFenceRead(uint64_t number, FenceReadResult result, Time now) {
  modules_.writes.OnFenceRead(number, result, now);
}

void Leader::OnTerminalStateRead(const std::string& id, Time now) {
  modules_.dependencies.OnTerminalStateRead(id, now);
}

void Leader::OnUnrecordedTerminalStates(
    std::vector<UnrecordedTerminalState> states, bool complete) {
  modules_.reconciler.OnUnrecordedTerminalStates(std::move(states), complete);
}

void Leader::OnHealthCheckResult(const std::string& rollout,
                                 const TaskAttemptKey& key,
                                 const CheckOutcome& outcome, Time now) {
  modules_.rollout_manager.OnHealthCheckResult(rollout, key, outcome, now);
}

void Leader::OnScaleOutResponse(const std::string& name,
                                ScaleOutOutcome outcome,
                                const std::vector<std::string>& hosts,
                                Time now) {
  modules_.autoscaler.OnScaleOutResponse(name, outcome, hosts, now);
}

void Leader::OnDeleteAnswer(const std::vector<std::string>& hosts,
                            bool succeeded, Time now) {
  modules_.machine_lifecycle.OnDeleteAnswer(hosts, succeeded, now);
}

void Leader::OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                           Time now) {
  modules_.machine_lifecycle.OnMachineList(list, asked, now);
}

void Leader::OnTransferRejected(const std::string& why, Time now) {
  modules_.liveness.OnTransferRejected(why, now);
}

bool Leader::OnDelegationRequested(const std::string& peer,
                                   const std::string& process_incarnation,
                                   double age, Time now) {
  return modules_.worker_leases.OnDelegationRequested(peer, process_incarnation,
                                                      age, now);
}

void Leader::OnLeaseYielded(const std::string& peer,
                            const std::string& process_incarnation, double age,
                            double renewed_ago, Time sent, Time now) {
  modules_.worker_leases.delegated_leases().LeaseYielded(
      peer, process_incarnation, age, renewed_ago, sent, now);
}

void Leader::OnDelegatesRead(const std::set<std::string>& recorded, Time sent,
                             Time now) {
  modules_.worker_leases.delegated_leases().OnRecordsRead(recorded, sent, now);
}

bool Leader::Cancel(const std::string& id, Time now) {
  return modules_.job_lifecycle.Cancel(id, now);
}

void Leader::OnClockReading(const WallReading& reading, Time confirmed,
                            Time now) {
  modules_.maintenance.OnClockReading(reading, confirmed, now);
}

bool Leader::AllMachinesAccountedFor() const {
  return modules_.cluster.AllMachinesAccountedFor();
}

bool Leader::ZoneMayBeDelegated(const std::string& zone, Time now) const {
  return modules_.worker_leases.ZoneMayBeDelegated(zone, now);
}

std::optional<AdmissionDecision> Leader::CalendarAdmission(
    const std::string& id, Time now) const {
  return modules_.maintenance.CalendarAdmission(id, now);
}

std::vector<std::string> Leader::DescribeWaitingJobs() const {
  return modules_.dependencies.DescribeWaitingJobs();
}

const Rollout* Leader::FindRollout(const std::string& id) const {
  return modules_.rollout_manager.FindRollout(id);
}

const HeartbeatsReceived& Leader::heartbeats_received() const {
  return modules_.liveness.heartbeats_received();
}

const ClusterState::Machines& Leader::machines() const {
  return modules_.cluster.machines();
}

const Rebalancer* Leader::rebalancer() const {
  return modules_.rebalancing.rebalancer();
}

}  // namespace oxbow
