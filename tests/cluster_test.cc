// Tests of rollouts on loopback. Real controllers run as processes that are
// killed and started again, with stand-ins for everything else. The stand-ins
// of the workers count the healthy instances, apart from the controllers.

#include "tests/cluster.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <cstdlib>
#include <random>

#include "tests/known_watch.h"
#include "wire/json.h"

// Servers run until their process ends, so a test that stops its loop leaves
// their suspended coroutines behind, which the leak sanitizer must not report.
// The sanitizer prescribes the name of this function.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" const char* __lsan_default_suppressions() {
  return "leak:oxbow::net::\nleak:oxbow::test::\nleak:oxbow::clients::\n";
}

namespace oxbow::test {
namespace {

using net::Loop;
using net::Task;

enum class Kind { kGood, kError, kEmpty, kSilent, kLater, kFlapping };
constexpr std::array kKindNames = {"good",   "errors", "empty results",
                                   "silent", "later",  "flapping"};
constexpr int kTasks = 3;

class Trial {
 public:
  Trial(Cluster& cluster, int rollouts)
      : c_(cluster),
        rollouts_(rollouts),
        known_(
            cluster.loop, cluster.listen(), kLease, /*seed=*/1,
            [&cluster](const std::string& id) { return cluster.Present(id); }),
        count_(kKindNames.size()) {}

  Task<void> Run() {
    net::Spawn(WatchFloors());
    net::Spawn(Trouble());
    net::Spawn(known_.Run());
    known_.NeverSubmitted("job-099999");
    constexpr int kAtOnce = 4;
    for (int i = 0; i < kAtOnce; ++i) net::Spawn(Line());
    while (finished_ < kAtOnce) co_await c_.loop.Sleep(0.05);
    over_ = true;
    co_await known_.Finish();
    c_.loop.Stop();
  }
  void Print() const {
    std::printf("%-14s %9s %6s %12s %s\n", "build", "roll-outs", "done",
                "rolled back", "healthy above the floor, least");
    for (size_t k = 0; k < count_.size(); ++k) {
      const Row& row = count_[k];
      if (row.all == 0) continue;
      std::printf("%-14s %9d %6d %12d %d\n", kKindNames[k], row.all, row.done,
                  row.back, row.least);
    }
    std::printf(
        "leaders killed %d, outages %d, machines drained %d, zones cut %d\n",
        kills_, outages_, drains_, cuts_);
    std::printf("no job silent for more than %.1f s, %d answers\n",
                known_.longest_silence(), known_.answers());
    std::vector<double> took = took_;
    std::sort(took.begin(), took.end());
    if (took.empty()) return;
    std::printf(
        "first failure to last bad instance gone: median %.2f s, "
        "most %.2f s\n",
        took[took.size() / 2], took.back());
  }

 private:
  struct Row {
    int all = 0;
    int done = 0;
    int back = 0;
    int least = 1000;
  };
  struct Watched {
    std::string from;
    std::string to;
    int floor = 0;
    Kind kind = Kind::kGood;
    double first_sick = 0;
    double last_there = 0;
  };

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(c_.random);
  }

  Task<void> Line() {
    while (begun_ < rollouts_) co_await One(begun_++);
    ++finished_;
  }

  static std::string JobJson(const std::string& id) {
    return fmt::format(
        R"({{"id":"{}","duty":"web","crew":"t","form":"service",
        "standing":"production","legs":{},"cores":1.0,"accelerators":0.0,
        "memory_gb":1.0,"build":"i","size_gb":0.1,"together":false,
        "scatter":true,"loaner":false,"reckon_s":0.0,"bookmark_s":0.0,
        "stow_s":0.0}})",
        id, kTasks);
  }

  Task<void> One(int n) {
    const auto kind =
        static_cast<Kind>(n % static_cast<int>(kKindNames.size()));
    const std::string from = fmt::format("job-{:06}", 100'000 + 2 * n);
    const std::string to = fmt::format("job-{:06}", 100'001 + 2 * n);
    const std::string id = fmt::format("ro-{}", n);
    const double bake = 2.5;
    Cue cue;
    if (kind == Kind::kError || kind == Kind::kEmpty || kind == Kind::kSilent) {
      cue.sick_after = 0;
    } else if (kind == Kind::kLater) {
      cue.sick_after = Between(0.5, bake - 0.7);
    } else if (kind == Kind::kFlapping) {
      cue.flap_seconds = Between(0.5, 1.2);
    }
    cue.way = kind == Kind::kEmpty    ? Cue::Way::kEmpty
              : kind == Kind::kSilent ? Cue::Way::kSilent
                                      : Cue::Way::kError;
    c_.cues[to] = cue;
    const auto submitted = co_await c_.Ask("POST", "/v2/runs", JobJson(from));
    EXPECT_TRUE(submitted.status == 201 || submitted.status == 200);
    known_.Accepted(from);
    for (int i = 0; i < 1200 && c_.Well(from) < kTasks; ++i) {
      co_await c_.loop.Sleep(0.05);
    }
    EXPECT_EQ(c_.Well(from), kTasks) << from << " never came up";
    // The outcome of the rollout decides which of the two jobs is cancelled.
    known_.CancelAsked(from);
    known_.CancelAsked(to);
    const int floor = kTasks - n % 2;
    const auto declared = co_await c_.Ask(
        "POST", "/v2/rollouts",
        fmt::format(
            R"({{"id":"{}","from":"{}","to":"{}","floor":{},"surge":1,
            "start_s":4,"bake_s":{},"watch_s":1.5,"check":{{"port":{},
            "path":"/health/{{job}}/{{task}}","interval_s":0.25,
            "timeout_s":1.0,"good_in_row":2,"bad_in_row":2,
            "verdict":"status == 200 and count('/chargers') > 0"}}}})",
            id, from, to, floor, bake, c_.health_port));
    EXPECT_TRUE(declared.status == 201 || declared.status == 200)
        << declared.status << " " << declared.body;
    watched_[id] = {from, to, floor, kind, 0, 0};
    const auto second = co_await c_.Ask("POST", "/v2/runs", JobJson(to));
    EXPECT_TRUE(second.status == 201 || second.status == 200);
    known_.Accepted(to);
    std::string step;
    std::string last;
    const double limit = c_.loop.Now() + 120;
    while (c_.loop.Now() < limit) {
      const auto answer = co_await c_.Ask("GET", "/v2/rollouts/" + id, "");
      rapidjson::Document doc;
      json::Parse(answer.body, &doc);
      last = answer.body;
      step = json::GetString(doc, "step");
      if (step == "done" || step == "rolled_back" || step == "failed") break;
      // An operator resumes a rollout that paused by itself.
      if (step == "paused") {
        co_await c_.Ask("POST", "/v2/rollouts/" + id + "/resume", "");
      }
      co_await c_.loop.Sleep(0.1);
    }
    const Watched seen = watched_[id];
    if (seen.first_sick > 0) took_.push_back(seen.last_there - seen.first_sick);
    watched_.erase(id);
    Row& row = count_[static_cast<size_t>(kind)];
    ++row.all;
    row.done += step == "done";
    row.back += step == "rolled_back";
    EXPECT_EQ(step, kind == Kind::kGood ? "done" : "rolled_back")
        << id << " with a build that is "
        << kKindNames[static_cast<size_t>(kind)] << ": " << last;
    const std::string& ended = kind == Kind::kGood ? from : to;
    const std::string& stays = kind == Kind::kGood ? to : from;
    const auto poll = co_await c_.Ask("GET", "/v2/runs/" + ended, "");
    EXPECT_NE(poll.body.find("aborted"), std::string::npos) << poll.body;
    EXPECT_EQ(c_.Present(ended), 0);
    const auto stop =
        co_await c_.Ask("POST", "/v2/runs/" + stays + "/cancel", "");
    EXPECT_EQ(stop.status, 200);
    known_.Cancelled(stays);
  }

  Task<void> WatchFloors() {
    while (!over_) {
      for (auto& [id, w] : watched_) {
        // The floor holds until the end of the rollout is recorded. After that
        // a machine may be drained.
        if (!c_.state().Value("ob/ended/o/" + id).empty()) continue;
        const double now = c_.loop.Now();
        if (w.first_sick == 0 && c_.Sick(w.to) > 0) w.first_sick = now;
        if (c_.Present(w.to) > 0) w.last_there = now;
        const int above = c_.Well(w.from) + c_.Well(w.to) - w.floor;
        Row& row = count_[static_cast<size_t>(w.kind)];
        row.least = std::min(row.least, above);
        EXPECT_GE(above, 0) << id << " fell below its floor of " << w.floor;
      }
      EXPECT_FALSE(c_.AnyDied()) << "a controller ended by itself";
      co_await c_.loop.Sleep(0.01);
    }
  }

  Task<void> Trouble() {
    co_await c_.loop.Sleep(3);
    while (!over_) {
      co_await c_.loop.Sleep(Between(2, 5));
      known_.Trouble();
      const double what = Between(0, 1);
      if (what < 0.4) {
        const int leader = c_.Leader();
        if (leader < 0) continue;
        ++kills_;
        c_.Kill(leader);
        co_await c_.loop.Sleep(Between(0.3, 1.5));
        c_.Launch(leader);
        co_await c_.loop.Sleep(1);
      } else if (what < 0.55) {
        // The cut is shorter than a lease, so the tasks of the zone run on
        // although the controllers can't reach them.
        ++cuts_;
        const std::string zone = cuts_ % 2 ? "a" : "b";
        for (const auto& w : c_.workers) w->Cut(w->zone() == zone);
        co_await c_.loop.Sleep(Between(0.5, 0.4 * kLease));
        for (const auto& w : c_.workers) w->Cut(false);
      } else if (what < 0.78) {
        ++outages_;
        c_.state().down = true;
        co_await c_.loop.Sleep(Between(0.3, 1.5));
        c_.state().down = false;
      } else {
        for (const auto& w : c_.workers) {
          if (w->noticed()) continue;
          ++drains_;
          c_.AddWorker();
          w->Notice(300);
          break;
        }
      }
    }
  }

  Cluster& c_;
  int rollouts_;
  KnownWatch known_;
  int begun_ = 0;
  int finished_ = 0;
  bool over_ = false;
  std::map<std::string, Watched> watched_;
  std::vector<Row> count_;
  int kills_ = 0;
  int outages_ = 0;
  int drains_ = 0;
  int cuts_ = 0;
  std::vector<double> took_;  // s
};

// Runs 12 rollouts, or as many as OXBOW_ROLLOUTS says.
TEST(Cluster, FloorsHoldThroughKillsOutagesAndDrains) {
  const char* text = std::getenv("OXBOW_ROLLOUTS");
  const char* seed = std::getenv("OXBOW_SEED");
  const int rollouts = text == nullptr ? 12 : std::atoi(text);
  Cluster cluster(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10),
                  "rollouts.conf");
  Trial trial(cluster, rollouts);
  net::Spawn(trial.Run());
  cluster.loop.At(cluster.loop.Now() + 120 + 15 * rollouts, [&] {
    ADD_FAILURE() << "timed out";
    cluster.loop.Stop();
  });
  cluster.loop.Run();
  trial.Print();
}

// The workers' reports reach every controller but the leader, which still gets
// responses to its own requests. The leader must notice this, compare itself
// with its peers, and hand over before any worker's lease has expired.
TEST(Cluster, ALeaderWithoutReportsHandsOver) {
  Cluster cluster(1, "rollouts.conf");
  Loop& loop = cluster.loop;
  bool ended = false;
  net::Spawn([](Cluster* c, bool* done) -> Task<void> {
    // A new leader waits for the workers to find it before it judges them.
    constexpr double kFindLeaderSeconds = 8;
    co_await c->loop.Sleep(kFindLeaderSeconds);
    const int deaf = c->Leader();
    EXPECT_GE(deaf, 0);
    std::vector<int> sessions;
    for (const auto& w : c->workers) {
      sessions.push_back(w->sessions_lost());
      w->Avoid(Cluster::Name(deaf));
    }
    const double from = c->loop.Now();
    while (c->Leader() == deaf && c->loop.Now() < from + 2 * kLease) {
      co_await c->loop.Sleep(0.05);
    }
    EXPECT_NE(c->Leader(), deaf);
    EXPECT_LT(c->loop.Now() - from, kLease);
    co_await c->loop.Sleep(kLease);
    for (size_t i = 0; i < sessions.size(); ++i) {
      EXPECT_EQ(c->workers[i]->sessions_lost(), sessions[i]);
    }
    *done = true;
    c->loop.Stop();
  }(&cluster, &ended));
  loop.At(loop.Now() + 60, [&loop] { loop.Stop(); });
  loop.Run();
  EXPECT_TRUE(ended);
}

}  // namespace
}  // namespace oxbow::test
