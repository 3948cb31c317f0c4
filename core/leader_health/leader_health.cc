#include "core/leader_health/leader_health.h"

#include <algorithm>
#include <array>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum LeaderHealthState;

constexpr std::array kChanges = {
    std::pair{kHealthy, kSuspect},
    std::pair{kSuspect, kHealthy},
    std::pair{kSuspect, kSurveying},
    std::pair{kSurveying, kSuspect},
    std::pair{kSurveying, kOfferingTransfer},
    std::pair{kSurveying, kSteppingDown},
    std::pair{kOfferingTransfer, kSuspect},
    std::pair{kOfferingTransfer, kSteppingDown},
};

// The result of one survey.
struct Comparison {
  // The controller that is best placed to lead, if one is significantly better
  // placed than this controller; else null.
  const ReachabilityAnswer* best = nullptr;
  int advantage = 0;        // of `best`, in machines
  bool any_answer = false;  // whether another controller has answered
};

Comparison CompareReachability(const std::vector<ReachabilityAnswer>& answers) {
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
    case LeaderHealthEvent::kFewHeartbeats:
      if (state_ == kHealthy) next = kSuspect;
      break;
    case LeaderHealthEvent::kEnoughHeartbeats:
      // A survey in progress is not aborted: its result will agree.
      if (state_ == kSuspect) next = kHealthy;
      break;
    case LeaderHealthEvent::kSurveyStarted:
      next = kSurveying;
      break;
    case LeaderHealthEvent::kNoBetterPeer:
    case LeaderHealthEvent::kTransferRefused:
      next = kSuspect;
      break;
    case LeaderHealthEvent::kBetterPeer:
      next = kOfferingTransfer;
      break;
    case LeaderHealthEvent::kTransferAccepted:
    case LeaderHealthEvent::kNothingReceived:
      next = kSteppingDown;
      break;
  }
  if (next != state_)
    CheckedTransition(state_, next, kChanges, "leader health");
}

bool LeaderHealth::ReceivesTooFewHeartbeats() const {
  return heartbeats_received_.recorded > 0 &&
         heartbeats_received_.recorded - heartbeats_received_.silent <
             limits_.minimum_received_share * heartbeats_received_.recorded;
}

void LeaderHealth::Observe(const HeartbeatsReceived& received, Time now) {
  // After a stall of the process every machine looks overdue until the messages
  // that have arrived meanwhile are read. How long messages have been missing
  // is not known either, so that time starts anew.
  const Time before = last_observed_at_;
  const bool stalled = now - before > limits_.survey_pause_seconds / 2;
  last_observed_at_ = now;
  heartbeats_received_ = received;
  if (stalled) {
    too_few_since_.reset();
    next_survey_at_ =
        std::max(next_survey_at_, now + limits_.survey_pause_seconds / 2);
  }
  UpdateTooFewSince(now);
  // The survey after which this leader may step down is made as soon as that is
  // allowed, not after a pause.
  if (too_few_since_) {
    const Time blind_at = *too_few_since_ + limits_.step_down_after_seconds;
    if (before < blind_at && now >= blind_at) {
      next_survey_at_ = std::min(next_survey_at_, now);
    }
  }
  const bool few =
      received.troubled > 0 &&
      received.troubled >= limits_.troubled_share * received.recorded;
  if (state_ == kHealthy && few) {
    pause_seconds_ = limits_.survey_pause_seconds;
    Change(LeaderHealthEvent::kFewHeartbeats);
  } else if (!few) {
    Change(LeaderHealthEvent::kEnoughHeartbeats);
  }
}

void LeaderHealth::UpdateTooFewSince(Time now) {
  if (!ReceivesTooFewHeartbeats()) {
    too_few_since_.reset();
    return;
  }
  if (too_few_since_) return;
  too_few_since_ = now;
  // This is worse than what the last surveys were about, so the pauses start
  // anew. Otherwise a leader that had been suspect for a long time because of
  // one dead machine would survey too late.
  pause_seconds_ = limits_.survey_pause_seconds;
  next_survey_at_ =
      std::min(next_survey_at_, now + limits_.survey_pause_seconds / 2);
}

bool LeaderHealth::IsSurveyDue(Time now) const {
  return state_ == kSuspect && now >= next_survey_at_ &&
         now - started_ >= limits_.min_leadership_seconds;
}

void LeaderHealth::OnSurveyStarted(Time now) {
  Change(LeaderHealthEvent::kSurveyStarted);
  // The longer no controller is better placed, the rarer the surveys become.
  next_survey_at_ = now + pause_seconds_;
  pause_seconds_ =
      std::min(2 * pause_seconds_, limits_.max_survey_pause_seconds);
}

LeaderHealth::Decision LeaderHealth::OnSurveyAnswered(
    const std::vector<ReachabilityAnswer>& answers, Time now) {
  if (state_ != kSurveying || answers.empty()) return {};
  const Comparison comparison = CompareReachability(answers);
  if (comparison.best != nullptr) {
    Change(LeaderHealthEvent::kBetterPeer);
    return {Decision::Kind::kOfferLeadershipTransfer, comparison.best->node,
            comparison.best->node + " reaches " +
                std::to_string(comparison.advantage) + " of " +
                std::to_string(answers.front().machines.size()) +
                " machines more"};
  }
  // No other controller has answered, so nothing can be compared. Staying the
  // leader is right if no controller receives heartbeats, but loses every task
  // in the fleet if only this one doesn't. Stepping down costs one failover.
  // So the leader steps down, once, after this has lasted for some time.
  const bool cannot_compare =
      !comparison.any_answer && answers.size() > 1 && too_few_since_ &&
      now - *too_few_since_ >= limits_.step_down_after_seconds;
  if (!cannot_compare) {
    Change(LeaderHealthEvent::kNoBetterPeer);
    return {};
  }
  Change(LeaderHealthEvent::kNothingReceived);
  const int received =
      heartbeats_received_.recorded - heartbeats_received_.silent;
  return {Decision::Kind::kStepDown, "",
          "hears " + std::to_string(received) + " of " +
              std::to_string(heartbeats_received_.recorded) +
              " machines, and no controller to compare with"};
}

void LeaderHealth::OfferRefused(Time now) {
  if (state_ != kOfferingTransfer) return;
  Change(LeaderHealthEvent::kTransferRefused);
  next_survey_at_ = std::max(next_survey_at_, now + pause_seconds_);
}

bool LeadershipTransferLog::Allows(Time now) {
  std::erase_if(times_,
                [&](Time time) { return time <= now - window_seconds_; });
  return static_cast<int>(times_.size()) < max_in_window_;
}

}  // namespace oxbow
