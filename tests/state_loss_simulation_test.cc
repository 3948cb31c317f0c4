// A randomized simulation in which the key-value store loses data again and
// again while three real controllers run, together with other faults.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/known_watch.h"
#include "tests/state_loss_fixture.h"

namespace oxbow::test {
namespace {

using net::Task;

constexpr int kShort = 4;  // data losses in the short form of the simulation

// A series of data losses of every kind, most of them with another fault: a
// controller killed before, at or during the rebuild of the records, an outage
// of the store, or a second loss. At least two of the three controllers survive
// each loss.
class RandomSimulation {
 public:
  RandomSimulation(Cluster& cluster, int losses)
      : c_(cluster),
        losses_(losses),
        watcher_(cluster, kWatched),
        known_(
            cluster.loop, cluster.listen(), kLease, /*seed=*/1,
            [&cluster](const std::string& id) { return cluster.Present(id); }) {
  }

  Task<void> Run() {
    net::Spawn(known_.Run());
    for (int i = 0; i < kServices; ++i) co_await Submit(IdOf(i));
    known_.NeverSubmitted(IdOf(900));
    co_await UntilWell(IdOf(0), 30);
    for (int i = 0; i < kServices; ++i) co_await UntilWell(IdOf(i), 30);
    net::Spawn(watcher_.Count());
    for (int i = 0; i < kControllers; ++i) net::Spawn(PollAll(i));
    std::shared_ptr<const FakeKeyValueStore::Copy> copy = c_.state().Save();
    for (int n = 0; n < losses_; ++n) {
      const std::string id = IdOf(1000 + n);
      co_await Submit(id);
      accepted_.insert(id);
      co_await UntilWell(id, 15);
      if (n > 0) co_await Cancel(IdOf(1000 + n - 1));
      // Waits until the watches have brought the records to every controller.
      co_await c_.loop.Sleep(Between(0.05, 0.5));
      const auto now = c_.state().Save();
      co_await LoseSomething(*copy);
      copy = now;
      co_await c_.loop.Sleep(Between(0.5, 4));
    }
    co_await c_.loop.Sleep(2 * kLease);
    co_await known_.Finish();
    watcher_.over = true;
    for (const std::string& id : cancelled_) {
      EXPECT_EQ(c_.Present(id), 0) << id;
    }
    EXPECT_EQ(watcher_.least_up, kAll);
    EXPECT_EQ(c_.deleted_alive(), 0);
    std::printf(
        "%d losses, least up %d of %d, new jobs ran after at most %.2f "
        "s, no job silent for more than %.1f s, %d answers:",
        losses_, watcher_.least_up, kAll, slowest_, known_.longest_silence(),
        known_.answers());
    for (const auto& [what, count] : happened_) {
      std::printf(" %s %d", what.c_str(), count);
    }
    std::printf("\n");
    co_await c_.loop.Sleep(0.5);
    done = true;
    c_.loop.Stop();
  }
  bool done = false;

 private:
  inline static const Loss kWatched{"storm", nullptr};

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(c_.random);
  }
  int Of(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(c_.random);
  }

  void LoseOnce(const FakeKeyValueStore::Copy& copy) {
    FakeKeyValueStore& s = c_.state();
    switch (Of(7)) {
      case 0:
        ++happened_["all-anew"];
        return s.EraseAll(false);
      case 1:
        ++happened_["all"];
        return s.EraseAll(true);
      case 2:
        ++happened_["copy-back"];
        return s.Restore(copy, false);
      case 3:
        ++happened_["copy"];
        return s.Restore(copy, true);
      case 4:
        ++happened_["jobs"];
        return s.Lose("ob/live/j/");
      case 5:
        ++happened_["ends"];
        return s.Lose("ob/final/");
      default:
        ++happened_["leases"];
        return s.LoseLeases();
    }
  }

  Task<void> LoseSomething(const FakeKeyValueStore::Copy& copy) {
    co_await Lose(copy);
    known_.Trouble();  // the trouble ends now
  }
  Task<void> Lose(const FakeKeyValueStore::Copy& copy) {
    int killed = -1;
    const int what = losses_ <= kShort ? 3 + Of(3) : Of(6);
    if (what == 1 || what == 2) {  // kill the leader, or any one
      killed = what == 1 ? std::max(0, c_.Leader()) : Of(kControllers);
      const double at = Between(-0.1, 0.2);
      if (at < 0) {
        c_.Kill(killed);
        co_await c_.loop.Sleep(-at);
        LoseOnce(copy);
      } else {
        LoseOnce(copy);
        co_await c_.loop.Sleep(at);
        c_.Kill(killed);
      }
      ++happened_[what == 1 ? "leader-killed" : "one-killed"];
    } else if (what == 3) {
      ++happened_["outage"];
      c_.state().down = true;
      co_await c_.loop.Sleep(Between(0.1, 1));
      LoseOnce(copy);
      co_await c_.loop.Sleep(Between(0, 1));
      c_.state().down = false;
    } else if (what == 4) {
      ++happened_["twice"];
      LoseOnce(copy);
      co_await c_.loop.Sleep(Between(0, 0.3));
      LoseOnce(copy);
    } else {
      LoseOnce(copy);
    }
    if (killed < 0) co_return;
    co_await c_.loop.Sleep(Between(0.2, 1.5));
    c_.Launch(killed);
    co_await c_.loop.Sleep(1);
  }

  Task<void> Submit(std::string id) {
    const double from = c_.loop.Now();
    const auto answer = co_await c_.Ask("POST", "/v2/runs", JobJson(id));
    EXPECT_TRUE(answer.status == 201 || answer.status == 200)
        << id << " " << answer.status << " " << answer.body;
    known_.Accepted(id);
    asked_[id] = from;
  }
  Task<void> UntilWell(std::string id, double limit) {
    const double until = c_.loop.Now() + limit;
    while (c_.Well(id) < kReplicas && c_.loop.Now() < until) {
      co_await c_.loop.Sleep(0.02);
    }
    EXPECT_EQ(c_.Well(id), kReplicas) << id << " does not run";
    if (c_.loop.Now() > asked_[id]) {
      slowest_ = std::max(slowest_, c_.loop.Now() - asked_[id]);
    }
  }
  Task<void> Cancel(std::string id) {
    known_.CancelAsked(id);
    const auto answer =
        co_await c_.Ask("POST", "/v2/runs/" + id + "/cancel", "");
    EXPECT_EQ(answer.status, 200) << id << " " << answer.body;
    if (answer.status == 200) known_.Cancelled(id);
    cancelled_.insert(id);
  }
  Task<void> PollAll(int controller) {
    while (!watcher_.over) {
      std::vector<std::string> ids(accepted_.begin(), accepted_.end());
      for (int i = 0; i < kServices; ++i) ids.push_back(IdOf(i));
      for (const std::string& id : ids) {
        if (watcher_.over) break;
        const bool cancelled = cancelled_.contains(id);
        const auto answer =
            co_await c_.AskOne(controller, "GET", "/v2/runs/" + id, "");
        if (answer.outcome != net::Outcome::kAnswered) continue;
        EXPECT_NE(answer.status, 404)
            << Cluster::Name(controller) << " denies " << id;
        const bool aborted = answer.body.find("aborted") != std::string::npos;
        if (answer.status == 200 && cancelled) {
          EXPECT_TRUE(aborted) << id << " was cancelled, now " << answer.body;
        }
        if (answer.status == 200 && id < IdOf(kServices)) {
          EXPECT_FALSE(aborted) << id;
        }
      }
      co_await c_.loop.Sleep(0.05);
    }
  }

  Cluster& c_;
  const int losses_;
  Watcher watcher_;
  KnownWatch known_;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  std::map<std::string, double> asked_;
  std::map<std::string, int> happened_;
  double slowest_ = 0;  // s
};

// Runs the short form, in which no controller is killed. OXBOW_LOSSES sets the
// number of losses; a number above kShort also adds the kills.
TEST(StateLossSimulation, NothingIsForgottenAndNothingComesBack) {
  const char* text = std::getenv("OXBOW_LOSSES");
  const char* seed = std::getenv("OXBOW_SEED");
  const int losses = text == nullptr ? kShort : std::atoi(text);
  Cluster cluster(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10),
                  "recovery.conf");
  RandomSimulation simulation(cluster, losses);
  net::Spawn(simulation.Run());
  cluster.loop.At(cluster.loop.Now() + 60 + 40 * losses, [&] {
    ADD_FAILURE() << "timed out";
    cluster.loop.Stop();
  });
  cluster.loop.Run();
  EXPECT_TRUE(simulation.done);
}

}  // namespace
}  // namespace oxbow::test
