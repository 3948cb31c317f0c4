#include "core/autoscaler/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "core/autoscaler/quiescence.h"
#include "core/autoscaler/scale_out_operations.h"
#include "core/dependencies/dependency_coordinator.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/priority_tiers/tier_manager.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"
#include "core/worker_sessions/machine_lifecycle.h"

namespace oxbow {
namespace {

using enum ScaleOutState;

constexpr std::array kScaleOutTransitions = {
    std::pair{kRecording, kRequesting},
    std::pair{kRequesting, kSettled},
};

}  // namespace

Autoscaler::Autoscaler(LeaderContext& context, const Modules& modules)
    : context_(context),
      settings_(context.settings),
      tuning_(context.tuning),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      run_times_(context.run_times),
      machine_health_(modules.machine_health),
      dependencies_(modules.dependencies),
      rollout_manager_(modules.rollout_manager),
      maintenance_(modules.maintenance),
      tier_manager_(modules.tier_manager),
      machine_lifecycle_(modules.machine_lifecycle) {}

void Autoscaler::RunAutoscaler(Time now) {
  if (cluster_.types().empty()) return;
  const bool accounted = cluster_.AllMachinesAccountedFor();
  AutoscalerInput input;
  input.types = &cluster_.types();
  constexpr int kMostAtOnce = 40;
  input.most_machines = kMostAtOnce;
  for (const auto& [kind, until] : refused_until_) input.refused[kind] = true;
  for (const auto& machine : cluster_.machines()) {
    if (machine->type == nullptr) continue;
    const bool coming =
        machine->state() == MachineState::kBooting &&
        now - machine->requested_at <
            tuning_.boot_timeout_ratio * machine->type->boot_seconds;
    const bool up = machine->state() == MachineState::kUp &&
                    !machine_health_.Suspect(*machine, now);
    if (!coming && !up) continue;
    // Room that is being drained for a job is as good as there for it.
    input.rooms.push_back({{machine->type_name, machine->zone, machine->spot},
                           machine->free() + machine->leaving});
  }
  for (const auto& [name, scale_out] : scale_outs_) {
    if (scale_out.state == ScaleOutState::kSettled) continue;
    const auto type = cluster_.types().find(scale_out.record.type);
    if (type == cluster_.types().end()) continue;
    for (int i = 0; i < scale_out.record.count; ++i) {
      input.rooms.push_back({{scale_out.record.type, scale_out.record.zone,
                              scale_out.record.spot},
                             type->second.total});
    }
  }
  // Cheap kinds fill first, as placement does where it can choose.
  std::stable_sort(
      input.rooms.begin(), input.rooms.end(),
      [&](const PoolCapacity& a, const PoolCapacity& b) {
        const double gpus = cluster_.types().at(a.kind.type).total.gpus;
        const double other = cluster_.types().at(b.kind.type).total.gpus;
        if (gpus != other) return gpus < other;
        // Fragments first: a small task counted into a whole
        // machine would have another one rented for the next large
        // one.
        return tuning_.fragmentation_weight > 0 && a.free.gpus < b.free.gpus;
      });
  std::vector<const Job*> waiting;
  for (const auto& [id, job] : cluster_.jobs()) {
    // What waits for its window needs no machine yet.
    if (!maintenance_.MayStartNow(*job, now)) continue;
    if (job->live() && job->unplaced() > 0 && now >= job->not_before) {
      waiting.push_back(job.get());
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const Job* a, const Job* b) {
    if (a->priority() != b->priority()) {
      return a->priority() < b->priority();
    }
    if (a->tier != b->tier) return a->tier < b->tier;
    if (a->queued_since() != b->queued_since()) {
      return a->queued_since() < b->queued_since();
    }
    return a->id() < b->id();
  });
  tier_manager_.ReserveTierHeadroom(input);
  for (const Job* job : waiting) {
    PoolDemand demand;
    demand.spec = &job->spec();
    double tasks = rollout_manager_.StartableTasks(*job);
    if (job->spec().kind == JobKind::kArray) {
      // Short tasks follow one another on the same room: count as many as
      // would keep the backlog shorter than a machine takes to come up.
      const double horizon = 3 * settings_.workers.lease_seconds;
      const double run = std::max(1.0, run_times_.RunSeconds(job->spec()));
      tasks = std::max(1.0, tasks * std::min(1.0, run / horizon));
    }
    // What the team's limit keeps out needs no machine.
    if (job->team() >= 0) {
      const QuotaUsage& team = cluster_.quota(job->team());
      const Resources& need = job->spec().need;
      if (team.quota.cpus_max > 0 && need.cpus > 0) {
        tasks =
            std::min(tasks, (team.quota.cpus_max - team.used.cpus) / need.cpus);
      }
      if (team.quota.gpus_max > 0 && need.gpus > 0) {
        tasks =
            std::min(tasks, (team.quota.gpus_max - team.used.gpus) / need.gpus);
      }
    }
    demand.tasks = static_cast<int>(std::max(0.0, tasks));
    if (demand.tasks == 0) continue;
    demand.per_zone = cluster_.ZoneSpreadOf(*job).per_zone;
    input.demand.push_back(std::move(demand));
  }
  if (accounted && !input.demand.empty()) {
    for (const auto& [kind, count] : PlanScaleOut(input)) {
      constexpr int kMostInRequest = 20;
      const std::string name = "r-" + std::to_string(context_.term) + "-" +
                               std::to_string(context_.NextNumber());
      if (context_.resigned) return;
      ScaleOutRequest& scale_out = scale_outs_[name];
      scale_out.record = {kind.type, kind.zone, kind.spot,
                          std::min(count, kMostInRequest), 0};
      context_.Log("rent " + std::to_string(scale_out.record.count) + " " +
                   kind.type + " in " + kind.zone +
                   (kind.spot ? " (spot)" : "") + " as " + name +
                   ": tasks without a place");
      writes_.Enqueue(
          std::make_unique<RecordScaleOutOperation>(context_, *this, name));
    }
  }
  // Returning. Only when nothing has come or waited for a while: between two
  // waves of work a machine is cheaper kept than booted again. Never straight
  // after a failover, when the picture is still filling in.
  if (!accounted || !input.demand.empty()) cluster_.NoteDemand(now);
  const double hold =
      tuning_.idle_return_leases * settings_.workers.lease_seconds;
  Resources soon = dependencies_.ResourcesOfNextSteps(now);
  for (auto& machine : cluster_.machines()) {
    if (cluster_.last_demand() == now || now - context_.started < hold) break;
    if (machine->state() == MachineState::kUp &&
        machine->task_attempts.empty() && !machine->batch &&
        now - machine->idle_since > hold) {
      // The next step of a chain starts here sooner than on one that has to
      // boot.
      if (soon.cpus > 0) {
        soon -= machine->total();
        continue;
      }
      if (!machine_lifecycle_.RemoveMachine(*machine, LossCause::kIdle, now))
        break;
    }
  }
  if (IsQuiescent(cluster_, settings_, tuning_, now) &&
      now >= next_consolidation_)
    Consolidate(now);
}

// Drains dear machines that only replicas still use, when all of them find
// room and their image elsewhere, and so much stays free that the loss of any
// one machine could still be made good. Every move is a short gap for its
// users, so only a small share of all replicas moves at a time.
void Autoscaler::Consolidate(Time now) {
  std::vector<Machine*> usable;
  double most_staying = 0;
  size_t replicas = 0;
  for (auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kDraining) return;
    if (!machine_health_.Usable(*machine, now)) continue;
    usable.push_back(machine.get());
    most_staying = std::max(most_staying, machine->staying.cpus);
    replicas += machine->task_attempts.size();
  }
  const double settled = 3 * settings_.workers.lease_seconds;
  std::vector<Machine*> drained;
  for (Machine* machine : usable) {
    if (machine->staying.cpus <= 0 || machine->batch || !machine->queue.empty())
      continue;
    const bool only_settled_replicas =
        std::all_of(machine->task_attempts.begin(),
                    machine->task_attempts.end(), [&](const auto& e) {
                      const TaskAttempt& attempt = e.second;
                      return attempt.phase == TaskPhase::kExited ||
                             (attempt.phase == TaskPhase::kRunning &&
                              attempt.job != nullptr &&
                              attempt.job->spec().kind == JobKind::kService &&
                              now - attempt.running_since > settled);
                    });
    if (only_settled_replicas) drained.push_back(machine);
  }
  std::sort(drained.begin(), drained.end(),
            [](const Machine* a, const Machine* b) {
              const double pa = a->type->price;
              const double pb = b->type->price;
              if (pa != pb) return pa > pb;
              return a->staying.cpus != b->staying.cpus
                         ? a->staying.cpus < b->staying.cpus
                         : a->index() < b->index();
            });
  constexpr double kMovedAtOnce = 0.01;
  const double at_once = kMovedAtOnce * static_cast<double>(replicas);
  size_t moved = 0;
  for (Machine* machine : drained) {
    const auto more = moved + machine->task_attempts.size();
    if (moved > 0 && static_cast<double>(more) > at_once) break;
    if (!CanMoveAll(*machine, usable, most_staying)) continue;
    if (!machine_lifecycle_.RemoveMachine(*machine, LossCause::kMoved, now))
      break;
    moved = more;
    std::erase(usable, machine);
  }
  if (moved == 0) return;
  // Where one machine alone holds more than that share, the next one waits.
  constexpr double kLongestPause = 3;
  next_consolidation_ =
      now +
      settings_.workers.lease_seconds *
          std::clamp(static_cast<double>(moved) / at_once, 1.0, kLongestPause);
}

bool Autoscaler::CanMoveAll(const Machine& from,
                            const std::vector<Machine*>& usable,
                            double spare_cpus) const {
  std::map<const Machine*, Resources> taken;
  for (const auto& [key, attempt] : from.task_attempts) {
    if (attempt.phase == TaskPhase::kExited) continue;
    const JobSpec& spec = attempt.job->spec();
    ZoneSpread where = cluster_.ZoneSpreadOf(*attempt.job);
    where.Add(from.zone, -1);
    const Machine* to = nullptr;
    for (const Machine* machine : usable) {
      if (machine == &from || !machine->HasImage(spec.image) ||
          !Allowed(spec, *machine, where) ||
          !spec.need.FitsIn(machine->CapacityFor(attempt.job, spec.priority) -
                            taken[machine]) ||
          machine->type->price > from.type->price ||
          // From the emptier to the fuller, or two would change for ever.
          (machine->type->price == from.type->price &&
           machine->staying.cpus < from.staying.cpus)) {
        continue;
      }
      if (to == nullptr || (IsConsolidationTarget(cluster_, *machine) &&
                            !IsConsolidationTarget(cluster_, *to)))
        to = machine;
    }
    if (to == nullptr) return false;
    taken[to] += spec.need;
  }
  double free = 0;
  for (const Machine* machine : usable) {
    if (machine != &from && !machine->spot)
      free += machine->free().cpus - taken[machine].cpus;
  }
  return free >= spare_cpus;
}

void Autoscaler::Request(const std::string& name, Time now) {
  ScaleOutRequest& scale_out = scale_outs_.at(name);
  if (scale_out.state != ScaleOutState::kRequesting) return;
  // The cloud answers within a second or not at all; the same name may be
  // asked again at any time.
  scale_out.next_try = now + settings_.cloud.list_lag_seconds * 2;
  scale_out.asked = now;
  actions_.push_back(RequestScaleOut{name, scale_out.record});
}

void Autoscaler::OnScaleOutResponse(const std::string& name,
                                    ScaleOutOutcome outcome,
                                    const std::vector<std::string>& hosts,
                                    Time now) {
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end() ||
      it->second.state != ScaleOutState::kRequesting) {
    return;
  }
  ScaleOutRequest& scale_out = it->second;
  const MachinePool kind{scale_out.record.type, scale_out.record.zone,
                         scale_out.record.spot};
  const double refusal = 1.5 * settings_.workers.lease_seconds;
  switch (outcome) {
    case ScaleOutOutcome::kTryLater:
      scale_out.next_try = now + settings_.workers.heartbeat_interval_seconds;
      return;
    case ScaleOutOutcome::kNoCapacity:
    case ScaleOutOutcome::kRejected:
      refused_until_[kind] = now + refusal;
      context_.Log("no capacity for " + kind.type + " in " + kind.zone +
                   (kind.spot ? " (spot)" : ""));
      break;
    case ScaleOutOutcome::kGranted:
      if (static_cast<int>(hosts.size()) < scale_out.record.count) {
        refused_until_[kind] = now + refusal;
      }
      for (const std::string& host : hosts) {
        if (cluster_.FindMachine(host) != nullptr || cluster_.IsDeleted(host)) {
          continue;
        }
        Machine& machine = cluster_.AddMachine(
            host, {kind.type, kind.zone, kind.spot, "",
                   scale_out.asked + context_.wall_minus_steady, 0});
        machine.requested_at = scale_out.asked;
      }
      context_.Log("rented " + std::to_string(hosts.size()) + " " + kind.type +
                   " in " + kind.zone + (kind.spot ? " (spot)" : "") + " as " +
                   name);
      break;
  }
  scale_out.Change(ScaleOutState::kSettled);
  scale_out.hosts = hosts;
  for (const std::string& host : hosts) {
    writes_.Enqueue(std::make_unique<RecordScaledOutMachineOperation>(
        context_, *this, host, name));
  }
  SettleScaleOut(name);
  next_autoscaler_run_ =
      std::min(next_autoscaler_run_,
               now + 0.1 * settings_.workers.heartbeat_interval_seconds);
  writes_.Flush(now);
}

// Its machines are recorded one by one, as many in a transaction as go into
// it, and the rental's own record goes last: whoever leads until then repeats
// the request, which names the same machines, and records what is missing.
void Autoscaler::SettleScaleOut(const std::string& name) {
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end() || it->second.state != ScaleOutState::kSettled)
    return;
  const auto open = [this](const std::string& host) {
    return cluster_.FindMachine(host) != nullptr &&
           !catalog_.machines().contains(host);
  };
  const std::vector<std::string>& hosts = it->second.hosts;
  if (catalog_.scale_outs().contains(name) &&
      std::any_of(hosts.begin(), hosts.end(), open)) {
    return;
  }
  writes_.Enqueue(
      std::make_unique<SettleScaleOutOperation>(context_, *this, name));
}

void Autoscaler::ScaleOutRequest::Change(ScaleOutState next) {
  CheckedChange(state, next, kScaleOutTransitions, "rental");
}

void Autoscaler::Restore(const std::string& name,
                         const ScaleOutRecord& record) {
  // It may have been requested already: repeating the request under its own
  // name gets the same answer, or requests now what will be used.
  ScaleOutRequest& scale_out = scale_outs_[name];
  scale_out.record = record;
  scale_out.Change(kRequesting);
}

void Autoscaler::TickRequests(Time now) {
  for (auto& [name, scale_out] : scale_outs_) {
    if (scale_out.state == kRequesting && now >= scale_out.next_try) {
      Request(name, now);
    }
    if (scale_out.state == kSettled) SettleScaleOut(name);
  }
}

void Autoscaler::ForgetRefusals(Time now) {
  std::erase_if(refused_until_,
                [now](const auto& entry) { return entry.second <= now; });
}

const ScaleOutRecord* Autoscaler::FindRecord(const std::string& name) const {
  const auto it = scale_outs_.find(name);
  return it == scale_outs_.end() ? nullptr : &it->second.record;
}

void Autoscaler::OnScaleOutRecorded(const std::string& name, Time now) {
  ScaleOutRequest& scale_out = scale_outs_.at(name);
  if (scale_out.state == ScaleOutState::kRecording) {
    scale_out.Change(ScaleOutState::kRequesting);
  }
  Request(name, now);
}

MachineRecord Autoscaler::RecordOfNewMachine(const ScaleOutRecord& scale_out,
                                             Time requested_at) const {
  return {scale_out.type,
          scale_out.zone,
          scale_out.spot,
          "",
          requested_at + context_.wall_minus_steady,
          0};
}

}  // namespace oxbow
