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
  Machine& m = *machines_.back();
  machine_index_[host] = index;
  const auto type = types_.find(record.type);
  if (type != types_.end()) m.type = &type->second;
  return m;
}

bool Leader::IncarnationExpired(const Machine& m, Time now) {
  const double lease = settings_.workers.lease_seconds;
  // The others are asked a little before, so that nobody waits for them.
  const double early = 2 * LeaseYieldSeconds(settings_.workers);
  if (now <= m.incarnation.MayLiveUntil(lease) - early) return false;
  const std::vector<std::string> asked = zones_.PeersToAsk(m.zone, now);
  if (!asked.empty()) actions_.push_back(RequestLeaseYield{asked});
  return now > m.incarnation.MayLiveUntil(lease) &&
         !zones_.MayBeRenewed(m.zone, now);
}

bool Leader::ZoneSettled(const std::string& zone, Time now) const {
  for (const auto& m : machines_) {
    // What it holds is not known yet.
    if (m->zone == zone && m->recorded_up && !m->reported &&
        m->state() != MachineState::kGone) {
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
  for (const PeerSettings& p : settings_.peers) {
    if (p.name != peer) continue;
    if (!ZoneSettled(p.zone, now)) return false;
    zones_.Grant(peer, process_incarnation, age, now);
    return true;
  }
  return false;
}

void Leader::Expire(Machine& m, Time now) {
  m.incarnation.Change(IncarnationEvent::kExpire, 0, now);
  MarkAllLost(m, "no report answered for a whole lease");
  m.reported = true;  // accounted for
  m.idle_since = now;
  dirty_ = true;
}

bool Leader::Suspect(const Machine& m, Time now) const {
  return now - m.last_heard > timeouts_.suspect;
}

// Commands may reach a machine that reaches no controller, and it answers them.
// But nothing renews its lease then: what is started there is lost with it. A
// new leader gives each worker the time that it takes to find it.
bool Leader::Usable(const Machine& m, Time now) const {
  const Time reported =
      std::max(m.last_heartbeat,
               started_ + kHeartbeatTimeoutSeconds + kRetryPauseSeconds);
  return now - reported <= timeouts_.suspect &&
         m.state() == MachineState::kUp && m.type != nullptr && m.recorded_up &&
         m.reported && m.confirmed() && !m.batch_lost &&
         m.incarnation.alive() && m.orphaned_tasks == 0 &&
         now >= m.distrusted_until && m.reachability.MayTakeWork() &&
         now >= m.direct_broken_until && !Suspect(m, now);
}

void Leader::Drain(Machine& m, Time now, const char* why) {
  if (m.state() != MachineState::kUp) return;
  m.Change(MachineState::kDraining);
  Log("machine " + m.host() + " draining: " + why);
  StopLeaving(m, now);
}

void Leader::StopLeaving(Machine& m, Time now) {
  std::vector<TaskAttemptKey> all;
  for (const auto& [key, r] : m.task_attempts) all.push_back(key);
  for (const TaskAttemptKey& key : all) {
    const auto it = m.task_attempts.find(key);
    if (it == m.task_attempts.end()) continue;
    TaskAttempt& r = it->second;
    if (r.job == nullptr || r.phase == TaskPhase::kExited || r.stopping) {
      continue;
    }
    const JobSpec& spec = r.job->spec();
    const double left = m.notice_until ? *m.notice_until - now : 0;
    if (spec.kind == JobKind::kArray && spec.checkpoint_seconds <= 0) continue;
    if (!DisruptionAllowed(key, *r.job, now)) continue;  // asked again
    // Services move at once, work that can save does so while there is time.
    // What can't save is left: it may yet end before the machine goes.
    if (spec.kind == JobKind::kService || spec.checkpoint_seconds > 0) {
      const double grace =
          spec.checkpoint_seconds > 0 && spec.save_seconds < left
              ? std::max(spec.save_seconds, left)
              : 0;
      if (spec.kind == JobKind::kGang && spec.tasks > 1) {
        // An orderly stop needs every task of the gang told in time.
        StopTasks(*r.job, grace, now);
      } else {
        QueueStop(m, r, grace, now);
      }
    }
  }
}

bool Leader::RemoveMachine(Machine& m, LossCause cause, Time now) {
  if (!liveness_.LossAllowed(m, cause, now)) return false;
  static constexpr std::array<const char*, kLossCauses> kWhy = {
      "silent",
      "neither listed nor heard",
      "did not come up in time",
      "idle",
      "its replicas have room elsewhere",
      "several jobs failed there"};
  const char* why = kWhy[static_cast<size_t>(cause)];
  if (cause == LossCause::kMoved) {
    Drain(m, now, why);
    return true;
  }
  if (cause == LossCause::kDistrusted) {
    m.distrusted_until =
        now + kDistrustLeases * settings_.workers.lease_seconds;
    Log("machine " + m.host() + " distrusted: " + why);
    return true;
  }
  m.given_up = cause == LossCause::kSilent || cause == LossCause::kUnlisted;
  AskDelete(m, now, why);
  return true;
}

void Leader::AskDelete(Machine& m, Time now, const char* why) {
  if (m.state() == MachineState::kGone) return;
  if (m.state() != MachineState::kDeleting) {
    Log("delete " + m.host() + ": " + why);
    m.Change(MachineState::kDeleting);
  }
  m.delete_sent = now;
  actions_.push_back(DeleteMachines{{m.host()}});
}

void Leader::TickMachine(Machine& m, Time now, bool by_lease) {
  if (m.state() == MachineState::kGone) return;
  const double lease = settings_.workers.lease_seconds;
  const bool may_hold =
      !m.task_attempts.empty() || m.batch || (m.recorded_up && !m.reported);
  if (by_lease && may_hold &&
      m.incarnation.state() != IncarnationState::kExpired) {
    incarnations_unsettled_ =
        incarnations_unsettled_ ||
        now - std::max(m.last_heard, started_) > timeouts_.suspect;
    if (IncarnationExpired(m, now)) {
      Expire(m, now);
    } else if (LeaseExpired(m, now)) {
      Log("machine " + m.host() + " hears nothing, what it held is over");
      MarkAllLost(m, "no answer to it for a whole lease");
      m.reported = true;
    }
  }
  if (m.state() == MachineState::kDeleting) {
    if (now - m.delete_sent > lease / 2) AskDelete(m, now, "again");
    return;
  }
  if (m.state() == MachineState::kBooting) {
    const double boot = m.type ? m.type->boot_seconds : 3 * lease;
    if (now - m.requested_at > tuning_.boot_timeout_ratio * boot) {
      RemoveMachine(m, LossCause::kNeverUp, now);
    }
    return;
  }
  if (m.state() == MachineState::kDraining) {
    const bool busy = std::any_of(
        m.task_attempts.begin(), m.task_attempts.end(),
        [](const auto& e) { return e.second.phase != TaskPhase::kExited; });
    if (!busy || (m.notice_until && now > *m.notice_until && Suspect(m, now))) {
      AskDelete(m, now, busy ? "its notice has run out" : "drained");
      return;
    }
  }
  // A silent machine is deleted before its lease ends: the confirmation frees
  // its tasks sooner. Not when many are silent at once, for then it is the
  // network, and they will be back.
  // One that a new leader has never heard counts from its failover, in which
  // every machine was asked: what it may hold keeps all old jobs waiting.
  const bool matters =
      m.reported
          ? !m.task_attempts.empty() && now - started_ > lease
          : !m.task_attempts.empty() || now < m.incarnation.MayLiveUntil(lease);
  if (m.recorded_up && matters && liveness_.SilentTooLong(m, now) &&
      liveness_.MayGiveUp(m, now) &&
      RemoveMachine(m, LossCause::kSilent, now)) {
    return;
  }
  // Looking through all that is there has no hurry: once a report.
  if (now < m.next_review) return;
  m.next_review = now + settings_.workers.heartbeat_interval_seconds / 2;
  if (m.state() == MachineState::kDraining) StopLeaving(m, now);
  std::vector<TaskAttemptKey> kept;
  size_t exited = 0;
  for (auto& [key, r] : m.task_attempts) {
    if (r.phase == TaskPhase::kExited) {
      ++exited;
      const bool over = r.job == nullptr ? MayStopUnknownTask(r, now)
                                         : r.job->ended_by_record() ||
                                               r.reason != ExitReason::kDone ||
                                               !IsCurrent(m, r);
      // A done exit stays until the record of the job's end stands: if the
      // leader ended first, the next one would begin every task again.
      if (over) QueueForget(m, r);
      continue;
    }
    const double again =
        r.stop_grace + 2 * settings_.workers.heartbeat_interval_seconds;
    const bool unwanted = r.job == nullptr ? MayStopUnknownTask(r, now)
                                           : r.job->ended_by_record();
    if ((r.stopping && now - r.stop_sent > again) ||
        (unwanted && !r.stopping &&
         r.start_progress != StartProgress::kQueued)) {
      kept.push_back(key);
    }
  }
  for (const TaskAttemptKey& key : kept) {
    const auto it = m.task_attempts.find(key);
    if (it != m.task_attempts.end()) QueueStop(m, it->second, 0, now);
  }
  // A report holds every exit until it is cleared; its size has a limit.
  constexpr size_t kMostExits = 250;
  if (exited > kMostExits) {
    for (auto& [key, r] : m.task_attempts) {
      if (r.phase == TaskPhase::kExited) QueueForget(m, r);
    }
  }
  DispatchCommands(m, now);
}

}  // namespace oxbow
