// True time as an interval that is guaranteed to contain it.
#pragma once

#include <algorithm>

#include "core/model/settings.h"

namespace oxbow {

// Bounds of true time, in seconds since 1970, both inclusive.
struct TrueTime {
  double earliest = 0;
  double latest = 0;
};

// A reading of the wall clock between two readings of the steady clock. If the
// process stalled in between, the interval of true time widens by the stall.
struct WallReading {
  double wall = 0;    // s since 1970
  Time before = 0;    // steady clock
  Time after = -1e9;  // steady clock; -1e9 if the clocks were never read

  bool known() const { return after > -1e8; }
  // True time at `now`. `bound_seconds`: maximum error of the wall clock at the
  // reading. The drift of the steady clock since then is added.
  TrueTime At(Time now, double bound_seconds) const {
    const double drift = kMaxClockDriftRate * std::max(0.0, now - before);
    return {wall + (now - after) - bound_seconds - drift,
            wall + (now - before) + bound_seconds + drift};
  }
};

}  // namespace oxbow
