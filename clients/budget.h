// A token bucket over a share of a service's request rate. The more urgent a
// request, the more of the bucket it may take. A part of the rate is the
// leader's own: what users ask for has no limit, and would otherwise hold up
// the writes and reads after which they need not ask any more.
#pragma once

#include <algorithm>

#include "net/loop.h"

namespace oxbow::clients {

// What a request is for, the most important first. Requests for leases always
// pass, and are paid back by the others.
enum class Urgency { kLease, kUser, kLeader, kBackground };

// Not thread-safe; times in seconds of the steady clock.
class Budget {
 public:
  // `burst_seconds`: for how long unused requests are saved up.
  Budget(double per_second, double burst_seconds)
      : rate_(per_second),
        leader_capacity_(kLeaderShare * per_second * burst_seconds),
        capacity_(per_second * burst_seconds - leader_capacity_),
        leader_tokens_(leader_capacity_),
        tokens_(capacity_) {}

  // Whether the request may be sent now; takes its tokens if so. An amount
  // larger than the bucket passes when that is nearly full, and is paid back
  // afterwards: otherwise it would never pass. A transaction of `txn_ops`
  // changes is such an amount for a controller whose share of `write_rps` is
  // less.
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

  // The leader's own tokens first, up to their share of the rate; what they
  // have no room for is everybody's.
  void Refill(net::Time now) {
    const double refill = (now - refilled_at_) * rate_;
    refilled_at_ = now;
    const double for_leader =
        std::min(kLeaderShare * refill, leader_capacity_ - leader_tokens_);
    leader_tokens_ += for_leader;
    tokens_ = std::min(capacity_, tokens_ + refill - for_leader);
  }
  // The tokens that have to be there: the less urgent a request, the more it
  // has to leave for others.
  double Required(Urgency urgency, double amount) const {
    constexpr double kReserve = 0.15;
    constexpr double kNearlyFull = 0.9;
    const double reserve =
        kReserve * capacity_ * (static_cast<int>(urgency) - 1);
    return std::min(reserve + amount, kNearlyFull * capacity_);
  }

  double rate_;  // tokens a second
  double leader_capacity_;
  double capacity_;       // without the leader's own
  double leader_tokens_;  // for the leader alone
  double tokens_;         // negative while an amount is paid back
  net::Time refilled_at_ = 0;
};

}  // namespace oxbow::clients
