#include "core/cluster_state/cluster_state.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

bool IsFor(const WorkerCommand& command, const TaskAttempt& attempt) {
  return command.task == attempt.task && command.attempt == attempt.attempt &&
         command.job_id == attempt.job_id;
}

}  // namespace

bool QuotaUsage::WithinMaximum(const Resources& total) const {
  constexpr double kEpsilon = 1e-6;
  return (quota.cpus_max <= 0 || total.cpus <= quota.cpus_max + kEpsilon) &&
         (quota.gpus_max <= 0 || total.gpus <= quota.gpus_max + kEpsilon);
}

bool QuotaUsage::EndsBeforeReservedUse(const JobSpec& spec) const {
  return spec.kind != JobKind::kService && spec.estimate_seconds > 0 &&
         spec.estimate_seconds <= seconds_until_reserved_use;
}

ClusterState::ClusterState(const Settings& settings, FencingToken first_token,
                           bool keeps_unknown_tasks, Observer& observer)
    : first_token_(first_token),
      keeps_unknown_tasks_(keeps_unknown_tasks),
      observer_(observer) {
  for (const TeamQuota& team : settings.teams) {
    quotas_.emplace_back().quota = team;
  }
}

void ClusterState::SetMachineTypes(const std::vector<MachineType>& types) {
  for (const MachineType& type : types) types_[type.name] = type;
  for (auto& machine : machines_) {
    const auto it = types_.find(machine->type_name);
    machine->type = it == types_.end() ? nullptr : &it->second;
  }
  MarkChanged();
}

Machine* ClusterState::FindMachine(const std::string& host) const {
  const auto it = machine_index_.find(host);
  return it == machine_index_.end() ? nullptr : &machine(it->second);
}

Machine& ClusterState::AddMachine(const std::string& host,
                                  const MachineRecord& record) {
  const auto index = static_cast<int32_t>(machines_.size());
  machines_.push_back(
      std::make_unique<Machine>(host, record, index, first_token_));
  Machine& machine = *machines_.back();
  machine_index_[host] = index;
  const auto type = types_.find(record.type);
  if (type != types_.end()) machine.type = &type->second;
  return machine;
}

void ClusterState::MarkDeleted(Machine& machine) {
  MarkAllLost(machine);
  machine.Change(MachineState::kDeleted);
  deleted_hosts_.insert(machine.host());
  machine_index_.erase(machine.host());
}

bool ClusterState::AllMachinesAccountedFor() const {
  return std::all_of(machines_.begin(), machines_.end(),
                     [](const auto& machine) {
                       return !machine->recorded_up || machine->reported ||
                              machine->state() == MachineState::kDeleted;
                     });
}

Job* ClusterState::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Job& ClusterState::AddJob(std::unique_ptr<Job> job) {
  Job& added = *job;
  jobs_[added.id()] = std::move(job);
  AdoptAttempts(added);
  const Resources& need = added.spec().need;
  if (need.gpus > 0) {
    Resources& largest = largest_accelerator_task_;
    largest = {std::max(largest.cpus, need.cpus),
               std::max(largest.gpus, need.gpus),
               std::max(largest.memory_gb, need.memory_gb)};
  }
  return added;
}

// A worker may have reported a task before its job's record was read here.
void ClusterState::AdoptAttempts(Job& job) {
  for (auto& machine : machines_) {
    for (auto it = machine->task_attempts.lower_bound({job.id(), 0, 0});
         it != machine->task_attempts.end() && it->first.job_id == job.id();
         ++it) {
      TaskAttempt& attempt = it->second;
      if (attempt.job != nullptr || attempt.task >= job.size()) continue;
      const bool present = attempt.phase != TaskPhase::kExited;
      if (IsOrphaned(attempt)) --machine->orphaned_tasks;
      attempt.job = &job;
      job.ChangePresence(machine->index(), 0, 1);
      if (present) ChargeCapacity(*machine, attempt);
      // It has run on since its record was lost: it is the job's task, not a
      // second copy of it.
      if (keeps_unknown_tasks_ && present && !attempt.stopping) {
        AssignTask(job, *machine, attempt, present);
      }
    }
  }
}

void ClusterState::RemoveJob(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const Job& job = *it->second;
  for (const PlacedAttempt& placed : AttemptsOf(job)) {
    placed.machine->task_attempts.at(placed.key).job = nullptr;
  }
  DropAllReservations(job);
  jobs_.erase(it);
}

TaskAttempt& ClusterState::AddAttempt(Machine& machine, TaskAttempt attempt,
                                      bool present) {
  if (attempt.job != nullptr) {
    attempt.job->ChangePresence(machine.index(), 0, 1);
  }
  if (IsOrphaned(attempt)) ++machine.orphaned_tasks;
  TaskAttempt& added =
      machine.task_attempts.emplace(KeyOf(attempt), std::move(attempt))
          .first->second;
  if (added.job != nullptr && present) ChargeCapacity(machine, added);
  return added;
}

void ClusterState::RemoveAttempt(Machine& machine, const TaskAttemptKey& key) {
  const auto it = machine.task_attempts.find(key);
  if (it == machine.task_attempts.end()) return;
  TaskAttempt& attempt = it->second;
  ReleaseCapacity(machine, attempt);
  if (IsOrphaned(attempt)) --machine.orphaned_tasks;
  Job* job = attempt.job;
  if (job != nullptr && IsCurrent(machine, attempt)) {
    const TaskState state = job->task(attempt.task).state;
    if (state != TaskState::kDone && state != TaskState::kPending) {
      job->ChangeTask(attempt.task, TaskState::kPending);
    }
  }
  std::erase_if(machine.queue, [&](const WorkerCommand& command) {
    return IsFor(command, attempt);
  });
  machine.task_attempts.erase(it);
  if (job != nullptr) {
    job->ChangePresence(machine.index(), 0, -1);
    observer_.OnAttemptRemoved(*job);
  }
  MarkChanged();
}

void ClusterState::MarkAllLost(Machine& machine) {
  machine.batch.reset();
  machine.batch_lost = false;
  machine.queue.clear();
  std::vector<TaskAttemptKey> keys;
  for (const auto& [key, attempt] : machine.task_attempts) keys.push_back(key);
  for (const TaskAttemptKey& key : keys) RemoveAttempt(machine, key);
  // What remains is rounding errors.
  machine.used = machine.used_by_services = machine.used_by_long_running =
      machine.used_by_stopping = {};
  machine.used_by = {};
  MarkChanged();
}

void ClusterState::ChargeCapacity(Machine& machine, TaskAttempt& attempt) {
  const JobSpec& spec = attempt.job->spec();
  attempt.need = spec.need;
  attempt.charged = true;
  machine.used += attempt.need;
  machine.used_by[static_cast<size_t>(spec.priority)] += attempt.need;
  if (spec.kind == JobKind::kService) machine.used_by_services += attempt.need;
  if (spec.kind != JobKind::kArray)
    machine.used_by_long_running += attempt.need;
  if (attempt.stopping) machine.used_by_stopping += attempt.need;
  if (attempt.job->team() >= 0) quota(attempt.job->team()).used += attempt.need;
  observer_.OnCapacityCharged(*attempt.job, attempt.need);
  attempt.job->ChangePresence(machine.index(), 1, 0);
}

void ClusterState::ReleaseCapacity(Machine& machine, TaskAttempt& attempt) {
  if (!attempt.charged) return;
  const JobSpec& spec = attempt.job->spec();
  machine.used -= attempt.need;
  machine.used_by[static_cast<size_t>(spec.priority)] -= attempt.need;
  if (spec.kind == JobKind::kService) machine.used_by_services -= attempt.need;
  if (spec.kind != JobKind::kArray)
    machine.used_by_long_running -= attempt.need;
  if (attempt.stopping) machine.used_by_stopping -= attempt.need;
  if (attempt.job->team() >= 0) quota(attempt.job->team()).used -= attempt.need;
  observer_.OnCapacityReleased(*attempt.job, attempt.need);
  attempt.job->ChangePresence(machine.index(), -1, 0);
  attempt.need = {};
  attempt.charged = false;
  if (spec.priority == Priority::kProduction) MarkUrgentChange();
  if (attempt.phase == TaskPhase::kFetching) {
    // The worker gives up a fetch when no task waits for it any more.
    const bool shared =
        std::any_of(machine.task_attempts.begin(), machine.task_attempts.end(),
                    [&](const auto& entry) {
                      const TaskAttempt& other = entry.second;
                      return &other != &attempt && other.job != nullptr &&
                             other.phase == TaskPhase::kFetching &&
                             other.job->spec().image == spec.image;
                    });
    if (!shared) machine.DropQueuedImage(spec.image);
  }
  MarkChanged();
}

void ClusterState::MarkExited(Machine& machine, TaskAttempt& attempt,
                              ExitReason reason) {
  ReleaseCapacity(machine, attempt);
  if (IsOrphaned(attempt)) --machine.orphaned_tasks;
  attempt.phase = TaskPhase::kExited;
  attempt.reason = reason;
}

void ClusterState::SetStopping(Machine& machine, TaskAttempt& attempt,
                               bool stopping) {
  if (attempt.stopping == stopping) return;
  attempt.stopping = stopping;
  if (stopping) observer_.OnAttemptStopping(attempt);
  if (!attempt.charged) return;
  if (stopping) {
    machine.used_by_stopping += attempt.need;
  } else {
    machine.used_by_stopping -= attempt.need;
  }
}

void ClusterState::AssignTask(Job& job, Machine& machine,
                              const TaskAttempt& attempt, bool present) {
  const TaskSlot& slot = job.task(attempt.task);
  // Of two reported attempts the later one counts, also one that has exited.
  // The other may come from a delayed copy of a heartbeat, of a machine that
  // has shown no token of this leader: a new leader that received it first
  // stopped the living task as a duplicate, or missed that the task is done.
  const bool unconfirmed =
      slot.state != TaskState::kPending && slot.state != TaskState::kDone &&
      slot.machine >= 0 && slot.attempt < attempt.attempt &&
      !this->machine(slot.machine).reported;
  if (unconfirmed) job.ChangeTask(attempt.task, TaskState::kPending);
  if (job.task(attempt.task).state != TaskState::kPending) return;
  job.Place(attempt.task, machine.index(), attempt.attempt);
  if (present) job.ChangeTask(attempt.task, TaskState::kStarting);
}

bool ClusterState::IsCurrent(const Machine& machine,
                             const TaskAttempt& attempt) {
  if (attempt.job == nullptr) return false;
  const TaskSlot& slot = attempt.job->task(attempt.task);
  return slot.machine == machine.index() && slot.attempt == attempt.attempt;
}

std::vector<PlacedAttempt> ClusterState::AttemptsOf(const Job& job) const {
  std::vector<PlacedAttempt> attempts;
  for (const auto& [index, presence] : job.presence()) {
    Machine& machine = this->machine(index);
    for (auto it = machine.task_attempts.lower_bound({job.id(), 0, 0});
         it != machine.task_attempts.end() && it->first.job_id == job.id();
         ++it) {
      attempts.push_back({&machine, it->first});
    }
  }
  return attempts;
}

bool ClusterState::HasLaterAttempt(const Job& job, uint64_t attempt) const {
  const std::vector<PlacedAttempt> all = AttemptsOf(job);
  return std::any_of(all.begin(), all.end(), [&](const PlacedAttempt& placed) {
    return placed.key.attempt > attempt;
  });
}

int ClusterState::CountOn(const Job& job, const Machine& machine) {
  const auto it = job.presence().find(machine.index());
  return it == job.presence().end() ? 0 : it->second.charged_attempts;
}

ZoneSpread ClusterState::ZoneSpreadOf(const Job& job) const {
  ZoneSpread spread;
  const JobSpec& spec = job.spec();
  if (!spec.spread && !spec.one_zone && spec.kind != JobKind::kService) {
    return spread;
  }
  for (const auto& [index, presence] : job.presence()) {
    if (presence.charged_attempts == 0) continue;
    spread.Add(machine(index).zone, presence.charged_attempts);
  }
  return spread;
}

int ClusterState::FindQuota(const std::string& team) const {
  const auto it = std::find_if(
      quotas_.begin(), quotas_.end(),
      [&](const QuotaUsage& usage) { return usage.quota.name == team; });
  return it == quotas_.end() ? -1 : static_cast<int>(it - quotas_.begin());
}

bool ClusterState::QuotaAllows(const Job& job, double tasks) const {
  if (job.team() < 0) return true;
  const QuotaUsage& usage = quota(job.team());
  const Resources used_now =
      usage.used + usage.orphaned_tasks + job.spec().need * tasks;
  const Resources used_then = used_now - usage.released_before_reserved_use +
                              usage.reserved_for_waiting;
  return usage.WithinMaximum(used_now) &&
         (usage.WithinMaximum(used_then) ||
          usage.EndsBeforeReservedUse(job.spec()));
}

Resources ClusterState::OrphanedTasksUpperBound() const {
  Resources bound;
  for (const auto& machine : machines_) {
    if (machine->orphaned_tasks > 0) bound += machine->total();
  }
  return bound;
}

Resources ClusterState::ReservedFor(const Job& job, const Machine& machine) {
  Resources reserved;
  for (const Reservation& reservation : machine.reservations) {
    if (reservation.job == &job) reserved += reservation.need;
  }
  return reserved;
}

void ClusterState::DropReservation(const Job& job, Machine& machine) {
  const auto it = std::find_if(
      machine.reservations.begin(), machine.reservations.end(),
      [&](const Reservation& reservation) { return reservation.job == &job; });
  if (it != machine.reservations.end()) machine.reservations.erase(it);
}

void ClusterState::DropAllReservations(const Job& job) {
  for (auto& machine : machines_) {
    std::erase_if(machine->reservations, [&](const Reservation& reservation) {
      return reservation.job == &job;
    });
  }
}

}  // namespace oxbow
