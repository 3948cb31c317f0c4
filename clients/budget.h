// A token bucket over a share of a service's request rate. The more urgent a
// request, the more of the bucket it may take.
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
        capacity_(per_second * burst_seconds),
        tokens_(capacity_) {}

  // Whether the request may be sent now; takes its tokens if so. An amount
  // larger than the bucket passes when that is nearly full, and is paid back
  // afterwards: otherwise it would never pass. A transaction of `txn_ops`
  // changes is such an amount for a controller whose share of `write_rps` is
  // less.
  bool Take(Urgency urgency, double amount, net::Time now) {
    tokens_ = std::min(capacity_, tokens_ + (now - refilled_at_) * rate_);
    refilled_at_ = now;
    if (urgency != Urgency::kLease && tokens_ < Required(urgency, amount)) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

 private:
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
  double capacity_;
  double tokens_;  // negative while an amount is paid back
  net::Time refilled_at_ = 0;
};

}  // namespace oxbow::clients
