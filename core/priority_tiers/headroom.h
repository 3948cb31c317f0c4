// How much capacity a tier needs free in each zone: what it started lately, or
// what it would lose with its largest part, whichever is more.
#pragma once

#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// The larger, or the smaller, amount of each resource.
Resources Larger(const Resources& first, const Resources& second);
Resources Smaller(const Resources& first, const Resources& second);

// What has to be started again in each zone when a tier loses its largest part:
// one machine's use in the zone itself, or another zone's use, spread over the
// remaining zones in equal parts. `by_zone`: what the tier uses there;
// `by_machine`: the most that it uses on one machine of the zone.
std::map<std::string, Resources> LargestLoss(
    const std::map<std::string, Resources>& by_zone,
    const std::map<std::string, Resources>& by_machine);

// The headroom of one tier in all zones.
class Headroom {
 public:
  // Starts within `window_seconds` are one burst. After `half_life_seconds` a
  // burst counts for half.
  Headroom(double window_seconds, double half_life_seconds)
      : window_seconds_(window_seconds),
        half_life_seconds_(half_life_seconds) {}

  // A task of the tier has been started.
  void OnStart(const std::string& zone, const Resources& need, Time now);
  // The largest recent burst, as far as it still counts.
  Resources Burst(const std::string& zone, Time now) const;
  // What is to be reserved: never more than `share` of the zone's `total`.
  Resources Reserved(const std::string& zone, const Resources& total,
                     double share, const Resources& largest_loss,
                     Time now) const;

 private:
  static constexpr Time kNever = -1e18;  // longer ago than any window
  struct Zone {
    Time burst_since = kNever;
    Resources burst;  // since then
    Resources peak;   // as of peak_at
    Time peak_at = 0;
  };
  Resources Decayed(const Zone& zone, Time now) const;

  double window_seconds_;
  double half_life_seconds_;
  std::map<std::string, Zone> zones_;
};

}  // namespace oxbow
