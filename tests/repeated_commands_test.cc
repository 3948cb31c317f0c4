// Real controllers whose workers get direct commands once more that they have
// already carried out and answered. The stand-ins of the workers record which
// tasks run, apart from the controllers.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <string>
#include <vector>

#include "tests/cluster.h"

namespace oxbow::test {
namespace {

using net::Task;

std::string ArrayJson(const std::string& id, int tasks) {
  return fmt::format(
      R"({{"id":"{}","duty":"batch","crew":"t","form":"batch",
      "standing":"standard","legs":{},"cores":1.0,"accelerators":0.0,
      "memory_gb":1.0,"build":"i","size_gb":0.1,"together":false,
      "scatter":false,"loaner":false,"reckon_s":60.0,"bookmark_s":0.0,
      "stow_s":0.0}})",
      id, tasks);
}

std::string IdOf(int number) { return fmt::format("job-{:06}", number); }

// All answered calls of all workers arrive once more, the oldest first.
void RepeatAllCalls(Cluster& cluster) {
  for (const auto& worker : cluster.workers) {
    std::vector<size_t> numbers(worker->answered_calls());
    std::iota(numbers.begin(), numbers.end(), 0);
    worker->RepeatCalls(numbers);
  }
}

int StartedAgain(const Cluster& cluster) {
  int started = 0;
  for (const auto& worker : cluster.workers) {
    started += worker->started_again();
  }
  return started;
}

Task<void> WaitUntilPresent(Cluster& cluster, std::string job, int tasks) {
  constexpr double kLimitSeconds = 30;
  const double limit = cluster.loop.Now() + kLimitSeconds;
  while (cluster.Present(job) != tasks && cluster.loop.Now() < limit) {
    co_await cluster.loop.Sleep(0.02);
  }
  EXPECT_EQ(cluster.Present(job), tasks) << job;
}

Task<void> SubmitAndCancel(Cluster& cluster, std::string job) {
  const auto submitted =
      co_await cluster.Ask("POST", "/v2/runs", ArrayJson(job, 2));
  EXPECT_TRUE(submitted.status == 201 || submitted.status == 200);
  co_await WaitUntilPresent(cluster, job, 2);
  const auto cancelled =
      co_await cluster.Ask("POST", "/v2/runs/" + job + "/cancel", "");
  EXPECT_EQ(cancelled.status, 200);
  // The exits are forgotten soon after the confirmation.
  co_await cluster.loop.Sleep(4 * kReport);
}

// What happens to the leader between the cancellation and the copy.
enum class LeaderFate { kLeadsOn, kIsGone, kIsBackAtOnce };

Task<void> CheckCancelled(Cluster& cluster, std::string job, LeaderFate fate) {
  co_await SubmitAndCancel(cluster, job);
  const int leader = cluster.Leader();
  EXPECT_GE(leader, 0);
  if (leader >= 0 && fate != LeaderFate::kLeadsOn) cluster.Kill(leader);
  if (leader >= 0 && fate == LeaderFate::kIsBackAtOnce) {
    co_await cluster.loop.Sleep(0.1);
    cluster.Launch(leader);
  }
  RepeatAllCalls(cluster);
  EXPECT_EQ(cluster.Present(job), 0) << "a cancelled task runs again";
  if (leader >= 0 && fate == LeaderFate::kIsGone) cluster.Launch(leader);
}

TEST(RepeatedCommands, DoNotStartACancelledTaskAgain) {
  Cluster cluster(1, "service.conf");
  bool ended = false;
  net::Spawn([](Cluster* c, bool* done) -> Task<void> {
    co_await CheckCancelled(*c, IdOf(1), LeaderFate::kLeadsOn);
    co_await CheckCancelled(*c, IdOf(2), LeaderFate::kIsGone);
    co_await CheckCancelled(*c, IdOf(3), LeaderFate::kIsBackAtOnce);
    EXPECT_EQ(StartedAgain(*c), 0);
    *done = true;
    c->loop.Stop();
  }(&cluster, &ended));
  cluster.loop.At(cluster.loop.Now() + 120, [&] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(ended);
}

TEST(RepeatedCommands, DoNotStartAFailedTaskBesideItsNextAttempt) {
  Cluster cluster(1, "service.conf");
  bool ended = false;
  net::Spawn([](Cluster* c, bool* done) -> Task<void> {
    for (const auto& worker : c->workers) worker->FailStarts(1);
    const std::string job = IdOf(1);
    const auto submitted =
        co_await c->Ask("POST", "/v2/runs", ArrayJson(job, 2));
    EXPECT_TRUE(submitted.status == 201 || submitted.status == 200);
    co_await WaitUntilPresent(*c, job, 2);
    co_await c->loop.Sleep(4 * kReport);
    RepeatAllCalls(*c);
    EXPECT_EQ(c->Present(job), 2) << "a task is on two machines";
    EXPECT_EQ(StartedAgain(*c), 0);
    *done = true;
    c->loop.Stop();
  }(&cluster, &ended));
  cluster.loop.At(cluster.loop.Now() + 120, [&] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(ended);
}

// Users submit and cancel while controllers are killed and back within 0.2 s,
// tasks fail, and random calls of the past arrive once more.
class Soak {
 public:
  Soak(Cluster& cluster, double seconds)
      : cluster_(cluster), ends_at_(cluster.loop.Now() + seconds) {}

  Task<void> Run() {
    net::Spawn(KillControllers());
    net::Spawn(RepeatCalls());
    while (cluster_.loop.Now() < ends_at_) co_await UseJob();
    over_ = true;
    // The last pauses of the other coroutines.
    co_await cluster_.loop.Sleep(kLongestPauseSeconds);
    cluster_.loop.Stop();
  }
  int jobs() const { return jobs_; }
  int kills() const { return kills_; }

 private:
  static constexpr double kLongestPauseSeconds = 3;

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(cluster_.random);
  }

  Task<void> UseJob() {
    const std::string job = IdOf(++jobs_);
    cluster_.cues[job].done_after =
        Between(0, 1) < 0.5 ? Between(0.2, 2) : 1e18;
    for (const auto& worker : cluster_.workers) {
      worker->FailStarts(Between(0, 1) < 0.2 ? 1 : 0);
    }
    co_await cluster_.Ask("POST", "/v2/runs", ArrayJson(job, 3));
    co_await cluster_.loop.Sleep(Between(0.1, 1.5));
    const auto answer =
        co_await cluster_.Ask("POST", "/v2/runs/" + job + "/cancel", "");
    if (answer.status == 200) ended_.push_back(job);
  }

  Task<void> KillControllers() {
    while (!over_) {
      co_await cluster_.loop.Sleep(Between(1, kLongestPauseSeconds));
      const int leader = cluster_.Leader();
      const int victim = leader >= 0 && Between(0, 1) < 0.7
                             ? leader
                             : std::uniform_int_distribution<int>(
                                   0, kControllers - 1)(cluster_.random);
      ++kills_;
      cluster_.Kill(victim);
      co_await cluster_.loop.Sleep(Between(0.01, 0.2));
      cluster_.Launch(victim);
    }
  }

  Task<void> RepeatCalls() {
    while (!over_) {
      co_await cluster_.loop.Sleep(Between(0.02, 0.2));
      for (const auto& worker : cluster_.workers) {
        RepeatSome(*worker);
      }
      EXPECT_EQ(StartedAgain(cluster_), 0);
      for (const std::string& job : ended_) EXPECT_EQ(cluster_.Present(job), 0);
      if (testing::Test::HasFailure()) ends_at_ = 0;
    }
  }

  // Up to four calls, in random order, mostly recent ones.
  void RepeatSome(FakeWorker& worker) {
    constexpr double kRecentCalls = 20;
    const auto calls = static_cast<double>(worker.answered_calls());
    if (calls < 1) return;
    std::vector<size_t> numbers;
    for (int i = 0; i < 4; ++i) {
      const double back = std::min(calls, Between(0, kRecentCalls));
      numbers.push_back(
          static_cast<size_t>(std::clamp(calls - back, 0.0, calls - 1)));
    }
    worker.RepeatCalls(numbers);
  }

  Cluster& cluster_;
  double ends_at_;
  bool over_ = false;
  int jobs_ = 0;
  int kills_ = 0;
  std::vector<std::string> ended_;  // confirmed as cancelled or done
};

// OXBOW_SOAK_SECONDS and OXBOW_SEED set its length and its seed.
TEST(RepeatedCommands, StartNothingAgainWhileControllersRestart) {
  const char* length = std::getenv("OXBOW_SOAK_SECONDS");
  const char* seed = std::getenv("OXBOW_SEED");
  const double seconds = length == nullptr ? 30 : std::atof(length);
  Cluster cluster(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10),
                  "service.conf");
  Soak soak(cluster, seconds);
  net::Spawn(soak.Run());
  cluster.loop.At(cluster.loop.Now() + seconds + 120, [&] {
    ADD_FAILURE() << "timed out";
    cluster.loop.Stop();
  });
  cluster.loop.Run();
  int refused = 0;
  for (const auto& worker : cluster.workers) {
    refused += worker->repeats_refused();
  }
  std::printf("jobs %d, controllers killed %d, repeated calls refused %d\n",
              soak.jobs(), soak.kills(), refused);
  EXPECT_GT(soak.jobs(), 3);
  EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace oxbow::test
