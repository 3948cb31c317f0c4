// Fair queueing: shares the capacity of each job class between the jobs with
// the least work and the jobs that have waited longest. Performs no I/O and
// reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/settings.h"

namespace oxbow {

// The two orders by which jobs are placed when there is more work than
// capacity.
enum class QueueOrder : uint8_t {
  kLeastWorkFirst,  // least work first, so that most jobs are served in time
  kMinimumShare,    // longest wait and largest first, so that no job starves
};

// With the least work first, large jobs starve; by age alone, most jobs are
// late. So each of the two orders is entitled to a share of the work that is
// placed, and the one that is behind its share is served first. The accounts
// decay over time, so a new leader, which begins with empty accounts, soon
// makes the same decisions as its predecessor.
class FairQueueing {
 public:
  // `minimum_share`: the share of the placed work for kMinimumShare, 0 to 1.
  // `memory_seconds`: work placed this long ago counts for 1/e; above 0.
  FairQueueing(double minimum_share, double memory_seconds)
      : minimum_share_(minimum_share), memory_seconds_(memory_seconds) {}

  // Whether the jobs of the class that are entitled to the minimum share are
  // served before those with the least work now.
  bool MinimumShareFirst(const std::string& job_class, Time now) const;
  // Adds `work` (core seconds) of the class, placed at `now`, to the account.
  void RecordPlaced(const std::string& job_class, QueueOrder side, double work,
                    Time now);

 private:
  // The work placed by each order, in core seconds, decayed up to the time
  // `at`.
  struct Account {
    double minimum_share = 0;
    double least_work = 0;
    Time at = 0;
  };
  // The account, decayed up to `now`.
  Account Decayed(const Account& account, Time now) const;

  const double minimum_share_;
  const double memory_seconds_;
  // By job class. Never shrinks, since there are only a few classes.
  std::map<std::string, Account> accounts_;
};

// Records the range of job sizes, in tasks, that was seen for each class.
class JobSizeTracker {
 public:
  // Records a job of the class with `tasks` tasks.
  void OnJobAdded(const std::string& job_class, uint32_t tasks);
  // Whether a job of that size is among the largest of its class: above three
  // quarters of the largest size seen. False if all jobs of the class seen so
  // far have the same size.
  bool IsLargest(const std::string& job_class, uint32_t tasks) const;

 private:
  struct Range {
    uint32_t least = UINT32_MAX;
    uint32_t most = 0;
  };
  std::map<std::string, Range> by_class_;
};

}  // namespace oxbow
