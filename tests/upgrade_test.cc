// Test of an upgrade on loopback. Five real controllers run the version in
// production, which is built from the repository's history. They are killed one
// or two at a time and restart with the present version, while jobs run, are
// cancelled and end. During the upgrade a leader is killed, and one controller
// goes back to the version in production.

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "tests/cluster.h"
#include "tests/known_watch.h"

// Servers run until their process ends, so a test that stops its loop leaves
// their suspended coroutines behind, which the leak sanitizer must not report.
// The sanitizer prescribes the name of this function.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" const char* __lsan_default_suppressions() {
  return "leak:oxbow::net::\nleak:oxbow::test::\nleak:oxbow::clients::\n";
}

namespace oxbow::test {
namespace {

using net::Task;

constexpr int kUpgraded = 5;  // controllers
// The times after which a killed controller restarts: before the leader's lease
// has expired, and after it.
constexpr double kSoonBackSeconds = 0.3;
constexpr double kLateBackSeconds = 0.5 * kLease;
constexpr double kBetweenStepsSeconds = 3;

enum class Version { kProduction, kPresent };

Program ProgramOf(Version version) {
  if (version == Version::kPresent) return {};
  return {OXBOW_PRODUCTION "/source/target/oxbowbank",
          OXBOW_PRODUCTION "/source/deploy"};
}

// Returns whether the version in production can be run. It is built only on
// request, see build_production.sh.
bool ProductionIsBuilt() {
  const char* asked = std::getenv("OXBOW_UPGRADE_TEST");
  return asked != nullptr && std::string(asked) == "1" &&
         access(ProgramOf(Version::kProduction).path.c_str(), X_OK) == 0;
}

// A job of the test's users, with what the checks of its tasks need to know.
struct UserJob {
  std::string id;
  bool service = false;
  int tasks = 0;
  bool accepted = false;
  bool cancel_asked = false;
  double cancelled_at = -1;  // s; its user was told so
  bool whole = false;        // a service of which all tasks have run
};

class Upgrade {
 public:
  explicit Upgrade(Cluster& cluster)
      : c_(cluster),
        known_(
            cluster.loop, cluster.listen(), kLease, /*seed=*/1,
            [&cluster](const std::string& id) { return cluster.Present(id); }),
        versions_(kUpgraded, Version::kProduction) {}

  Task<void> Run() {
    net::Spawn(known_.Run());
    net::Spawn(Watch());
    known_.NeverSubmitted("job-099999");
    co_await c_.loop.Sleep(2);
    net::Spawn(Submit());
    co_await c_.loop.Sleep(kBetweenStepsSeconds);

    co_await RollOut();
    submitting_ = false;
    co_await Settle();
    over_ = true;
    co_await known_.Finish();
    Check();
    finished_ = true;
    c_.loop.Stop();
  }
  bool finished() const { return finished_; }
  void Print() const {
    const auto services =
        std::count_if(jobs_.begin(), jobs_.end(),
                      [](const UserJob& job) { return job.service; });
    std::printf(
        "%zu jobs, %ld of them services, %d cancelled; leaders: old %d, "
        "present %d, killed %d; no job silent for more than %.1f s, %d "
        "answers\n",
        jobs_.size(), static_cast<long>(services), cancelled_,
        led_[static_cast<size_t>(Version::kProduction)],
        led_[static_cast<size_t>(Version::kPresent)], leaders_killed_,
        known_.longest_silence(), known_.answers());
  }

 private:
  // --- the upgrade
  Task<void> RollOut() {
    // First a controller that doesn't lead, then two at once, one of which is
    // the leader.
    const int first = NotLeading(Version::kProduction);
    co_await Replace(std::vector<int>(1, first), Version::kPresent,
                     kSoonBackSeconds);
    const int second = NotLeading(Version::kProduction);
    const int leader = co_await AnyLeader();
    co_await Replace(Distinct(leader, second), Version::kPresent,
                     kLateBackSeconds);
    // The leader is killed and restarts with the version that it had, which may
    // be either.
    const int dies = co_await AnyLeader();
    co_await Replace(std::vector<int>(1, dies), versions_[dies],
                     kSoonBackSeconds);
    // One upgraded controller goes back to the version in production.
    const int back = NotLeading(Version::kPresent);
    co_await Replace(std::vector<int>(1, back), Version::kProduction,
                     kSoonBackSeconds);
    // The remaining controllers are upgraded two at a time.
    for (;;) {
      std::vector<int> turn;
      for (int i = 0; i < kUpgraded && turn.size() < 2; ++i) {
        if (versions_[i] == Version::kProduction) turn.push_back(i);
      }
      if (turn.empty()) break;
      co_await Replace(turn, Version::kPresent, kLateBackSeconds);
    }
  }
  Task<void> Replace(std::vector<int> controllers, Version version,
                     double back_seconds) {
    known_.Trouble();
    const int leader = c_.Leader();
    for (const int i : controllers) {
      leaders_killed_ += i == leader;
      c_.Kill(i);
    }
    co_await c_.loop.Sleep(back_seconds);
    for (const int i : controllers) {
      versions_[i] = version;
      c_.SetProgram(i, ProgramOf(version));
      c_.Launch(i);
    }
    co_await c_.loop.Sleep(kBetweenStepsSeconds);
  }
  static std::vector<int> Distinct(int a, int b) {
    return a == b ? std::vector<int>{a} : std::vector<int>{a, b};
  }
  int NotLeading(Version version) const {
    const int leader = c_.Leader();
    for (int i = 0; i < kUpgraded; ++i) {
      if (i != leader && versions_[i] == version) return i;
    }
    ADD_FAILURE() << "no controller of that version to replace";
    return 0;
  }
  Task<int> AnyLeader() {
    for (int i = 0; i < 200; ++i) {
      if (c_.Leader() >= 0) co_return c_.Leader();
      co_await c_.loop.Sleep(0.05);
    }
    ADD_FAILURE() << "nobody leads";
    co_return 0;
  }

  // --- users
  Task<void> Submit() {
    while (submitting_) {
      const size_t number = jobs_.size();
      UserJob job;
      job.id = fmt::format("job-{:06}", 100'000 + number);
      job.service = number % 3 == 0;
      job.tasks = job.service ? 2 : 3;
      const double runs_seconds = Between(0.5, 4);
      if (!job.service) c_.cues[job.id].done_after = runs_seconds;
      // Half of the services are cancelled, since they would otherwise fill the
      // machines.
      const bool cancels = number % 4 == 1 || (job.service && number % 6 == 0);
      jobs_.push_back(job);
      net::Spawn(Watch(number, cancels ? Between(0.1, 5) : -1));
      co_await c_.loop.Sleep(0.4);
    }
  }
  Task<void> Watch(size_t number, double cancel_after) {
    const std::string id = jobs_[number].id;
    const auto accepted =
        co_await c_.Ask("POST", "/v2/runs", JobJson(jobs_[number]));
    EXPECT_TRUE(accepted.status == 201 || accepted.status == 200)
        << id << ": " << accepted.status << " " << accepted.body;
    jobs_[number].accepted = true;
    known_.Accepted(id);
    if (cancel_after < 0) co_return;
    co_await c_.loop.Sleep(cancel_after);
    jobs_[number].cancel_asked = true;
    known_.CancelAsked(id);
    const auto answer =
        co_await c_.Ask("POST", "/v2/runs/" + id + "/cancel", "");
    EXPECT_EQ(answer.status, 200) << id << " " << answer.body;
    if (answer.body.find("aborted") == std::string::npos) co_return;
    known_.Cancelled(id);
    jobs_[number].cancelled_at = c_.loop.Now();
    ++cancelled_;
  }
  static std::string JobJson(const UserJob& job) {
    return fmt::format(
        R"({{"id":"{}","duty":"d","crew":"t","form":"{}",
        "standing":"{}","legs":{},"cores":1.0,"accelerators":0.0,
        "memory_gb":1.0,"build":"i","size_gb":0.1,"together":false,
        "scatter":{},"loaner":false,"reckon_s":{},"bookmark_s":0.0,
        "stow_s":0.0}})",
        job.id, job.service ? "service" : "batch",
        job.service ? "production" : "standard", job.tasks, job.service,
        job.service ? 0.0 : 2.0);
  }

  // --- checks of the tasks on the machines
  Task<void> Watch() {
    std::string leader;  // its record, which differs after each restart
    while (!over_) {
      EXPECT_FALSE(c_.AnyDied()) << "a controller ended by itself";
      const int leads = c_.Leader();
      const std::string record = c_.state().Value("ob/live/leader");
      if (leads >= 0 && record != leader) {
        leader = record;
        ++led_[static_cast<size_t>(versions_[leads])];
      }
      for (UserJob& job : jobs_) WatchTasks(&job);
      co_await c_.loop.Sleep(0.02);
    }
  }
  void WatchTasks(UserJob* job) const {
    const int present = c_.Present(job->id);
    EXPECT_LE(present, job->tasks) << job->id << " runs twice";
    if (job->cancelled_at >= 0) {
      // The cluster's settings allow 40 s for a cancellation. A worker's lease
      // is enough in this test.
      EXPECT_TRUE(present == 0 || c_.loop.Now() < job->cancelled_at + kLease)
          << job->id << " runs on after its cancellation";
      return;
    }
    if (!job->service || job->cancel_asked) return;
    job->whole = job->whole || c_.Well(job->id) == job->tasks;
    EXPECT_TRUE(!job->whole || present == job->tasks)
        << job->id << " has lost a living task";
  }

  // --- checks at the end
  // Waits until every accepted job runs or has ended, for three leases at most.
  Task<void> Settle() {
    const double until = c_.loop.Now() + 3 * kLease;
    while (!Unsettled().empty() && c_.loop.Now() < until) {
      co_await c_.loop.Sleep(0.1);
    }
  }
  std::vector<std::string> Unsettled() const {
    std::vector<std::string> ids;
    for (const UserJob& job : jobs_) {
      const bool settled =
          job.cancel_asked
              ? c_.Present(job.id) == 0
              : job.accepted &&
                    (job.service ? c_.Well(job.id) == job.tasks
                                 : c_.Completed(job.id) ==
                                       static_cast<size_t>(job.tasks));
      if (!settled) ids.push_back(job.id);
    }
    return ids;
  }
  void Check() const {
    for (const std::string& id : Unsettled()) {
      ADD_FAILURE() << id << " was accepted, and is neither there nor over";
    }
    EXPECT_EQ(c_.SessionsLost(), 0);
    EXPECT_EQ(c_.deleted_alive(), 0);
    EXPECT_GE(leaders_killed_, 2);
    EXPECT_GT(led_[static_cast<size_t>(Version::kProduction)], 0);
    EXPECT_GT(led_[static_cast<size_t>(Version::kPresent)], 0);
    for (const Version version : versions_) {
      EXPECT_EQ(version, Version::kPresent);
    }
  }

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(c_.random);
  }

  Cluster& c_;
  KnownWatch known_;
  std::vector<Version> versions_;  // by controller
  std::vector<UserJob> jobs_;
  std::array<int, 2> led_{};  // terms of leadership, by version
  int leaders_killed_ = 0;
  int cancelled_ = 0;
  bool submitting_ = true;
  bool over_ = false;
  bool finished_ = false;
};

TEST(Upgrade, FromProductionOneAndTwoAtATime) {
  if (!ProductionIsBuilt()) {
    GTEST_SKIP() << "not run: the version in production is not built";
  }
  const char* seed = std::getenv("OXBOW_SEED");
  Cluster cluster(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10),
                  "service.conf", kUpgraded, ProgramOf(Version::kProduction));
  Upgrade upgrade(cluster);
  net::Spawn(upgrade.Run());
  constexpr double kTestTimeoutSeconds = 120;
  cluster.loop.At(cluster.loop.Now() + kTestTimeoutSeconds,
                  [&cluster] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(upgrade.finished()) << "timed out";
  upgrade.Print();
}

}  // namespace
}  // namespace oxbow::test
