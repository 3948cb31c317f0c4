// Priority tiers as operators write them: the text of the record `tiers`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/priority_tiers/tier_set.h"

namespace oxbow::wire {

// The name under which the record stands.
inline constexpr std::string_view kTiersRecord = "tiers";

// Reads a record's text and checks it whole. Fields that are not known are
// ignored. Returns one line that names what is wrong, or nothing; then `out`
// holds the tiers as listed.
std::string ReadTiers(std::string_view text, const TierBounds& bounds,
                      std::vector<Tier>* out);
std::string WriteTiers(const std::vector<Tier>& tiers);

// Takes a record's text in; a bad one leaves what was in force.
void TakeTiers(std::string_view text, uint64_t version,
               const TierBounds& bounds, TiersInForce* in_force);

}  // namespace oxbow::wire
