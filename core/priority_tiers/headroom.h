// Computes how much capacity has to stay free for a tier in each zone: as much
// as its tasks that were started recently, or as much as it would have to
// restart after its largest possible loss, whichever is more.
#pragma once

#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// The larger (or smaller) amount of each resource.
Resources Larger(const Resources& first, const Resources& second);
Resources Smaller(const Resources& first, const Resources& second);

// The capacity that a tier needs in each zone to restart its tasks after its
// largest loss: either one machine of that zone fails, or another zone fails
// and its tasks are spread equally over the remaining zones. `by_zone` is what
// the tier uses in each zone, `by_machine` the most that it uses on any one
// machine of the zone.
std::map<std::string, Resources> LargestLoss(
    const std::map<std::string, Resources>& by_zone,
    const std::map<std::string, Resources>& by_machine);

// The headroom of one tier in all zones.
class Headroom {
 public:
  // Starts within `window_seconds` form one burst. After `half_life_seconds` a
  // burst counts for half.
  Headroom(double window_seconds, double half_life_seconds)
      : window_seconds_(window_seconds),
        half_life_seconds_(half_life_seconds) {}

  // Records that a task of the tier has been started.
  void OnStart(const std::string& zone, const Resources& need, Time now);
  // The largest recent burst in the zone, decayed up to `now`.
  Resources Burst(const std::string& zone, Time now) const;
  // The capacity to reserve in the zone: the larger of the recent burst and
  // `largest_loss`, but at most `share` of the zone's capacity `total`.
  Resources Reserved(const std::string& zone, const Resources& total,
                     double share, const Resources& largest_loss,
                     Time now) const;

 private:
  static constexpr Time kNever = -1e18;  // longer ago than any window
  struct Zone {
    Time burst_since = kNever;
    Resources burst;  // capacity of the tasks started since `burst_since`
    Resources peak;   // the largest burst, decayed up to `peak_at`
    Time peak_at = 0;
  };
  // The peak of the zone, decayed up to `now`.
  Resources Decayed(const Zone& zone, Time now) const;

  double window_seconds_;
  double half_life_seconds_;
  std::map<std::string, Zone> zones_;
};

}  // namespace oxbow
