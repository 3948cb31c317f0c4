// When a transaction whose answer is missing is sent again, and what the
// answers to its copies mean together. No I/O.
#pragma once

#include <cstdint>

#include "net/loop.h"

namespace oxbow::clients {

// What is known of a request to the store.
enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,
  kRefused,      // too large, or malformed: it would be refused again
  kTooOld,       // the watch has fallen behind what the store keeps
  kNotExecuted,  // refused or never sent
  kUnknown,      // sent, no answer
};

// How long answers take, smoothed as TCP does for its retransmissions
// (RFC 6298): a store that grows slow is given more time at once, one that
// stays silent twice as much each time.
class RoundTrip {
 public:
  // `most_seconds`: the timeout while nothing has been measured, and the
  // longest.
  explicit RoundTrip(double most_seconds) : most_seconds_(most_seconds) {}

  void OnAnswer(double took_seconds);
  // No answer within the timeout.
  void OnTimeout();
  double TimeoutSeconds() const;

 private:
  double most_seconds_;
  double smoothed_seconds_ = 0;  // 0: not measured yet
  double variation_seconds_ = 0;
  double backoff_ = 1;
};

// A transaction and the copies of it that have been sent with the same
// preconditions, which hold for the first copy that arrives only. So one answer
// that says what became of a copy says enough about all of them:
// - kOk: this copy was carried out, and no other will be;
// - kConflict: a record in the store refuses them all, that of this transaction
//   itself, carried out before, or another. The sender has to treat both alike;
// - kNotExecuted, kRefused: this copy was not carried out, another may be, also
//   one that arrived before the store lowered its limits.
class WriteRetry {
 public:
  enum class Phase : uint8_t {
    kWaiting,  // for the answer to a copy in flight
    kSilent,   // none is in flight, and an answer is missing
    kDecided,
  };

  void OnSent() {
    ++sent_;
    Change(Phase::kWaiting);
  }
  void OnAnswer(StoreStatus status);

  // A copy is worth sending: whatever was sent may yet arrive.
  bool MaySendAgain() const { return !decided() && sent_ < kMostCopies; }
  bool decided() const { return phase_ == Phase::kDecided; }
  // A copy was refused: sending more is of no use now.
  bool refused() const { return refused_; }
  bool silent() const { return phase_ == Phase::kSilent; }
  // What is known now; kUnknown until it is decided.
  StoreStatus status() const { return status_; }

 private:
  static constexpr int kMostCopies = 4;
  // The only function that changes the phase.
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
