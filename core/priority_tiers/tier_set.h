// Priority tiers: groups of jobs, with the order in which the groups are
// served, the headroom that is reserved for each, and the capacity that each
// may use. Operators write the tiers into a record in the key-value store; this
// file validates a set of tiers and decides which version is in force.
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
  size_t max_names_per_list = 64;   // names in one list of a TierMatch
  size_t max_name_bytes = 64;       // bytes of one name
  size_t max_record_bytes = 8'192;  // bytes of the record
  // Limits on Tier::turn_wait_seconds.
  double min_turn_wait_seconds = 10;
  double max_turn_wait_seconds = 240;
  double default_turn_wait_seconds = 120;  // for a tier that does not set it

  static TierBounds From(const Settings& settings);
  // The limits for reading a set that is recorded already. It may have been
  // recorded when larger records were allowed.
  static TierBounds OfStored(const Settings& settings);
};

// Selects the jobs that belong to a tier. All lists must match the job; an
// empty list matches every job.
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
  uint32_t rank = 0;  // the smallest rank is served first
  TierMatch match;
  // The most headroom to reserve for the tier, as a share of each zone's
  // capacity.
  double headroom_share = 0;
  // The share of the whole capacity that the tier may use while jobs of other
  // tiers wait; 1: no limit.
  double max_share = 1;
  // A job that has waited for this long gets a turn directly after the best
  // tier; 0: the default of TierBounds.
  double turn_wait_seconds = 0;
};

// The tiers, in the order in which they are matched against a job; the first
// match counts. Jobs that no tier matches belong to an additional tier after
// all others, so that every job has a tier even if a record has gaps.
class TierSet {
 public:
  // A single tier for all jobs: the queue is ordered as without tiers.
  TierSet();
  TierSet(std::vector<Tier> tiers, const TierBounds& bounds);

  // Returns the place of the job's tier: its index in the order of ranks, 0
  // being the best. Compares the job with every tier, so callers store the
  // result with the job.
  uint8_t Classify(const JobSpec& spec) const;
  // The tier with that place.
  const Tier& at(size_t place) const { return by_rank_[place]; }
  size_t size() const { return by_rank_.size(); }
  // The tiers as recorded, without the tier for jobs that no tier matches.
  const std::vector<Tier>& listed() const { return listed_; }
  bool operator==(const TierSet& other) const;

 private:
  std::vector<Tier> listed_;
  std::vector<Tier> by_rank_;    // with the additional tier, which is last
  std::vector<uint8_t> places_;  // the place of each tier in `listed_`
};

// The name of the tier for jobs that no other tier matches. Records may not use
// it.
inline constexpr const char* kRestTier = "rest";

// The field of a set of tiers that is invalid, and why.
struct TierError {
  std::string field;  // `tier NAME, FIELD`
  std::string problem;
};

// Formats the error as `field: problem`, on one line.
std::string Render(const TierError& error);

// Validates a set of tiers. Returns the first error, or nullopt if the tiers
// can be recorded.
std::optional<TierError> FindTierError(const std::vector<Tier>& tiers,
                                       const TierBounds& bounds);

// Where the set of tiers in force comes from.
enum class TierSource : uint8_t {
  kBuiltIn,    // no tiers were ever recorded, or the operators withdrew them
  kRecorded,   // the current record in the key-value store
  kLastKnown,  // an earlier record; the current one is invalid or missing
};

// Tracks which set of tiers is in force. Outlives leaderships: every controller
// follows the record, so that its own leadership begins with the version that
// is in force at that time.
class TiersInForce {
 public:
  TiersInForce();

  // A valid record was read; its set is in force from now on.
  void OnRecord(uint64_t version, TierSet set);
  // A record was read that cannot be used. `why` says what is wrong with it.
  void OnBadRecord(uint64_t version, const std::string& why);
  // No record was found. The tiers stay in force, since the key-value store may
  // have lost the record; only a withdrawal ends them.
  void OnNoRecord();
  // The operators have withdrawn the tiers.
  void OnWithdrawn();

  TierSource source() const { return source_; }
  // The version of the set in force; 0 for the built-in set.
  uint64_t version() const { return version_; }
  // The version of the last record that cannot be used, and what is wrong with
  // it; 0 and empty if there is none.
  uint64_t refused_version() const { return refused_version_; }
  const std::string& refused() const { return refused_; }
  // The set in force. Never null.
  const std::shared_ptr<const TierSet>& set() const { return set_; }

 private:
  // Every change of `source_` goes through this function.
  void Change(TierSource next);

  TierSource source_ = TierSource::kBuiltIn;
  uint64_t version_ = 0;
  uint64_t refused_version_ = 0;
  std::string refused_;
  std::shared_ptr<const TierSet> set_;
};

}  // namespace oxbow
