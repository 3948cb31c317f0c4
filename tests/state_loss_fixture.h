// Shared parts of the tests of data loss in the key-value store: the jobs, the
// description of a loss, and a watcher that checks what users are told and
// which tasks run.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <ostream>
#include <set>
#include <string>

#include "tests/cluster.h"

namespace oxbow::test {

inline constexpr int kServices = 7;
inline constexpr int kReplicas = 3;
inline constexpr int kAll = kServices * kReplicas;

// One kind of data loss, and what the test may expect after it.
struct Loss {
  const char* name;
  std::function<void(FakeKeyValueStore&, const FakeKeyValueStore::Copy&)> what;
  bool all_end = false;       // all controllers are killed at once
  bool jobs_known = true;     // some controller has every job
  bool remembers_end = true;  // and the cancelled job's end
  bool one_stays = false;     // one controller isn't killed
};

inline void PrintTo(const Loss& loss, std::ostream* out) { *out << loss.name; }

inline std::string IdOf(int n) { return fmt::format("job-{:06}", n); }

inline std::string JobJson(const std::string& id) {
  return fmt::format(
      R"({{"id":"{}","duty":"web","crew":"t","form":"service",
      "standing":"production","legs":{},"cores":1.0,"accelerators":0.0,
      "memory_gb":1.0,"build":"i","size_gb":0.1,"together":false,
      "scatter":true,"loaner":false,"reckon_s":0.0,"bookmark_s":0.0,
      "stow_s":0.0}})",
      id, kReplicas);
}

// Checks during a test what users are told, and counts the running tasks.
class Watcher {
 public:
  Watcher(Cluster& cluster, const Loss& loss) : c_(cluster), loss_(loss) {}

  // Records the least number of tasks that ran at any moment, until `over`.
  net::Task<void> Count() {
    while (!over) {
      int up = 0;
      for (int i = 0; i < kServices; ++i) up += c_.Well(IdOf(i));
      least_up = std::min(least_up, up);
      EXPECT_FALSE(c_.AnyDied()) << "a controller ended by itself";
      co_await c_.loop.Sleep(0.02);
    }
  }
  // Polls one controller for the status of each job until `over`, and fails if
  // the controller denies a job that it should know or reports a wrong status.
  net::Task<void> Poll(int controller) {
    std::set<std::string> seen_running;
    while (!over) {
      for (int i = 0; i <= kServices && !over; ++i) {
        const std::string id = IdOf(i);
        const auto answer =
            co_await c_.AskOne(controller, "GET", "/v2/runs/" + id, "");
        if (answer.outcome != net::Outcome::kAnswered) continue;
        const bool cancelled = i == kServices;
        if (answer.status == 404 && loss_.jobs_known &&
            (!cancelled || loss_.remembers_end)) {
          ADD_FAILURE() << Cluster::Name(controller) << " denies " << id;
        }
        const bool aborted = answer.body.find("aborted") != std::string::npos;
        if (answer.status == 200 && aborted != cancelled &&
            (!cancelled || loss_.remembers_end)) {
          ADD_FAILURE() << id << " told as " << answer.body;
        }
      }
      co_await c_.loop.Sleep(0.1);
    }
  }

  bool over = false;
  int least_up = kAll;

 private:
  Cluster& c_;
  const Loss& loss_;
};

}  // namespace oxbow::test
