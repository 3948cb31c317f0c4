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
  if (next != state_) CheckedChange(state_, next, kChanges, "leader health");
}

bool LeaderHealth::Deaf() const {
  return heartbeats_received_.recorded > 0 &&
         heartbeats_received_.recorded - heartbeats_received_.silent <
             limits_.deaf_share * heartbeats_received_.recorded;
}

void LeaderHealth::Observe(const HeartbeatsReceived& heard, Time now) {
  // After a stall everything looks overdue until what has arrived meanwhile is
  // read; and deafness that was not watched is not known to have lasted.
  const Time before = observed_;
  const bool stalled = now - before > limits_.pause_seconds / 2;
  observed_ = now;
  heartbeats_received_ = heard;
  if (stalled) {
    deaf_since_ = 1e18;
    next_round_ = std::max(next_round_, now + limits_.pause_seconds / 2);
  }
  const bool deaf_before = deaf_since_ <= now;
  deaf_since_ = Deaf() ? std::min(deaf_since_, now) : 1e18;
  if (Deaf() && !deaf_before) {
    // Worse than what the last rounds were about: asked as at first. A leader
    // suspect for long over one dead machine asked too late otherwise.
    pause_seconds_ = limits_.pause_seconds;
    next_round_ = std::min(next_round_, now + limits_.pause_seconds / 2);
  }
  // The round that may end it comes when it is due, not after a pause.
  const Time blind_at = deaf_since_ + limits_.blind_after_seconds;
  if (before < blind_at && now >= blind_at) {
    next_round_ = std::min(next_round_, now);
  }
  const bool little = heard.troubled > 0 &&
                      heard.troubled >= limits_.troubled_share * heard.recorded;
  if (state_ == kHealthy && little) {
    pause_seconds_ = limits_.pause_seconds;
    Change(LeaderHealthEvent::kFewReports);
  } else if (!little) {
    Change(LeaderHealthEvent::kEnoughReports);
  }
}

bool LeaderHealth::WantsRound(Time now) const {
  return state_ == kSuspect && now >= next_round_ &&
         now - started_ >= limits_.settle_seconds;
}

void LeaderHealth::RoundAsked(Time now) {
  Change(LeaderHealthEvent::kAsked);
  // The longer it lasts without one better placed, the less often it is asked.
  next_round_ = now + pause_seconds_;
  pause_seconds_ = std::min(2 * pause_seconds_, limits_.longest_pause_seconds);
}

LeaderHealth::Verdict LeaderHealth::RoundAnswered(
    const std::vector<Reach>& answers, Time now) {
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
    Change(LeaderHealthEvent::kOneIsBetter);
    verdict.kind = Verdict::Kind::kOfferLeadershipTransfer;
    verdict.to = best->node;
    verdict.why = best->node + " reaches " + std::to_string(most) + " of " +
                  std::to_string(asked) + " machines more";
    return verdict;
  }
  // Nothing can be compared. Staying is right if all are deaf, and loses every
  // task in the fleet if the others are not; a leadership transfer into the
  // dark costs one takeover. Once, after it has lasted.
  if (!compared && answers.size() > 1 &&
      now - deaf_since_ >= limits_.blind_after_seconds) {
    Change(LeaderHealthEvent::kBlind);
    verdict.kind = Verdict::Kind::kStepDown;
    verdict.why = "hears " +
                  std::to_string(heartbeats_received_.recorded -
                                 heartbeats_received_.silent) +
                  " of " + std::to_string(heartbeats_received_.recorded) +
                  " machines, and no controller to compare with";
    return verdict;
  }
  Change(LeaderHealthEvent::kNoneBetter);
  return verdict;
}

void LeaderHealth::OfferRefused(Time now) {
  if (state_ != kOffering) return;
  Change(LeaderHealthEvent::kRefused);
  next_round_ = std::max(next_round_, now + pause_seconds_);
}

bool HandOverLog::Allows(Time now) {
  std::erase_if(times_, [&](Time t) { return t <= now - window_seconds_; });
  return static_cast<int>(times_.size()) < most_;
}

}  // namespace oxbow
