// Reads and writes the operators' priority tiers as JSON, the text of the
// record `tiers`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/priority_tiers/tier_set.h"

namespace oxbow::wire {

// The name of the record that holds the tiers.
inline constexpr std::string_view kTiersRecord = "tiers";

// Parses and validates the text of the record. Unknown fields are ignored.
// Returns a one-line description of the first error, or an empty string; in the
// latter case `out` holds the tiers in the order in which they are listed.
std::string ReadTiers(std::string_view text, const TierBounds& bounds,
                      std::vector<Tier>* out);
std::string WriteTiers(const std::vector<Tier>& tiers);

// Puts the tiers of a record's text into force. If the text is invalid, the
// previous tiers stay in force.
void TakeTiers(std::string_view text, uint64_t version,
               const TierBounds& bounds, TiersInForce* in_force);

}  // namespace oxbow::wire
