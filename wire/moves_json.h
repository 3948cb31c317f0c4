// JSON of a move's claim: the text of the record `move/ID`.
#pragma once

#include <string>

#include "core/rebalancing/rebalancer.h"

namespace oxbow::wire {

std::string WriteMoveClaim(const MoveClaim& claim);
// False if it is none.
bool ReadMoveClaim(const std::string& text, MoveClaim* out);
// For operators' changes: empty if well-formed, else what is wrong.
std::string CheckMoveClaim(const std::string& name, const std::string& text);

inline constexpr MoveCodec kMoveCodec{&WriteMoveClaim, &ReadMoveClaim};

}  // namespace oxbow::wire
