// Shares of a service's request rate.
#pragma once

#include <algorithm>

#include "net/loop.h"

namespace oxbow::clients {

// What a request is for, the most important first. Lease renewals pass always.
enum class Urgency { kLease, kUser, kLeader, kBackground };

// Not thread-safe; times in seconds of the steady clock.
class Budget {
 public:
  // `burst_s`: seconds' worth that may be saved up.
  Budget(double per_second, double burst_seconds)
      : rate_(per_second), most_(per_second * burst_seconds), tokens_(most_) {}

  // An amount larger than what can be saved up passes when nearly everything
  // is there, and is paid back afterwards: refused, it would be refused for
  // ever, as a transaction of `txn_ops` changes was for a leader whose share
  // of `write_rps` came to less.
  bool Take(Urgency urgency, double amount, net::Time now) {
    tokens_ = std::min(most_, tokens_ + (now - last_) * rate_);
    last_ = now;
    // The less urgent, the more has to stay behind for others.
    constexpr double kReserve = 0.15;
    constexpr double kNearlyAll = 0.9;
    const double keep =
        urgency == Urgency::kLease
            ? -1e9
            : kReserve * most_ * (static_cast<int>(urgency) - 1);
    if (tokens_ < std::min(keep + amount, kNearlyAll * most_)) return false;
    tokens_ -= amount;
    return true;
  }

 private:
  double rate_;
  double most_;
  double tokens_;
  net::Time last_ = 0;
};

}  // namespace oxbow::clients
