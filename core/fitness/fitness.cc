#include "core/fitness/fitness.h"

#include <algorithm>
#include <array>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum FitnessState;

constexpr std::array kChanges = {
    std::pair{kFit, kDoubt},       std::pair{kDoubt, kFit},
    std::pair{kDoubt, kAsking},    std::pair{kAsking, kDoubt},
    std::pair{kAsking, kOffering}, std::pair{kAsking, kYielding},
    std::pair{kOffering, kDoubt},  std::pair{kOffering, kYielding},
};

}  // namespace

void Fitness::Change(FitnessEvent event) {
  FitnessState next = state_;
  switch (event) {
    case FitnessEvent::kFewReports:
      if (state_ == kFit) next = kDoubt;
      break;
    case FitnessEvent::kEnoughReports:
      // A round under way is let end: its answer says the same.
      if (state_ == kDoubt) next = kFit;
      break;
    case FitnessEvent::kAsked:
      next = kAsking;
      break;
    case FitnessEvent::kNoneBetter:
    case FitnessEvent::kRefused:
      next = kDoubt;
      break;
    case FitnessEvent::kOneIsBetter:
      next = kOffering;
      break;
    case FitnessEvent::kAgreed:
    case FitnessEvent::kBlind:
      next = kYielding;
      break;
  }
  if (next != state_) CheckedChange(state_, next, kChanges, "fitness");
}

bool Fitness::Deaf() const {
  return reports_heard_.recorded > 0 &&
         reports_heard_.recorded - reports_heard_.silent <
             limits_.deaf_share * reports_heard_.recorded;
}

void Fitness::Observe(const ReportsHeard& heard, Time now) {
  // After a stall everything looks overdue until what has arrived meanwhile is
  // read; and deafness that was not watched is not known to have lasted.
  const Time before = observed_;
  const bool stalled = now - before > limits_.pause_s / 2;
  observed_ = now;
  reports_heard_ = heard;
  if (stalled) {
    deaf_since_ = 1e18;
    next_round_ = std::max(next_round_, now + limits_.pause_s / 2);
  }
  const bool deaf_before = deaf_since_ <= now;
  deaf_since_ = Deaf() ? std::min(deaf_since_, now) : 1e18;
  if (Deaf() && !deaf_before) {
    // Worse than what the last rounds were about: asked as at first. A leader
    // in doubt for long over one dead machine asked too late otherwise.
    pause_s_ = limits_.pause_s;
    next_round_ = std::min(next_round_, now + limits_.pause_s / 2);
  }
  // The round that may end it comes when it is due, not after a pause.
  const Time blind_at = deaf_since_ + limits_.blind_after_s;
  if (before < blind_at && now >= blind_at) {
    next_round_ = std::min(next_round_, now);
  }
  const bool little = heard.troubled > 0 &&
                      heard.troubled >= limits_.doubt_share * heard.recorded;
  if (state_ == kFit && little) {
    pause_s_ = limits_.pause_s;
    Change(FitnessEvent::kFewReports);
  } else if (!little) {
    Change(FitnessEvent::kEnoughReports);
  }
}

bool Fitness::WantsRound(Time now) const {
  return state_ == kDoubt && now >= next_round_ &&
         now - started_ >= limits_.settle_s;
}

void Fitness::RoundAsked(Time now) {
  Change(FitnessEvent::kAsked);
  // The longer it lasts without one better placed, the less often it is asked.
  next_round_ = now + pause_s_;
  pause_s_ = std::min(2 * pause_s_, limits_.longest_pause_s);
}

Fitness::Verdict Fitness::RoundAnswered(const std::vector<Reach>& answers,
                                        Time now) {
  Verdict verdict;
  if (state_ != kAsking || answers.empty()) return verdict;
  const Reach& self = answers.front();
  const auto asked = static_cast<int>(self.machines.size());
  const Reach* best = nullptr;
  int most = 0;
  bool compared = false;
  for (size_t i = 1; i < answers.size(); ++i) {
    const Reach& other = answers[i];
    if (!other.answered) continue;
    compared = true;
    const int more = Advantage(self, other);
    if (!other.may_lead || !Surely(more, asked) || more <= most) continue;
    best = &other;
    most = more;
  }
  if (best != nullptr) {
    Change(FitnessEvent::kOneIsBetter);
    verdict.kind = Verdict::Kind::kOffer;
    verdict.to = best->node;
    verdict.why = best->node + " reaches " + std::to_string(most) + " of " +
                  std::to_string(asked) + " machines more";
    return verdict;
  }
  // Nothing can be compared. Staying is right if all are deaf, and loses every
  // task in the fleet if the others are not; a hand-over into the dark costs
  // one takeover. Once, after it has lasted.
  if (!compared && answers.size() > 1 &&
      now - deaf_since_ >= limits_.blind_after_s) {
    Change(FitnessEvent::kBlind);
    verdict.kind = Verdict::Kind::kStepDown;
    verdict.why =
        "hears " +
        std::to_string(reports_heard_.recorded - reports_heard_.silent) +
        " of " + std::to_string(reports_heard_.recorded) +
        " machines, and no controller to compare with";
    return verdict;
  }
  Change(FitnessEvent::kNoneBetter);
  return verdict;
}

void Fitness::OfferRefused(Time now) {
  if (state_ != kOffering) return;
  Change(FitnessEvent::kRefused);
  next_round_ = std::max(next_round_, now + pause_s_);
}

bool HandOverLog::Allows(Time now) {
  std::erase_if(times_, [&](Time t) { return t <= now - window_s_; });
  return static_cast<int>(times_.size()) < most_;
}

}  // namespace oxbow
