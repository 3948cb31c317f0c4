// When a transaction whose answer is missing is sent again, and what the
// answers to its copies mean together. No I/O.
#pragma once

#include <cstdint>

#include "net/loop.h"

namespace oxbow::clients {

enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,
  kRefused,      // too large, or malformed: refused again, sent as it is
  kTooOld,       // the watch has fallen behind what the service keeps
  kNotExecuted,  // refused or never sent
  kUnknown,      // sent, no answer
};

// How long answers take, smoothed as TCP does for its retransmissions
// (RFC 6298): a service that grows slow is given more time at once, one that
// stays silent twice as much each time.
class RoundTrip {
 public:
  // `most_s`: the timeout while nothing has been measured, and the longest.
  explicit RoundTrip(double most_seconds) : most_seconds_(most_seconds) {}

  void Answered(double took_seconds);
  // No answer within the timeout.
  void Missed();
  double SilenceTimeout() const;

 private:
  double most_seconds_;
  double smoothed_seconds_ = 0;  // 0: not measured yet
  double variation_seconds_ = 0;
  double backoff_ = 1;
};

// A transaction and the copies of it that have been sent under the same
// conditions, which hold for the first that arrives only. So one answer that
// says what became of a copy says enough of all:
// - kOk: this copy was carried out, and no other will be;
// - kConflict: something stands that refuses them all, this transaction itself,
//   carried out before, or another. Its sender has to treat both alike;
// - kNotExecuted, kRefused: this copy was not carried out, another may be, also
//   one that came before the service lowered its limits.
class WriteRetry {
 public:
  enum class Phase : uint8_t {
    kWaiting,  // for the answer to a copy under way
    kSilent,   // none is under way, and an answer is missing
    kDecided,
  };

  void Sent() {
    ++sent_;
    Change(Phase::kWaiting);
  }
  void OnAnswer(StoreStatus status);

  // A copy is worth sending: whatever was sent may yet arrive.
  bool MaySendAgain() const { return !decided() && sent_ < kMostCopies; }
  bool decided() const { return phase_ == Phase::kDecided; }
  // One was refused: to send more is no use now.
  bool refused() const { return refused_; }
  bool silent() const { return phase_ == Phase::kSilent; }
  // What is known now; kUnknown until it is decided.
  StoreStatus status() const { return status_; }

 private:
  static constexpr int kMostCopies = 4;
  // The one function for a change.
  void Change(Phase next);

  Phase phase_ = Phase::kSilent;
  StoreStatus status_ = StoreStatus::kUnknown;
  int sent_ = 0;
  int answered_ = 0;
  bool unanswered_ = false;
  bool refused_ = false;
  bool too_large_ = false;
};

}  // namespace oxbow::clients
