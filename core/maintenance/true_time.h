// The time of day as an interval that surely contains it.
#pragma once

#include <algorithm>

#include "core/model/settings.h"

namespace oxbow {

// True time, s since 1970, is surely within both, ends included.
struct TrueTime {
  double earliest = 0;
  double latest = 0;
};

// A reading of the wall clock between two of the steady clock: if the process
// was stalled in between, the interval is as wide as the stall.
struct WallReading {
  double wall = 0;    // s since 1970
  Time before = 0;    // steady
  Time after = -1e9;  // steady; -1e9: never read

  bool known() const { return after > -1e8; }
  // `bound_seconds`: how far the wall clock may be off at the reading. Since
  // then the steady clock may have drifted.
  TrueTime At(Time now, double bound_seconds) const {
    const double drift = kMaxClockDriftRate * std::max(0.0, now - before);
    return {wall + (now - after) - bound_seconds - drift,
            wall + (now - before) + bound_seconds + drift};
  }
};

}  // namespace oxbow
