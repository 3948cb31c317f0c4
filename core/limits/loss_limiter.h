// How much the leader may destroy of its own accord. Every act that can't be
// undone and rests on an assumption (silence, a list, a timeout, a plan) asks
// here first. Used by LivenessMonitor.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// Why the leader wants to remove capacity or stop using it.
enum class LossCause : uint8_t {
  kSilent,      // deleted: no message arrives from it
  kUnlisted,    // deleted: neither listed nor sending
  kNeverUp,     // deleted: did not boot in time
  kIdle,        // returned: nothing to do
  kMoved,       // drained: its replicas fit elsewhere
  kDistrusted,  // cordoned for a while: several jobs failed there
};
inline constexpr size_t kLossCauses = 6;
std::string_view NameOf(LossCause cause);

// Whether a removal is allowed, or which limit forbids it.
enum class LossDecision : uint8_t {
  kAllowed,
  kFleetLimit,
  kZoneLimit,
  kServiceLimit,
};
std::string_view NameOf(LossDecision decision);

// What an act takes away.
struct Loss {
  LossCause cause = LossCause::kSilent;
  std::string zone;
  struct Part {  // of a service
    std::string job;
    int replicas = 0;
    int size = 0;  // of the whole job
  };
  std::vector<Part> services;
};

// Shares within a window, counted by what was *asked*. A limit that looked at
// the state of the machines would not bind: the act itself changes that state,
// and what has been given up no longer counts among the silent ones.
class LossLimiter {
 public:
  struct Limits {
    double window_seconds = 0;
    // Of the machines there are, by cause.
    std::array<double, kLossCauses> fleet{};
    double zone = 0;     // of a zone's machines, for each cause by itself
    double service = 0;  // of a service's replicas, for all causes together
  };

  explicit LossLimiter(const Limits& limits) : limits_(limits) {}

  // Asks for one act and counts it when it is allowed. `fleet` and `zone` are
  // machines there are now; what was taken within the window is added, so that
  // the basis does not shrink as the acts add up.
  LossDecision Ask(const Loss& loss, int fleet, int zone, Time now);

  // Asks within the window for this cause, and refusals since one was allowed.
  int Asked(LossCause cause, Time now);
  int refused(LossCause cause) const {
    return refused_[static_cast<size_t>(cause)];
  }
  const Limits& limits() const { return limits_; }

 private:
  // Drops what was asked before the window.
  void Forget(Time now);
  LossDecision Decide(const Loss& loss, int fleet, int zone) const;
  void Count(const Loss& loss, Time now);

  Limits limits_;
  struct Entry {
    Time at = 0;
    Loss loss;
  };
  std::deque<Entry> entries_;  // within the window, oldest first
  std::array<int, kLossCauses> by_cause_{};
  struct CauseInZone {
    LossCause cause;
    std::string zone;
    auto operator<=>(const CauseInZone&) const = default;
  };
  std::map<CauseInZone, int> by_zone_;
  std::map<std::string, int> by_service_;
  std::array<int, kLossCauses> refused_{};
};

}  // namespace oxbow
