#include "app/status_metrics.h"

#include <algorithm>

#include "logging/structured_log.h"

namespace oxbow::app {

void StatusMetrics::OnAnswered(const std::string& job) {
  ++answered_;
  withheld_since_.erase(job);
}

void StatusMetrics::OnWithheld(const std::string& job, WithheldReason reason,
                               net::Time now) {
  ++withheld_.at(static_cast<size_t>(reason));
  if (withheld_since_.size() < kMaxTimedJobs) {
    withheld_since_.try_emplace(job, now);
  }
  Log(now);
}

double StatusMetrics::OldestWithheldSeconds(net::Time now) const {
  net::Time oldest = now;
  for (const auto& [job, since] : withheld_since_) {
    oldest = std::min(oldest, since);
  }
  return now - oldest;
}

void StatusMetrics::Log(net::Time now) {
  if (now < next_log_) return;
  next_log_ = now + log_interval_seconds_;
  LogFields fields = {{"jobs", withheld_since_.size()},
                      {"oldest_seconds", OldestWithheldSeconds(now)}};
  for (size_t i = 0; i < kWithheldReasons; ++i) {
    if (withheld_.at(i) == 0) continue;
    fields.emplace_back(kWithheldReasonNames.at(i), withheld_.at(i));
  }
  logging::Info("status of jobs withheld", std::move(fields));
}

}  // namespace oxbow::app
