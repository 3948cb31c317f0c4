// Backfill within a team's quota: a gang waits for quota behind an array whose
// tasks run in turns, while small jobs of the team keep arriving. Enumerates
// many small configurations, each simulated in virtual time.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "tests/sim.h"

namespace oxbow::test {
namespace {

constexpr double kMaximumCores = 10;
constexpr double kStepSeconds = 0.25;
// The longest that a job may wait while there is capacity for it.
constexpr double kLongestWaitSeconds = 90;

// One configuration: the jobs that use the team's quota.
struct Wanted {
  uint32_t service_cores = 0;
  double array_cores = 0;  // of each task
  uint32_t array_tasks = 0;
  double array_seconds = 0;  // run time of each task
  uint32_t gang_cores = 0;   // one for each of its tasks
  double small_seconds = 0;  // run time of each small job
};

JobSpec SpecOf(const std::string& id, JobKind kind, uint32_t tasks,
               double cores, double seconds) {
  JobSpec spec;
  spec.id = id;
  spec.kind = kind;
  spec.job_class = "c";
  spec.team = "t";
  spec.priority =
      kind == JobKind::kService ? Priority::kProduction : Priority::kNormal;
  spec.tasks = tasks;
  spec.need = {cores, 0, 1};
  spec.image = fmt::format("img-{}", 1);
  spec.estimate_seconds = seconds;
  return spec;
}

class QuotaBackfill {
 public:
  explicit QuotaBackfill(const Wanted& wanted) : wanted_(wanted) {
    sim_.settings.teams.push_back({"t", 0, kMaximumCores, 0, 0});
    MachineType type;
    type.name = "big";
    type.total = {16, 0, 64};
    type.cache_gb = 100;
    type.price = type.spot_price = 1;
    type.boot_seconds = 2;
    type.zones = {"a"};
    sim_.types["big"] = type;
    sim_.AddWorker("n-1", "big", "a", false);
    sim_.AddWorker("n-2", "big", "a", false);
    sim_.Lead("a");
    sim_.Run(2);
    sim_.Submit(
        SpecOf("job-000001", JobKind::kService, wanted.service_cores, 1, 0));
    sim_.Run(3);
    sim_.Submit(SpecOf("job-000002", JobKind::kArray, wanted.array_tasks,
                       wanted.array_cores, wanted.array_seconds));
    sim_.Run(1);
    sim_.Submit(
        SpecOf(kGang, JobKind::kGang, wanted.gang_cores, 1, kGangSeconds));
  }

  // Runs the simulation until the gang has started. Returns an empty text, or
  // what went wrong.
  std::string Run() {
    const double begun = sim_.now();
    const double bound = GangStartBound();
    while (sim_.CountRunning(kGang) < static_cast<int>(wanted_.gang_cores)) {
      if (sim_.now() > begun + bound) {
        return fmt::format("the gang has not started within {} s", bound);
      }
      if (sim_.now() >= next_small_) SubmitSmall();
      sim_.Run(kStepSeconds);
      if (sim_.WaitedWithRoom("") > kLongestWaitSeconds) {
        return fmt::format("a job waits beside free capacity after {} s",
                           sim_.now() - begun);
      }
    }
    return sim_.broken().empty() ? "" : sim_.broken().front();
  }

 private:
  static constexpr const char* kGang = "job-000003";
  static constexpr double kGangSeconds = 4;

  // The latest start of the gang, in seconds: all turns of the array, then the
  // longest task that began just before the last turn ended. The slack is for
  // the starts of tasks in between.
  double GangStartBound() const {
    const double at_once =
        std::max(1.0, std::floor((kMaximumCores - wanted_.service_cores) /
                                 wanted_.array_cores));
    const double turns = std::ceil(wanted_.array_tasks / at_once);
    const double last = std::max(wanted_.small_seconds, wanted_.array_seconds);
    constexpr double kSlackRatio = 1.1;
    constexpr double kSlackSeconds = 10;
    return kSlackRatio * (turns * (wanted_.array_seconds + 1) + last) +
           kSlackSeconds;
  }

  void SubmitSmall() {
    constexpr double kIntervalSeconds = 1;
    next_small_ = sim_.now() + kIntervalSeconds;
    sim_.Submit(SpecOf(fmt::format("job-{:06}", next_id_++), JobKind::kArray, 1,
                       1, wanted_.small_seconds));
  }

  const Wanted wanted_;
  Sim sim_;
  double next_small_ = 0;
  int next_id_ = 100;
};

// Guards against two failures. Quota reserved for the gang must not keep other
// jobs waiting while the gang cannot use it yet, and jobs that start meanwhile
// must not delay the gang.
TEST(QuotaBackfill, TheGangStartsInTimeAndNoJobWaitsInVain) {
  for (const uint32_t services : {6U, 7U}) {
    for (const double array_cores : {1.0, 2.0}) {
      for (const uint32_t array_tasks : {1U, 4U, 24U}) {
        for (const double array_seconds : {4.0, 11.0}) {
          for (uint32_t gang = 2; gang <= kMaximumCores - services; ++gang) {
            for (const double small_seconds : {2.0, 5.0, 12.0}) {
              const Wanted wanted = {services,      array_cores, array_tasks,
                                     array_seconds, gang,        small_seconds};
              EXPECT_EQ(QuotaBackfill(wanted).Run(), "")
                  << services << " services, " << array_tasks << " tasks of "
                  << array_cores << " cores and " << array_seconds
                  << " s, a gang of " << gang << ", others of " << small_seconds
                  << " s";
            }
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace oxbow::test
