#include "core/autoscaler/autoscaler.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

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

// Machines requested in one run, of all pools; and in one request.
constexpr int kMaxNewMachines = 40;
constexpr int kMaxMachinesInRequest = 20;
// A pool that has refused is not asked again for so long.
constexpr double kRefusalLeases = 1.5;
// A request without a response is repeated after so many times the lag of the
// cloud's list.
constexpr double kRetryListLags = 2;
// A response changes the capacity: the next run follows so soon.
constexpr double kRerunHeartbeats = 0.1;
// How far ahead the tasks of an array count as demand.
constexpr double kArrayHorizonLeases = 3;

MachinePool PoolOf(const ScaleOutRecord& record) {
  return {record.type, record.zone, record.spot};
}

LogFields ScaleOutFields(const std::string& name,
                         const ScaleOutRecord& record) {
  return {{"request", name},
          {"count", record.count},
          {"type", record.type},
          {"zone", record.zone},
          {"spot", record.spot}};
}

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
      machine_lifecycle_(modules.machine_lifecycle),
      consolidator_(context, modules.machine_health,
                    modules.machine_lifecycle) {}

void Autoscaler::RunAutoscaler(Time now) {
  if (cluster_.types().empty()) return;
  const bool accounted = cluster_.AllMachinesAccountedFor();
  ScaleOutInput input;
  input.types = &cluster_.types();
  input.max_new_machines = kMaxNewMachines;
  for (const auto& [pool, until] : refused_until_) input.refused.insert(pool);
  input.capacity = ExistingCapacity(now);
  tier_manager_.ReserveTierHeadroom(input);
  input.demand = UnplacedDemand(now);
  const bool has_demand = !input.demand.empty();
  if (accounted && has_demand) {
    for (const auto& [pool, count] : PlanScaleOut(input)) {
      if (!BeginScaleOut(pool, count)) return;
    }
  }
  if (!accounted || has_demand) cluster_.NoteDemand(now);
  ScaleInIdleMachines(now);
  consolidator_.RunIfDue(now);
}

std::vector<MachineCapacity> Autoscaler::ExistingCapacity(Time now) const {
  std::vector<MachineCapacity> capacity;
  for (const auto& machine : cluster_.machines()) {
    if (machine->type == nullptr) continue;
    const bool booting =
        machine->state() == MachineState::kBooting &&
        now - machine->requested_at <
            tuning_.boot_timeout_ratio * machine->type->boot_seconds;
    const bool up = machine->state() == MachineState::kUp &&
                    !machine_health_.Suspect(*machine, now);
    if (!booting && !up) continue;
    // Capacity that is being freed for a job counts as free for it.
    capacity.push_back({{machine->type_name, machine->zone, machine->spot},
                        machine->free() + machine->used_by_stopping});
  }
  AddRequestedCapacity(capacity);
  SortForPacking(capacity);
  return capacity;
}

void Autoscaler::AddRequestedCapacity(
    std::vector<MachineCapacity>& capacity) const {
  for (const auto& [name, scale_out] : scale_outs_) {
    if (scale_out.state == ScaleOutState::kSettled) continue;
    const ScaleOutRecord& record = scale_out.record;
    const auto type = cluster_.types().find(record.type);
    if (type == cluster_.types().end()) continue;
    for (int i = 0; i < record.count; ++i) {
      capacity.push_back({PoolOf(record), type->second.total});
    }
  }
}

void Autoscaler::SortForPacking(std::vector<MachineCapacity>& capacity) const {
  const auto total_gpus = [this](const MachineCapacity& entry) {
    return cluster_.types().at(entry.pool.type).total.gpus;
  };
  std::stable_sort(
      capacity.begin(), capacity.end(),
      [&](const MachineCapacity& first, const MachineCapacity& second) {
        const double first_gpus = total_gpus(first);
        const double second_gpus = total_gpus(second);
        if (first_gpus != second_gpus) return first_gpus < second_gpus;
        // Fragments first: a small task packed into a whole
        // machine would have another one requested for the next
        // large task.
        return tuning_.fragmentation_weight > 0 &&
               first.free.gpus < second.free.gpus;
      });
}

std::vector<const Job*> Autoscaler::JobsWithUnplacedTasks(Time now) const {
  std::vector<const Job*> waiting;
  for (const auto& [id, job] : cluster_.jobs()) {
    // What waits for its maintenance window needs no machine yet.
    if (!maintenance_.MayStartNow(*job, now)) continue;
    if (job->live() && job->unplaced() > 0 && now >= job->not_before) {
      waiting.push_back(job.get());
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const Job* first, const Job* second) {
              if (first->priority() != second->priority()) {
                return first->priority() < second->priority();
              }
              if (first->tier != second->tier) {
                return first->tier < second->tier;
              }
              if (first->queued_since() != second->queued_since()) {
                return first->queued_since() < second->queued_since();
              }
              return first->id() < second->id();
            });
  return waiting;
}

std::vector<PoolDemand> Autoscaler::UnplacedDemand(Time now) const {
  std::vector<PoolDemand> demand;
  for (const Job* job : JobsWithUnplacedTasks(now)) {
    const int tasks = TasksNeedingCapacity(*job);
    if (tasks == 0) continue;
    demand.push_back({&job->spec(), tasks, cluster_.ZoneSpreadOf(*job)});
  }
  return demand;
}

int Autoscaler::TasksNeedingCapacity(const Job& job) const {
  const JobSpec& spec = job.spec();
  double tasks = rollout_manager_.StartableTasks(job);
  if (spec.kind == JobKind::kArray) {
    // Short tasks follow one another on the same capacity: as many as keep the
    // backlog shorter than a machine takes to come up.
    const double horizon =
        kArrayHorizonLeases * settings_.workers.lease_seconds;
    const double run_seconds = std::max(1.0, run_times_.RunSeconds(spec));
    tasks = std::max(1.0, tasks * std::min(1.0, run_seconds / horizon));
  }
  return static_cast<int>(std::max(0.0, WithinQuota(job, tasks)));
}

double Autoscaler::WithinQuota(const Job& job, double tasks) const {
  if (job.team() < 0) return tasks;
  const QuotaUsage& team = cluster_.quota(job.team());
  const Resources& need = job.spec().need;
  if (team.quota.cpus_max > 0 && need.cpus > 0) {
    tasks = std::min(tasks, (team.quota.cpus_max - team.used.cpus) / need.cpus);
  }
  if (team.quota.gpus_max > 0 && need.gpus > 0) {
    tasks = std::min(tasks, (team.quota.gpus_max - team.used.gpus) / need.gpus);
  }
  return tasks;
}

bool Autoscaler::BeginScaleOut(const MachinePool& pool, int count) {
  const std::string name = "r-" + std::to_string(context_.term) + "-" +
                           std::to_string(context_.NextToken());
  if (context_.resigned) return false;
  ScaleOutRequest& scale_out = scale_outs_[name];
  scale_out.record = {pool.type, pool.zone, pool.spot,
                      std::min(count, kMaxMachinesInRequest), 0};
  context_.Log("scale-out requested", ScaleOutFields(name, scale_out.record));
  writes_.Enqueue(
      std::make_unique<RecordScaleOutOperation>(context_, *this, name));
  return true;
}

void Autoscaler::ScaleInIdleMachines(Time now) {
  const double idle_seconds =
      tuning_.idle_return_leases * settings_.workers.lease_seconds;
  if (cluster_.last_demand() == now || now - context_.started < idle_seconds) {
    return;
  }
  // The next step of a dependency chain starts sooner on a machine that is up
  // than on one that has to boot.
  Resources expected = dependencies_.UpcomingReleaseDemand(now);
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() != MachineState::kUp ||
        !machine->task_attempts.empty() || machine->batch ||
        now - machine->idle_since <= idle_seconds) {
      continue;
    }
    if (expected.cpus > 0) {
      expected -= machine->total();
      continue;
    }
    if (!machine_lifecycle_.RemoveMachine(*machine, RemovalCause::kIdle, now)) {
      return;
    }
  }
}

void Autoscaler::Request(const std::string& name, Time now) {
  ScaleOutRequest& scale_out = scale_outs_.at(name);
  if (scale_out.state != ScaleOutState::kRequesting) return;
  // The cloud answers within a second or not at all. A request is idempotent by
  // its name and may be repeated at any time.
  scale_out.next_try = now + kRetryListLags * settings_.cloud.list_lag_seconds;
  scale_out.requested_at = now;
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
  switch (outcome) {
    case ScaleOutOutcome::kTryLater:
      scale_out.next_try = now + settings_.workers.heartbeat_interval_seconds;
      return;
    case ScaleOutOutcome::kNoCapacity:
    case ScaleOutOutcome::kRejected:
      NoteRefusal(scale_out.record, now);
      context_.Log("scale-out refused", ScaleOutFields(name, scale_out.record));
      break;
    case ScaleOutOutcome::kGranted:
      AddGrantedMachines(name, scale_out, hosts, now);
      break;
  }
  scale_out.Change(ScaleOutState::kSettled);
  scale_out.hosts = hosts;
  for (const std::string& host : hosts) {
    writes_.Enqueue(std::make_unique<RecordScaledOutMachineOperation>(
        context_, *this, host, name));
  }
  SettleScaleOut(name);
  next_autoscaler_run_ = std::min(
      next_autoscaler_run_,
      now + kRerunHeartbeats * settings_.workers.heartbeat_interval_seconds);
  writes_.Flush(now);
}

void Autoscaler::NoteRefusal(const ScaleOutRecord& record, Time now) {
  refused_until_[PoolOf(record)] =
      now + kRefusalLeases * settings_.workers.lease_seconds;
}

void Autoscaler::AddGrantedMachines(const std::string& name,
                                    const ScaleOutRequest& scale_out,
                                    const std::vector<std::string>& hosts,
                                    Time now) {
  if (static_cast<int>(hosts.size()) < scale_out.record.count) {
    NoteRefusal(scale_out.record, now);
  }
  for (const std::string& host : hosts) {
    if (cluster_.FindMachine(host) != nullptr || cluster_.IsDeleted(host)) {
      continue;
    }
    Machine& machine = cluster_.AddMachine(
        host, RecordOfNewMachine(scale_out.record, scale_out.requested_at));
    machine.requested_at = scale_out.requested_at;
  }
  LogFields fields = ScaleOutFields(name, scale_out.record);
  fields.emplace_back("granted", hosts.size());
  context_.Log("scale-out granted", std::move(fields));
}

// Machines are recorded one by one, as many as fit into each transaction, and
// the record of the request is removed last: a leader that is elected until
// then repeats the request, which names the same machines, and records what is
// missing.
void Autoscaler::SettleScaleOut(const std::string& name) {
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end() || it->second.state != ScaleOutState::kSettled)
    return;
  const auto unrecorded = [this](const std::string& host) {
    return cluster_.FindMachine(host) != nullptr &&
           !catalog_.machines().contains(host);
  };
  const std::vector<std::string>& hosts = it->second.hosts;
  if (catalog_.scale_outs().contains(name) &&
      std::any_of(hosts.begin(), hosts.end(), unrecorded)) {
    return;
  }
  writes_.Enqueue(
      std::make_unique<SettleScaleOutOperation>(context_, *this, name));
}

void Autoscaler::ScaleOutRequest::Change(ScaleOutState next) {
  CheckedTransition(state, next, kScaleOutTransitions, "scale-out");
}

void Autoscaler::Restore(const std::string& name,
                         const ScaleOutRecord& record) {
  // It may have been sent to the cloud already: repeated under the same name it
  // gets the same answer.
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

void Autoscaler::ExpireRefusals(Time now) {
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
