#include "core/rebalancing/rebalancing_manager.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"
#include "core/rebalancing/rebalancer.h"
#include "core/rebalancing/rebalancing_plan.h"

namespace oxbow {
namespace {

constexpr std::string_view kPrefix = "move/";

// Shares of a worker lease. A large one that has just come may find its place
// without a move; a replica that has just started is not worth another start.
constexpr double kWaitsLeases = 0.5;
constexpr double kSettledLeases = 1;
// About how long a fragmented machine takes to empty by itself.
constexpr double kHorizonLeases = 3;

// Records the claim of a move before anything is moved.
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
  // What is wanted may change while the store does not answer.
  bool ReplacesQueued() const override { return true; }

  BuildResult Build(CompareAndSwap* txn) const override {
    const auto& recorded = context_.catalog.operators();
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


RebalancingManager::RebalancingManager(LeaderContext& context, const Modules& modules) : context_(context), settings_(context.settings), tuning_(context.tuning), catalog_(context.catalog), cluster_(context.cluster), writes_(context.writes), liveness_(context.liveness), fragmentation_(context.fragmentation), machine_health_(modules.machine_health), dispatcher_(modules.dispatcher), rollout_manager_(modules.rollout_manager) {}

void RebalancingManager::UseMoves(const MoveCodec& codec, Time now) {
  if (tuning_.moves_at_once < 1 || tuning_.fragmentation_weight <= 0) return;
  move_codec_ = codec;
  MoveLimits limits;
  limits.at_once = static_cast<int>(tuning_.moves_at_once);
  limits.budget = static_cast<int>(tuning_.moves_budget);
  limits.service_share = tuning_.moves_service_share;
  limits.zone_share = tuning_.moves_zone_share;
  limits.team_share = tuning_.moves_team_share;
  limits.cool_leases = tuning_.moves_cool_leases;
  limits.lease_seconds = settings_.workers.lease_seconds;
  limits.heartbeat_interval_seconds =
      settings_.workers.heartbeat_interval_seconds;
  rebalancer_.emplace(limits);
  for (const auto& [name, record] : catalog_.operators()) {
    MoveClaim claim;
    if (!name.starts_with(kPrefix) || record.withdrawn ||
        !move_codec_.read(record.text, &claim) ||
        name != std::string(kPrefix) + claim.id) {
      continue;
    }
    rebalancer_->Restore(claim, context_.wall_minus_steady, now);
  }
}

void RebalancingManager::OnMoveRecord(const std::string& name, Time now) {
  if (!rebalancer_ || !name.starts_with(kPrefix)) return;
  const std::string id = name.substr(kPrefix.size());
  const auto move = rebalancer_->moves().find(id);
  const auto record = catalog_.operators().find(name);
  if (move == rebalancer_->moves().end() ||
      move->second.state != ReplicaMoveState::kPlanned) {
    return;
  }
  // The watch may bring an older version meanwhile; the write's own outcome
  // comes last. What stands in its place by then is not this claim.
  const bool stands =
      record != catalog_.operators().end() && !record->second.withdrawn &&
      record->second.text == move_codec_.write(move->second.claim);
  if (stands) rebalancer_->Recorded(id, now);
}

uint32_t RebalancingManager::CountConfirmedRunning(const Job& job, Time now) const {
  uint32_t n = 0;
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const TaskAttempt& attempt = machine->task_attempts.at(key);
    n += attempt.phase == TaskPhase::kRunning && !attempt.stopping &&
         cluster_.IsCurrent(*machine, attempt) && machine_health_.Usable(*machine, now);
  }
  return n;
}

ReplicaMoveObservation RebalancingManager::ObservationOf(const Rebalancer::Move& move,
                                             Time now) {
  ReplicaMoveObservation observation;
  const MoveClaim& claim = move.claim;
  const auto it = cluster_.jobs().find(claim.job);
  if (it == cluster_.jobs().end() || !it->second->live()) return observation;
  const Job& job = *it->second;
  const JobSpec& spec = job.spec();
  observation.live = true;
  observation.wants = rollout_manager_.StartableTasks(job) > 0;
  const TaskAttemptKey key{claim.job, claim.task, claim.attempt};
  Machine* from = cluster_.FindMachine(claim.from);
  if (from != nullptr) {
    const auto r = from->task_attempts.find(key);
    if (r != from->task_attempts.end() &&
        r->second.phase != TaskPhase::kExited) {
      observation.on_source = true;
      observation.runs = r->second.phase == TaskPhase::kRunning &&
                         !r->second.stopping &&
                         cluster_.IsCurrent(*from, r->second);
    }
    observation.source_good = machine_health_.Usable(*from, now);
  }
  Machine* to = cluster_.FindMachine(claim.to);
  if (to != nullptr) {
    for (auto r = to->task_attempts.lower_bound({claim.job, 0, 0});
         r != to->task_attempts.end() && r->first.job_id == claim.job; ++r) {
      // Another replica may have been there before.
      if (r->second.phase == TaskPhase::kExited ||
          r->second.started < move.stopped) {
        continue;
      }
      observation.on_target = true;
      observation.runs_on_target = r->second.phase == TaskPhase::kRunning;
    }
    ZoneSpread where = cluster_.ZoneSpreadOf(job);
    if (observation.on_source) where.Add(from->zone, -1);
    observation.target_good =
        observation.on_target
            ? to->state() == MachineState::kUp
            : machine_health_.Usable(*to, now) && Allowed(spec, *to, where) &&
                  spec.need.FitsIn(to->CapacityFor(&job, spec.priority));
  }
  const auto waiting = cluster_.jobs().find(claim.for_job);
  observation.wanted = waiting != cluster_.jobs().end() &&
                       waiting->second->live() &&
                       rollout_manager_.StartableTasks(*waiting->second) > 0;
  // A restored one moves nothing any more.
  if (move.state != ReplicaMoveState::kClaimed) return observation;
  const auto down = static_cast<uint32_t>(rebalancer_->Down(claim.job));
  observation.whole = cluster_.AllMachinesAccountedFor() &&
                      CountConfirmedRunning(job, now) + down >= job.size();
  // The limiter counts what it allows, so it is asked last.
  observation.allowed = observation.wanted && observation.runs &&
                        observation.target_good && observation.source_good &&
                        observation.whole && rollout_manager_.RolloutOf(job) == nullptr &&
                        rollout_manager_.DisruptionAllowed(key, job, now) &&
                        liveness_.LossAllowed(*from, LossCause::kMoved, now);
  return observation;
}

void RebalancingManager::StepMoves(Time now) {
  std::vector<std::string> ids;
  for (const auto& [id, move] : rebalancer_->moves()) {
    if (!Ended(move.state)) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const Rebalancer::Move& move = rebalancer_->moves().at(id);
    const ReplicaMoveState before = move.state;
    const ReplicaMoveAction act =
        rebalancer_->Step(id, ObservationOf(move, now), now);
    const MoveClaim& claim = move.claim;
    if (move.state != before) {
      context_.Log("move " + id + " of " + claim.job + "/" + std::to_string(claim.task) +
          " from " + claim.from + " to " + claim.to + " for " + claim.for_job +
          ": " + std::string(NameOf(move.state)) +
          (move.why.empty() ? "" : ", " + std::string(move.why)));
    }
    if (act != ReplicaMoveAction::kStop) continue;
    Machine* from = cluster_.FindMachine(claim.from);
    const auto r =
        from->task_attempts.find({claim.job, claim.task, claim.attempt});
    const JobSpec& spec = r->second.job->spec();
    dispatcher_.QueueStop(*from, r->second,
              spec.checkpoint_seconds > 0 ? spec.save_seconds : 0, now);
  }
  rebalancer_->Forget(now);
}

void RebalancingManager::TickMoves(const std::vector<std::string>& large_waiting, Time now) {
  if (!rebalancer_ || now < next_moves_) return;
  next_moves_ = now + settings_.workers.heartbeat_interval_seconds / 4;
  StepMoves(now);
  if (now < next_move_plan_ || !cluster_.AllMachinesAccountedFor() ||
      rebalancer_->under_way() >= static_cast<int>(tuning_.moves_at_once) ||
      liveness_.leader_health() != LeaderHealthState::kHealthy) {
    return;
  }
  next_move_plan_ = now + settings_.workers.heartbeat_interval_seconds;
  for (const std::string& id : large_waiting) {
    const auto it = cluster_.jobs().find(id);
    if (it == cluster_.jobs().end() || !it->second->live() ||
        rollout_manager_.StartableTasks(*it->second) == 0 ||
        now - it->second->queued_since() <
            kWaitsLeases * settings_.workers.lease_seconds) {
      continue;
    }
    const int before = rebalancer_->under_way();
    PlanMovesFor(*it->second, now);
    if (rebalancer_->under_way() > before) return;
  }
}

void RebalancingManager::PlanMovesFor(const Job& waiting, Time now) {
  std::vector<Machine*> usable;
  for (auto& machine : cluster_.machines()) {
    if (machine->state() != MachineState::kGone && machine_health_.Usable(*machine, now) &&
        !DrainedByMove(*machine)) {
      usable.push_back(machine.get());
    }
  }
  const double lease = settings_.workers.lease_seconds;
  MovePlanInput input;
  input.fragmentation = &fragmentation_;
  input.usable = usable;
  input.waiting = &waiting.spec();
  input.missing = rollout_manager_.StartableTasks(waiting);
  input.most = static_cast<size_t>(std::max(
      0, static_cast<int>(tuning_.moves_at_once) - rebalancer_->under_way()));
  input.settled_seconds = kSettledLeases * lease;
  input.disturbance_seconds = 2 * settings_.workers.heartbeat_interval_seconds;
  input.horizon_seconds = kHorizonLeases * lease;
  input.now = now;
  input.where = [this](const Job& job) { return cluster_.ZoneSpreadOf(job); };
  input.may_leave = [&](const TaskAttempt& attempt) {
    return attempt.job->live() && rollout_manager_.RolloutOf(*attempt.job) == nullptr &&
           rollout_manager_.DisruptionAllowed(KeyOf(attempt), *attempt.job, now) &&
           CountConfirmedRunning(*attempt.job, now) == attempt.job->size();
  };
  input.may_go = [&](const TaskAttempt& attempt, const Machine& to,
                     bool fetches) {
    // The loss of the target must not take the service.
    return cluster_.CountOn(*attempt.job, to) <
               ReplicasPerMachineLimit(attempt.job->size()) &&
           rebalancer_->MayBegin(attempt.job_id, attempt.job->size(),
                                 attempt.job->spec().team, to.host(), to.zone,
                                 fetches, now);
  };
  const std::vector<PlannedMove> plan = PlanMoves(input);
  // One machine's moves together, or none of them.
  for (size_t i = 0; i < plan.size();) {
    Rebalancer trial = *rebalancer_;
    std::vector<MoveClaim> claims;
    const Machine* from = plan[i].from;
    bool all = true;
    for (; i < plan.size() && plan[i].from == from; ++i) {
      const PlannedMove& move = plan[i];
      const JobSpec& spec = cluster_.jobs().at(move.leg.job_id)->spec();
      MoveClaim claim;
      claim.job = move.leg.job_id;
      claim.task = move.leg.task;
      claim.attempt = move.leg.attempt;
      claim.from = from->host();
      claim.to = move.to->host();
      claim.for_job = waiting.id();
      std::optional<MoveClaim> begun;
      if (trial.MayBegin(claim.job, spec.tasks, spec.team, claim.to,
                         move.to->zone, move.fetch_seconds > 0, now)) {
        begun = trial.Begin(claim, move.to->zone, spec.team, move.fetch_seconds,
                            context_.wall_minus_steady, now);
      }
      all = all && begun;
      if (begun) claims.push_back(*begun);
    }
    if (!all) continue;
    *rebalancer_ = std::move(trial);
    for (const MoveClaim& claim : claims) {
      const std::string name = std::string(kPrefix) + claim.id;
      const auto known = catalog_.operators().find(name);
      OperatorRecord record;
      record.kind = "move";
      record.text = move_codec_.write(claim);
      record.version =
          known == catalog_.operators().end() ? 1 : known->second.version + 1;
      record.author = settings_.node;
      record.changed_wall = now + context_.wall_minus_steady;
      writes_.Enqueue(std::make_unique<RecordMoveClaimOperation>(
          context_, *this, name, std::move(record)));
    }
  }
}

void RebalancingManager::ReserveMoveTargets(Time now) {
  if (!rebalancer_) return;
  for (const auto& [id, move] : rebalancer_->moves()) {
    if (move.state != ReplicaMoveState::kClaimed &&
        move.state != ReplicaMoveState::kStopping) {
      continue;
    }
    Machine* to = cluster_.FindMachine(move.claim.to);
    const auto it = cluster_.jobs().find(move.claim.job);
    if (to == nullptr || it == cluster_.jobs().end() || !it->second->live())
      continue;
    Job* job = it->second.get();
    const bool held = std::any_of(
        to->reservations.begin(), to->reservations.end(),
        [&](const Reservation& reservation) { return reservation.job == job; });
    if (held) continue;
    to->reservations.push_back({job, job->spec().need, job->spec().priority,
                                std::max(now, move.until)});
  }
}

Machine* RebalancingManager::ReservedByMove(const Job& job, const ZoneSpread& where,
                                Time now) {
  const std::string* host =
      rebalancer_ ? rebalancer_->TargetFor(job.id()) : nullptr;
  Machine* machine = host == nullptr ? nullptr : cluster_.FindMachine(*host);
  if (machine == nullptr || !machine_health_.Usable(*machine, now) ||
      !Allowed(job.spec(), *machine, where) ||
      !job.spec().need.FitsIn(
          machine->CapacityFor(&job, job.spec().priority))) {
    return nullptr;
  }
  return machine;
}

}  // namespace oxbow
