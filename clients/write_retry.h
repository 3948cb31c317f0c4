// Decides when to send a transaction again whose answer is missing, and what
// the answers to all of its copies mean together. Does no I/O.
#pragma once

#include <cstdint>

#include "net/loop.h"

namespace oxbow::clients {

// What is known about a request to the store.
enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,
  kRefused,      // too large, or malformed: it would be refused again
  kTooOld,       // the store no longer keeps the changes asked for
  kNotExecuted,  // refused or never sent
  kUnknown,      // sent, no answer
};

// Estimates how long answers take and derives a timeout, as TCP does for its
// retransmissions (RFC 6298): the timeout grows at once when the store becomes
// slower, and doubles each time an answer is missing.
class RoundTrip {
 public:
  // `most_seconds`: the longest timeout, also used before the first
  // measurement.
  explicit RoundTrip(double most_seconds) : most_seconds_(most_seconds) {}

  void OnAnswer(double took_seconds);
  // Call when no answer has arrived within the timeout.
  void OnTimeout();
  double TimeoutSeconds() const;

 private:
  double most_seconds_;
  double smoothed_seconds_ = 0;  // 0: not measured yet
  double variation_seconds_ = 0;
  double backoff_ = 1;
};

// A transaction and the copies of it that were sent with the same
// preconditions, which hold only for the first copy that the store executes.
// The answers mean:
// - kOk: this copy was executed, and no other copy will be;
// - kConflict: the preconditions of all copies fail, because of a record that
//   either an earlier copy or another transaction has written. The sender has
//   to treat both cases alike;
// - kNotExecuted, kRefused: this copy was not executed, but another may be.
// That
//   may be one that arrived before the store lowered its limits.
class WriteRetry {
 public:
  enum class Phase : uint8_t {
    kWaiting,  // a copy is in flight
    kSilent,   // no copy is in flight, and an answer is missing
    kDecided,
  };

  void OnSent() {
    ++sent_;
    Change(Phase::kWaiting);
  }
  void OnAnswer(StoreStatus status);

  // Whether a copy may be sent; earlier copies may still arrive.
  bool MaySendAgain() const { return !decided() && sent_ < kMaxCopies; }
  bool decided() const { return phase_ == Phase::kDecided; }
  // Whether a copy was refused: sending more copies is useless now.
  bool refused() const { return refused_; }
  bool silent() const { return phase_ == Phase::kSilent; }
  // The decided outcome; kUnknown until then.
  StoreStatus status() const { return status_; }

 private:
  static constexpr int kMaxCopies = 4;
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
