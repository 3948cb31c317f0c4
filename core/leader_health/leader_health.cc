#include "core/leader_health/leader_health.h"

#include <algorithm>
#include <array>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum LeaderHealthState;

constexpr std::array kChanges = {
    std::pair{kHealthy, kSuspect},  std::pair{kSuspect, kHealthy},
    std::pair{kSuspect, kAsking},   std::pair{kAsking, kSuspect},
    std::pair{kAsking, kOffering},  std::pair{kAsking, kYielding},
    std::pair{kOffering, kSuspect}, std::pair{kOffering, kYielding},
};

// What the answers of one round say about who is best placed to lead.
struct Comparison {
  const ReachabilityAnswer* best =
      nullptr;              // surely better than this controller; or none
  int advantage = 0;        // of `best`, in machines
  bool any_answer = false;  // from another controller
};

Comparison CompareAnswers(const std::vector<ReachabilityAnswer>& answers) {
  Comparison comparison;
  const ReachabilityAnswer& self = answers.front();
  const auto asked = static_cast<int>(self.machines.size());
  for (size_t i = 1; i < answers.size(); ++i) {
    const ReachabilityAnswer& other = answers[i];
    if (!other.answered) continue;
    comparison.any_answer = true;
    const int advantage = ReachabilityAdvantage(self, other);
    if (!other.may_lead || !IsSignificantAdvantage(advantage, asked) ||
        advantage <= comparison.advantage) {
      continue;
    }
    comparison.best = &other;
    comparison.advantage = advantage;
  }
  return comparison;
}

}  // namespace

void LeaderHealth::Change(LeaderHealthEvent event) {
  LeaderHealthState next = state_;
  switch (event) {
    case LeaderHealthEvent::kFewReports:
      if (state_ == kHealthy) next = kSuspect;
      break;
    case LeaderHealthEvent::kEnoughReports:
      // A round under way is let end: its answer says the same.
      if (state_ == kSuspect) next = kHealthy;
      break;
    case LeaderHealthEvent::kAsked:
      next = kAsking;
      break;
    case LeaderHealthEvent::kNoneBetter:
    case LeaderHealthEvent::kRefused:
      next = kSuspect;
      break;
    case LeaderHealthEvent::kOneIsBetter:
      next = kOffering;
      break;
    case LeaderHealthEvent::kAgreed:
    case LeaderHealthEvent::kBlind:
      next = kYielding;
      break;
  }
  if (next != state_)
    CheckedTransition(state_, next, kChanges, "leader health");
}

bool LeaderHealth::ReceivesTooFew() const {
  return heartbeats_received_.recorded > 0 &&
         heartbeats_received_.recorded - heartbeats_received_.silent <
             limits_.minimum_received_share * heartbeats_received_.recorded;
}

void LeaderHealth::Observe(const HeartbeatsReceived& received, Time now) {
  // After a stall everything looks overdue until what has arrived meanwhile is
  // read; and a lack of messages that was not watched is not known to have
  // lasted.
  const Time before = observed_;
  const bool stalled = now - before > limits_.survey_pause_seconds / 2;
  observed_ = now;
  heartbeats_received_ = received;
  if (stalled) {
    too_few_since_.reset();
    next_round_ = std::max(next_round_, now + limits_.survey_pause_seconds / 2);
  }
  NoteTooFew(now);
  // The round that may end it comes when it is due, not after a pause.
  if (too_few_since_) {
    const Time blind_at = *too_few_since_ + limits_.step_down_after_seconds;
    if (before < blind_at && now >= blind_at) {
      next_round_ = std::min(next_round_, now);
    }
  }
  const bool few =
      received.troubled > 0 &&
      received.troubled >= limits_.troubled_share * received.recorded;
  if (state_ == kHealthy && few) {
    pause_seconds_ = limits_.survey_pause_seconds;
    Change(LeaderHealthEvent::kFewReports);
  } else if (!few) {
    Change(LeaderHealthEvent::kEnoughReports);
  }
}

void LeaderHealth::NoteTooFew(Time now) {
  if (!ReceivesTooFew()) {
    too_few_since_.reset();
    return;
  }
  if (too_few_since_) return;
  too_few_since_ = now;
  // Worse than what the last rounds were about: the pauses start anew. A leader
  // suspect for long over one dead machine asked too late otherwise.
  pause_seconds_ = limits_.survey_pause_seconds;
  next_round_ = std::min(next_round_, now + limits_.survey_pause_seconds / 2);
}

bool LeaderHealth::IsSurveyDue(Time now) const {
  return state_ == kSuspect && now >= next_round_ &&
         now - started_ >= limits_.min_leadership_seconds;
}

void LeaderHealth::OnSurveyStarted(Time now) {
  Change(LeaderHealthEvent::kAsked);
  // The longer it lasts without one better placed, the less often it is asked.
  next_round_ = now + pause_seconds_;
  pause_seconds_ =
      std::min(2 * pause_seconds_, limits_.max_survey_pause_seconds);
}

LeaderHealth::Decision LeaderHealth::OnSurveyAnswered(
    const std::vector<ReachabilityAnswer>& answers, Time now) {
  if (state_ != kAsking || answers.empty()) return {};
  const Comparison comparison = CompareAnswers(answers);
  if (comparison.best != nullptr) {
    Change(LeaderHealthEvent::kOneIsBetter);
    return {Decision::Kind::kOfferLeadershipTransfer, comparison.best->node,
            comparison.best->node + " reaches " +
                std::to_string(comparison.advantage) + " of " +
                std::to_string(answers.front().machines.size()) +
                " machines more"};
  }
  // Nothing can be compared. Staying is right if all controllers receive
  // nothing, and loses every task in the fleet if the others do; a leadership
  // transfer to nobody in particular costs one failover. Once, after it has
  // lasted.
  const bool blind = !comparison.any_answer && answers.size() > 1 &&
                     too_few_since_ &&
                     now - *too_few_since_ >= limits_.step_down_after_seconds;
  if (!blind) {
    Change(LeaderHealthEvent::kNoneBetter);
    return {};
  }
  Change(LeaderHealthEvent::kBlind);
  const int received =
      heartbeats_received_.recorded - heartbeats_received_.silent;
  return {Decision::Kind::kStepDown, "",
          "hears " + std::to_string(received) + " of " +
              std::to_string(heartbeats_received_.recorded) +
              " machines, and no controller to compare with"};
}

void LeaderHealth::OfferRefused(Time now) {
  if (state_ != kOffering) return;
  Change(LeaderHealthEvent::kRefused);
  next_round_ = std::max(next_round_, now + pause_seconds_);
}

bool LeadershipTransferLog::Allows(Time now) {
  std::erase_if(times_,
                [&](Time time) { return time <= now - window_seconds_; });
  return static_cast<int>(times_.size()) < max_in_window_;
}

}  // namespace oxbow
