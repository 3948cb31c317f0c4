#include "core/priority_tiers/tier_set.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <set>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum TierSource;
using MaybeError = std::optional<TierError>;

// Shares that add up to 1 are within it, up to rounding.
constexpr double kShareEpsilon = 1e-9;

constexpr std::array kChanges = {
    std::pair{kBuiltIn, kBuiltIn},    std::pair{kBuiltIn, kRecorded},
    std::pair{kRecorded, kRecorded},  std::pair{kRecorded, kLastKnown},
    std::pair{kRecorded, kBuiltIn},   std::pair{kLastKnown, kLastKnown},
    std::pair{kLastKnown, kRecorded}, std::pair{kLastKnown, kBuiltIn},
};

template <typename T>
bool Has(const std::vector<T>& list, const T& value) {
  return list.empty() ||
         std::find(list.begin(), list.end(), value) != list.end();
}

std::string Number(double value) {
  std::array<char, 32> text;
  std::snprintf(text.data(), text.size(), "%g", value);
  return text.data();
}

bool PlainWord(const std::string& word, size_t most) {
  return !word.empty() && word.size() <= most &&
         std::all_of(word.begin(), word.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

bool IsShare(double value) {
  // Written so that what is no number fails too.
  return value >= 0 && value <= 1;
}

std::string NotANameText(const std::string& word, const TierBounds& bounds) {
  std::string problem = "\"";
  problem += word.substr(0, bounds.max_name_bytes);
  problem += "\" is no name";
  return problem;
}

MaybeError FindListError(std::string field,
                         const std::vector<std::string>& words,
                         const TierBounds& bounds) {
  if (words.size() > bounds.max_names_per_list) {
    return TierError{std::move(field),
                     std::to_string(words.size()) + " names, at most " +
                         std::to_string(bounds.max_names_per_list)};
  }
  for (const std::string& word : words) {
    if (!PlainWord(word, bounds.max_name_bytes)) {
      return TierError{std::move(field), NotANameText(word, bounds)};
    }
  }
  return std::nullopt;
}

// The tiers that were validated before this one.
struct EarlierTiers {
  std::set<std::string> names;
  std::set<uint32_t> ranks;
  double headroom_share = 0;
};

MaybeError FindShareError(const Tier& tier, const std::string& where,
                          EarlierTiers& earlier) {
  if (!IsShare(tier.headroom_share)) {
    return TierError{where + "kept_share",
                     Number(tier.headroom_share) + " is not between 0 and 1"};
  }
  if (!IsShare(tier.max_share) || tier.max_share <= 0) {
    return TierError{where + "most_share",
                     Number(tier.max_share) + " is not above 0 and at most 1"};
  }
  if (tier.headroom_share > tier.max_share) {
    return TierError{where + "kept_share",
                     Number(tier.headroom_share) +
                         " is more than the tier may hold, " +
                         Number(tier.max_share)};
  }
  earlier.headroom_share += tier.headroom_share;
  if (earlier.headroom_share > 1 + kShareEpsilon) {
    return TierError{where + "kept_share", "the shares add up to " +
                                               Number(earlier.headroom_share) +
                                               ", more than 1"};
  }
  return std::nullopt;
}

MaybeError FindFloorError(const Tier& tier, const std::string& where,
                          const TierBounds& bounds) {
  if (tier.turn_wait_seconds == 0 ||
      (tier.turn_wait_seconds >= bounds.min_turn_wait_seconds &&
       tier.turn_wait_seconds <= bounds.max_turn_wait_seconds)) {
    return std::nullopt;
  }
  return TierError{where + "floor_s",
                   Number(tier.turn_wait_seconds) + " is not between " +
                       Number(bounds.min_turn_wait_seconds) + " and " +
                       Number(bounds.max_turn_wait_seconds)};
}

MaybeError FindErrorOf(const Tier& tier, const TierBounds& bounds,
                       EarlierTiers& earlier) {
  if (!PlainWord(tier.name, bounds.max_name_bytes)) {
    return TierError{"name", NotANameText(tier.name, bounds)};
  }
  const std::string where = "tier " + tier.name + ", ";
  if (tier.name == kRestTier) {
    return TierError{where + "name", "kept for what no tier matches"};
  }
  if (!earlier.names.insert(tier.name).second) {
    return TierError{where + "name", "given twice"};
  }
  if (tier.rank == UINT32_MAX || !earlier.ranks.insert(tier.rank).second) {
    return TierError{where + "rank",
                     std::to_string(tier.rank) + " given twice"};
  }
  if (MaybeError error = FindShareError(tier, where, earlier)) return error;
  if (MaybeError error = FindFloorError(tier, where, bounds)) return error;
  if (MaybeError error =
          FindListError(where + "duty", tier.match.classes, bounds)) {
    return error;
  }
  return FindListError(where + "crew", tier.match.teams, bounds);
}

}  // namespace

TierBounds TierBounds::From(const Settings& settings) {
  TierBounds bounds;
  const double lease = settings.workers.lease_seconds;
  bounds.min_turn_wait_seconds = lease;
  bounds.max_turn_wait_seconds = 24 * lease;
  bounds.default_turn_wait_seconds = 12 * lease;
  // The other half is for the author, the note and the version.
  bounds.max_record_bytes =
      static_cast<size_t>(settings.store.value_kb * 1024 / 2);
  return bounds;
}

TierBounds TierBounds::OfStored(const Settings& settings) {
  TierBounds bounds = From(settings);
  bounds.max_record_bytes =
      std::max(bounds.max_record_bytes,
               static_cast<size_t>(settings.store.stored_value_kb * 1024));
  return bounds;
}

bool TierMatch::Matches(const JobSpec& spec) const {
  return Has(classes, spec.job_class) && Has(teams, spec.team) &&
         Has(priorities, spec.priority) && Has(kinds, spec.kind);
}

TierSet::TierSet() : TierSet({}, {}) {}

TierSet::TierSet(std::vector<Tier> tiers, const TierBounds& bounds)
    : listed_(std::move(tiers)), by_rank_(listed_) {
  std::sort(by_rank_.begin(), by_rank_.end(),
            [](const Tier& a, const Tier& b) { return a.rank < b.rank; });
  Tier rest;
  rest.name = kRestTier;
  rest.rank = UINT32_MAX;
  by_rank_.push_back(rest);
  for (Tier& tier : by_rank_) {
    if (tier.turn_wait_seconds <= 0)
      tier.turn_wait_seconds = bounds.default_turn_wait_seconds;
  }
  for (const Tier& tier : listed_) {
    const auto it = std::find_if(
        by_rank_.begin(), by_rank_.end(),
        [&](const Tier& other) { return other.rank == tier.rank; });
    places_.push_back(static_cast<uint8_t>(it - by_rank_.begin()));
  }
}

uint8_t TierSet::Classify(const JobSpec& spec) const {
  for (size_t i = 0; i < listed_.size(); ++i) {
    if (listed_[i].match.Matches(spec)) return places_[i];
  }
  return static_cast<uint8_t>(by_rank_.size() - 1);
}

bool TierSet::operator==(const TierSet& other) const {
  const auto same = [](const Tier& a, const Tier& b) {
    return a.name == b.name && a.rank == b.rank &&
           a.match.classes == b.match.classes &&
           a.match.teams == b.match.teams &&
           a.match.priorities == b.match.priorities &&
           a.match.kinds == b.match.kinds &&
           a.headroom_share == b.headroom_share && a.max_share == b.max_share &&
           a.turn_wait_seconds == b.turn_wait_seconds;
  };
  return std::equal(listed_.begin(), listed_.end(), other.listed_.begin(),
                    other.listed_.end(), same);
}

std::string Render(const TierError& error) {
  return error.field + ": " + error.problem;
}

std::optional<TierError> FindTierError(const std::vector<Tier>& tiers,
                                       const TierBounds& bounds) {
  if (tiers.empty()) {
    return TierError{"tiers", "none given; withdraw the record instead"};
  }
  if (tiers.size() > bounds.max_tiers) {
    return TierError{"tiers", std::to_string(tiers.size()) +
                                  " given, at most " +
                                  std::to_string(bounds.max_tiers)};
  }
  EarlierTiers earlier;
  for (const Tier& tier : tiers) {
    if (MaybeError error = FindErrorOf(tier, bounds, earlier)) return error;
  }
  for (size_t i = 0; i + 1 < tiers.size(); ++i) {
    if (tiers[i].match.MatchesAll()) {
      return TierError{
          "tier " + tiers[i + 1].name + ", match",
          "tier " + tiers[i].name + " before it matches every job"};
    }
  }
  return std::nullopt;
}

TiersInForce::TiersInForce() : set_(std::make_shared<const TierSet>()) {}

void TiersInForce::Change(TierSource next) {
  CheckedTransition(source_, next, kChanges, "tiers in force");
  if (next != kBuiltIn) return;
  version_ = 0;
  set_ = std::make_shared<const TierSet>();
}

void TiersInForce::OnRecord(uint64_t version, TierSet set) {
  Change(kRecorded);
  version_ = version;
  refused_.clear();
  refused_version_ = 0;
  set_ = std::make_shared<const TierSet>(std::move(set));
}

void TiersInForce::OnBadRecord(uint64_t version, const std::string& why) {
  Change(source_ == kBuiltIn ? kBuiltIn : kLastKnown);
  refused_version_ = version;
  refused_ = why;
}

void TiersInForce::OnNoRecord() {
  if (source_ != kBuiltIn) Change(kLastKnown);
}

void TiersInForce::OnWithdrawn() {
  Change(kBuiltIn);
  refused_.clear();
  refused_version_ = 0;
}

}  // namespace oxbow
