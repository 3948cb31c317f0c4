#include "core/worker_sessions/machine_lifecycle.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/reconciliation/reconciler.h"
#include "core/rollout/rollout_manager.h"
#include "core/worker_sessions/machine_health.h"
#include "core/worker_sessions/machine_limits.h"
#include "core/worker_sessions/machine_record_operations.h"
#include "core/worker_sessions/worker_sessions.h"

namespace oxbow {

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

void MachineLifecycle::Drain(Machine& machine, Time now, const char* why) {
  if (machine.state() != MachineState::kUp) return;
  machine.Change(MachineState::kDraining);
  context_.Log("machine " + machine.host() + " draining: " + why);
  StopLeaving(machine, now);
}

void MachineLifecycle::StopLeaving(Machine& machine, Time now) {
  std::vector<TaskAttemptKey> all;
  for (const auto& [key, attempt] : machine.task_attempts) all.push_back(key);
  for (const TaskAttemptKey& key : all) {
    const auto it = machine.task_attempts.find(key);
    if (it == machine.task_attempts.end()) continue;
    TaskAttempt& attempt = it->second;
    if (attempt.job == nullptr || attempt.phase == TaskPhase::kExited ||
        attempt.stopping) {
      continue;
    }
    const JobSpec& spec = attempt.job->spec();
    const double left = machine.notice_until ? *machine.notice_until - now : 0;
    if (spec.kind == JobKind::kArray && spec.checkpoint_seconds <= 0) continue;
    if (!rollout_manager_.DisruptionAllowed(key, *attempt.job, now))
      continue;  // asked again
    // Services move at once, work that can save does so while there is time.
    // What can't save is left: it may yet end before the machine goes.
    if (spec.kind == JobKind::kService || spec.checkpoint_seconds > 0) {
      const double grace =
          spec.checkpoint_seconds > 0 && spec.save_seconds < left
              ? std::max(spec.save_seconds, left)
              : 0;
      if (spec.kind == JobKind::kGang && spec.tasks > 1) {
        // An orderly stop needs every task of the gang told in time.
        dispatcher_.StopTasks(*attempt.job, grace, now);
      } else {
        dispatcher_.QueueStop(machine, attempt, grace, now);
      }
    }
  }
}

bool MachineLifecycle::RemoveMachine(Machine& machine, LossCause cause,
                                     Time now) {
  if (!liveness_.LossAllowed(machine, cause, now)) return false;
  static constexpr std::array<const char*, kLossCauses> kWhy = {
      "silent",
      "neither listed nor heard",
      "did not come up in time",
      "idle",
      "its replicas have room elsewhere",
      "several jobs failed there"};
  const char* why = kWhy[static_cast<size_t>(cause)];
  if (cause == LossCause::kMoved) {
    Drain(machine, now, why);
    return true;
  }
  if (cause == LossCause::kDistrusted) {
    machine.distrusted_until =
        now + kDistrustLeases * settings_.workers.lease_seconds;
    context_.Log("machine " + machine.host() + " distrusted: " + why);
    return true;
  }
  machine.given_up =
      cause == LossCause::kSilent || cause == LossCause::kUnlisted;
  AskDelete(machine, now, why);
  return true;
}

void MachineLifecycle::AskDelete(Machine& machine, Time now, const char* why) {
  if (machine.state() == MachineState::kGone) return;
  if (machine.state() != MachineState::kDeleting) {
    context_.Log("delete " + machine.host() + ": " + why);
    machine.Change(MachineState::kDeleting);
  }
  machine.delete_sent = now;
  actions_.push_back(DeleteMachines{{machine.host()}});
}

void MachineLifecycle::TickMachine(Machine& machine, Time now) {
  if (machine.state() == MachineState::kGone) return;
  const double lease = settings_.workers.lease_seconds;
  if (machine.state() == MachineState::kDeleting) {
    if (now - machine.delete_sent > lease / 2) AskDelete(machine, now, "again");
    return;
  }
  if (machine.state() == MachineState::kBooting) {
    const double boot = machine.type ? machine.type->boot_seconds : 3 * lease;
    if (now - machine.requested_at > tuning_.boot_timeout_ratio * boot) {
      RemoveMachine(machine, LossCause::kNeverUp, now);
    }
    return;
  }
  if (machine.state() == MachineState::kDraining) {
    const bool busy = std::any_of(
        machine.task_attempts.begin(), machine.task_attempts.end(),
        [](const auto& e) { return e.second.phase != TaskPhase::kExited; });
    if (!busy || (machine.notice_until && now > *machine.notice_until &&
                  machine_health_.Suspect(machine, now))) {
      AskDelete(machine, now, busy ? "its notice has run out" : "drained");
      return;
    }
  }
  // A silent machine is deleted before its lease ends: the confirmation frees
  // its tasks sooner. Not when many are silent at once, for then it is the
  // network, and they will be back.
  // One that a new leader has never heard counts from its failover, in which
  // every machine was asked: what it may hold keeps all old jobs waiting.
  const bool matters =
      machine.reported
          ? !machine.task_attempts.empty() && now - context_.started > lease
          : !machine.task_attempts.empty() ||
                now < machine.incarnation.MayLiveUntil(lease);
  if (machine.recorded_up && matters && liveness_.SilentTooLong(machine, now) &&
      liveness_.MayGiveUp(machine, now) &&
      RemoveMachine(machine, LossCause::kSilent, now)) {
    return;
  }
  // Looking through all that is there has no hurry: once a report.
  if (now < machine.next_review) return;
  machine.next_review = now + settings_.workers.heartbeat_interval_seconds / 2;
  if (machine.state() == MachineState::kDraining) StopLeaving(machine, now);
  std::vector<TaskAttemptKey> kept;
  size_t exited = 0;
  for (auto& [key, attempt] : machine.task_attempts) {
    if (attempt.phase == TaskPhase::kExited) {
      ++exited;
      const bool over = attempt.job == nullptr
                            ? reconciler_.MayStopUnknownTask(attempt, now)
                            : attempt.job->ended_by_record() ||
                                  attempt.reason != ExitReason::kDone ||
                                  !cluster_.IsCurrent(machine, attempt);
      // A done exit stays until the record of the job's end stands: if the
      // leader ended first, the next one would begin every task again.
      if (over) dispatcher_.QueueForget(machine, attempt);
      continue;
    }
    const double again =
        attempt.stop_grace + 2 * settings_.workers.heartbeat_interval_seconds;
    const bool unwanted = attempt.job == nullptr
                              ? reconciler_.MayStopUnknownTask(attempt, now)
                              : attempt.job->ended_by_record();
    if ((attempt.stopping && now - attempt.stop_sent > again) ||
        (unwanted && !attempt.stopping &&
         attempt.start_progress != StartProgress::kQueued)) {
      kept.push_back(key);
    }
  }
  for (const TaskAttemptKey& key : kept) {
    const auto it = machine.task_attempts.find(key);
    if (it != machine.task_attempts.end())
      dispatcher_.QueueStop(machine, it->second, 0, now);
  }
  // A report holds every exit until it is cleared; its size has a limit.
  constexpr size_t kMostExits = 250;
  if (exited > kMostExits) {
    for (auto& [key, attempt] : machine.task_attempts) {
      if (attempt.phase == TaskPhase::kExited)
        dispatcher_.QueueForget(machine, attempt);
    }
  }
  dispatcher_.DispatchCommands(machine, now);
}

// Everything on the machine is surely gone, and nothing sent to it before can
// be executed any more: its incarnation has changed, expired, or the machine is
// deleted.
void MachineLifecycle::LogLostTasks(const Machine& machine, const char* why) {
  if (machine.task_attempts.empty()) return;
  context_.Log("lost " + std::to_string(machine.task_attempts.size()) +
               " tasks on " + machine.host() + ": " + why);
}

void MachineLifecycle::LoseTasks(Machine& machine, const char* why) {
  LogLostTasks(machine, why);
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
    context_.Log("machine " + host + " deleted, confirmed by the cloud");
    LogLostTasks(*machine, "deleted");
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
    if (cluster_.IsDeleted(entry.host)) continue;  // the list lags
    Machine* machine = cluster_.FindMachine(entry.host);
    if (machine == nullptr) {
      context_.Log("machine " + entry.host +
                   " was not expected, taken into use");
      Machine& added = cluster_.AddMachine(
          entry.host,
          {entry.type, entry.zone, entry.spot, "",
           now - entry.age_seconds + context_.wall_minus_steady, 0});
      added.requested_at = now - entry.age_seconds;
      machine = &added;
    }
    machine->missing_in_list = false;
    if (entry.state == "failed" &&
        machine->state() != MachineState::kDeleting) {
      AskDelete(*machine, now, "the cloud lists it as failed");
    }
  }
  // Once listed, a machine stays listed until it is gone. One that is neither
  // heard nor listed long after its rental is asked to be deleted, which turns
  // the guess into a certainty.
  const double lag = 2 * settings_.cloud.list_lag_seconds;
  for (auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kGone ||
        listed.contains(machine->host())) {
      continue;
    }
    const bool silent = now - machine->last_heard > lag &&
                        now - machine->requested_at > 2 * lag &&
                        asked - context_.started > lag;
    if (silent && machine->missing_in_list &&
        machine->state() != MachineState::kDeleting &&
        now - machine->reached_by_other > lag) {
      RemoveMachine(*machine, LossCause::kUnlisted, now);
    }
    machine->missing_in_list = true;
  }
}

}  // namespace oxbow
