// Counts the status requests for jobs that this controller answered and those
// that it could not answer, the latter by reason. Also measures for how long a
// job's status has not been answered.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/read_consistency/withheld_reason.h"
#include "net/loop.h"

namespace oxbow::app {

// The metrics of one controller. Used only on the thread of its event loop;
// times are the loop's, in seconds.
class StatusMetrics {
 public:
  using Counts = std::array<uint64_t, kWithheldReasons>;

  // `log_interval_seconds` is the minimum time between two log lines.
  explicit StatusMetrics(double log_interval_seconds)
      : log_interval_seconds_(log_interval_seconds) {}

  void OnAnswered(const std::string& job);
  void OnWithheld(const std::string& job, WithheldReason reason, net::Time now);

  // Counts since the start of the process.
  uint64_t answered() const { return answered_; }
  const Counts& withheld() const { return withheld_; }
  // For how long, in seconds, the status of the job that has waited longest has
  // been withheld by this controller; 0 if no job waits for an answer.
  double OldestWithheldSeconds(net::Time now) const;

 private:
  // Limits the memory for times. Requests for further jobs are counted, but
  // their jobs are not timed.
  static constexpr size_t kMaxTimedJobs = 10'000;

  void Log(net::Time now);

  const double log_interval_seconds_;
  uint64_t answered_ = 0;
  Counts withheld_{};
  std::unordered_map<std::string, net::Time> withheld_since_;  // by job
  net::Time next_log_ = 0;
};

}  // namespace oxbow::app
