#include "core/fair_queueing/fair_queueing.h"

#include <algorithm>
#include <cmath>

namespace oxbow {

FairQueueing::Sum FairQueueing::Decayed(const Sum& sum, Time now) const {
  const double kept = std::exp(-std::max(0.0, now - sum.at) / memory_seconds_);
  return {sum.minimum_share * kept, sum.quickest * kept, now};
}

bool FairQueueing::MinimumShareFirst(const std::string& job_class,
                                     Time now) const {
  const auto it = placed_.find(job_class);
  if (it == placed_.end()) return minimum_share_ > 0;
  const Sum sum = Decayed(it->second, now);
  return sum.minimum_share <
             minimum_share_ * (sum.minimum_share + sum.quickest) ||
         (minimum_share_ > 0 && sum.minimum_share + sum.quickest <= 0);
}

void FairQueueing::Placed(const std::string& job_class, QueueSide side,
                          double work, Time now) {
  Sum& sum = placed_[job_class];
  sum = Decayed(sum, now);
  (side == QueueSide::kMinimumShare ? sum.minimum_share : sum.quickest) += work;
}

void LargestSizes::Seen(const std::string& job_class, uint32_t tasks) {
  Range& range = by_class_[job_class];
  range.least = std::min(range.least, tasks);
  range.most = std::max(range.most, tasks);
}

bool LargestSizes::IsLargest(const std::string& job_class,
                             uint32_t tasks) const {
  constexpr double kShare = 0.75;
  const auto it = by_class_.find(job_class);
  return it != by_class_.end() && it->second.least < it->second.most &&
         tasks > kShare * it->second.most;
}

}  // namespace oxbow
