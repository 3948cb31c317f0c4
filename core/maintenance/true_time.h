// What a process knows of the time of day.
#pragma once

#include <algorithm>

#include "core/model/settings.h"

namespace oxbow {

// True time, s since 1970, is surely within both, ends included.
struct TrueTime {
  double earliest = 0;
  double latest = 0;
};

// One look at the wall clock, between two at the steady clock: a process that
// was stalled in between knows how little it has learnt.
struct WallReading {
  double wall = 0;    // s since 1970
  Time before = 0;    // steady
  Time after = -1e9;  // steady; never read

  bool known() const { return after > -1e8; }
  // `bound_s`: how far the wall clock may be off at the moment of the look. The
  // steady clock has drifted since then, and only that.
  TrueTime At(Time now, double bound_seconds) const {
    const double drift = kDrift * std::max(0.0, now - before);
    return {wall + (now - after) - bound_seconds - drift,
            wall + (now - before) + bound_seconds + drift};
  }
};

}  // namespace oxbow
