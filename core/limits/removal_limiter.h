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
enum class RemovalCause : uint8_t {
  kSilent,        // deleted: no message arrives from it
  kUnlisted,      // deleted: neither listed nor sending
  kNeverUp,       // deleted: did not boot in time
  kIdle,          // returned: nothing to do
  kConsolidated,  // drained: its replicas fit elsewhere
  kDistrusted,    // cordoned for a while: several jobs failed there
};
inline constexpr size_t kRemovalCauses = 6;
std::string_view NameOf(RemovalCause cause);

// Whether a removal is allowed, or which limit forbids it.
enum class RemovalDecision : uint8_t {
  kAllowed,
  kFleetLimit,
  kZoneLimit,
  kServiceLimit,
};
std::string_view NameOf(RemovalDecision decision);

// What an act takes away.
struct CapacityRemoval {
  RemovalCause cause = RemovalCause::kSilent;
  std::string zone;
  struct AffectedService {  // of a service
    std::string job;
    int replicas = 0;
    int size = 0;  // of the whole job
  };
  std::vector<AffectedService> services;
};

// Shares within a window, counted by what was *asked*. A limit that looked at
// the state of the machines would not bind: the act itself changes that state,
// and what has been given up no longer counts among the silent ones.
class RemovalLimiter {
 public:
  struct Limits {
    double window_seconds = 0;
    // Of the machines there are, by cause.
    std::array<double, kRemovalCauses> fleet{};
    double zone = 0;     // of a zone's machines, for each cause by itself
    double service = 0;  // of a service's replicas, for all causes together
  };

  explicit RemovalLimiter(const Limits& limits) : limits_(limits) {}

  // Asks for one act and counts it when it is allowed. `fleet` and `zone` are
  // machines there are now; what was taken within the window is added, so that
  // the basis does not shrink as the acts add up.
  RemovalDecision RequestRemoval(const CapacityRemoval& loss, int fleet,
                                 int zone, Time now);

  // Asks within the window for this cause, and refusals since one was allowed.
  int CountInWindow(RemovalCause cause, Time now);
  int refused(RemovalCause cause) const {
    return refused_[static_cast<size_t>(cause)];
  }
  const Limits& limits() const { return limits_; }

 private:
  // Drops what was asked before the window.
  void Forget(Time now);
  RemovalDecision Decide(const CapacityRemoval& loss, int fleet,
                         int zone) const;
  void Count(const CapacityRemoval& loss, Time now);

  Limits limits_;
  struct Entry {
    Time at = 0;
    CapacityRemoval loss;
  };
  std::deque<Entry> entries_;  // within the window, oldest first
  std::array<int, kRemovalCauses> by_cause_{};
  struct CauseInZone {
    RemovalCause cause;
    std::string zone;
    auto operator<=>(const CauseInZone&) const = default;
  };
  std::map<CauseInZone, int> by_zone_;
  std::map<std::string, int> by_service_;
  std::array<int, kRemovalCauses> refused_{};
};

}  // namespace oxbow
