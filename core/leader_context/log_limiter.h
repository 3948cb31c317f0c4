// Limits how often an event is logged that may occur many times in a row.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "core/model/timeouts.h"

namespace oxbow {

// One per kind of event, owned by the module that logs it.
class LogLimiter {
 public:
  explicit LogLimiter(double interval_seconds)
      : interval_seconds_(interval_seconds) {}

  // Whether an event at `now` may be logged: the number of events suppressed
  // since the last logged one, or nullopt if this one has to be suppressed too.
  std::optional<uint64_t> Admit(Time now) {
    if (now < next_) {
      ++suppressed_;
      return std::nullopt;
    }
    next_ = now + interval_seconds_;
    return std::exchange(suppressed_, 0);
  }

 private:
  double interval_seconds_;
  Time next_ = -1e9;
  uint64_t suppressed_ = 0;
};

}  // namespace oxbow
