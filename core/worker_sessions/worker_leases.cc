#include "core/worker_sessions/worker_leases.h"

#include <algorithm>

#include "core/worker_sessions/machine_lifecycle.h"

namespace oxbow {

WorkerLeases::WorkerLeases(
    LeaderContext& context, const Modules& modules,
    const std::optional<std::set<std::string>>& delegates)
    : context_(context),
      settings_(context.settings),
      cluster_(context.cluster),
      actions_(context.actions),
      machine_lifecycle_(modules.machine_lifecycle),
      delegated_leases_(context.settings, context.started, delegates) {}

bool WorkerLeases::MayBeRenewedByDelegate(const Machine& machine,
                                          Time now) const {
  return delegated_leases_.MayBeRenewed(machine.zone, now);
}

// Whether to leave the machine's heartbeats unanswered so that its worker's
// lease expires. This is the case when no response and no command of this
// leader has had an effect there for a whole lease. Once the lease that was
// renewed last has expired, all tasks and commands of earlier leaders are void
// there, whatever the worker reports. If such machines were answered instead,
// every job from before the failover, and every job of a team with a quota,
// would wait for them forever.
bool WorkerLeases::MustLetExpire(const Machine& machine, FencingToken shown,
                                 Time now) const {
  const FencingToken highest_shown =
      std::max(machine.seen_fencing_token, shown);
  return machine.recorded_up && !machine.reported &&
         machine.first_answer >= context_.started &&
         TermOfToken(highest_shown) < context_.term &&
         now > TasksMayLiveUntil(machine.first_answer,
                                 settings_.workers.lease_seconds) +
                   kHeartbeatTimeoutSeconds;
}

bool WorkerLeases::ExpiredUnheard(const Machine& machine, Time now) const {
  return MustLetExpire(machine, machine.seen_fencing_token, now) &&
         !MayBeRenewedByDelegate(machine, now) &&
         now > TasksMayLiveUntil(machine.last_answer,
                                 settings_.workers.lease_seconds);
}

bool WorkerLeases::IncarnationExpired(const Machine& machine, Time now) {
  const double lease = settings_.workers.lease_seconds;
  const Time expires_at = machine.incarnation.MayLiveUntil(lease);
  // The delegates are asked to yield a little before the lease ends, so that
  // the expiry need not wait for their answers.
  const double early = 2 * LeaseYieldSeconds(settings_.workers);
  if (now <= expires_at - early) return false;
  const std::vector<std::string> asked =
      delegated_leases_.PeersToAskToYield(machine.zone, now);
  if (!asked.empty()) actions_.push_back(RequestLeaseYield{asked});
  return now > expires_at && !MayBeRenewedByDelegate(machine, now);
}

void WorkerLeases::Expire(Machine& machine, Time now) {
  machine.incarnation.Change(IncarnationEvent::kExpire, 0, now);
  machine_lifecycle_.MarkTasksLost(machine,
                                   "lease expired, no heartbeat answered");
  machine.reported = true;  // The machine's tasks are known now: none is left.
  machine.idle_since = now;
  cluster_.MarkChanged();
}

void WorkerLeases::BeginTick() { delegates_may_have_renewed_ = false; }

void WorkerLeases::ExpireIfLeaseEnded(Machine& machine, Time now) {
  const bool may_have_tasks = !machine.task_attempts.empty() || machine.batch ||
                              (machine.recorded_up && !machine.reported);
  if (!may_have_tasks ||
      machine.incarnation.state() == IncarnationState::kExpired) {
    return;
  }
  const double silent_seconds =
      now - std::max(machine.last_heard, context_.started);
  delegates_may_have_renewed_ =
      delegates_may_have_renewed_ || silent_seconds > context_.timeouts.suspect;
  if (IncarnationExpired(machine, now)) {
    Expire(machine, now);
  } else if (ExpiredUnheard(machine, now)) {
    context_.Log("lease expired on a machine that receives no responses",
                 {{"host", machine.host()}});
    machine_lifecycle_.MarkTasksLost(machine,
                                     "lease expired, no response received");
    machine.reported = true;
  }
}

void WorkerLeases::EndTick(Time now) {
  if (!delegates_may_have_renewed_ || now < next_delegates_read_) return;
  next_delegates_read_ = now + LeaseYieldSeconds(settings_.workers);
  actions_.push_back(ReadDelegates{});
}

bool WorkerLeases::ZoneMayBeDelegated(const std::string& zone, Time now) const {
  for (const auto& machine : cluster_.machines()) {
    // A machine that has not reported to this leader may have any tasks.
    if (machine->zone == zone && machine->recorded_up && !machine->reported &&
        machine->state() != MachineState::kDeleted) {
      return false;
    }
  }
  const double margin = CancellationMargin(settings_.workers) / 2;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->state() != JobState::kAborted || job->charged_attempts() == 0 ||
        now - job->ended_at < margin) {
      continue;
    }
    for (const auto& [index, presence] : job->presence()) {
      if (presence.charged_attempts > 0 &&
          cluster_.machine(index).zone == zone) {
        return false;
      }
    }
  }
  return true;
}

bool WorkerLeases::OnDelegationRequested(const std::string& peer,
                                         const std::string& process_incarnation,
                                         double age, Time now) {
  for (const PeerSettings& settings : settings_.peers) {
    if (settings.name != peer) continue;
    if (!ZoneMayBeDelegated(settings.zone, now)) return false;
    delegated_leases_.Grant(peer, process_incarnation, age, now);
    return true;
  }
  return false;
}

}  // namespace oxbow
