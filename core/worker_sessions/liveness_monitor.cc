#include "core/worker_sessions/liveness_monitor.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

LeaderHealth::Limits LeaderHealthLimits(const Settings& settings,
                                        const Tuning& tuning,
                                        const SilenceTimeouts& timeouts) {
  // Of a lease. Most of it must be left: each worker tries a controller that
  // doesn't answer for one heartbeat timeout, and then pauses, until it finds
  // the next leader.
  constexpr double kBlindAfterLeases = 0.2;
  const double lease = settings.workers.lease_seconds;
  LeaderHealth::Limits limits;
  limits.troubled_share = tuning.troubled_share;
  limits.minimum_received_share = tuning.deaf_share;
  limits.survey_pause_seconds = settings.workers.heartbeat_interval_seconds / 2;
  limits.max_survey_pause_seconds = lease / 2;
  limits.step_down_after_seconds = kBlindAfterLeases * lease;
  // A new leader's first seconds take all of its processor time: its own probes
  // are late then and prove nothing.
  limits.min_leadership_seconds =
      std::max(timeouts.overdue, tuning.leader_lease_ratio * lease);
  return limits;
}

RemovalLimiter::Limits LossLimits(const Settings& settings,
                                  const Tuning& tuning) {
  RemovalLimiter::Limits limits;
  limits.window_seconds =
      tuning.limit_window_leases * settings.workers.lease_seconds;
  limits.fleet = {tuning.silent_share,   tuning.unlisted_share,
                  tuning.never_up_share, tuning.idle_share,
                  tuning.moved_share,    tuning.distrusted_share};
  limits.zone = tuning.zone_share;
  limits.service = tuning.service_share;
  return limits;
}

// Since when the machine has been silent as far as this leadership can tell, or
// since when it has received no response: the heartbeats of such a machine
// prove no more than that it exists.
Time QuietSince(const Machine& machine, Time started) {
  const Time last_useful =
      machine.reachability.receives_no_responses()
          ? std::min(machine.last_heard,
                     machine.reachability.receives_none_since())
          : machine.last_heard;
  return std::max(last_useful, started);
}

// Whether the machine's silence would be evidence about this controller. One
// that was given up for its silence keeps counting until the cloud has
// confirmed the deletion, or each deletion would make the rest look healthier.
// One deleted for another reason falls silent because of that.
bool Counts(const Machine& machine) {
  return machine.recorded_up && machine.state() != MachineState::kDeleted &&
         (machine.state() != MachineState::kDeleting ||
          machine.deleted_for_silence);
}

// What the removal of the machine takes away from services.
CapacityRemoval LossOf(const Machine& machine, RemovalCause cause) {
  CapacityRemoval loss;
  loss.cause = cause;
  loss.zone = machine.zone;
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (attempt.job == nullptr || attempt.phase == TaskPhase::kExited ||
        attempt.job->spec().kind != JobKind::kService) {
      continue;
    }
    if (loss.services.empty() || loss.services.back().job != key.job_id) {
      loss.services.push_back(
          {key.job_id, 0, static_cast<int>(attempt.job->size())});
    }
    ++loss.services.back().replicas;
  }
  return loss;
}

}  // namespace

LivenessMonitor::LivenessMonitor(const Settings& settings, const Tuning& tuning,
                                 const SilenceTimeouts& timeouts,
                                 const Machines& machines, Time started,
                                 uint64_t seed, std::vector<Action>& actions)
    : settings_(settings),
      timeouts_(timeouts),
      machines_(machines),
      started_(started),
      actions_(actions),
      leader_health_(LeaderHealthLimits(settings, tuning, timeouts), started),
      limiter_(LossLimits(settings, tuning)),
      sampling_(seed) {}

void LivenessMonitor::Log(std::string message, LogFields fields) {
  actions_.push_back(LogEvent{std::move(message), std::move(fields)});
}

bool LivenessMonitor::HeartbeatOverdue(const Machine& machine, Time now) const {
  // Until a worker has waited in vain and tried another controller, its silence
  // is no evidence against a leader that has just been elected. Neither is that
  // of a worker whose heartbeats another controller forwards, which may have
  // ended: each restart of one would move the leadership for nothing.
  constexpr double kFindsAnotherSeconds =
      kHeartbeatTimeoutSeconds + kRetryPauseSeconds;
  const Time from = std::max(
      machine.last_heartbeat + (machine.forwarded ? kFindsAnotherSeconds : 0),
      started_ + kFindsAnotherSeconds);
  return now - from > timeouts_.overdue;
}

void LivenessMonitor::CountSilentMachines(Time now) {
  heartbeats_received_ = CountReceived(now);
  // An alarm ends when nothing has been refused for a window: there may never
  // be another act of its kind to be allowed.
  for (size_t i = 0; i < kRemovalCauses; ++i) {
    if (now - refused_at_[i] > limiter_.limits().window_seconds) {
      refusals_[i] = RemovalDecision::kAllowed;
    }
  }
  const LeaderHealthState before = leader_health_.state();
  leader_health_.Observe(heartbeats_received_, now);
  if (leader_health_.state() == before) return;
  Log(leader_health_.healthy() ? "enough heartbeats received again"
                               : "few heartbeats received",
      {{"silent", heartbeats_received_.silent},
       {"troubled", heartbeats_received_.troubled},
       {"machines", heartbeats_received_.recorded}});
}

HeartbeatsReceived LivenessMonitor::CountReceived(Time now) const {
  HeartbeatsReceived received;
  for (const auto& machine : machines_) {
    if (!Counts(*machine)) continue;
    ++received.recorded;
    const bool silent =
        now - QuietSince(*machine, started_) > timeouts_.overdue;
    received.silent += silent;
    received.troubled += silent ||
                         now < machine->direct_commands_disabled_until ||
                         machine->reachability.receives_no_responses() ||
                         HeartbeatOverdue(*machine, now);
  }
  return received;
}

bool LivenessMonitor::FewSilent() const {
  // One in six may be dead machines; more at once is the network, and they
  // will be back. At least one that is not silent proves that messages arrive.
  constexpr int kOneIn = 6;
  return heartbeats_received_.silent < heartbeats_received_.recorded &&
         heartbeats_received_.silent <=
             std::max(1, heartbeats_received_.recorded / kOneIn);
}

// Machines that lose the responses together are found out one after the other,
// over the time between two heartbeats and a worker's timeout; all must count
// before one is given up.
bool LivenessMonitor::SilentTooLong(const Machine& machine, Time now) const {
  const double spread = machine.reachability.receives_no_responses()
                            ? kHeartbeatTimeoutSeconds / 2
                            : 0;
  return now - QuietSince(machine, started_) > timeouts_.give_up + spread;
}

// A single silent machine is given up, if nobody else reaches it either.
bool LivenessMonitor::MayGiveUp(const Machine& machine, Time now) const {
  if (!FewSilent()) return false;
  if (settings_.peers.empty()) {
    // One that receives no responses but may be reached at its address is left
    // until its lease expires.
    return !machine.reachability.receives_no_responses() ||
           now < machine.direct_commands_disabled_until;
  }
  const Time quiet_since = QuietSince(machine, started_);
  if (machine.last_reached_by_peer > quiet_since &&
      now - machine.last_reached_by_peer < timeouts_.give_up) {
    return false;
  }
  // An answer from before many were silent is no evidence: nobody has been
  // asked since.
  return machine.last_unreached_by_peers >
         std::max(quiet_since, now - timeouts_.give_up);
}

bool LivenessMonitor::RemovalAllowed(const Machine& machine, RemovalCause cause,
                                     Time now) {
  // A leader that suspects its own network removes nothing for other reasons
  // either: idle, listed and booted are concluded from what it receives.
  if (cause != RemovalCause::kSilent && !leader_health_.healthy()) return false;
  int fleet = 0;
  int zone = 0;
  for (const auto& other : machines_) {
    if (other->state() == MachineState::kDeleted) continue;
    ++fleet;
    zone += other->zone == machine.zone;
  }
  const RemovalDecision decision =
      limiter_.RequestRemoval(LossOf(machine, cause), fleet, zone, now);
  const auto index = static_cast<size_t>(cause);
  if (decision != RemovalDecision::kAllowed &&
      refusals_[index] == RemovalDecision::kAllowed) {
    Log("alarm: removal of machines is limited",
        {{"cause", NameOf(cause)},
         {"limit", NameOf(decision)},
         {"removed", limiter_.CountInWindow(cause, now)},
         {"window_seconds", limiter_.limits().window_seconds},
         {"machines", fleet}});
  }
  refusals_[index] = decision;
  if (decision != RemovalDecision::kAllowed) refused_at_[index] = now;
  return decision == RemovalDecision::kAllowed;
}

std::vector<std::string> LivenessMonitor::Alarms() const {
  std::vector<std::string> alarms;
  if (!leader_health_.healthy()) {
    alarms.push_back(
        "few reports heard: " + std::to_string(heartbeats_received_.silent) +
        " silent and " + std::to_string(heartbeats_received_.troubled) +
        " troubled of " + std::to_string(heartbeats_received_.recorded) +
        " machines");
  }
  for (size_t i = 0; i < kRemovalCauses; ++i) {
    if (refusals_[i] == RemovalDecision::kAllowed) continue;
    alarms.push_back("nothing more taken away as " +
                     std::string(NameOf(static_cast<RemovalCause>(i))) + ": " +
                     std::string(NameOf(refusals_[i])));
  }
  return alarms;
}

uint64_t LivenessMonitor::StartSurvey(const std::vector<Machine*>& machines,
                                      SurveyKind kind, Time now) {
  AskReach ask;
  ask.sample = kind == SurveyKind::kSample;
  ask.round = next_round_++;
  for (const Machine* machine : machines) {
    ask.hosts.push_back(machine->host());
    ask.endpoints.push_back(machine->endpoint);
  }
  surveys_[ask.round] = {machines, now};
  const uint64_t round = ask.round;
  actions_.push_back(std::move(ask));
  return round;
}

// Before a machine is given up, every controller is asked about it, early
// enough for the answer to be there in time.
void LivenessMonitor::SurveySilentMachines(Time now) {
  // Each machine costs every controller a connection for a moment.
  constexpr size_t kMaxSurveyed = 64;
  if (settings_.peers.empty() || silent_round_ != 0 || !FewSilent()) return;
  std::vector<Machine*> about;
  for (auto& machine : machines_) {
    if (!machine->recorded_up || machine->state() == MachineState::kDeleted ||
        machine->state() == MachineState::kDeleting ||
        machine->endpoint.empty() ||
        now - QuietSince(*machine, started_) <= timeouts_.asked ||
        now - machine->peers_last_asked <
            settings_.workers.heartbeat_interval_seconds) {
      continue;
    }
    machine->peers_last_asked = now;
    about.push_back(machine.get());
    if (about.size() == kMaxSurveyed) break;
  }
  if (!about.empty()) {
    silent_round_ = StartSurvey(about, SurveyKind::kSilent, now);
  }
}

void LivenessMonitor::StartSurveys(Time now) {
  SurveySilentMachines(now);
  SurveySample(now);
}

// A sample of all machines, silent or not: a controller that reached only what
// this one does not would be no better leader.
void LivenessMonitor::SurveySample(Time now) {
  if (settings_.peers.empty() || !leader_health_.IsSurveyDue(now)) return;
  std::vector<Machine*> all;
  for (const auto& machine : machines_) {
    if (Counts(*machine) && !machine->endpoint.empty())
      all.push_back(machine.get());
  }
  std::vector<Machine*> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample),
              kSurveySampleSize, sampling_);
  if (sample.empty()) return;
  leader_health_.OnSurveyStarted(now);
  health_round_ = StartSurvey(sample, SurveyKind::kSample, now);
}

bool LivenessMonitor::OnReachabilityAnswers(
    uint64_t round, std::vector<ReachabilityAnswer> answers, Time now) {
  const auto it = surveys_.find(round);
  if (it == surveys_.end() || answers.empty()) return true;
  const Survey survey = std::move(it->second);
  surveys_.erase(it);
  for (size_t i = 0; i < survey.machines.size(); ++i) {
    ApplyAnswers(*survey.machines[i], i, survey.asked_at, &answers, now);
  }
  if (round == silent_round_) silent_round_ = 0;
  if (round != health_round_) return true;
  health_round_ = 0;
  const LeaderHealth::Decision decision =
      leader_health_.OnSurveyAnswered(answers, now);
  switch (decision.kind) {
    case LeaderHealth::Decision::Kind::kStay:
      break;
    case LeaderHealth::Decision::Kind::kOfferLeadershipTransfer:
      actions_.push_back(OfferLeadershipTransfer{decision.to, decision.why});
      break;
    case LeaderHealth::Decision::Kind::kStepDown:
      actions_.push_back(Resign{decision.why, /*unfit=*/true});
      return false;
  }
  return true;
}

void LivenessMonitor::ApplyAnswers(Machine& machine, size_t index,
                                   Time asked_at,
                                   std::vector<ReachabilityAnswer>* answers,
                                   Time now) const {
  if (machine.state() == MachineState::kDeleted) return;
  ReachabilityAnswer& own = answers->front();
  const bool last_reached_by_peer =
      std::any_of(answers->begin() + 1, answers->end(),
                  [index](const ReachabilityAnswer& other) {
                    return other.Reaches(index);
                  });
  if (last_reached_by_peer) {
    machine.last_reached_by_peer = now;
  } else if (own.FailsToReach(index)) {
    // As of the question: a leader that was stalled reads the answer late, and
    // the machine may have come back since.
    machine.last_unreached_by_peers =
        std::max(machine.last_unreached_by_peers, asked_at);
  }
  // A machine whose heartbeats don't arrive does not count as reached, whether
  // or not it answers probes: only heartbeats renew its lease.
  if (own.Reaches(index) && HeartbeatOverdue(machine, now)) {
    own.machines[index] = ReachabilityAnswer::kNotReached;
  }
}

void LivenessMonitor::OnTransferRejected(const std::string& why, Time now) {
  Log("leadership transfer rejected, keeping leadership", {{"reason", why}});
  leader_health_.OfferRefused(now);
}

}  // namespace oxbow
