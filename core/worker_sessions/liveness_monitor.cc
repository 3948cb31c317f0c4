// What the leader hears of its machines, what it asks the others about them,
// and what it may do about those it doesn't hear.

#include "core/worker_sessions/liveness_monitor.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

LeaderHealth::Limits LeaderHealthLimits(const Settings& settings,
                                        const Tuning& tuning,
                                        const SilenceTimeouts& timeouts) {
  // Of a lease. Most of it must be left: each worker tries a controller that
  // doesn't answer for 4 s, and waits 1 s, until it comes to the next leader.
  constexpr double kBlindAfter = 0.2;
  const double lease = settings.workers.lease_seconds;
  LeaderHealth::Limits limits;
  limits.troubled_share = tuning.troubled_share;
  limits.deaf_share = tuning.deaf_share;
  limits.pause_seconds = settings.workers.heartbeat_interval_seconds / 2;
  limits.longest_pause_seconds = lease / 2;
  limits.blind_after_seconds = kBlindAfter * lease;
  // A new leader's first seconds take all of its processor, and its own probes
  // late then say nothing.
  limits.settle_seconds =
      std::max(timeouts.overdue, tuning.leader_lease_ratio * lease);
  return limits;
}

LossLimiter::Limits LossLimits(const Settings& settings, const Tuning& tuning) {
  LossLimiter::Limits limits;
  limits.window_seconds =
      tuning.limit_window_leases * settings.workers.lease_seconds;
  limits.fleet = {tuning.silent_share,   tuning.unlisted_share,
                  tuning.never_up_share, tuning.idle_share,
                  tuning.moved_share,    tuning.distrusted_share};
  limits.zone = tuning.zone_share;
  limits.service = tuning.service_share;
  return limits;
}

// Since when nothing has been heard of the machine, as far as this leadership
// can tell, or since when it has heard nothing: the heartbeats of a deaf
// machine say no more than that it is there.
Time QuietSince(const Machine& machine, Time started) {
  const Time heard =
      machine.reachability.deaf()
          ? std::min(machine.last_heard, machine.reachability.deaf_since())
          : machine.last_heard;
  return std::max(heard, started);
}

// Whether the machine says something about what this controller hears. One that
// has been given up for its silence goes on counting until the cloud has
// confirmed: else each deletion would make the rest look healthier. One deleted
// for another reason falls silent by that.
bool Counts(const Machine& machine) {
  return machine.recorded_up && machine.state() != MachineState::kGone &&
         (machine.state() != MachineState::kDeleting || machine.given_up);
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

void LivenessMonitor::Log(std::string text) {
  actions_.push_back(LogEvent{std::move(text)});
}

bool LivenessMonitor::HeartbeatOverdue(const Machine& machine, Time now) const {
  // Until a worker has waited in vain and tried another controller, its silence
  // says nothing about a leader that has just taken office, nor does that of
  // one that reports by way of another controller, which may have ended: each
  // restart of one would else move the lead, for nothing.
  constexpr double kFindsAnotherSeconds =
      kHeartbeatTimeoutSeconds + kRetryPauseSeconds;
  const Time from = std::max(
      machine.last_heartbeat + (machine.forwarded ? kFindsAnotherSeconds : 0),
      started_ + kFindsAnotherSeconds);
  return now - from > timeouts_.overdue;
}

void LivenessMonitor::Count(Time now) {
  HeartbeatsReceived heard;
  for (const auto& machine : machines_) {
    if (!Counts(*machine)) continue;
    ++heard.recorded;
    const bool silent =
        now - QuietSince(*machine, started_) > timeouts_.overdue;
    heard.silent += silent;
    heard.troubled += silent || now < machine->direct_broken_until ||
                      machine->reachability.deaf() ||
                      HeartbeatOverdue(*machine, now);
  }
  heartbeats_received_ = heard;
  // An alarm ends when nothing has been refused for a window: there may never
  // be another act of its kind to be allowed.
  for (size_t i = 0; i < kLossCauses; ++i) {
    if (now - refused_at_[i] > limiter_.limits().window_seconds) {
      refusals_[i] = LossDecision::kAllowed;
    }
  }
  const LeaderHealthState before = leader_health_.state();
  leader_health_.Observe(heard, now);
  if (leader_health_.state() == before) return;
  Log(std::string(leader_health_.healthy() ? "enough reports heard again"
                                           : "few reports heard") +
      ": " + std::to_string(heard.silent) + " silent and " +
      std::to_string(heard.troubled) + " troubled of " +
      std::to_string(heard.recorded) + " machines");
}

bool LivenessMonitor::FewSilent() const {
  // One in six may be dead machines; more at once is the network, and they
  // will be back. The last one that is heard tells the leader that it hears.
  constexpr int kShare = 6;
  return heartbeats_received_.silent < heartbeats_received_.recorded &&
         heartbeats_received_.silent <=
             std::max(1, heartbeats_received_.recorded / kShare);
}

// Machines that go deaf together are seen to be so over the time between two
// reports and that of a worker's waits; all must count before one is given up.
bool LivenessMonitor::SilentTooLong(const Machine& machine, Time now) const {
  const double spread =
      machine.reachability.deaf() ? kHeartbeatTimeoutSeconds / 2 : 0;
  return now - QuietSince(machine, started_) > timeouts_.give_up + spread;
}

// A single silent machine is given up, if nobody else reaches it either.
bool LivenessMonitor::MayGiveUp(const Machine& machine, Time now) const {
  if (!FewSilent()) return false;
  if (settings_.peers.empty()) {
    // A deaf one whose address may be reached is left to its leases.
    return !machine.reachability.deaf() || now < machine.direct_broken_until;
  }
  const Time quiet_since = QuietSince(machine, started_);
  if (machine.reached_by_other > quiet_since &&
      now - machine.reached_by_other < timeouts_.give_up) {
    return false;
  }
  // An answer from before many were silent says nothing about now: nobody has
  // been asked since.
  return machine.reached_by_none >
         std::max(quiet_since, now - timeouts_.give_up);
}

bool LivenessMonitor::LossAllowed(const Machine& machine, LossCause cause,
                                  Time now) {
  const auto index = static_cast<size_t>(cause);
  // A leader that suspects its own network takes nothing away for other reasons
  // either: idle, listed and booted are read off what it hears.
  if (cause != LossCause::kSilent && !leader_health_.healthy()) return false;
  int fleet = 0;
  int zone = 0;
  for (const auto& other : machines_) {
    if (other->state() == MachineState::kGone) continue;
    ++fleet;
    zone += other->zone == machine.zone;
  }
  Loss loss;
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
  const LossDecision verdict = limiter_.Ask(loss, fleet, zone, now);
  if (verdict != LossDecision::kAllowed &&
      refusals_[index] == LossDecision::kAllowed) {
    Log("alarm: no more machines are taken away as " +
        std::string(NameOf(cause)) + ", " + std::string(NameOf(verdict)) +
        " is reached: " + std::to_string(limiter_.Asked(cause, now)) +
        " within " + std::to_string(limiter_.limits().window_seconds) +
        " s of " + std::to_string(fleet));
  }
  refusals_[index] = verdict;
  if (verdict != LossDecision::kAllowed) refused_at_[index] = now;
  return verdict == LossDecision::kAllowed;
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
  for (size_t i = 0; i < kLossCauses; ++i) {
    if (refusals_[i] == LossDecision::kAllowed) continue;
    alarms.push_back("nothing more taken away as " +
                     std::string(NameOf(static_cast<LossCause>(i))) + ": " +
                     std::string(NameOf(refusals_[i])));
  }
  return alarms;
}

uint64_t LivenessMonitor::Ask(const std::vector<Machine*>& about, bool sample,
                              Time now) {
  AskReach ask;
  ask.sample = sample;
  ask.round = next_round_++;
  for (const Machine* machine : about) {
    ask.hosts.push_back(machine->host());
    ask.endpoints.push_back(machine->endpoint);
  }
  asked_[ask.round] = {about, now};
  const uint64_t round = ask.round;
  actions_.push_back(std::move(ask));
  return round;
}

// Before a machine is given up, everybody is asked about it, early enough for
// the answer to be there in time.
void LivenessMonitor::AskAboutSilent(Time now) {
  // Each question costs every controller a connection for a moment.
  constexpr size_t kMostAsked = 64;
  if (settings_.peers.empty() || silent_round_ != 0 || !FewSilent()) return;
  std::vector<Machine*> about;
  for (auto& machine : machines_) {
    if (!machine->recorded_up || machine->state() == MachineState::kGone ||
        machine->state() == MachineState::kDeleting ||
        machine->endpoint.empty() ||
        now - QuietSince(*machine, started_) <= timeouts_.asked ||
        now - machine->asked_about <
            settings_.workers.heartbeat_interval_seconds) {
      continue;
    }
    machine->asked_about = now;
    about.push_back(machine.get());
    if (about.size() == kMostAsked) break;
  }
  if (!about.empty()) silent_round_ = Ask(about, /*sample=*/false, now);
}

void LivenessMonitor::Ask(Time now) {
  AskAboutSilent(now);
  AskWhoReaches(now);
}

// A sample of all machines, heard or not: one that reached only what this
// controller does not would be no better place to lead from.
void LivenessMonitor::AskWhoReaches(Time now) {
  if (settings_.peers.empty() || !leader_health_.WantsRound(now)) return;
  std::vector<Machine*> all;
  for (const auto& machine : machines_) {
    if (Counts(*machine) && !machine->endpoint.empty())
      all.push_back(machine.get());
  }
  std::vector<Machine*> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), kReachSample,
              sampling_);
  if (sample.empty()) return;
  leader_health_.RoundAsked(now);
  health_round_ = Ask(sample, /*sample=*/true, now);
}

bool LivenessMonitor::OnReach(uint64_t round, std::vector<Reach> answers,
                              Time now) {
  const auto it = asked_.find(round);
  if (it == asked_.end() || answers.empty()) return true;
  const auto [about, asked] = std::move(it->second);
  asked_.erase(it);
  for (size_t i = 0; i < about.size(); ++i) {
    Machine* machine = about[i];
    if (machine->state() == MachineState::kGone) continue;
    const bool others =
        std::any_of(answers.begin() + 1, answers.end(),
                    [i](const Reach& r) { return r.Reaches(i); });
    if (others) {
      machine->reached_by_other = now;
    } else if (answers[0].Denies(i)) {
      // As of the question: a leader that stood still finds the answer late,
      // and the machine may have come back since.
      machine->reached_by_none = std::max(machine->reached_by_none, asked);
    }
    // A machine whose heartbeats don't come is not heard, whether or not it
    // answers: only reports renew its lease.
    if (answers[0].Reaches(i) && HeartbeatOverdue(*machine, now)) {
      answers[0].machines[i] = Reach::kNotReached;
    }
  }
  if (round == silent_round_) silent_round_ = 0;
  if (round != health_round_) return true;
  health_round_ = 0;
  const LeaderHealth::Verdict verdict =
      leader_health_.RoundAnswered(answers, now);
  switch (verdict.kind) {
    case LeaderHealth::Verdict::Kind::kStay:
      break;
    case LeaderHealth::Verdict::Kind::kOfferLeadershipTransfer:
      actions_.push_back(OfferLeadershipTransfer{verdict.to, verdict.why});
      break;
    case LeaderHealth::Verdict::Kind::kStepDown:
      actions_.push_back(Resign{verdict.why, /*unfit=*/true});
      return false;
  }
  return true;
}

void LivenessMonitor::OnTransferRejected(const std::string& why, Time now) {
  Log("goes on leading: " + why);
  leader_health_.OfferRefused(now);
}

}  // namespace oxbow
