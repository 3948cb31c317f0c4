// The type of fencing tokens. Leaders generate them with FencingTokenSource
// (core/lease).
#pragma once

#include <cstdint>

namespace oxbow {

// Increases with every new leader and within a leadership. A worker that has
// seen a token rejects commands with a lower one.
using FencingToken = uint64_t;

}  // namespace oxbow
