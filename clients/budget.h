// A token bucket over a share of a service's request rate. The more urgent a
// request is, the more of the bucket it may use. A part of the rate is reserved
// for the leader: user requests are unbounded, and would otherwise delay the
// very writes and reads after which the users stop asking.
#pragma once

#include <algorithm>

#include "net/loop.h"

namespace oxbow::clients {

// The purpose of a request, the most important first. Lease requests always
// pass; the tokens that they overdraw are missing for the other requests.
enum class Urgency { kLease, kUser, kLeader, kBackground };

// Not thread-safe; times are seconds of the steady clock.
class Budget {
 public:
  // `burst_seconds`: for how many seconds unused tokens accumulate.
  Budget(double per_second, double burst_seconds)
      : rate_(per_second),
        leader_capacity_(kLeaderShare * per_second * burst_seconds),
        capacity_(per_second * burst_seconds - leader_capacity_),
        leader_tokens_(leader_capacity_),
        tokens_(capacity_) {}

  // Whether the request may be sent now; takes its tokens if so. An amount
  // larger than the bucket passes when the bucket is nearly full and leaves it
  // negative: otherwise such an amount would never pass. A transaction of
  // `txn_ops` changes is such an amount for a controller whose share of
  // `write_rps` is smaller.
  bool Take(Urgency urgency, double amount, net::Time now) {
    Refill(now);
    if (urgency == Urgency::kLeader && amount <= leader_tokens_) {
      leader_tokens_ -= amount;
      return true;
    }
    if (urgency != Urgency::kLease && tokens_ < Required(urgency, amount)) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

 private:
  static constexpr double kLeaderShare = 0.25;

  // New tokens go to the leader's reserve first, up to its share of the rate;
  // tokens that do not fit there go to the bucket that all requests share.
  void Refill(net::Time now) {
    const double refill = (now - refilled_at_) * rate_;
    refilled_at_ = now;
    const double for_leader =
        std::min(kLeaderShare * refill, leader_capacity_ - leader_tokens_);
    leader_tokens_ += for_leader;
    tokens_ = std::min(capacity_, tokens_ + refill - for_leader);
  }
  // The number of tokens that the bucket must hold for the request to pass: the
  // less urgent a request is, the more tokens it must leave for others.
  double Required(Urgency urgency, double amount) const {
    constexpr double kReserve = 0.15;
    constexpr double kNearlyFull = 0.9;
    const double reserve =
        kReserve * capacity_ * (static_cast<int>(urgency) - 1);
    return std::min(reserve + amount, kNearlyFull * capacity_);
  }

  double rate_;  // tokens per second
  double leader_capacity_;
  double capacity_;       // tokens, without the leader's reserve
  double leader_tokens_;  // reserved for the leader
  double tokens_;         // shared; negative after an overdraft
  net::Time refilled_at_ = 0;
};

}  // namespace oxbow::clients
