#include "clients/write_retry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow::clients {

void RoundTrip::OnAnswer(double took_seconds) {
  // The weights that RFC 6298 gives to the newest measurement.
  constexpr double kNewest = 1.0 / 8;
  constexpr double kNewestVariation = 1.0 / 4;
  backoff_ = 1;
  if (smoothed_seconds_ <= 0) {
    smoothed_seconds_ = took_seconds;
    variation_seconds_ = took_seconds / 2;
    return;
  }
  const double deviation = std::abs(took_seconds - smoothed_seconds_);
  variation_seconds_ += kNewestVariation * (deviation - variation_seconds_);
  smoothed_seconds_ += kNewest * (took_seconds - smoothed_seconds_);
}

void RoundTrip::OnTimeout() {
  if (TimeoutSeconds() < most_seconds_) backoff_ *= 2;
}

double RoundTrip::TimeoutSeconds() const {
  if (smoothed_seconds_ <= 0) return most_seconds_;
  constexpr double kVariations = 4;
  constexpr double kLeastRoundTrips = 8;
  const double usual =
      std::max(smoothed_seconds_ + kVariations * variation_seconds_,
               kLeastRoundTrips * smoothed_seconds_);
  return std::min(most_seconds_, backoff_ * usual);
}

void WriteRetry::Change(Phase next) {
  static constexpr std::array kChanges = {
      std::pair{Phase::kSilent, Phase::kWaiting},
      std::pair{Phase::kWaiting, Phase::kWaiting},
      std::pair{Phase::kWaiting, Phase::kSilent},
      std::pair{Phase::kWaiting, Phase::kDecided},
  };
  CheckedTransition(phase_, next, kChanges, "write retry");
}

void WriteRetry::OnAnswer(StoreStatus status) {
  ++answered_;
  if (decided()) return;
  switch (status) {
    case StoreStatus::kOk:
    case StoreStatus::kConflict:
      status_ = status;
      return Change(Phase::kDecided);
    case StoreStatus::kRefused:
      too_large_ = true;
      [[fallthrough]];
    case StoreStatus::kNotExecuted:
      refused_ = true;
      break;
    case StoreStatus::kUnknown:
    case StoreStatus::kNotFound:
    case StoreStatus::kTooOld:
      unanswered_ = true;
      break;
  }
  if (answered_ < sent_) return;
  if (unanswered_) return Change(Phase::kSilent);
  // The store refused all copies, so none of them can be executed later.
  status_ = too_large_ ? StoreStatus::kRefused : StoreStatus::kNotExecuted;
  Change(Phase::kDecided);
}

}  // namespace oxbow::clients
