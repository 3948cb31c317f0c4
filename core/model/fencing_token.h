// The type of fencing tokens. How a leader makes them: core/lease.
#pragma once

#include <cstdint>

namespace oxbow {

// Rises with every leader, and within one leadership. A worker that has seen a
// token executes nothing that carries a lower one.
using FencingToken = uint64_t;

}  // namespace oxbow
