// Fair queueing: how capacity is shared, class by class, between the jobs that
// are quickest to finish and those that have waited longest. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/settings.h"

namespace oxbow {

// Which of two orders a job was placed by while there was more work than
// capacity.
enum class QueueOrder : uint8_t {
  kLeastWorkFirst,  // least work first: most jobs are served in time
  kMinimumShare,    // longest waiting and largest first: none starves
};

// By least work first the large jobs starve; by age alone most jobs are late
// together. So each side is entitled to a share of the work that is placed, and
// the side that is behind its share comes first. The account decays with time,
// so a new leader, which begins with an empty one, soon shares alike.
class FairQueueing {
 public:
  // `minimum_share`: of the work placed, for the longest waiting, 0 to 1.
  // `memory_seconds`: work placed so long ago counts for 1/e; above 0.
  FairQueueing(double minimum_share, double memory_seconds)
      : minimum_share_(minimum_share), memory_seconds_(memory_seconds) {}

  // Whether the jobs of the class that wait for their minimum share come before
  // the quickest now.
  bool MinimumShareFirst(const std::string& job_class, Time now) const;
  // Accounts for `work` (core seconds) of the class that is placed now.
  void RecordPlaced(const std::string& job_class, QueueOrder side, double work,
                    Time now);

 private:
  // Work placed by each side, core seconds, as of `at`.
  struct Account {
    double minimum_share = 0;
    double quickest = 0;
    Time at = 0;
  };
  Account Decayed(const Account& account, Time now) const;

  const double minimum_share_;
  const double memory_seconds_;
  std::map<std::string, Account> accounts_;  // by class, of which there are few
};

// The range of sizes, in tasks, that the jobs of each class come in.
class JobSizeTracker {
 public:
  // A job of the class has `tasks` tasks.
  void OnJobAdded(const std::string& job_class, uint32_t tasks);
  // Whether a job of that size is among the largest of its class: above three
  // quarters of the largest seen. False where all have the same size.
  bool IsLargest(const std::string& job_class, uint32_t tasks) const;

 private:
  struct Range {
    uint32_t least = UINT32_MAX;
    uint32_t most = 0;
  };
  std::map<std::string, Range> by_class_;
};

}  // namespace oxbow
