// What the files about machines share.
#pragma once

#include "core/model/machine.h"
#include "core/model/report.h"

namespace oxbow {

// A machine that is not trusted gets nothing for so many worker leases.
inline constexpr double kDistrustLeases = 3;

inline constexpr size_t kMostOrders = 300;  // in a message; about 24 KiB

}  // namespace oxbow
