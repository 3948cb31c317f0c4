#include "core/rebalancing/rebalancing_manager.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"

namespace oxbow {
namespace {

// Claims are stored as operators' records whose names have this prefix.
constexpr std::string_view kRecordPrefix = "move/";
constexpr const char* kRecordKind = "move";

// In worker leases. A job that has just arrived may be placed without a move,
// and a replica that has just started should not be restarted so soon.
constexpr double kMinWaitLeases = 0.5;
constexpr double kMinRunLeases = 1;
// Approximate time for a fragmented machine to become empty by itself, in
// worker leases.
constexpr double kHorizonLeases = 3;
// Downtime of a replica that is moved without an image fetch, in heartbeat
// intervals.
constexpr double kDisturbanceHeartbeats = 2;
// Moves are advanced this many times per heartbeat interval.
constexpr double kAdvancesPerHeartbeat = 4;

std::string RecordName(const std::string& id) {
  return std::string(kRecordPrefix) + id;
}

// Records the claim of a move before its replica is stopped.
class RecordMoveClaimOperation : public StoreOperation {
 public:
  RecordMoveClaimOperation(LeaderContext& context,
                           RebalancingManager& rebalancing, std::string name,
                           OperatorRecord record)
      : StoreOperation(std::move(name)),
        context_(context),
        rebalancing_(rebalancing),
        record_(std::move(record)) {}

  std::string_view kind() const override { return "record move"; }
  // While the store does not answer, a later claim may replace a queued one.
  bool ReplacesQueued() const override { return true; }

  BuildResult Build(CompareAndSwap* txn) const override {
    const auto& recorded = context_.catalog.operator_records();
    const auto it = recorded.find(name());
    const bool known = it != recorded.end();
    if (known && it->second.version >= record_.version) {
      return BuildResult::kNothingToDo;
    }
    const std::string key = keys::Of(keys::kOperator, name());
    txn->preconditions.push_back({key, known ? it->second.mod_revision : 0});
    txn->mutations.push_back({key, record_});
    return BuildResult::kAdded;
  }

  void OnRecorded(uint64_t revision, Time now) override {
    if (revision > 0) {
      context_.catalog.Put(keys::Of(keys::kOperator, name()), record_,
                           revision);
    }
    rebalancing_.OnMoveRecord(name(), now);
    context_.cluster.MarkChanged();
    context_.schedule_if_needed(now);
  }

 private:
  LeaderContext& context_;
  RebalancingManager& rebalancing_;
  const OperatorRecord record_;
};

}  // namespace

RebalancingManager::RebalancingManager(LeaderContext& context,
                                       const Modules& modules)
    : context_(context),
      settings_(context.settings),
      tuning_(context.tuning),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      liveness_(context.liveness),
      fragmentation_(context.fragmentation),
      machine_health_(modules.machine_health),
      dispatcher_(modules.dispatcher),
      rollout_manager_(modules.rollout_manager) {}

void RebalancingManager::EnableReplicaMoves(const MoveCodec& codec, Time now) {
  if (tuning_.moves_at_once < 1 || tuning_.fragmentation_weight <= 0) return;
  move_codec_ = codec;
  MoveLimits limits;
  limits.max_in_progress = static_cast<int>(tuning_.moves_at_once);
  limits.max_per_cooldown = static_cast<int>(tuning_.moves_budget);
  limits.service_share = tuning_.moves_service_share;
  limits.zone_share = tuning_.moves_zone_share;
  limits.team_share = tuning_.moves_team_share;
  limits.cooldown_leases = tuning_.moves_cool_leases;
  limits.lease_seconds = settings_.workers.lease_seconds;
  limits.heartbeat_interval_seconds =
      settings_.workers.heartbeat_interval_seconds;
  rebalancer_.emplace(limits);
  for (const auto& [name, record] : catalog_.operator_records()) {
    MoveClaim claim;
    if (!name.starts_with(kRecordPrefix) || record.withdrawn ||
        !move_codec_.read(record.text, &claim) ||
        name != RecordName(claim.id)) {
      continue;
    }
    rebalancer_->Restore(claim, context_.wall_minus_steady, now);
  }
}

void RebalancingManager::OnMoveRecord(const std::string& name, Time now) {
  if (!rebalancer_ || !name.starts_with(kRecordPrefix)) return;
  const std::string id = name.substr(kRecordPrefix.size());
  const auto move = rebalancer_->moves().find(id);
  const auto record = catalog_.operator_records().find(name);
  if (move == rebalancer_->moves().end() ||
      move->second.state != ReplicaMoveState::kPlanned) {
    return;
  }
  // The watch may deliver an older version of the record before the write
  // completes. Only a record with the same contents is this claim.
  const bool recorded =
      record != catalog_.operator_records().end() &&
      !record->second.withdrawn &&
      record->second.text == move_codec_.write(move->second.claim);
  if (recorded) rebalancer_->OnRecorded(id, now);
}

uint32_t RebalancingManager::CountConfirmedRunning(const Job& job,
                                                   Time now) const {
  uint32_t count = 0;
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const TaskAttempt& attempt = machine->task_attempts.at(key);
    count +=
        IsRunning(*machine, attempt) && machine_health_.Usable(*machine, now);
  }
  return count;
}

bool RebalancingManager::IsRunning(const Machine& machine,
                                   const TaskAttempt& attempt) {
  return attempt.phase == TaskPhase::kRunning && !attempt.stopping &&
         ClusterState::IsCurrent(machine, attempt);
}

bool RebalancingManager::HasUnplacedTasks(const std::string& job_id) const {
  const Job* job = cluster_.FindJob(job_id);
  return job != nullptr && job->live() &&
         rollout_manager_.StartableTasks(*job) > 0;
}

ReplicaMoveObservation RebalancingManager::Observe(const Rebalancer::Move& move,
                                                   Time now) {
  ReplicaMoveObservation observation;
  const MoveClaim& claim = move.claim;
  const Job* job = cluster_.FindJob(claim.job);
  if (job == nullptr || !job->live()) return observation;
  observation.service_live = true;
  observation.has_unplaced_replica = rollout_manager_.StartableTasks(*job) > 0;
  ObserveSource(claim, now, observation);
  ObserveTarget(move, *job, now, observation);
  observation.demand_remains = HasUnplacedTasks(claim.for_job);
  // Only a claimed move needs permission to stop its replica.
  if (move.state == ReplicaMoveState::kClaimed) {
    ObservePermission(claim, *job, now, observation);
  }
  return observation;
}

void RebalancingManager::ObserveSource(
    const MoveClaim& claim, Time now,
    ReplicaMoveObservation& observation) const {
  const Machine* source = cluster_.FindMachine(claim.from);
  if (source == nullptr) return;
  observation.source_usable = machine_health_.Usable(*source, now);
  const auto it =
      source->task_attempts.find({claim.job, claim.task, claim.attempt});
  if (it == source->task_attempts.end() ||
      it->second.phase == TaskPhase::kExited) {
    return;
  }
  observation.on_source = true;
  observation.running_on_source = IsRunning(*source, it->second);
}

void RebalancingManager::ObserveTarget(
    const Rebalancer::Move& move, const Job& job, Time now,
    ReplicaMoveObservation& observation) const {
  const Machine* target = cluster_.FindMachine(move.claim.to);
  if (target == nullptr) return;
  for (auto it = target->task_attempts.lower_bound({job.id(), 0, 0});
       it != target->task_attempts.end() && it->first.job_id == job.id();
       ++it) {
    const TaskAttempt& attempt = it->second;
    // Skip replicas that were on the target before the move.
    if (attempt.phase == TaskPhase::kExited ||
        attempt.started < move.stop_sent_at) {
      continue;
    }
    observation.on_target = true;
    observation.running_on_target = attempt.phase == TaskPhase::kRunning;
  }
  if (observation.on_target) {
    observation.target_usable = target->state() == MachineState::kUp;
    return;
  }
  const JobSpec& spec = job.spec();
  ZoneSpread zones = cluster_.ZoneSpreadOf(job);
  if (observation.on_source) {
    zones.Add(cluster_.FindMachine(move.claim.from)->zone, -1);
  }
  observation.target_usable =
      machine_health_.Usable(*target, now) &&
      ConstraintsAllow(spec, *target, zones) &&
      spec.need.FitsIn(target->CapacityFor(&job, spec.priority));
}

void RebalancingManager::ObservePermission(
    const MoveClaim& claim, const Job& job, Time now,
    ReplicaMoveObservation& observation) {
  const auto stopped =
      static_cast<uint32_t>(rebalancer_->StoppedReplicas(claim.job));
  observation.others_running =
      cluster_.AllMachinesAccountedFor() &&
      CountConfirmedRunning(job, now) + stopped >= job.size();
  // The loss limiter counts each loss that it allows, so it must be asked last.
  observation.stop_allowed =
      observation.demand_remains && observation.running_on_source &&
      observation.target_usable && observation.source_usable &&
      observation.others_running &&
      rollout_manager_.RolloutOf(job) == nullptr &&
      rollout_manager_.DisruptionAllowed({claim.job, claim.task, claim.attempt},
                                         job, now) &&
      liveness_.RemovalAllowed(*cluster_.FindMachine(claim.from),
                               RemovalCause::kConsolidated, now);
}

void RebalancingManager::AdvanceMoves(Time now) {
  std::vector<std::string> ids;
  for (const auto& [id, move] : rebalancer_->moves()) {
    if (!Ended(move.state)) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const Rebalancer::Move& move = rebalancer_->moves().at(id);
    const ReplicaMoveState before = move.state;
    const ReplicaMoveAction action =
        rebalancer_->Step(id, Observe(move, now), now);
    if (move.state != before) LogState(move);
    if (action == ReplicaMoveAction::kStop) StopReplica(move.claim, now);
  }
  rebalancer_->RemoveAfterCooldown(now);
}

void RebalancingManager::LogState(const Rebalancer::Move& move) {
  const MoveClaim& claim = move.claim;
  LogFields fields = {{"move", claim.id},
                      {"job", claim.job},
                      {"task", claim.task},
                      {"from", claim.from},
                      {"to", claim.to},
                      {"for_job", claim.for_job},
                      {"state", NameOf(move.state)}};
  if (move.reason != GiveUpReason::kNone) {
    fields.emplace_back("reason", NameOf(move.reason));
  }
  context_.Log("replica move changed state", std::move(fields));
}

void RebalancingManager::StopReplica(const MoveClaim& claim, Time now) {
  Machine* source = cluster_.FindMachine(claim.from);
  TaskAttempt& attempt =
      source->task_attempts.find({claim.job, claim.task, claim.attempt})
          ->second;
  const JobSpec& spec = attempt.job->spec();
  const double grace_seconds =
      spec.checkpoint_seconds > 0 ? spec.save_seconds : 0;
  dispatcher_.QueueStop(*source, attempt, grace_seconds, now);
}

void RebalancingManager::TickMoves(
    const std::vector<std::string>& waiting_accelerator_jobs, Time now) {
  if (!rebalancer_ || now < next_advance_) return;
  next_advance_ = now + settings_.workers.heartbeat_interval_seconds /
                            kAdvancesPerHeartbeat;
  AdvanceMoves(now);
  if (now < next_plan_ || !cluster_.AllMachinesAccountedFor() ||
      rebalancer_->in_progress() >= static_cast<int>(tuning_.moves_at_once) ||
      liveness_.leader_health() != LeaderHealthState::kHealthy) {
    return;
  }
  next_plan_ = now + settings_.workers.heartbeat_interval_seconds;
  for (const std::string& id : waiting_accelerator_jobs) {
    const Job* job = cluster_.FindJob(id);
    if (job == nullptr || !HasUnplacedTasks(id) ||
        now - job->queued_since() <
            kMinWaitLeases * settings_.workers.lease_seconds) {
      continue;
    }
    const int before = rebalancer_->in_progress();
    PlanMovesFor(*job, now);
    if (rebalancer_->in_progress() > before) return;
  }
}

void RebalancingManager::PlanMovesFor(const Job& waiting, Time now) {
  std::vector<Machine*> usable;
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() != MachineState::kDeleted &&
        machine_health_.Usable(*machine, now) && !DrainedByMove(*machine)) {
      usable.push_back(machine.get());
    }
  }
  MovePlanInput input = PlanInputFor(waiting, now);
  input.usable = usable;
  const std::vector<PlannedMove> plan = PlanMoves(input);
  // The moves off one machine are adjacent in the plan.
  for (auto first = plan.begin(); first != plan.end();) {
    const auto last = std::find_if(
        first, plan.end(),
        [&](const PlannedMove& move) { return move.from != first->from; });
    BeginAllOrNone({first, last}, waiting, now);
    first = last;
  }
}

MovePlanInput RebalancingManager::PlanInputFor(const Job& waiting,
                                               Time now) const {
  const double lease_seconds = settings_.workers.lease_seconds;
  MovePlanInput input;
  input.fragmentation = &fragmentation_;
  input.waiting = &waiting.spec();
  input.missing = rollout_manager_.StartableTasks(waiting);
  input.max_moves = static_cast<size_t>(std::max(
      0, static_cast<int>(tuning_.moves_at_once) - rebalancer_->in_progress()));
  input.min_run_seconds = kMinRunLeases * lease_seconds;
  input.disturbance_seconds =
      kDisturbanceHeartbeats * settings_.workers.heartbeat_interval_seconds;
  input.horizon_seconds = kHorizonLeases * lease_seconds;
  input.now = now;
  input.zone_spread = [this](const Job& job) {
    return cluster_.ZoneSpreadOf(job);
  };
  input.may_leave = [this, now](const TaskAttempt& replica) {
    return MayLeave(replica, now);
  };
  input.may_move_to = [this, now](const TaskAttempt& replica, const Machine& to,
                                  double fetch_seconds) {
    const Job& job = *replica.job;
    // The loss of the target machine must not take down the service.
    return ClusterState::CountOn(job, to) <
               ReplicasPerMachineLimit(job.size()) &&
           rebalancer_->MayBegin({replica.job_id, job.size(), job.spec().team,
                                  to.host(), to.zone, fetch_seconds},
                                 now);
  };
  return input;
}

bool RebalancingManager::MayLeave(const TaskAttempt& replica, Time now) const {
  const Job& job = *replica.job;
  return job.live() && rollout_manager_.RolloutOf(job) == nullptr &&
         rollout_manager_.DisruptionAllowed(KeyOf(replica), job, now) &&
         CountConfirmedRunning(job, now) == job.size();
}

void RebalancingManager::BeginAllOrNone(std::span<const PlannedMove> moves,
                                        const Job& waiting, Time now) {
  Rebalancer trial = *rebalancer_;
  std::vector<MoveClaim> claims;
  for (const PlannedMove& move : moves) {
    const JobSpec& spec = cluster_.jobs().at(move.replica.job_id)->spec();
    const MoveRequest request{move.replica.job_id, spec.tasks,
                              spec.team,           move.to->host(),
                              move.to->zone,       move.fetch_seconds};
    if (!trial.MayBegin(request, now)) return;
    MoveClaim claim;
    claim.job = move.replica.job_id;
    claim.task = move.replica.task;
    claim.attempt = move.replica.attempt;
    claim.from = move.from->host();
    claim.to = move.to->host();
    claim.for_job = waiting.id();
    const std::optional<MoveClaim> begun =
        trial.Begin(std::move(claim), request, context_.wall_minus_steady, now);
    if (!begun) return;
    claims.push_back(*begun);
  }
  *rebalancer_ = std::move(trial);
  for (const MoveClaim& claim : claims) RecordClaim(claim, now);
}

void RebalancingManager::RecordClaim(const MoveClaim& claim, Time now) {
  const std::string name = RecordName(claim.id);
  const auto earlier = catalog_.operator_records().find(name);
  OperatorRecord record;
  record.kind = kRecordKind;
  record.text = move_codec_.write(claim);
  record.version = earlier == catalog_.operator_records().end()
                       ? 1
                       : earlier->second.version + 1;
  record.author = settings_.node;
  record.changed_wall = now + context_.wall_minus_steady;
  writes_.Enqueue(std::make_unique<RecordMoveClaimOperation>(
      context_, *this, name, std::move(record)));
}

void RebalancingManager::ReserveMoveTargets(Time now) {
  if (!rebalancer_) return;
  for (const auto& [id, move] : rebalancer_->moves()) {
    if (move.state != ReplicaMoveState::kClaimed &&
        move.state != ReplicaMoveState::kStopping) {
      continue;
    }
    Machine* target = cluster_.FindMachine(move.claim.to);
    Job* job = cluster_.FindJob(move.claim.job);
    if (target == nullptr || job == nullptr || !job->live()) continue;
    const bool reserved = std::any_of(
        target->reservations.begin(), target->reservations.end(),
        [&](const Reservation& reservation) { return reservation.job == job; });
    if (reserved) continue;
    target->reservations.push_back({job, job->spec().need, job->spec().priority,
                                    std::max(now, move.ends_at)});
  }
}

Machine* RebalancingManager::ReservedByMove(const Job& job,
                                            const ZoneSpread& zones, Time now) {
  if (!rebalancer_) return nullptr;
  const std::string* host = rebalancer_->TargetFor(job.id());
  if (host == nullptr) return nullptr;
  Machine* machine = cluster_.FindMachine(*host);
  const JobSpec& spec = job.spec();
  if (machine == nullptr || !machine_health_.Usable(*machine, now) ||
      !ConstraintsAllow(spec, *machine, zones) ||
      !spec.need.FitsIn(machine->CapacityFor(&job, spec.priority))) {
    return nullptr;
  }
  return machine;
}

}  // namespace oxbow
