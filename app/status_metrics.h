// Counts the questions about jobs that this controller could not answer, by
// reason, and for how long there has been no answer here about a job.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/read_consistency/withheld_reason.h"
#include "net/loop.h"

namespace oxbow::app {

// Of one controller; on its event loop's thread. Times are the loop's, s.
class StatusMetrics {
 public:
  using Counts = std::array<uint64_t, kWithheldReasons>;

  // `log_interval_seconds`: the least time between two log lines.
  explicit StatusMetrics(double log_interval_seconds)
      : log_interval_seconds_(log_interval_seconds) {}

  void OnAnswered(const std::string& job);
  void OnWithheld(const std::string& job, WithheldReason reason, net::Time now);

  // Since the start of the process.
  uint64_t answered() const { return answered_; }
  const Counts& withheld() const { return withheld_; }
  // For how long the job that has waited longest has had no answer here; 0 if
  // none waits.
  double OldestWithheldSeconds(net::Time now) const;

 private:
  // Jobs beyond that are counted but not timed.
  static constexpr size_t kMaxTimedJobs = 10'000;

  void Log(net::Time now);

  const double log_interval_seconds_;
  uint64_t answered_ = 0;
  Counts withheld_{};
  std::unordered_map<std::string, net::Time> withheld_since_;  // by job
  net::Time next_log_ = 0;
};

}  // namespace oxbow::app
