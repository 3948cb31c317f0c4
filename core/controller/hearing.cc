// What the leader hears of its machines, what it asks the others about them,
// and what it may do about those it doesn't hear.

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"

namespace oxbow {
namespace {

// A worker waits so long for an answer to its report, and so long before it
// tries another controller (protocol, "Workers -> controller nodes"): until
// then its silence says nothing about a leader that has just taken office.
constexpr double kReportTimeout_s = 4;
constexpr double kRetryPause_s = 1;

}  // namespace

bool Controller::ReportOverdue(const Machine& m, Time now) const {
  const Time from =
      std::max(m.last_report, started_ + kReportTimeout_s + kRetryPause_s);
  return now - from > patience_.overdue;
}

// Counts every recorded machine, whatever has been asked about it since. What
// has been given up for its silence goes on counting until the cloud has
// confirmed: else each deletion would make the rest look healthier.
void Controller::CountHearing(Time now) {
  Hearing heard;
  for (const auto& m : machines_) {
    if (!m->recorded_up || m->state() == MachineState::kGone) continue;
    if (m->state() == MachineState::kDeleting && !m->given_up) continue;
    ++heard.recorded;
    const bool silent =
        now - std::max(m->last_heard, started_) > patience_.overdue;
    heard.silent += silent;
    heard.troubled +=
        silent || now < m->direct_broken_until || ReportOverdue(*m, now);
  }
  hearing_ = heard;
  const FitnessState before = fitness_.state();
  fitness_.Observe(heard, now);
  if (fitness_.state() == before) return;
  Log("hearing " + std::string(fitness_.fit() ? "well again" : "little") +
      ": " + std::to_string(heard.silent) + " silent and " +
      std::to_string(heard.troubled) + " troubled of " +
      std::to_string(heard.recorded) + " machines");
}

bool Controller::FewSilent() const {
  // One in six may be dead machines; more at once is the network, and they
  // will be back. The last one that is heard tells the leader that it hears.
  constexpr int kShare = 6;
  return hearing_.silent < hearing_.recorded &&
         hearing_.silent <= std::max(1, hearing_.recorded / kShare);
}

// A single silent machine is given up, if nobody else reaches it either.
bool Controller::MayGiveUp(const Machine& m, Time now) const {
  if (!FewSilent()) return false;
  if (settings_.peers.empty()) return true;
  const Time quiet_since = std::max(m.last_heard, started_);
  if (m.reached_by_other > quiet_since &&
      now - m.reached_by_other < patience_.give_up) {
    return false;
  }
  return m.reached_by_none > quiet_since;
}

bool Controller::LossAllowed(const Machine& m, LossCause cause, Time now) {
  const auto index = static_cast<size_t>(cause);
  // Whoever doubts its own ears takes nothing away for other reasons either:
  // idle, listed and booted are read off what it hears.
  if (cause != LossCause::kSilent && !fitness_.fit()) return false;
  int fleet = 0;
  int zone = 0;
  for (const auto& other : machines_) {
    if (other->state() == MachineState::kGone) continue;
    ++fleet;
    zone += other->zone == m.zone;
  }
  Loss loss;
  loss.cause = cause;
  loss.zone = m.zone;
  for (const auto& [key, r] : m.residents) {
    if (r.job == nullptr || r.phase == TaskPhase::kExited ||
        r.job->spec().kind != JobKind::kService) {
      continue;
    }
    if (loss.services.empty() || loss.services.back().job != key.job_id) {
      loss.services.push_back({key.job_id, 0, static_cast<int>(r.job->size())});
    }
    ++loss.services.back().replicas;
  }
  const LossVerdict verdict = limiter_.Ask(loss, fleet, zone, now);
  if (verdict != LossVerdict::kAllowed &&
      refusals_[index] == LossVerdict::kAllowed) {
    Log("alarm: no more machines are taken away as " +
        std::string(NameOf(cause)) + ", " + std::string(NameOf(verdict)) +
        " is reached: " + std::to_string(limiter_.Asked(cause, now)) +
        " within " + std::to_string(limiter_.limits().window_s) + " s of " +
        std::to_string(fleet));
  }
  refusals_[index] = verdict;
  return verdict == LossVerdict::kAllowed;
}

std::vector<std::string> Controller::Alarms() const {
  std::vector<std::string> alarms;
  if (!fitness_.fit()) {
    alarms.push_back("hears little: " + std::to_string(hearing_.silent) +
                     " silent and " + std::to_string(hearing_.troubled) +
                     " troubled of " + std::to_string(hearing_.recorded) +
                     " machines");
  }
  for (size_t i = 0; i < kLossCauses; ++i) {
    if (refusals_[i] == LossVerdict::kAllowed) continue;
    alarms.push_back("nothing more taken away as " +
                     std::string(NameOf(static_cast<LossCause>(i))) + ": " +
                     std::string(NameOf(refusals_[i])));
  }
  return alarms;
}

uint64_t Controller::Ask(const std::vector<const Machine*>& about,
                         bool sample) {
  AskReach ask;
  ask.sample = sample;
  ask.round = next_round_++;
  for (const Machine* m : about) {
    ask.hosts.push_back(m->host());
    ask.endpoints.push_back(m->endpoint);
  }
  asked_hosts_[ask.round] = ask.hosts;
  const uint64_t round = ask.round;
  actions_.push_back(std::move(ask));
  return round;
}

// Before a machine is given up, everybody is asked about it, early enough for
// the answer to be there in time.
void Controller::AskAboutSilent(Time now) {
  // Each question costs every controller a connection for a moment.
  constexpr size_t kMostAsked = 64;
  if (settings_.peers.empty() || silent_round_ != 0 || !FewSilent()) return;
  std::vector<const Machine*> about;
  for (auto& m : machines_) {
    if (!m->recorded_up || m->state() == MachineState::kGone ||
        m->state() == MachineState::kDeleting || m->endpoint.empty() ||
        now - std::max(m->last_heard, started_) <= patience_.asked ||
        now - m->asked_about < settings_.workers.report_s) {
      continue;
    }
    m->asked_about = now;
    about.push_back(m.get());
    if (about.size() == kMostAsked) break;
  }
  if (!about.empty()) silent_round_ = Ask(about, /*sample=*/false);
}

// A sample of all machines, heard or not: one that reached only what this
// controller does not would be no better place to lead from.
void Controller::AskWhoReaches(Time now) {
  if (settings_.peers.empty() || !fitness_.WantsRound(now)) return;
  std::vector<const Machine*> all;
  for (const auto& m : machines_) {
    if (m->recorded_up && !m->endpoint.empty() &&
        m->state() != MachineState::kGone &&
        (m->state() != MachineState::kDeleting || m->given_up)) {
      all.push_back(m.get());
    }
  }
  std::vector<const Machine*> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), kReachSample,
              sampling_);
  if (sample.empty()) return;
  fitness_.RoundAsked(now);
  fitness_round_ = Ask(sample, /*sample=*/true);
}

void Controller::OnReach(uint64_t round, std::vector<Reach> answers, Time now) {
  const auto it = asked_hosts_.find(round);
  if (it == asked_hosts_.end() || answers.empty()) return;
  const std::vector<std::string> hosts = std::move(it->second);
  asked_hosts_.erase(it);
  for (size_t i = 0; i < hosts.size(); ++i) {
    Machine* m = FindMachine(hosts[i]);
    if (m == nullptr) continue;
    const bool others =
        std::any_of(answers.begin() + 1, answers.end(),
                    [i](const Reach& r) { return r.Reaches(i); });
    if (others) {
      m->reached_by_other = now;
    } else if (answers[0].Denies(i)) {
      m->reached_by_none = now;
    }
    // A machine whose reports don't come is not heard, whether or not it
    // answers: only reports renew its lease.
    if (answers[0].Reaches(i) && ReportOverdue(*m, now)) {
      answers[0].machines[i] = Reach::kNotReached;
    }
  }
  if (round == silent_round_) silent_round_ = 0;
  if (round != fitness_round_) return;
  fitness_round_ = 0;
  const Fitness::Verdict verdict = fitness_.RoundAnswered(answers, now);
  switch (verdict.kind) {
    case Fitness::Verdict::Kind::kStay:
      break;
    case Fitness::Verdict::Kind::kOffer:
      actions_.push_back(OfferLead{verdict.to, verdict.why});
      break;
    case Fitness::Verdict::Kind::kStepDown:
      resigned_ = true;
      actions_.push_back(Resign{verdict.why, /*unfit=*/true});
      break;
  }
}

void Controller::OnOfferAgreed() {
  resigned_ = true;
  fitness_.OfferAgreed();
}

void Controller::OnOfferRefused(const std::string& why, Time now) {
  Log("goes on leading: " + why);
  fitness_.OfferRefused(now);
}

}  // namespace oxbow
