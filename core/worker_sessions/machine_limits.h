// What the files about machines share.
#pragma once

#include "core/model/heartbeat.h"
#include "core/model/machine.h"

namespace oxbow {

// A machine that is not trusted gets nothing for so many worker leases.
inline constexpr double kDistrustLeases = 3;

inline constexpr size_t kMaxCommandsPerBatch =
    300;  // in a message; about 24 KiB

}  // namespace oxbow
