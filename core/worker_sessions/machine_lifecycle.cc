#include "core/worker_sessions/machine_lifecycle.h"

#include <algorithm>
#include <array>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/reconciliation/reconciler.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"
#include "core/worker_sessions/machine_limits.h"
#include "core/worker_sessions/machine_record_operations.h"

namespace oxbow {
namespace {

// The cloud's name for a machine that has failed.
constexpr const char* kFailedListState = "failed";

// Indexed by RemovalCause; for the log.
constexpr std::array<const char*, kRemovalCauses> kLossReasons = {
    "silent", "neither listed nor sending", "did not boot in time",
    "idle",   "its replicas fit elsewhere", "several jobs failed there"};

std::vector<TaskAttemptKey> KeysOf(const Machine& machine) {
  std::vector<TaskAttemptKey> keys;
  for (const auto& [key, attempt] : machine.task_attempts) keys.push_back(key);
  return keys;
}

bool HasLiveAttempts(const Machine& machine) {
  return std::any_of(machine.task_attempts.begin(), machine.task_attempts.end(),
                     [](const auto& entry) {
                       return entry.second.phase != TaskPhase::kExited;
                     });
}

// How long a stopped task may take to save its state, if `seconds_left` remain
// until its machine is gone; 0 if that is not enough to save anything.
double SaveGraceSeconds(const JobSpec& spec, double seconds_left) {
  const bool can_save =
      spec.checkpoint_seconds > 0 && spec.save_seconds < seconds_left;
  return can_save ? std::max(spec.save_seconds, seconds_left) : 0;
}

// Whether an attempt leaves a drained machine at once. Services do, and work
// that can save its state, while there is time. Other work stays: it may yet
// end before the machine is gone.
bool LeavesAtOnce(const JobSpec& spec) {
  return spec.kind == JobKind::kService || spec.checkpoint_seconds > 0;
}

}  // namespace

MachineLifecycle::MachineLifecycle(LeaderContext& context,
                                   const Modules& modules)
    : context_(context),
      settings_(context.settings),
      tuning_(context.tuning),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      liveness_(context.liveness),
      machine_health_(modules.machine_health),
      dispatcher_(modules.dispatcher),
      rollout_manager_(modules.rollout_manager),
      reconciler_(modules.reconciler) {}

void MachineLifecycle::Drain(Machine& machine, Time now, const char* reason) {
  if (machine.state() != MachineState::kUp) return;
  machine.Change(MachineState::kDraining);
  context_.Log("draining machine",
               {{"host", machine.host()}, {"reason", reason}});
  EvictTasks(machine, now);
}

void MachineLifecycle::EvictTasks(Machine& machine, Time now) {
  for (const TaskAttemptKey& key : KeysOf(machine)) {
    // Stopping a gang may have removed other attempts.
    const auto it = machine.task_attempts.find(key);
    if (it != machine.task_attempts.end()) Evict(machine, it->second, now);
  }
}

void MachineLifecycle::Evict(Machine& machine, TaskAttempt& attempt, Time now) {
  if (attempt.job == nullptr || attempt.phase == TaskPhase::kExited ||
      attempt.stopping) {
    return;
  }
  const JobSpec& spec = attempt.job->spec();
  if (!LeavesAtOnce(spec)) return;
  // If not, the next review asks again.
  if (!rollout_manager_.DisruptionAllowed(KeyOf(attempt), *attempt.job, now)) {
    return;
  }
  const double seconds_left =
      machine.notice_until ? *machine.notice_until - now : 0;
  const double grace = SaveGraceSeconds(spec, seconds_left);
  if (spec.kind == JobKind::kGang && spec.tasks > 1) {
    // A gang saves only if every task of it gets its stop in time.
    dispatcher_.StopTasks(*attempt.job, grace, now);
  } else {
    dispatcher_.QueueStop(machine, attempt, grace, now);
  }
}

bool MachineLifecycle::RemoveMachine(Machine& machine, RemovalCause cause,
                                     Time now) {
  if (!liveness_.RemovalAllowed(machine, cause, now)) return false;
  const char* reason = kLossReasons[static_cast<size_t>(cause)];
  if (cause == RemovalCause::kConsolidated) {
    Drain(machine, now, reason);
    return true;
  }
  if (cause == RemovalCause::kDistrusted) {
    machine.cordoned_until =
        now + kDistrustLeases * settings_.workers.lease_seconds;
    context_.Log("cordoning machine",
                 {{"host", machine.host()}, {"reason", reason}});
    return true;
  }
  machine.deleted_for_silence =
      cause == RemovalCause::kSilent || cause == RemovalCause::kUnlisted;
  RequestDeletion(machine, now, reason);
  return true;
}

void MachineLifecycle::RequestDeletion(Machine& machine, Time now,
                                       const char* reason) {
  if (machine.state() == MachineState::kDeleted) return;
  if (machine.state() != MachineState::kDeleting) {
    context_.Log("deleting machine",
                 {{"host", machine.host()}, {"reason", reason}});
    machine.Change(MachineState::kDeleting);
  }
  machine.delete_sent = now;
  actions_.push_back(DeleteMachines{{machine.host()}});
}

void MachineLifecycle::TickMachine(Machine& machine, Time now) {
  switch (machine.state()) {
    case MachineState::kDeleted:
      return;
    case MachineState::kDeleting:
      if (now - machine.delete_sent > settings_.workers.lease_seconds / 2) {
        RequestDeletion(machine, now, "requested again");
      }
      return;
    case MachineState::kBooting:
      TickBooting(machine, now);
      return;
    case MachineState::kDraining:
      if (DeleteIfDrained(machine, now)) return;
      break;
    case MachineState::kUp:
      break;
  }
  if (DeleteIfSilent(machine, now)) return;
  // The review of all attempts is not urgent: twice in a heartbeat interval.
  if (now < machine.next_review) return;
  machine.next_review = now + settings_.workers.heartbeat_interval_seconds / 2;
  ReviewAttempts(machine, now);
}

void MachineLifecycle::TickBooting(Machine& machine, Time now) {
  const double unknown_type_boot_seconds = 3 * settings_.workers.lease_seconds;
  const double boot_seconds =
      machine.type ? machine.type->boot_seconds : unknown_type_boot_seconds;
  if (now - machine.requested_at > tuning_.boot_timeout_ratio * boot_seconds) {
    RemoveMachine(machine, RemovalCause::kNeverUp, now);
  }
}

bool MachineLifecycle::DeleteIfDrained(Machine& machine, Time now) {
  const bool busy = HasLiveAttempts(machine);
  const bool preempted = machine.notice_until && now > *machine.notice_until &&
                         machine_health_.Suspect(machine, now);
  if (busy && !preempted) return false;
  RequestDeletion(machine, now, busy ? "spot notice has expired" : "drained");
  return true;
}

// A silent machine is deleted before its lease expires: the confirmation frees
// its tasks sooner. Not when many are silent at once, for then it is the
// network, and they will be back.
bool MachineLifecycle::DeleteIfSilent(Machine& machine, Time now) {
  const double lease = settings_.workers.lease_seconds;
  const bool has_attempts = !machine.task_attempts.empty();
  // One that has never reported to a new leader counts from the failover, in
  // which every machine was probed: the tasks it may have keep all old jobs
  // waiting.
  const bool worth_it =
      machine.reported
          ? has_attempts && now - context_.started > lease
          : has_attempts || now < machine.incarnation.MayLiveUntil(lease);
  return machine.recorded_up && worth_it &&
         liveness_.SilentTooLong(machine, now) &&
         liveness_.MayGiveUp(machine, now) &&
         RemoveMachine(machine, RemovalCause::kSilent, now);
}

void MachineLifecycle::ReviewAttempts(Machine& machine, Time now) {
  if (machine.state() == MachineState::kDraining) EvictTasks(machine, now);
  // A heartbeat lists every exit until it is forgotten; its size is limited.
  constexpr size_t kMaxListedExits = 250;
  std::vector<TaskAttemptKey> to_stop;
  size_t exited = 0;
  for (auto& [key, attempt] : machine.task_attempts) {
    if (attempt.phase == TaskPhase::kExited) {
      ++exited;
      if (ExitMayBeForgotten(machine, attempt, now)) {
        dispatcher_.QueueForget(machine, attempt);
      }
    } else if (NeedsStop(attempt, now)) {
      to_stop.push_back(key);
    }
  }
  for (const TaskAttemptKey& key : to_stop) {
    const auto it = machine.task_attempts.find(key);
    if (it == machine.task_attempts.end()) continue;
    dispatcher_.QueueStop(machine, it->second, /*grace_seconds=*/0, now);
  }
  if (exited > kMaxListedExits) {
    for (auto& [key, attempt] : machine.task_attempts) {
      if (attempt.phase != TaskPhase::kExited) continue;
      dispatcher_.QueueForget(machine, attempt);
    }
  }
  dispatcher_.DispatchCommands(machine, now);
}

// The exit of a done task stays until the end of its job is recorded: if the
// leader ended before that, the next one would start every task again.
bool MachineLifecycle::ExitMayBeForgotten(const Machine& machine,
                                          const TaskAttempt& attempt,
                                          Time now) {
  if (attempt.job == nullptr) {
    return reconciler_.MayStopUnknownTask(attempt, now);
  }
  return attempt.job->terminal_state_recorded() ||
         attempt.reason != ExitReason::kDone ||
         !ClusterState::IsCurrent(machine, attempt);
}

bool MachineLifecycle::NeedsStop(const TaskAttempt& attempt, Time now) {
  const bool unwanted = attempt.job == nullptr
                            ? reconciler_.MayStopUnknownTask(attempt, now)
                            : attempt.job->terminal_state_recorded();
  if (attempt.stopping) {
    const double repeat_after_seconds =
        attempt.stop_grace + 2 * settings_.workers.heartbeat_interval_seconds;
    return now - attempt.stop_sent > repeat_after_seconds;
  }
  return unwanted && attempt.start_progress != StartProgress::kQueued;
}

void MachineLifecycle::LogLostTasks(const Machine& machine,
                                    const char* reason) {
  if (machine.task_attempts.empty()) return;
  context_.Log("tasks lost", {{"host", machine.host()},
                              {"tasks", machine.task_attempts.size()},
                              {"reason", reason}});
}

void MachineLifecycle::LoseTasks(Machine& machine, const char* reason) {
  LogLostTasks(machine, reason);
  cluster_.MarkAllLost(machine);
}

void MachineLifecycle::OnDeleteAnswer(const std::vector<std::string>& hosts,
                                      bool ok, Time now) {
  for (const std::string& host : hosts) {
    Machine* machine = cluster_.FindMachine(host);
    if (machine == nullptr) continue;
    if (!ok) {
      machine->delete_sent = now - settings_.workers.lease_seconds / 2;
      continue;
    }
    context_.Log("machine deleted, confirmed by the cloud", {{"host", host}});
    LogLostTasks(*machine, "machine deleted");
    cluster_.MarkDeleted(*machine);
    writes_.Enqueue(std::make_unique<ForgetMachineOperation>(context_, host),
                    WritePriority::kBackground);
  }
  if (ok) {
    cluster_.MarkChanged();
    writes_.Flush(now);
  }
}

void MachineLifecycle::OnMachineList(const std::vector<ListedMachine>& list,
                                     Time asked, Time now) {
  std::unordered_set<std::string> listed;
  for (const ListedMachine& entry : list) {
    listed.insert(entry.host);
    OnListedMachine(entry, now);
  }
  for (auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kDeleted ||
        listed.contains(machine->host())) {
      continue;
    }
    OnUnlistedMachine(*machine, asked, now);
  }
}

void MachineLifecycle::OnListedMachine(const ListedMachine& entry, Time now) {
  if (cluster_.IsDeleted(entry.host)) return;  // the list lags
  Machine* machine = cluster_.FindMachine(entry.host);
  if (machine == nullptr) {
    context_.Log("unexpected machine listed, taken into use",
                 {{"host", entry.host}});
    machine = &cluster_.AddMachine(
        entry.host, {entry.type, entry.zone, entry.spot, /*endpoint=*/"",
                     now - entry.age_seconds + context_.wall_minus_steady,
                     /*mod_revision=*/0});
    machine->requested_at = now - entry.age_seconds;
  }
  machine->missing_in_list = false;
  if (entry.state == kFailedListState &&
      machine->state() != MachineState::kDeleting) {
    RequestDeletion(*machine, now, "listed as failed by the cloud");
  }
}

// Once listed, a machine stays listed until it is gone. The deletion of one
// that is neither sending nor listed long after it was requested is asked for:
// the confirmation makes certain what is only likely.
void MachineLifecycle::OnUnlistedMachine(Machine& machine, Time asked,
                                         Time now) {
  const double lag = 2 * settings_.cloud.list_lag_seconds;
  const bool silent = now - machine.last_heard > lag &&
                      now - machine.requested_at > 2 * lag &&
                      asked - context_.started > lag;
  if (silent && machine.missing_in_list &&
      machine.state() != MachineState::kDeleting &&
      now - machine.last_reached_by_peer > lag) {
    RemoveMachine(machine, RemovalCause::kUnlisted, now);
  }
  machine.missing_in_list = true;
}

}  // namespace oxbow
