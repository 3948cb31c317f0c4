// Store epochs. A key-value store that has lost data assigns the same revisions
// again. Fencing tokens, attempt numbers, names of scale-out requests and the
// preconditions of writes depend on revisions being unique. A new store epoch
// is opened after each data loss, and keeps all of these unique.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

namespace oxbow {

// The record of the present epoch. There is one such record; it is never
// deleted, and replaced only by the record of a later epoch.
struct StoreEpoch {
  uint64_t number = 0;  // 0: no epoch is known
  // A random string. The key of the EpochMark is named after it, and the mark's
  // revision is a precondition of every write in this epoch. So a write of the
  // epoch before is rejected even if revisions repeat, since the mark with the
  // earlier name is gone.
  std::string id;
  // Added to the leader key's revision to form the term; see TermOf.
  uint64_t base = 0;
  // True if every job that was accepted is recorded in the store or retained by
  // a controller. If false, a job that no controller knows may have been
  // accepted before the data loss.
  bool whole = true;
  // True if reconciliation is complete: all retained records are in the store.
  bool rebuilt = true;
  double opened_wall = 0;  // seconds since 1970
  uint64_t mod_revision = 0;
};

// The record of the key that is named after StoreEpoch::id.
struct EpochMark {
  uint64_t number = 0;
  uint64_t mod_revision = 0;
};

// Orders two copies of a record: the copy of the later epoch is the newer one,
// and within an epoch the copy with the higher revision.
struct Version {
  uint64_t epoch = 0;
  uint64_t mod_revision = 0;
  auto operator<=>(const Version&) const = default;
};

// The term of a leader, which is the upper part of its fencing tokens. No two
// leaders share a term: within an epoch the revisions of their leader keys
// differ, and between epochs NextTermBase keeps the terms apart.
inline uint64_t TermOf(const StoreEpoch& epoch, uint64_t leader_revision) {
  return epoch.base + leader_revision;
}

// The number of bits that the term takes up in a fencing token of 64 bits.
inline constexpr int kTermBits = 44;

// The base of a new epoch, chosen so that every term of the epoch is above all
// earlier terms. `highest_term` is the highest term that any controller, worker
// or snapshot has shown. A leader that none of them knows of may have won with
// a higher revision, so a margin is added that covers the revisions that a
// store assigns in months. If no earlier term is known at all, the base follows
// from the clock: no store assigns kChangesPerSecond revisions per second, so
// an epoch that was opened earlier has lower terms. `wall_seconds`: seconds
// since 1970.
inline uint64_t NextTermBase(uint64_t highest_term, double wall_seconds) {
  constexpr uint64_t kMargin = uint64_t{1} << 32;
  constexpr double kClockOrigin = 1.7e9;  // seconds since 1970: in 2023
  constexpr double kChangesPerSecond = 4096;
  constexpr uint64_t kMaxBase = (uint64_t{1} << kTermBits) - kMargin;
  const double by_clock =
      std::clamp((wall_seconds - kClockOrigin) * kChangesPerSecond, 0.0,
                 static_cast<double>(kMaxBase));
  return std::max(highest_term + kMargin, static_cast<uint64_t>(by_clock));
}

}  // namespace oxbow
