// How much room a tier needs free in each zone: what it started lately, or what
// it would lose with its largest part, whichever is more.
#pragma once

#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// The larger one in each dimension.
Resources Larger(const Resources& a, const Resources& b);
Resources Smaller(const Resources& a, const Resources& b);

// What comes back to each zone when a tier loses its largest part: one
// machine's worth in the zone itself, or another zone's, taken up by those that
// are left in equal parts. `by_zone`: what the tier holds there; `by_machine`:
// the most that it holds on one machine of the zone.
std::map<std::string, Resources> LargestLoss(
    const std::map<std::string, Resources>& by_zone,
    const std::map<std::string, Resources>& by_machine);

class Headroom {
 public:
  // `window_s`: starts within so long are one burst. After `half_life_s` half
  // of a burst is forgotten.
  Headroom(double window_seconds, double half_life_seconds)
      : window_seconds_(window_seconds),
        half_life_seconds_(half_life_seconds) {}

  void OnStart(const std::string& zone, const Resources& need, Time now);
  // The largest burst of late, by what is remembered of it.
  Resources Burst(const std::string& zone, Time now) const;
  // What is to be kept free: never more than `share` of the zone's room.
  Resources Kept(const std::string& zone, const Resources& total, double share,
                 const Resources& largest_loss, Time now) const;

 private:
  struct Zone {
    Time since = -1e18;  // when the burst under way began
    Resources burst;
    Resources peak;  // as of peak_at
    Time peak_at = 0;
  };
  Resources Faded(const Zone& zone, Time now) const;

  double window_seconds_;
  double half_life_seconds_;
  std::map<std::string, Zone> zones_;
};

}  // namespace oxbow
