// Limits on machines and their workers that several modules share.
#pragma once

#include <cstddef>

namespace oxbow {

// How long a cordoned machine gets no new work, in worker leases.
inline constexpr double kCordonLeases = 3;

// The most commands in one message to a worker. Such a message has about 24
// KiB.
inline constexpr size_t kMaxCommandsPerBatch = 300;

}  // namespace oxbow
