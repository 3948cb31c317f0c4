// Real controllers that restart or are cut off while the key-value store loses
// data.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>

#include "tests/known_watch.h"
#include "tests/state_loss_fixture.h"

namespace oxbow::test {
namespace {

using net::Task;

// The leader is killed during an outage of the key-value store and restarts at
// once. Its peers tell it that no data is missing. Then the store returns with
// an older copy, in which the leadership key still names this controller. It
// may lead by that key before anyone has noticed the loss, but a job whose end
// it has been told of must neither run again nor be reported as alive.
TEST(Newcomer, WhatHasEndedIsNotRevivedFromAnOlderCopy) {
  Cluster cluster(1, "recovery.conf");
  bool ended = false;
  net::Spawn([](Cluster* c, bool* done) -> Task<void> {
    const std::string job = IdOf(1);
    const auto submitted = co_await c->Ask("POST", "/v2/runs", JobJson(job));
    EXPECT_TRUE(submitted.status == 201 || submitted.status == 200);
    while (c->Well(job) < kReplicas) co_await c->loop.Sleep(0.05);
    const auto copy = c->state().Save();
    const auto cancelled =
        co_await c->Ask("POST", "/v2/runs/" + job + "/cancel", "");
    EXPECT_EQ(cancelled.status, 200);
    while (c->Present(job) > 0) co_await c->loop.Sleep(0.05);
    co_await c->loop.Sleep(1);
    const int leader = c->Leader();
    c->state().down = true;
    c->Kill(leader);
    c->Launch(leader);
    co_await c->loop.Sleep(1.5);
    c->state().Restore(*copy, true);
    c->state().down = false;
    const double until = c->loop.Now() + 2 * kLease;
    int told = 0;
    while (c->loop.Now() < until) {
      const auto answer =
          co_await c->AskOne(leader, "GET", "/v2/runs/" + job, "");
      if (answer.status == 200) {
        ++told;
        EXPECT_NE(answer.body.find("aborted"), std::string::npos)
            << answer.body;
      }
      EXPECT_NE(answer.status, 404);
      EXPECT_EQ(c->Present(job), 0) << "a cancelled job runs again";
      if (testing::Test::HasFailure()) break;
      co_await c->loop.Sleep(0.02);
    }
    EXPECT_GT(told, 0);
    *done = true;
    c->loop.Stop();
  }(&cluster, &ended));
  cluster.loop.At(cluster.loop.Now() + 60, [&] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(ended);
}

// A restarted controller keeps asking whether data is missing while its peers
// write back the records that they remember. A record that is not written back
// yet must not be taken for a second loss, which would open another epoch.
TEST(Newcomer, DoesNotHaveEpochAfterEpochOpened) {
  Cluster cluster(1, "recovery.conf");
  bool ended = false;
  net::Spawn([](Cluster* c, bool* done) -> Task<void> {
    constexpr int kEnded = 30;
    for (int i = 0; i < kEnded; ++i) {
      const auto submitted =
          co_await c->Ask("POST", "/v2/runs", JobJson(IdOf(i)));
      EXPECT_TRUE(submitted.status == 201 || submitted.status == 200);
      const auto cancelled =
          co_await c->Ask("POST", "/v2/runs/" + IdOf(i) + "/cancel", "");
      EXPECT_EQ(cancelled.status, 200);
    }
    co_await c->loop.Sleep(2);
    const int bootstrapping = (c->Leader() + 1) % kControllers;
    c->Kill(bootstrapping);
    co_await c->loop.Sleep(0.3);
    c->state().EraseAll(false);
    c->Launch(bootstrapping);
    co_await c->loop.Sleep(2 * kLease);
    rapidjson::Document doc;
    doc.Parse(c->state().Value("ob/live/epoch").c_str());
    EXPECT_TRUE(doc.IsObject());
    if (doc.IsObject()) {
      std::printf("epoch %d\n", static_cast<int>(json::GetUint(doc, "number")));
      EXPECT_EQ(json::GetUint(doc, "number"), 2U);
      EXPECT_TRUE(json::GetBool(doc, "rebuilt"));
    }
    const auto answer =
        co_await c->Ask("GET", "/v2/runs/" + IdOf(kEnded - 1), "");
    EXPECT_NE(answer.body.find("aborted"), std::string::npos) << answer.body;
    *done = true;
    c->loop.Stop();
  }(&cluster, &ended));
  cluster.loop.At(cluster.loop.Now() + 90, [&] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(ended);
}

// One controller reaches its workers and users, but neither the key-value store
// nor its peers, whose connections stay open without any data. Users must get
// an answer at once, which may say that the controller can't know, and no job
// may be forgotten during the isolation or after it.
TEST(Isolated, UsersAreToldAtOnce) {
  Cluster cluster(1, "service.conf");
  bool ended = false;
  KnownWatch known(cluster.loop, cluster.listen(), kLease, 1,
                   [&](const std::string& id) { return cluster.Present(id); });
  net::Spawn([](Cluster* c, KnownWatch* watch, bool* done) -> Task<void> {
    net::Spawn(watch->Run());
    for (int i = 0; i < 3; ++i) {
      const auto answer = co_await c->Ask("POST", "/v2/runs", JobJson(IdOf(i)));
      EXPECT_TRUE(answer.status == 201 || answer.status == 200);
      watch->Accepted(IdOf(i));
    }
    watch->NeverSubmitted(IdOf(9));
    watch->CancelAsked(IdOf(2));
    const auto cancelled =
        co_await c->Ask("POST", "/v2/runs/" + IdOf(2) + "/cancel", "");
    EXPECT_EQ(cancelled.status, 200);
    watch->Cancelled(IdOf(2));
    while (c->Well(IdOf(0)) + c->Well(IdOf(1)) < 2 * kReplicas) {
      co_await c->loop.Sleep(0.05);
    }
    // First the leader is isolated, then a follower.
    for (const bool leads : {true, false}) {
      int alone = c->Leader();
      for (int i = 0; i < 500 && alone < 0; ++i) {
        co_await c->loop.Sleep(0.02);
        alone = c->Leader();
      }
      if (!leads) alone = (alone + 1) % kControllers;
      c->Isolate(alone, true);
      const double from = c->loop.Now();
      double slowest_poll = 0;
      int slow = 0;
      int asked_in_all = 0;
      double slowest_change = 0;
      int answered = 0;
      int round = 0;
      while (c->loop.Now() < from + 2 * kLease) {
        watch->Trouble();
        for (const int job : {0, 1, 2, 9}) {
          const double asked = c->loop.Now();
          const auto answer =
              co_await c->AskOne(alone, "GET", "/v2/runs/" + IdOf(job), "");
          EXPECT_EQ(answer.outcome, net::Outcome::kAnswered);
          EXPECT_NE(answer.status, 404) << IdOf(job);
          // The end of a job is final, so the controller may always report it.
          if (job == 2) {
            EXPECT_EQ(answer.status, 200) << answer.body;
          }
          answered += answer.status == 200;
          const double took = c->loop.Now() - asked;
          slowest_poll = std::max(slowest_poll, took);
          slow += took > 0.5;
          ++asked_in_all;
        }
        const double asked = c->loop.Now();
        const std::string fresh = IdOf(100 + (leads ? 0 : 50) + round);
        const auto submitted =
            co_await c->AskOne(alone, "POST", "/v2/runs", JobJson(fresh));
        slowest_change = std::max(slowest_change, c->loop.Now() - asked);
        EXPECT_EQ(submitted.status, 503) << fresh;
        ++round;
        co_await c->loop.Sleep(0.2);
      }
      std::printf(
          "alone as %s: slowest answer to a question %.2f s, to a submission "
          "%.2f s, %d of %d questions answered, %d in more than 0.5 s\n",
          leads ? "leader" : "follower", slowest_poll, slowest_change, answered,
          asked_in_all, slow);
      // Fewer than one request in ten may wait for an answer of the store or of
      // a peer that does not come.
      EXPECT_LT(slow, 0.1 * asked_in_all);
      EXPECT_LT(slowest_poll, 1.3);
      EXPECT_LT(slowest_change, 3);
      c->Isolate(alone, false);
      watch->Trouble();
      co_await c->loop.Sleep(2 * kLease);
      // Users keep their connection to the controller that was isolated.
      for (const int job : {0, 1, 2}) {
        const auto answer =
            co_await c->AskOne(alone, "GET", "/v2/runs/" + IdOf(job), "");
        EXPECT_EQ(answer.status, 200) << IdOf(job) << " at " << alone;
      }
    }
    co_await watch->Finish();
    std::printf("no job silent for more than %.1f s, %d answers\n",
                watch->longest_silence(), watch->answers());
    EXPECT_EQ(c->Well(IdOf(0)) + c->Well(IdOf(1)), 2 * kReplicas);
    *done = true;
    c->loop.Stop();
  }(&cluster, &known, &ended));
  cluster.loop.At(cluster.loop.Now() + 200, [&] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(ended);
}

// Only one controller remembers a job, and that controller is cut off while the
// others rebuild the records without it. The tasks of the job run on without a
// record, and nobody can cancel them, until the controller is back and hands in
// what it remembers.
TEST(Isolated, WhatOneAloneRemembersIsHandedIn) {
  Cluster cluster(1, "service.conf");
  bool ended = false;
  net::Spawn([](Cluster* c, bool* done) -> Task<void> {
    const auto before = co_await c->Ask("POST", "/v2/runs", JobJson(IdOf(0)));
    EXPECT_TRUE(before.status == 201 || before.status == 200);
    while (c->Well(IdOf(0)) < kReplicas) co_await c->loop.Sleep(0.05);
    const auto copy = c->state().Save();
    const auto after = co_await c->Ask("POST", "/v2/runs", JobJson(IdOf(1)));
    EXPECT_TRUE(after.status == 201 || after.status == 200);
    while (c->Well(IdOf(1)) < kReplicas) co_await c->loop.Sleep(0.05);
    const int alone = (c->Leader() + 1) % kControllers;
    c->Isolate(alone, true);
    for (int i = 0; i < kControllers; ++i) {
      if (i != alone) c->Kill(i);
    }
    c->state().Restore(*copy, false);
    for (int i = 0; i < kControllers; ++i) {
      if (i != alone) c->Launch(i);
    }
    // The other controllers find the job's tasks, open an epoch and rebuild the
    // records.
    const auto epoch = [c] {
      rapidjson::Document doc;
      doc.Parse(c->state().Value("ob/live/epoch").c_str());
      return doc.IsObject() && json::GetUint(doc, "number") > 1 &&
             json::GetBool(doc, "rebuilt");
    };
    const double from = c->loop.Now();
    while (!epoch() && c->loop.Now() < from + 10 * kLease) {
      co_await c->loop.Sleep(0.05);
    }
    EXPECT_TRUE(epoch()) << c->state().Value("ob/live/epoch");
    co_await c->loop.Sleep(0.5 * kLease);
    const std::string key = "ob/live/j/" + IdOf(1);
    EXPECT_EQ(c->state().Value(key), "");
    c->Isolate(alone, false);
    const double back = c->loop.Now();
    while (c->state().Value(key).empty() &&
           c->loop.Now() < back + 7.5 * kLease) {
      co_await c->loop.Sleep(0.05);
    }
    EXPECT_NE(c->state().Value(key), "");
    std::printf("handed in %.2f s after its return\n", c->loop.Now() - back);
    const auto cancelled =
        co_await c->Ask("POST", "/v2/runs/" + IdOf(1) + "/cancel", "");
    EXPECT_EQ(cancelled.status, 200) << cancelled.body;
    const double until = c->loop.Now() + 2 * kLease;
    while (c->Present(IdOf(1)) > 0 && c->loop.Now() < until) {
      co_await c->loop.Sleep(0.05);
    }
    EXPECT_EQ(c->Present(IdOf(1)), 0);
    EXPECT_EQ(c->Well(IdOf(0)), kReplicas);
    // After a rebuild that may lack records, an unknown job id must be denied
    // again, but only once all controllers have been asked.
    int status = 0;
    while (status != 404 && c->loop.Now() < from + 7.5 * kLease) {
      const auto answer = co_await c->AskOne((alone + 1) % kControllers, "GET",
                                             "/v2/runs/" + IdOf(9), "");
      status = answer.status;
      co_await c->loop.Sleep(0.1);
    }
    EXPECT_EQ(status, 404);
    std::printf("an unknown id is denied %.1f s after the rebuild\n",
                c->loop.Now() - from);
    *done = true;
    c->loop.Stop();
  }(&cluster, &ended));
  cluster.loop.At(cluster.loop.Now() + 200, [&] { cluster.loop.Stop(); });
  cluster.loop.Run();
  EXPECT_TRUE(ended);
}

}  // namespace
}  // namespace oxbow::test
