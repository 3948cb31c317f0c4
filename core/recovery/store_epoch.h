// The identity of what the key-value store holds. A service that has lost data
// gives revisions a second time; everything that was unique by them, tokens,
// attempts, rental names and conditions of writes, stays unique by the epoch.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

namespace oxbow {

// One record, never deleted, replaced only by that of a later epoch.
struct StoreEpoch {
  uint64_t number = 0;  // 0: none is known
  // Random. Another key is named after it, on which every write of the epoch
  // is conditioned: a revision that comes again can't fulfil the condition of
  // a write of the epoch before, since its key is not there any more.
  std::string id;
  // Added to the leader key's revision in tokens.
  uint64_t base = 0;
  // Whatever was accepted is recorded or remembered. If it is false, a job
  // that nobody knows may have been accepted before the loss.
  bool whole = true;
  // All that was remembered stands in the key-value store again.
  bool rebuilt = true;
  double opened_wall = 0;  // s
  uint64_t mod_revision = 0;
};

// The key that is named after the epoch.
struct EpochMark {
  uint64_t number = 0;
  uint64_t mod_revision = 0;
};

// Orders what two sources say of one key: in the same epoch the higher stamp,
// else the later epoch.
struct Version {
  uint64_t epoch = 0;
  uint64_t mod_revision = 0;
  auto operator<=>(const Version&) const = default;
};

// The upper part of a token: no two leaders share one. Within an epoch the
// leader key's revisions differ; between epochs see NextBase.
inline uint64_t TermOf(const StoreEpoch& epoch, uint64_t leader_revision) {
  return epoch.base + leader_revision;
}

// A token has 64 bits, of which its term has this many.
inline constexpr int kTermBits = 44;

// The base of a new epoch, so that each of its terms is above all of the ones
// before. `highest_term` is the highest that any controller, worker or snapshot
// has shown. A leader may have won that nobody heard of, so the base leaps; as
// its revisions came from the same service, the leap covers as many changes as
// that makes in months. When nobody remembers anything, the clock stands in:
// no service makes so many changes a second, and an epoch that began earlier
// is below. `wall_s`: seconds since 1970.
inline uint64_t NextBase(uint64_t highest_term, double wall_seconds) {
  constexpr uint64_t kLeap = uint64_t{1} << 32;
  constexpr double kStart = 1.7e9;  // in 2023
  constexpr double kChangesPerSecond = 4096;
  constexpr uint64_t kMost = (uint64_t{1} << kTermBits) - kLeap;
  const double by_clock =
      std::clamp((wall_seconds - kStart) * kChangesPerSecond, 0.0,
                 static_cast<double>(kMost));
  return std::max(highest_term + kLeap, static_cast<uint64_t>(by_clock));
}

}  // namespace oxbow
