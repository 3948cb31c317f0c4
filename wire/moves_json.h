// Reads and writes the claim of a move as JSON, the text of the record
// `move/ID`.
#pragma once

#include <string>

#include "core/rebalancing/rebalancer.h"

namespace oxbow::wire {

std::string WriteMoveClaim(const MoveClaim& claim);
// Returns false if the text is not a valid claim.
bool ReadMoveClaim(const std::string& text, MoveClaim* out);
// Validates a claim that an operator writes to the record `name`. Returns a
// description of the error, or an empty string.
std::string CheckMoveClaim(const std::string& name, const std::string& text);

inline constexpr MoveCodec kMoveCodec{&WriteMoveClaim, &ReadMoveClaim};

}  // namespace oxbow::wire
