#include "core/fair_queueing/fair_queueing.h"

#include <algorithm>
#include <cmath>

namespace oxbow {
namespace {

// Of the largest size seen: jobs above it are among the largest.
constexpr double kLargestShare = 0.75;

}  // namespace

FairQueueing::Account FairQueueing::Decayed(const Account& account,
                                            Time now) const {
  const double kept =
      std::exp(-std::max(0.0, now - account.at) / memory_seconds_);
  return {account.minimum_share * kept, account.quickest * kept, now};
}

bool FairQueueing::MinimumShareFirst(const std::string& job_class,
                                     Time now) const {
  const auto it = accounts_.find(job_class);
  if (it == accounts_.end()) return minimum_share_ > 0;
  const Account account = Decayed(it->second, now);
  const double placed = account.minimum_share + account.quickest;
  return account.minimum_share < minimum_share_ * placed ||
         (minimum_share_ > 0 && placed <= 0);
}

void FairQueueing::RecordPlaced(const std::string& job_class, QueueOrder side,
                                double work, Time now) {
  Account& account = accounts_[job_class];
  account = Decayed(account, now);
  (side == QueueOrder::kMinimumShare ? account.minimum_share
                                     : account.quickest) += work;
}

void JobSizeTracker::OnJobAdded(const std::string& job_class, uint32_t tasks) {
  Range& range = by_class_[job_class];
  range.least = std::min(range.least, tasks);
  range.most = std::max(range.most, tasks);
}

bool JobSizeTracker::IsLargest(const std::string& job_class,
                               uint32_t tasks) const {
  const auto it = by_class_.find(job_class);
  return it != by_class_.end() && it->second.least < it->second.most &&
         tasks > kLargestShare * it->second.most;
}

}  // namespace oxbow
