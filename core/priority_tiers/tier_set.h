// Priority tiers: which jobs belong together, in which order they come, what
// room is kept for them and what they may hold. Operators record them; which
// version a leader works by is decided here. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// What a set of tiers has to keep to. Times in s.
struct TierBounds {
  size_t most_tiers = 16;
  size_t most_words = 64;    // in one list of a match
  size_t most_word = 64;     // bytes of a name
  size_t most_text = 8'192;  // bytes of the record
  double least_floor_seconds = 10;
  double most_floor_seconds = 240;
  double usual_floor_seconds = 120;  // of a tier that names none

  static TierBounds From(const Settings& settings);
  // Of a set that stands already, perhaps since larger values were taken.
  static TierBounds OfStored(const Settings& settings);
};

// An empty list matches everything.
struct TierMatch {
  std::vector<std::string> classes;
  std::vector<std::string> teams;
  std::vector<Priority> priorities;
  std::vector<JobKind> kinds;

  bool Matches(const JobSpec& spec) const;
  bool MatchesAll() const {
    return classes.empty() && teams.empty() && priorities.empty() &&
           kinds.empty();
  }
};

struct Tier {
  std::string name;
  uint32_t rank = 0;  // the least comes first
  TierMatch match;
  double kept_share = 0;     // of each zone's room, at the most
  double most_share = 1;     // of all room, while others wait; 1: no limit
  double floor_seconds = 0;  // 0: the usual one
};

// Tiers in the order in which they are matched. Jobs that no tier matches are
// in one more, after all others, so that a gap in a record loses nobody.
class TierSet {
 public:
  // One tier for all: the order of the queue is what it is without tiers.
  TierSet();
  TierSet(std::vector<Tier> tiers, const TierBounds& bounds);

  // The tier's place in the order of ranks, 0 first. Looks at every tier; kept
  // with the job, so that nobody asks twice.
  uint8_t Classify(const JobSpec& spec) const;
  // By place, the best first.
  const Tier& at(size_t place) const { return by_rank_[place]; }
  size_t size() const { return by_rank_.size(); }
  // As recorded, without the one for what is left over.
  const std::vector<Tier>& listed() const { return listed_; }
  bool operator==(const TierSet& other) const;

 private:
  std::vector<Tier> listed_;
  std::vector<Tier> by_rank_;
  std::vector<uint8_t> places_;  // of the listed ones
};

// The name of the tier of what no other matches. No record may use it.
inline constexpr const char* kRestTier = "rest";

// One line that names what can't be accepted, or nothing.
std::string WhyNoTiers(const std::vector<Tier>& tiers,
                       const TierBounds& bounds);

enum class TierSource : uint8_t {
  kBuiltIn,    // nothing was ever recorded, or it was withdrawn
  kRecorded,   // as the key-value store holds it
  kLastKnown,  // what it holds can't be read, or is gone
};

// Which set is in force. Outlives leaderships: every controller follows the
// record, so its own leadership begins with the version known then.
class TiersInForce {
 public:
  TiersInForce();

  void OnRecord(uint64_t version, TierSet set);
  // It is there and can't be used: `why` names what is wrong.
  void OnBadRecord(uint64_t version, const std::string& why);
  // There is none. That proves nothing, the key-value store may have lost it:
  // only a withdrawal takes tiers back.
  void OnNoRecord();
  void OnWithdrawn();

  TierSource source() const { return source_; }
  // Of the set in force; 0 for the built-in one.
  uint64_t version() const { return version_; }
  // Of the record that can't be used, and why; empty if there is none.
  uint64_t refused_version() const { return refused_version_; }
  const std::string& refused() const { return refused_; }
  // Never null.
  const std::shared_ptr<const TierSet>& set() const { return set_; }

 private:
  // The one function for a change.
  void Change(TierSource next);

  TierSource source_ = TierSource::kBuiltIn;
  uint64_t version_ = 0;
  uint64_t refused_version_ = 0;
  std::string refused_;
  std::shared_ptr<const TierSet> set_;
};

}  // namespace oxbow
