// Limits how much capacity the leader may remove by its own decision. Every
// removal that cannot be undone and rests on an assumption (a silent machine, a
// cloud listing, a timeout, a consolidation plan) has to be allowed here first.
// Used by LivenessMonitor.
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
  kSilent,        // deleted: the machine sends no messages
  kUnlisted,      // deleted: not in the cloud's listing, and sends no messages
  kNeverUp,       // deleted: the machine did not boot in time
  kIdle,          // returned: the machine has had no work
  kConsolidated,  // drained: the machine's replicas fit on other machines
  kDistrusted,    // cordoned for a while: tasks of several jobs failed there
};
inline constexpr size_t kRemovalCauses = 6;
// The cause as log lines and alarms name it.
std::string_view NameOf(RemovalCause cause);

// Whether a removal is allowed, or which limit forbids it.
enum class RemovalDecision : uint8_t {
  kAllowed,
  kFleetLimit,
  kZoneLimit,
  kServiceLimit,
};
// The decision as log lines and alarms name it.
std::string_view NameOf(RemovalDecision decision);

// The removal of one machine's capacity.
struct CapacityRemoval {
  RemovalCause cause = RemovalCause::kSilent;
  std::string zone;
  // A service that has replicas on the machine.
  struct AffectedService {
    std::string job;
    int replicas = 0;  // on the machine
    int size = 0;      // replicas of the whole service
  };
  std::vector<AffectedService> services;
};

// Allows removals up to a share of the machines, of a zone's machines and of
// each service's replicas within a sliding time window. Counts the removals
// that it has allowed, not the state of the machines: a removal changes that
// state (a removed machine no longer counts as silent), so a limit on the state
// would never be reached.
class RemovalLimiter {
 public:
  // Each share is between 0 and 1, and allows at least one removal.
  struct Limits {
    double window_seconds = 0;
    // Shares of all machines, by cause.
    std::array<double, kRemovalCauses> fleet{};
    // Share of a zone's machines, for each cause separately. A larger share in
    // `fleet` takes precedence.
    double zone = 0;
    // Share of a service's replicas, for all causes together.
    double service = 0;
  };

  explicit RemovalLimiter(const Limits& limits) : limits_(limits) {}

  // Decides on one removal, and counts it if it is allowed. `fleet` and `zone`
  // are the numbers of machines that exist now, in total and in the zone. The
  // removals within the window are added to them, so that the basis of the
  // shares does not shrink with each removal.
  RemovalDecision RequestRemoval(const CapacityRemoval& loss, int fleet,
                                 int zone, Time now);

  // The number of removals allowed for this cause within the window.
  int CountInWindow(RemovalCause cause, Time now);
  // The number of refusals for this cause since the last allowed removal.
  int refused(RemovalCause cause) const {
    return refused_[static_cast<size_t>(cause)];
  }
  const Limits& limits() const { return limits_; }

 private:
  // Drops the removals that are older than the window.
  void DropExpired(Time now);
  RemovalDecision Decide(const CapacityRemoval& loss, int fleet,
                         int zone) const;
  void Count(const CapacityRemoval& loss, Time now);

  Limits limits_;
  struct Entry {
    Time at = 0;
    CapacityRemoval loss;
  };
  std::deque<Entry> entries_;  // removals within the window, oldest first
  // The numbers of removed machines, and of removed replicas of each service,
  // within the window.
  std::array<int, kRemovalCauses> by_cause_{};
  struct CauseInZone {
    RemovalCause cause;
    std::string zone;
    auto operator<=>(const CauseInZone&) const = default;
  };
  std::map<CauseInZone, int> by_zone_;
  std::map<std::string, int> by_service_;
  std::array<int, kRemovalCauses> refused_{};  // since the last allowed removal
};

}  // namespace oxbow
