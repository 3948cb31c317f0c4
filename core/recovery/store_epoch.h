// The identity of what the key-value store holds. A store that has lost data
// assigns revisions a second time; everything that was unique by them, fencing
// tokens, attempts, names of scale-out requests and preconditions of writes,
// stays unique by the epoch.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

namespace oxbow {

// One record, never deleted, replaced only by that of a later epoch.
struct StoreEpoch {
  uint64_t number = 0;  // 0: none is known
  // Random. Another key is named after it, which is a precondition of every
  // write of the epoch: a revision that is assigned again can't fulfil the
  // precondition of a write of the epoch before, since its key is gone.
  std::string id;
  // Added to the leader key's revision in fencing tokens.
  uint64_t base = 0;
  // Whatever was accepted is recorded or retained. If false, a job that nobody
  // knows may have been accepted before the loss.
  bool whole = true;
  // Reconciliation is complete: all retained records are in the store.
  bool rebuilt = true;
  double opened_wall = 0;  // seconds since 1970
  uint64_t mod_revision = 0;
};

// The record of the key that is named after the epoch.
struct EpochMark {
  uint64_t number = 0;
  uint64_t mod_revision = 0;
};

// Orders two copies of one record: the later epoch, within it the higher
// revision.
struct Version {
  uint64_t epoch = 0;
  uint64_t mod_revision = 0;
  auto operator<=>(const Version&) const = default;
};

// The term of a leader, the upper part of its fencing tokens: no two leaders
// share one. Within an epoch the
// leader key's revisions differ; between epochs see NextBase.
inline uint64_t TermOf(const StoreEpoch& epoch, uint64_t leader_revision) {
  return epoch.base + leader_revision;
}

// A fencing token has 64 bits, of which its term has this many.
inline constexpr int kTermBits = 44;

// The base of a new epoch, so that each of its terms is above all of the ones
// before. `highest_term` is the highest that any controller, worker or snapshot
// has shown. A leader may have won without anybody's knowledge, so the base is
// that much higher; as the leader's revisions came from the same store, the
// margin covers as many changes as a store makes in months. When nobody
// remembers anything, the base is taken from the clock: no store makes so many
// changes a second, so an epoch that was opened earlier has a lower one.
// `wall_seconds`: seconds since 1970.
inline uint64_t NextBase(uint64_t highest_term, double wall_seconds) {
  constexpr uint64_t kMargin = uint64_t{1} << 32;
  constexpr double kClockOrigin = 1.7e9;  // in 2023
  constexpr double kChangesPerSecond = 4096;
  constexpr uint64_t kMaxBase = (uint64_t{1} << kTermBits) - kMargin;
  const double by_clock =
      std::clamp((wall_seconds - kClockOrigin) * kChangesPerSecond, 0.0,
                 static_cast<double>(kMaxBase));
  return std::max(highest_term + kMargin, static_cast<uint64_t>(by_clock));
}

}  // namespace oxbow
