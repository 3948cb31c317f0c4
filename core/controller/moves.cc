// Moves on the leader: what they see, which are planned, and how their claims
// are recorded. What is stopped here is placed again as any other replica.

#include "core/moves/moves.h"

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"
#include "core/moves/plan.h"

namespace oxbow {
namespace {

constexpr std::string_view kPrefix = "move/";

// Shares of a worker lease. A large one that has just come may find its place
// without a move; a replica that has just started is not worth another start.
constexpr double kWaitsLeases = 0.5;
constexpr double kSettledLeases = 1;
// About how long a fragmented machine takes to empty by itself.
constexpr double kHorizonLeases = 3;

}  // namespace

void Controller::UseMoves(const MoveCodec& codec, Time now) {
  if (tuning_.moves_at_once < 1 || tuning_.fragmentation_weight <= 0) return;
  move_codec_ = codec;
  MoveLimits limits;
  limits.at_once = static_cast<int>(tuning_.moves_at_once);
  limits.budget = static_cast<int>(tuning_.moves_budget);
  limits.service_share = tuning_.moves_service_share;
  limits.zone_share = tuning_.moves_zone_share;
  limits.team_share = tuning_.moves_team_share;
  limits.cool_leases = tuning_.moves_cool_leases;
  limits.lease_s = settings_.workers.lease_s;
  limits.report_s = settings_.workers.report_s;
  mover_.emplace(limits);
  for (const auto& [name, record] : catalog_.operators()) {
    MoveClaim claim;
    if (!name.starts_with(kPrefix) || record.withdrawn ||
        !move_codec_.read(record.text, &claim) ||
        name != std::string(kPrefix) + claim.id) {
      continue;
    }
    mover_->Restore(claim, wall_minus_steady_, now);
  }
}

void Controller::OnMoveRecord(const std::string& name, Time now) {
  if (!mover_ || !name.starts_with(kPrefix)) return;
  const std::string id = name.substr(kPrefix.size());
  const auto move = mover_->moves().find(id);
  const auto record = catalog_.operators().find(name);
  if (move == mover_->moves().end() ||
      move->second.state != MoveState::kPlanned) {
    return;
  }
  // The watch may bring an older version meanwhile; the write's own outcome
  // comes last. What stands in its place by then is not this claim.
  const bool stands =
      record != catalog_.operators().end() && !record->second.withdrawn &&
      record->second.text == move_codec_.write(move->second.claim);
  if (stands) mover_->Recorded(id, now);
}

uint32_t Controller::RunSurely(const Job& job, Time now) const {
  uint32_t n = 0;
  for (const auto& [m, key] : ResidentsOf(job)) {
    const Resident& r = m->residents.at(key);
    n += r.phase == TaskPhase::kRunning && !r.stopping && IsCurrent(*m, r) &&
         Usable(*m, now);
  }
  return n;
}

MoveSight Controller::SightOf(const Mover::Move& move, Time now) {
  MoveSight sight;
  const MoveClaim& claim = move.claim;
  const auto it = jobs_.find(claim.job);
  if (it == jobs_.end() || !it->second->live()) return sight;
  const Job& job = *it->second;
  const JobSpec& spec = job.spec();
  sight.live = true;
  sight.wants = Wanted(job) > 0;
  const ResidentKey key{claim.job, claim.task, claim.attempt};
  Machine* from = FindMachine(claim.from);
  if (from != nullptr) {
    const auto r = from->residents.find(key);
    if (r != from->residents.end() && r->second.phase != TaskPhase::kExited) {
      sight.on_source = true;
      sight.runs = r->second.phase == TaskPhase::kRunning &&
                   !r->second.stopping && IsCurrent(*from, r->second);
    }
    sight.source_good = Usable(*from, now);
  }
  Machine* to = FindMachine(claim.to);
  if (to != nullptr) {
    for (auto r = to->residents.lower_bound({claim.job, 0, 0});
         r != to->residents.end() && r->first.job_id == claim.job; ++r) {
      // Another replica may have been there before.
      if (r->second.phase == TaskPhase::kExited ||
          r->second.started < move.stopped) {
        continue;
      }
      sight.on_target = true;
      sight.runs_on_target = r->second.phase == TaskPhase::kRunning;
    }
    Footprint where = Where(job);
    if (sight.on_source) where.Add(from->zone, -1);
    sight.target_good =
        sight.on_target
            ? to->state() == MachineState::kUp
            : Usable(*to, now) && Allowed(spec, *to, where) &&
                  spec.need.FitsIn(to->RoomFor(&job, spec.priority));
  }
  const auto waiting = jobs_.find(claim.for_job);
  sight.wanted = waiting != jobs_.end() && waiting->second->live() &&
                 Wanted(*waiting->second) > 0;
  // A restored one moves nothing any more.
  if (move.state != MoveState::kClaimed) return sight;
  const auto down = static_cast<uint32_t>(mover_->Down(claim.job));
  sight.whole = AllAccounted() && RunSurely(job, now) + down >= job.size();
  // The limiter counts what it allows, so it is asked last.
  sight.allowed = sight.wanted && sight.runs && sight.target_good &&
                  sight.source_good && sight.whole &&
                  RolloutOf(job) == nullptr && FloorAllows(key, job, now) &&
                  liveness_.LossAllowed(*from, LossCause::kMoved, now);
  return sight;
}

void Controller::StepMoves(Time now) {
  std::vector<std::string> ids;
  for (const auto& [id, move] : mover_->moves()) {
    if (!Ended(move.state)) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const Mover::Move& move = mover_->moves().at(id);
    const MoveState before = move.state;
    const MoveAct act = mover_->Step(id, SightOf(move, now), now);
    const MoveClaim& claim = move.claim;
    if (move.state != before) {
      Log("move " + id + " of " + claim.job + "/" + std::to_string(claim.task) +
          " from " + claim.from + " to " + claim.to + " for " + claim.for_job +
          ": " + std::string(NameOf(move.state)) +
          (move.why.empty() ? "" : ", " + std::string(move.why)));
    }
    if (act != MoveAct::kStop) continue;
    Machine* from = FindMachine(claim.from);
    const auto r = from->residents.find({claim.job, claim.task, claim.attempt});
    const JobSpec& spec = r->second.job->spec();
    QueueStop(*from, r->second, spec.checkpoint_s > 0 ? spec.save_s : 0, now);
  }
  mover_->Forget(now);
}

void Controller::TickMoves(Time now) {
  if (!mover_ || now < next_moves_) return;
  next_moves_ = now + settings_.workers.report_s / 4;
  StepMoves(now);
  if (now < next_move_plan_ || !AllAccounted() ||
      mover_->under_way() >= static_cast<int>(tuning_.moves_at_once) ||
      liveness_.leader_health() != LeaderHealthState::kHealthy) {
    return;
  }
  next_move_plan_ = now + settings_.workers.report_s;
  for (const std::string& id : large_waiting_) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second->live() || Wanted(*it->second) == 0 ||
        now - it->second->queued_since() <
            kWaitsLeases * settings_.workers.lease_s) {
      continue;
    }
    const int before = mover_->under_way();
    PlanMovesFor(*it->second, now);
    if (mover_->under_way() > before) return;
  }
}

void Controller::PlanMovesFor(const Job& waiting, Time now) {
  std::vector<Machine*> usable;
  for (auto& m : machines_) {
    if (m->state() != MachineState::kGone && Usable(*m, now) &&
        !DrainedByMove(*m)) {
      usable.push_back(m.get());
    }
  }
  const double lease = settings_.workers.lease_s;
  MovePlanInput input;
  input.fragmentation = &fragmentation_;
  input.usable = usable;
  input.waiting = &waiting.spec();
  input.missing = Wanted(waiting);
  input.most = static_cast<size_t>(std::max(
      0, static_cast<int>(tuning_.moves_at_once) - mover_->under_way()));
  input.settled_s = kSettledLeases * lease;
  input.disturbance_s = 2 * settings_.workers.report_s;
  input.horizon_s = kHorizonLeases * lease;
  input.now = now;
  input.where = [this](const Job& job) { return Where(job); };
  input.may_leave = [&](const Resident& r) {
    return r.job->live() && RolloutOf(*r.job) == nullptr &&
           FloorAllows(KeyOf(r), *r.job, now) &&
           RunSurely(*r.job, now) == r.job->size();
  };
  input.may_go = [&](const Resident& r, const Machine& to, bool fetches) {
    // The loss of the target must not take the service.
    return CountOn(*r.job, to) < GatherLimit(r.job->size()) &&
           mover_->MayBegin(r.job_id, r.job->size(), r.job->spec().team,
                            to.host(), to.zone, fetches, now);
  };
  const std::vector<PlannedMove> plan = PlanMoves(input);
  // One machine's moves together, or none of them.
  for (size_t i = 0; i < plan.size();) {
    Mover trial = *mover_;
    std::vector<MoveClaim> claims;
    const Machine* from = plan[i].from;
    bool all = true;
    for (; i < plan.size() && plan[i].from == from; ++i) {
      const PlannedMove& move = plan[i];
      const JobSpec& spec = jobs_.at(move.leg.job_id)->spec();
      MoveClaim claim;
      claim.job = move.leg.job_id;
      claim.task = move.leg.task;
      claim.attempt = move.leg.attempt;
      claim.from = from->host();
      claim.to = move.to->host();
      claim.for_job = waiting.id();
      std::optional<MoveClaim> begun;
      if (trial.MayBegin(claim.job, spec.tasks, spec.team, claim.to,
                         move.to->zone, move.fetch_s > 0, now)) {
        begun = trial.Begin(claim, move.to->zone, spec.team, move.fetch_s,
                            wall_minus_steady_, now);
      }
      all = all && begun;
      if (begun) claims.push_back(*begun);
    }
    if (!all) continue;
    *mover_ = std::move(trial);
    for (const MoveClaim& claim : claims) {
      const std::string name = std::string(kPrefix) + claim.id;
      const auto known = catalog_.operators().find(name);
      auto record = std::make_shared<OperatorRecord>();
      record->kind = "move";
      record->text = move_codec_.write(claim);
      record->version =
          known == catalog_.operators().end() ? 1 : known->second.version + 1;
      record->author = settings_.node;
      record->changed_wall = now + wall_minus_steady_;
      WriteOp op{WriteKind::kOperator, name};
      op.record = std::move(record);
      writes_.Queue(std::move(op));
    }
  }
}

void Controller::HoldClaims(Time now) {
  if (!mover_) return;
  for (const auto& [id, move] : mover_->moves()) {
    if (move.state != MoveState::kClaimed &&
        move.state != MoveState::kStopping) {
      continue;
    }
    Machine* to = FindMachine(move.claim.to);
    const auto it = jobs_.find(move.claim.job);
    if (to == nullptr || it == jobs_.end() || !it->second->live()) continue;
    Job* job = it->second.get();
    const bool held =
        std::any_of(to->reservations.begin(), to->reservations.end(),
                    [&](const Reservation& r) { return r.job == job; });
    if (held) continue;
    to->reservations.push_back({job, job->spec().need, job->spec().priority,
                                std::max(now, move.until)});
  }
}

Machine* Controller::HeldByMove(const Job& job, const Footprint& where,
                                Time now) {
  const std::string* host = mover_ ? mover_->TargetFor(job.id()) : nullptr;
  Machine* m = host == nullptr ? nullptr : FindMachine(*host);
  if (m == nullptr || !Usable(*m, now) || !Allowed(job.spec(), *m, where) ||
      !job.spec().need.FitsIn(m->RoomFor(&job, job.spec().priority))) {
    return nullptr;
  }
  return m;
}

}  // namespace oxbow
