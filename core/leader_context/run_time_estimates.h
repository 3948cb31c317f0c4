// Estimates how long the tasks of a class run: the users' estimates until
// enough tasks have been observed, the observed average from then on.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/model/job.h"

namespace oxbow {

// Owned by LeaderModules; every module may read it.
class RunTimeEstimates {
 public:
  // To be called when a task of the class has run to its end.
  void Observe(const std::string& job_class, double run_seconds) {
    // Arithmetic mean of the first 50 tasks; each later task has a weight of
    // one fiftieth.
    constexpr int kWindow = 50;
    Observed& observed = classes_[job_class];
    ++observed.tasks;
    observed.mean_seconds += (run_seconds - observed.mean_seconds) /
                             std::min(observed.tasks, kWindow);
  }

  // The estimated run time of one task of such a job, s.
  double RunSeconds(const JobSpec& spec) const {
    // Users' estimates are often wrong by half, so a few observations are more
    // reliable.
    constexpr int kMinObservedTasks = 5;
    const auto it = classes_.find(spec.job_class);
    if (it != classes_.end() && it->second.tasks >= kMinObservedTasks) {
      return it->second.mean_seconds;
    }
    return spec.estimate_seconds;
  }

 private:
  struct Observed {
    double mean_seconds = 0;
    int tasks = 0;
  };
  std::map<std::string, Observed> classes_;
};

}  // namespace oxbow
