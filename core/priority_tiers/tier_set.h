// Priority tiers: which jobs belong together, in which order they are served,
// which headroom is reserved for them and how much they may use. Operators
// record them; which version is in force is decided here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// Limits on a set of tiers.
struct TierBounds {
  size_t max_tiers = 16;
  size_t max_names_per_list = 64;   // in one list of a match
  size_t max_name_bytes = 64;       // bytes of a name
  size_t max_record_bytes = 8'192;  // bytes of the record
  double min_turn_wait_seconds = 10;
  double max_turn_wait_seconds = 240;
  double default_turn_wait_seconds = 120;  // of a tier that names none

  static TierBounds From(const Settings& settings);
  // For a set that is recorded already, perhaps when larger values were
  // allowed.
  static TierBounds OfStored(const Settings& settings);
};

// Which jobs belong to a tier: all lists must match; an empty one matches
// everything.
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

// One tier as operators record it.
struct Tier {
  std::string name;
  uint32_t rank = 0;  // the least comes first
  TierMatch match;
  double headroom_share = 0;  // of each zone's capacity: the most to reserve
  double max_share = 1;       // of all capacity, while others wait; 1: no limit
  // A job that has waited for so long gets a turn; 0: the usual time.
  double turn_wait_seconds = 0;
};

// Tiers in the order in which they are matched. Jobs that no tier matches
// belong to one more, after all others, so that a gap in a record loses no job.
class TierSet {
 public:
  // One tier for all jobs: the queue is ordered as without tiers.
  TierSet();
  TierSet(std::vector<Tier> tiers, const TierBounds& bounds);

  // The tier's place in the order of ranks, 0 first. Compares with every tier:
  // callers store the result with the job.
  uint8_t Classify(const JobSpec& spec) const;
  // By place, the best first.
  const Tier& at(size_t place) const { return by_rank_[place]; }
  size_t size() const { return by_rank_.size(); }
  // As recorded, without the one for jobs that no tier matches.
  const std::vector<Tier>& listed() const { return listed_; }
  bool operator==(const TierSet& other) const;

 private:
  std::vector<Tier> listed_;
  std::vector<Tier> by_rank_;
  std::vector<uint8_t> places_;  // of the listed ones
};

// The name of the tier of jobs that no other matches. No record may use it.
inline constexpr const char* kRestTier = "rest";

// The value for which a set of tiers can't be recorded.
struct TierError {
  std::string field;  // `tier NAME, FIELD`
  std::string problem;
};

// `field: problem`, on one line.
std::string Render(const TierError& error);

// The first error; nothing if the tiers can be recorded.
std::optional<TierError> FindTierError(const std::vector<Tier>& tiers,
                                       const TierBounds& bounds);

// Where the set in force comes from.
enum class TierSource : uint8_t {
  kBuiltIn,    // nothing was ever recorded, or it was withdrawn
  kRecorded,   // as the key-value store holds it
  kLastKnown,  // the record can't be read, or is missing
};

// Which set is in force. Outlives leaderships: every controller follows the
// record, so its own leadership begins with the version in force then.
class TiersInForce {
 public:
  TiersInForce();

  void OnRecord(uint64_t version, TierSet set);
  // There is a record that can't be used: `why` names what is wrong.
  void OnBadRecord(uint64_t version, const std::string& why);
  // There is none. That proves nothing, since the key-value store may have lost
  // it: only a withdrawal ends the tiers.
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
  // The one function for changes of the source.
  void Change(TierSource next);

  TierSource source_ = TierSource::kBuiltIn;
  uint64_t version_ = 0;
  uint64_t refused_version_ = 0;
  std::string refused_;
  std::shared_ptr<const TierSet> set_;
};

}  // namespace oxbow
