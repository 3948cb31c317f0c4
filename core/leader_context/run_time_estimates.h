// How long tasks of a class run: as their users estimate until enough tasks
// have been observed, as observed from then on.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/model/job.h"

namespace oxbow {

// Owned by LeaderModules; every module may read it.
class RunTimeEstimates {
 public:
  // A task of the class has run to its end.
  void Observe(const std::string& job_class, double run_seconds) {
    constexpr int kWindow = 50;  // later ones count a fiftieth each
    Observed& observed = classes_[job_class];
    ++observed.tasks;
    observed.mean_seconds += (run_seconds - observed.mean_seconds) /
                             std::min(observed.tasks, kWindow);
  }

  // Of one task of such a job, s.
  double RunSeconds(const JobSpec& spec) const {
    // Estimates are often wrong by half: observations count more.
    constexpr int kEnough = 5;
    const auto it = classes_.find(spec.job_class);
    if (it != classes_.end() && it->second.tasks >= kEnough) {
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
