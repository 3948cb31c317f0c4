#include "core/worker_sessions/liveness_monitor.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

LeaderHealth::Limits LeaderHealthLimits(const Settings& settings,
                                        const Tuning& tuning,
                                        const SilenceTimeouts& timeouts) {
  // How long this controller keeps leading while it receives next to no
  // heartbeats and no controller answers, in worker leases. Most of the lease
  // must remain for the workers to find the next leader: each spends one
  // heartbeat timeout and a pause on every controller that doesn't answer.
  constexpr double kBlindAfterLeases = 0.2;
  const double lease = settings.workers.lease_seconds;
  LeaderHealth::Limits limits;
  limits.troubled_share = tuning.troubled_share;
  limits.minimum_received_share = tuning.deaf_share;
  limits.survey_pause_seconds = settings.workers.heartbeat_interval_seconds / 2;
  limits.max_survey_pause_seconds = lease / 2;
  limits.step_down_after_seconds = kBlindAfterLeases * lease;
  // In its first seconds a new leader uses all of its processor time. Its own
  // probes are late then, so their results prove nothing.
  limits.min_leadership_seconds =
      std::max(timeouts.overdue, tuning.leader_lease_ratio * lease);
  return limits;
}

RemovalLimiter::Limits RemovalLimits(const Settings& settings,
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

// Since when the machine has been silent under this leadership or, if that is
// earlier, since when it has received no responses: heartbeats from a machine
// that receives no responses show that it exists, but do not renew its lease.
Time NoContactSince(const Machine& machine, Time started) {
  const Time last_useful =
      machine.reachability.receives_no_responses()
          ? std::min(machine.last_heard,
                     machine.reachability.receives_none_since())
          : machine.last_heard;
  return std::max(last_useful, started);
}

// Whether the machine's silence counts as evidence that this controller's
// network is faulty. A machine that was given up because of its silence counts
// until the cloud has confirmed the deletion; otherwise each deletion would
// lower the share of silent machines. A machine that is being deleted for
// another reason doesn't count, since the deletion explains its silence.
bool SilenceCounts(const Machine& machine) {
  return machine.recorded_up && machine.state() != MachineState::kDeleted &&
         (machine.state() != MachineState::kDeleting ||
          machine.deleted_for_silence);
}

// What removing the machine would cost: its replicas, by service.
CapacityRemoval CapacityRemovalOf(const Machine& machine, RemovalCause cause) {
  CapacityRemoval removal;
  removal.cause = cause;
  removal.zone = machine.zone;
  for (const auto& [key, attempt] : machine.task_attempts) {
    if (attempt.job == nullptr || attempt.phase == TaskPhase::kExited ||
        attempt.job->spec().kind != JobKind::kService) {
      continue;
    }
    if (removal.services.empty() || removal.services.back().job != key.job_id) {
      removal.services.push_back(
          {key.job_id, 0, static_cast<int>(attempt.job->size())});
    }
    ++removal.services.back().replicas;
  }
  return removal;
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
      limiter_(RemovalLimits(settings, tuning)),
      sample_rng_(seed) {}

void LivenessMonitor::Log(std::string message, LogFields fields) {
  actions_.push_back(LogEvent{std::move(message), std::move(fields)});
}

bool LivenessMonitor::HeartbeatOverdue(const Machine& machine, Time now) const {
  // How long a worker takes to give up on a controller that doesn't answer and
  // to try the next one. Until then its missing heartbeats say nothing about
  // the network of a leader that has just been elected. The same time is
  // granted to a worker whose heartbeats another controller forwards, since
  // that controller may have stopped: otherwise each restart of a controller
  // would cause a needless leadership transfer.
  constexpr double kControllerSwitchSeconds =
      kHeartbeatTimeoutSeconds + kRetryPauseSeconds;
  const Time from =
      std::max(machine.last_heartbeat +
                   (machine.forwarded ? kControllerSwitchSeconds : 0),
               started_ + kControllerSwitchSeconds);
  return now - from > timeouts_.overdue;
}

void LivenessMonitor::CountSilentMachines(Time now) {
  heartbeats_received_ = CountReceived(now);
  // An alarm about refused removals ends when none has been refused for one
  // window. It can't wait for a removal that is allowed, since there may be no
  // further request for that cause.
  for (size_t i = 0; i < kRemovalCauses; ++i) {
    if (now - last_refused_at_[i] > limiter_.limits().window_seconds) {
      latest_decisions_[i] = RemovalDecision::kAllowed;
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
    if (!SilenceCounts(*machine)) continue;
    ++received.recorded;
    const bool silent =
        now - NoContactSince(*machine, started_) > timeouts_.overdue;
    received.silent += silent;
    received.troubled += silent ||
                         now < machine->direct_commands_disabled_until ||
                         machine->reachability.receives_no_responses() ||
                         HeartbeatOverdue(*machine, now);
  }
  return received;
}

bool LivenessMonitor::FewMachinesSilent() const {
  // Up to one machine in six may be dead. When more fall silent at once, the
  // cause is the network, and the machines will come back. At least one machine
  // must be heard, as proof that messages arrive here at all.
  constexpr int kMachinesPerSilentOne = 6;
  return heartbeats_received_.silent < heartbeats_received_.recorded &&
         heartbeats_received_.silent <=
             std::max(1, heartbeats_received_.recorded / kMachinesPerSilentOne);
}

// When several machines stop receiving responses at the same moment, the leader
// notices this for one after the other, over the time between two heartbeats
// and a worker's heartbeat timeout. The extra wait makes sure that all of them
// count as silent before the first one is given up.
bool LivenessMonitor::SilentTooLong(const Machine& machine, Time now) const {
  const double detection_spread_seconds =
      machine.reachability.receives_no_responses()
          ? kHeartbeatTimeoutSeconds / 2
          : 0;
  return now - NoContactSince(machine, started_) >
         timeouts_.give_up + detection_spread_seconds;
}

// A machine is given up only while few are silent, and only if no other
// controller reaches it either.
bool LivenessMonitor::MayGiveUp(const Machine& machine, Time now) const {
  if (!FewMachinesSilent()) return false;
  if (settings_.peers.empty()) {
    // There is no other controller to ask. A machine that receives no responses
    // but can still be reached at its address is kept until its lease expires.
    return !machine.reachability.receives_no_responses() ||
           now < machine.direct_commands_disabled_until;
  }
  const Time no_contact_since = NoContactSince(machine, started_);
  if (machine.last_reached_by_peer > no_contact_since &&
      now - machine.last_reached_by_peer < timeouts_.give_up) {
    return false;
  }
  // Only a recent answer counts. While many machines were silent no survey was
  // made, so an answer from before that time says nothing about the present.
  return machine.last_unreached_by_peers >
         std::max(no_contact_since, now - timeouts_.give_up);
}

bool LivenessMonitor::RemovalAllowed(const Machine& machine, RemovalCause cause,
                                     Time now) {
  // A leader that suspects its own network removes nothing for other causes
  // either: that a machine is idle, unlisted or did not boot is also concluded
  // from the messages that the leader receives.
  if (cause != RemovalCause::kSilent && !leader_health_.healthy()) return false;
  int fleet = 0;
  int zone = 0;
  for (const auto& other : machines_) {
    if (other->state() == MachineState::kDeleted) continue;
    ++fleet;
    zone += other->zone == machine.zone;
  }
  const RemovalDecision decision = limiter_.RequestRemoval(
      CapacityRemovalOf(machine, cause), fleet, zone, now);
  const auto index = static_cast<size_t>(cause);
  if (decision != RemovalDecision::kAllowed &&
      latest_decisions_[index] == RemovalDecision::kAllowed) {
    Log("alarm: removal of machines is limited",
        {{"cause", NameOf(cause)},
         {"limit", NameOf(decision)},
         {"removed", limiter_.CountInWindow(cause, now)},
         {"window_seconds", limiter_.limits().window_seconds},
         {"machines", fleet}});
  }
  latest_decisions_[index] = decision;
  if (decision != RemovalDecision::kAllowed) last_refused_at_[index] = now;
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
    if (latest_decisions_[i] == RemovalDecision::kAllowed) continue;
    alarms.push_back("nothing more taken away as " +
                     std::string(NameOf(static_cast<RemovalCause>(i))) + ": " +
                     std::string(NameOf(latest_decisions_[i])));
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

// Asks every controller about each silent machine before the machine can be
// given up, early enough for the answers to arrive in time.
void LivenessMonitor::SurveySilentMachines(Time now) {
  // Machines in one survey: each of them costs every controller a short-lived
  // connection.
  constexpr size_t kMaxMachinesPerSurvey = 64;
  if (settings_.peers.empty() || silent_survey_round_ != 0 ||
      !FewMachinesSilent())
    return;
  std::vector<Machine*> to_survey;
  for (auto& machine : machines_) {
    if (!machine->recorded_up || machine->state() == MachineState::kDeleted ||
        machine->state() == MachineState::kDeleting ||
        machine->endpoint.empty() ||
        now - NoContactSince(*machine, started_) <= timeouts_.asked ||
        now - machine->peers_last_asked <
            settings_.workers.heartbeat_interval_seconds) {
      continue;
    }
    machine->peers_last_asked = now;
    to_survey.push_back(machine.get());
    if (to_survey.size() == kMaxMachinesPerSurvey) break;
  }
  if (!to_survey.empty()) {
    silent_survey_round_ = StartSurvey(to_survey, SurveyKind::kSilent, now);
  }
}

void LivenessMonitor::StartSurveys(Time now) {
  SurveySilentMachines(now);
  SurveyMachineSample(now);
}

// Asks about a sample of all machines, silent or not. A survey of the silent
// ones alone would favour a controller that reaches just these and none of the
// others, which would be no better leader.
void LivenessMonitor::SurveyMachineSample(Time now) {
  if (settings_.peers.empty() || !leader_health_.IsSurveyDue(now)) return;
  std::vector<Machine*> all;
  for (const auto& machine : machines_) {
    if (SilenceCounts(*machine) && !machine->endpoint.empty())
      all.push_back(machine.get());
  }
  std::vector<Machine*> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample),
              kSurveySampleSize, sample_rng_);
  if (sample.empty()) return;
  leader_health_.OnSurveyStarted(now);
  sample_survey_round_ = StartSurvey(sample, SurveyKind::kSample, now);
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
  if (round == silent_survey_round_) silent_survey_round_ = 0;
  if (round != sample_survey_round_) return true;
  sample_survey_round_ = 0;
  const LeaderHealth::Decision decision =
      leader_health_.OnSurveyAnswered(answers, now);
  switch (decision.kind) {
    case LeaderHealth::Decision::Kind::kStay:
      break;
    case LeaderHealth::Decision::Kind::kOfferLeadershipTransfer:
      actions_.push_back(OfferLeadershipTransfer{decision.to, decision.why});
      break;
    case LeaderHealth::Decision::Kind::kStepDown:
      actions_.push_back(
          Resign{decision.why, /*prefer_other_candidates=*/true});
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
  const bool peer_reaches_it =
      std::any_of(answers->begin() + 1, answers->end(),
                  [index](const ReachabilityAnswer& other) {
                    return other.Reaches(index);
                  });
  if (peer_reaches_it) {
    machine.last_reached_by_peer = now;
  } else if (own.FailsToReach(index)) {
    // Dated at the time of the question: a leader that was stalled reads the
    // answer late, and the machine may have become reachable since.
    machine.last_unreached_by_peers =
        std::max(machine.last_unreached_by_peers, asked_at);
  }
  // A machine whose heartbeats don't arrive counts as not reached even if it
  // answers probes, since only heartbeats renew its lease.
  if (own.Reaches(index) && HeartbeatOverdue(machine, now)) {
    own.machines[index] = ReachabilityAnswer::kNotReached;
  }
}

void LivenessMonitor::OnTransferRejected(const std::string& why, Time now) {
  Log("leadership transfer rejected, keeping leadership", {{"reason", why}});
  leader_health_.OfferRefused(now);
}

}  // namespace oxbow
