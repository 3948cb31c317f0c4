#include "clients/write_retry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow::clients {

void RoundTrip::Answered(double took_s) {
  constexpr double kNewest = 1.0 / 8;
  constexpr double kNewestVariation = 1.0 / 4;
  backoff_ = 1;
  if (smoothed_s_ <= 0) {
    smoothed_s_ = took_s;
    variation_s_ = took_s / 2;
    return;
  }
  const double off = std::abs(took_s - smoothed_s_);
  variation_s_ += kNewestVariation * (off - variation_s_);
  smoothed_s_ += kNewest * (took_s - smoothed_s_);
}

void RoundTrip::Missed() {
  if (SilenceTimeouts() < most_s_) backoff_ *= 2;
}

double RoundTrip::SilenceTimeouts() const {
  if (smoothed_s_ <= 0) return most_s_;
  constexpr double kVariations = 4;
  constexpr double kLeastRoundTrips = 8;
  const double usual = std::max(smoothed_s_ + kVariations * variation_s_,
                                kLeastRoundTrips * smoothed_s_);
  return std::min(most_s_, backoff_ * usual);
}

void WriteRetry::Change(Phase next) {
  static constexpr std::array kChanges = {
      std::pair{Phase::kSilent, Phase::kWaiting},
      std::pair{Phase::kWaiting, Phase::kWaiting},
      std::pair{Phase::kWaiting, Phase::kSilent},
      std::pair{Phase::kWaiting, Phase::kDecided},
  };
  CheckedChange(phase_, next, kChanges, "write retry");
}

void WriteRetry::OnAnswer(StateStatus status) {
  ++answered_;
  if (decided()) return;
  switch (status) {
    case StateStatus::kOk:
    case StateStatus::kConflict:
      status_ = status;
      return Change(Phase::kDecided);
    case StateStatus::kRefused:
      too_large_ = true;
      [[fallthrough]];
    case StateStatus::kNotExecuted:
      refused_ = true;
      break;
    case StateStatus::kUnknown:
    case StateStatus::kNotFound:
    case StateStatus::kTooOld:
      unanswered_ = true;
      break;
  }
  if (answered_ < sent_) return;
  if (unanswered_) return Change(Phase::kSilent);
  // Refused, all of them: nothing can come late.
  status_ = too_large_ ? StateStatus::kRefused : StateStatus::kNotExecuted;
  Change(Phase::kDecided);
}

}  // namespace oxbow::clients
