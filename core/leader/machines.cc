// Machines as a whole: found and added, silent, drained, deleted, and when it
// is certain that an incarnation is over.

#include <algorithm>
#include <array>
#include <memory>

#include "core/leader/leader.h"
#include "core/leader/machine_limits.h"

namespace oxbow {

Machine* Leader::FindMachine(const std::string& host) {
  const auto it = machine_index_.find(host);
  return it == machine_index_.end() ? nullptr : machines_[it->second].get();
}

Machine& Leader::AddMachine(const std::string& host,
                            const MachineRecord& record) {
  const auto index = static_cast<int32_t>(machines_.size());
  machines_.push_back(
      std::make_unique<Machine>(host, record, index, FirstToken(term_)));
  Machine& machine = *machines_.back();
  machine_index_[host] = index;
  const auto type = types_.find(record.type);
  if (type != types_.end()) machine.type = &type->second;
  return machine;
}

bool Leader::IncarnationExpired(const Machine& machine, Time now) {
  const double lease = settings_.workers.lease_seconds;
  // The others are asked a little before, so that nobody waits for them.
  const double early = 2 * LeaseYieldSeconds(settings_.workers);
  if (now <= machine.incarnation.MayLiveUntil(lease) - early) return false;
  const std::vector<std::string> asked = zones_.PeersToAsk(machine.zone, now);
  if (!asked.empty()) actions_.push_back(RequestLeaseYield{asked});
  return now > machine.incarnation.MayLiveUntil(lease) &&
         !zones_.MayBeRenewed(machine.zone, now);
}

bool Leader::ZoneSettled(const std::string& zone, Time now) const {
  for (const auto& machine : machines_) {
    // What it holds is not known yet.
    if (machine->zone == zone && machine->recorded_up && !machine->reported &&
        machine->state() != MachineState::kGone) {
      return false;
    }
  }
  const double margin = CancellationMargin(settings_.workers) / 2;
  for (const auto& [id, job] : jobs_) {
    if (job->state() != JobState::kAborted || job->holding() == 0 ||
        now - job->ended < margin) {
      continue;
    }
    for (const auto& [index, presence] : job->presence()) {
      if (presence.holding > 0 &&
          machines_[static_cast<size_t>(index)]->zone == zone) {
        return false;
      }
    }
  }
  return true;
}

bool Leader::OnDelegationAsked(const std::string& peer,
                               const std::string& process_incarnation,
                               double age, Time now) {
  for (const PeerSettings& settings : settings_.peers) {
    if (settings.name != peer) continue;
    if (!ZoneSettled(settings.zone, now)) return false;
    zones_.Grant(peer, process_incarnation, age, now);
    return true;
  }
  return false;
}

void Leader::Expire(Machine& machine, Time now) {
  machine.incarnation.Change(IncarnationEvent::kExpire, 0, now);
  MarkAllLost(machine, "no report answered for a whole lease");
  machine.reported = true;  // accounted for
  machine.idle_since = now;
  dirty_ = true;
}

bool Leader::Suspect(const Machine& machine, Time now) const {
  return now - machine.last_heard > timeouts_.suspect;
}

// Commands may reach a machine that reaches no controller, and it answers them.
// But nothing renews its lease then: what is started there is lost with it. A
// new leader gives each worker the time that it takes to find it.
bool Leader::Usable(const Machine& machine, Time now) const {
  const Time reported =
      std::max(machine.last_heartbeat,
               started_ + kHeartbeatTimeoutSeconds + kRetryPauseSeconds);
  return now - reported <= timeouts_.suspect &&
         machine.state() == MachineState::kUp && machine.type != nullptr &&
         machine.recorded_up && machine.reported && machine.confirmed() &&
         !machine.batch_lost && machine.incarnation.alive() &&
         machine.orphaned_tasks == 0 && now >= machine.distrusted_until &&
         machine.reachability.MayTakeWork() &&
         now >= machine.direct_broken_until && !Suspect(machine, now);
}

void Leader::Drain(Machine& machine, Time now, const char* why) {
  if (machine.state() != MachineState::kUp) return;
  machine.Change(MachineState::kDraining);
  Log("machine " + machine.host() + " draining: " + why);
  StopLeaving(machine, now);
}

void Leader::StopLeaving(Machine& machine, Time now) {
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
    if (!DisruptionAllowed(key, *attempt.job, now)) continue;  // asked again
    // Services move at once, work that can save does so while there is time.
    // What can't save is left: it may yet end before the machine goes.
    if (spec.kind == JobKind::kService || spec.checkpoint_seconds > 0) {
      const double grace =
          spec.checkpoint_seconds > 0 && spec.save_seconds < left
              ? std::max(spec.save_seconds, left)
              : 0;
      if (spec.kind == JobKind::kGang && spec.tasks > 1) {
        // An orderly stop needs every task of the gang told in time.
        StopTasks(*attempt.job, grace, now);
      } else {
        QueueStop(machine, attempt, grace, now);
      }
    }
  }
}

bool Leader::RemoveMachine(Machine& machine, LossCause cause, Time now) {
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
    Log("machine " + machine.host() + " distrusted: " + why);
    return true;
  }
  machine.given_up =
      cause == LossCause::kSilent || cause == LossCause::kUnlisted;
  AskDelete(machine, now, why);
  return true;
}

void Leader::AskDelete(Machine& machine, Time now, const char* why) {
  if (machine.state() == MachineState::kGone) return;
  if (machine.state() != MachineState::kDeleting) {
    Log("delete " + machine.host() + ": " + why);
    machine.Change(MachineState::kDeleting);
  }
  machine.delete_sent = now;
  actions_.push_back(DeleteMachines{{machine.host()}});
}

void Leader::TickMachine(Machine& machine, Time now, bool by_lease) {
  if (machine.state() == MachineState::kGone) return;
  const double lease = settings_.workers.lease_seconds;
  const bool may_hold = !machine.task_attempts.empty() || machine.batch ||
                        (machine.recorded_up && !machine.reported);
  if (by_lease && may_hold &&
      machine.incarnation.state() != IncarnationState::kExpired) {
    incarnations_unsettled_ =
        incarnations_unsettled_ ||
        now - std::max(machine.last_heard, started_) > timeouts_.suspect;
    if (IncarnationExpired(machine, now)) {
      Expire(machine, now);
    } else if (LeaseExpired(machine, now)) {
      Log("machine " + machine.host() + " hears nothing, what it held is over");
      MarkAllLost(machine, "no answer to it for a whole lease");
      machine.reported = true;
    }
  }
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
                  Suspect(machine, now))) {
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
          ? !machine.task_attempts.empty() && now - started_ > lease
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
                            ? MayStopUnknownTask(attempt, now)
                            : attempt.job->ended_by_record() ||
                                  attempt.reason != ExitReason::kDone ||
                                  !IsCurrent(machine, attempt);
      // A done exit stays until the record of the job's end stands: if the
      // leader ended first, the next one would begin every task again.
      if (over) QueueForget(machine, attempt);
      continue;
    }
    const double again =
        attempt.stop_grace + 2 * settings_.workers.heartbeat_interval_seconds;
    const bool unwanted = attempt.job == nullptr
                              ? MayStopUnknownTask(attempt, now)
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
      QueueStop(machine, it->second, 0, now);
  }
  // A report holds every exit until it is cleared; its size has a limit.
  constexpr size_t kMostExits = 250;
  if (exited > kMostExits) {
    for (auto& [key, attempt] : machine.task_attempts) {
      if (attempt.phase == TaskPhase::kExited) QueueForget(machine, attempt);
    }
  }
  DispatchCommands(machine, now);
}

}  // namespace oxbow
