// Limits that several modules share when they deal with machines.
#pragma once

#include <cstddef>

namespace oxbow {

// A cordoned machine gets no new work for so many worker leases.
inline constexpr double kDistrustLeases = 3;

// Commands in one message to a worker; about 24 KiB.
inline constexpr size_t kMaxCommandsPerBatch = 300;

}  // namespace oxbow
