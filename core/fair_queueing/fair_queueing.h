// Fair queueing: how room is shared between the jobs that would each be
// quickest and those that have waited for long, class by class. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/settings.h"

namespace oxbow {

// What a class's room goes to while there is more work than room.
enum class QueueSide : uint8_t {
  kQuickest,      // least work first: most jobs are served in time
  kMinimumShare,  // the longest waiting and the largest: nobody is left out
};

// Least work first keeps the large ones waiting for ever; by age alone most
// jobs come late together. Each side is owed a share of the work that is
// placed, and the one that is behind goes first. What was placed long ago is
// forgotten, so that a new leader, who begins with nothing, soon shares alike.
class FairQueueing {
 public:
  // `minimum_share`: of the work placed, for the longest waiting, between 0
  // and 1. `memory_s`: what was placed so long ago counts for 1/e.
  FairQueueing(double minimum_share, double memory_seconds)
      : minimum_share_(minimum_share), memory_seconds_(memory_seconds) {}

  // Whether the class's jobs that are owed a minimum share go before the
  // quickest now.
  bool MinimumShareFirst(const std::string& job_class, Time now) const;
  // Work (core seconds) of the class has been placed.
  void Placed(const std::string& job_class, QueueSide side, double work,
              Time now);

 private:
  struct Sum {
    double minimum_share = 0;
    double quickest = 0;
    Time at = 0;
  };
  Sum Decayed(const Sum& sum, Time now) const;

  const double minimum_share_;
  const double memory_seconds_;
  std::map<std::string, Sum> placed_;  // by class, of which there are few
};

// The sizes that a class's jobs come in, as far as the largest go.
class LargestSizes {
 public:
  void Seen(const std::string& job_class, uint32_t tasks);
  // Among the largest: above three quarters of the largest there was, and not
  // the only size there is.
  bool IsLargest(const std::string& job_class, uint32_t tasks) const;

 private:
  struct Range {
    uint32_t least = UINT32_MAX;
    uint32_t most = 0;
  };
  std::map<std::string, Range> by_class_;
};

}  // namespace oxbow
