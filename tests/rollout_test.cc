// Tests of rollouts: simulations with fault injection, single decisions of
// class Rollout, health expressions, latency histograms, and the validation of
// declarations.

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <cstdlib>
#include <ctime>

#include "core/rollout/latency.h"
#include "health_expression/health_expression.h"
#include "tests/behavior_trail.h"
#include "tests/sim.h"
#include "wire/rollout_json.h"

namespace oxbow::test {
namespace {

enum class Build { kGood, kBadAtOnce, kBadLater, kFlapping, kMute };
constexpr int kBuilds = 5;

// Numbers of rollouts with a good and with a bad build.
struct Tally {
  int good = 0;
  int bad = 0;
};

// Simulates one rollout with faults at random times: leaders crash, machines
// are drained, the key-value store is unavailable, and writes are late or their
// responses are lost.
class RolloutSimulation {
 public:
  explicit RolloutSimulation(uint64_t seed) : random_(seed) {
    build_ = static_cast<Build>(seed % kBuilds);
    sim_.tuning.rollouts_at_once = 4;
    sim_.settings.teams.push_back({"t", 0, 0, 0, 0});
    AddMachines();
    sim_.Lead();
    sim_.Run(2);
    tasks_ = static_cast<uint32_t>(2 + seed % 4);
    Submit("job-000001");
    sim_.Run(4);
    const RolloutSpec spec = RandomSpec();
    sim_.floor = static_cast<int>(spec.floor);
    sim_.floor_jobs = {spec.from, spec.to};
    sim_.illness[spec.to] = IllnessOfBuild(spec);
    sim_.Declare(spec);
    Submit("job-000002");
  }

  // Returns the first violation; empty if there is none.
  std::string Run(Tally* tally) {
    constexpr double kStep = 0.05;
    constexpr double kMost = 600;
    for (double t = 0; t < kMost; t += kStep) {
      const auto now = sim_.RolloutOf("ro-1");
      if (now && Ended(now->step)) return Judge(*now, tally);
      if (t < 60) InjectFaults(kStep);
      if (sim_.leader() == nullptr && sim_.now() >= next_leader_) sim_.Lead();
      sim_.state_down = sim_.now() < store_down_until_;
      sim_.Run(kStep);
      if (!sim_.broken().empty()) return sim_.broken().front();
    }
    return "never ended, " + sim_.RolloutOf("ro-1")->reason;
  }

 private:
  void AddMachines() {
    MachineType type;
    type.name = "small";
    type.total = {4, 0, 64};
    type.cache_gb = 100;
    type.boot_seconds = 3;
    type.zones = {"a", "b"};
    sim_.types["small"] = type;
    for (int i = 1; i <= 4; ++i) {
      sim_.AddWorker(fmt::format("n-{}", i), "small", i % 2 ? "a" : "b", false);
    }
  }

  RolloutSpec RandomSpec() {
    RolloutSpec spec;
    spec.id = "ro-1";
    spec.from = "job-000001";
    spec.to = "job-000002";
    spec.floor = tasks_ - static_cast<uint32_t>(Happens(0.5));
    spec.surge = static_cast<uint32_t>(Between(1, 3));
    spec.start_seconds = 5;
    spec.bake_seconds = Between(4, 8);
    spec.watch_seconds = 5;
    spec.check.interval_seconds = 0.5;
    spec.check.timeout_seconds = 0.5;
    return spec;
  }

  Illness IllnessOfBuild(const RolloutSpec& spec) {
    Illness illness;
    illness.mute = build_ == Build::kMute;
    switch (build_) {
      case Build::kGood:
        break;
      case Build::kBadAtOnce:
      case Build::kMute:
        illness.sick_after = 0;
        break;
      case Build::kBadLater:
        illness.sick_after = Between(1, spec.bake_seconds - 1);
        break;
      case Build::kFlapping:
        illness.flap_seconds = Between(0.8, 3);
        break;
    }
    return illness;
  }

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }

  std::string Judge(const RolloutRecord& end, Tally* tally) {
    const bool good = build_ == Build::kGood;
    (good ? tally->good : tally->bad)++;
    if (good && end.step != RolloutStep::kDone) {
      return "a good build was not finished: " + end.reason;
    }
    if (!good && end.step != RolloutStep::kRolledBack) {
      return "a bad build was not rolled back";
    }
    // Afterwards all replicas of one job run, and none of the other job is
    // left.
    sim_.state_down = false;
    sim_.Run(30);
    if (sim_.leader() == nullptr) sim_.Lead();
    sim_.Run(60);
    const std::string& stays = good ? sim_.floor_jobs[1] : sim_.floor_jobs[0];
    const std::string& goes = good ? sim_.floor_jobs[0] : sim_.floor_jobs[1];
    if (sim_.CountRunning(stays) != static_cast<int>(tasks_)) {
      return stays + " is not whole afterwards";
    }
    if (sim_.CountPresent(goes) != 0) return goes + " is still there";
    return sim_.broken().empty() ? "" : sim_.broken().front();
  }

  void Submit(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "web";
    spec.team = "t";
    spec.kind = JobKind::kService;
    spec.priority = Priority::kProduction;
    spec.tasks = tasks_;
    spec.need = {1, 0, 1};
    spec.image = "img";
    spec.image_gb = 0.2;
    spec.spread = tasks_ > 2;
    sim_.Submit(spec);
  }

  void InjectFaults(double step) {
    const auto every = [&](double seconds) { return Happens(step / seconds); };
    const double now = sim_.now();
    if (sim_.leader() != nullptr && every(15)) {
      sim_.Crash();
      next_leader_ = now + Between(0, 3);
    }
    if (every(20)) store_down_until_ = now + Between(1, 8);
    if (every(20)) {
      sim_.next_write = Happens(0.5) ? Fate::kLate : Fate::kLostAnswer;
    }
    // The notice is long enough for replicas to move to other machines first.
    // Without such a notice this would be a loss of the machine, not a drain.
    if (notices_ < 3 && every(6)) {
      const int n = static_cast<int>(Between(1, 4.999));
      const auto it = sim_.workers().find(fmt::format("n-{}", n));
      if (it != sim_.workers().end() && !it->second.notice) {
        it->second.notice = 500;
        ++notices_;
      }
    }
  }

  std::mt19937_64 random_;
  Sim sim_;
  Build build_;
  uint32_t tasks_ = 0;
  double next_leader_ = 0;
  double store_down_until_ = 0;
  int notices_ = 0;
};

TEST(Rollouts, FloorHoldsBadBuildsGoBackGoodOnesFinish) {
  constexpr int kSeeds = 300;
  Tally tally;
  const char* only = std::getenv("OXBOW_SEED");
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    if (only != nullptr && std::to_string(seed) != only) continue;
    const TrailedRun trailed("rollout", seed);
    RolloutSimulation simulation(seed);
    ASSERT_EQ(simulation.Run(&tally), "") << "seed " << seed;
  }
  if (only != nullptr) return;
  EXPECT_EQ(tally.good, kSeeds / kBuilds);
  EXPECT_EQ(tally.bad, kSeeds - kSeeds / kBuilds);
}

// Two old replicas and a new one, all on reachable machines.
class RolloutFixture {
 public:
  RolloutFixture() {
    spec.id = "ro-1";
    spec.from = "job-000001";
    spec.to = "job-000002";
    spec.floor = 2;
    spec.bake_seconds = 10;
    spec.check.good_in_row = 1;
    spec.check.bad_in_row = 2;
    view.from_live = view.to_known = view.to_live = true;
    view.from_tasks = view.to_tasks = 2;
    Add(0, false);
    Add(1, false);
    Add(0, true);
  }
  Rollout Begin(RolloutStep step) const {
    RolloutRecord record;
    record.spec = std::make_shared<RolloutSpec>(spec);
    record.step = step;
    record.mod_revision = 1;
    return {record, 100};
  }
  void Add(uint32_t task, bool is_new) {
    ReplicaObservation replica;
    replica.key = {is_new ? spec.to : spec.from, task, 7};
    replica.is_new = is_new;
    replica.running = replica.reachable = true;
    replica.zone = "a";
    view.replicas.push_back(replica);
  }
  void AllGood(Rollout* rollout, Time now) const {
    for (const ReplicaObservation& replica : view.replicas) {
      rollout->OnCheck(replica.key, {true, true, 0.01}, now);
    }
  }
  TaskAttemptKey Old() const { return view.replicas[0].key; }
  TaskAttemptKey New() const { return view.replicas[2].key; }

  RolloutSpec spec;
  RolloutObservation view;
};

TEST(Rollouts, ANewLeaderStopsNothingThatItHasNotSeenWell) {
  RolloutFixture fixture;
  Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
  EXPECT_FALSE(rollout.MayStop(fixture.Old(), 100));
  EXPECT_TRUE(rollout.Review(fixture.view, 100).stop.empty());
  EXPECT_FALSE(rollout.MayStop(fixture.Old(), 100));
}

TEST(Rollouts, HealthSeenLongAgoCarriesNoFloor) {
  RolloutFixture fixture;
  fixture.spec.floor = 1;
  Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
  rollout.Review(fixture.view, 100);
  fixture.AllGood(&rollout, 100);
  EXPECT_TRUE(rollout.MayStop(fixture.Old(), 101));
  EXPECT_FALSE(rollout.MayStop(fixture.Old(), 130));
}

TEST(Rollouts, ANewInstanceCarriesTheFloorOnceItHasBaked) {
  RolloutFixture fixture;
  Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
  rollout.Review(fixture.view, 100);
  fixture.AllGood(&rollout, 100);
  fixture.AllGood(&rollout, 105);
  EXPECT_FALSE(rollout.MayStop(fixture.Old(), 105));
  fixture.AllGood(&rollout, 110);
  EXPECT_TRUE(rollout.MayStop(fixture.Old(), 110));
  // Only one old replica may stop: a stopping replica does not count any more.
  rollout.MarkStopping(fixture.Old());
  EXPECT_FALSE(rollout.MayStop(fixture.view.replicas[1].key, 110));
  // A single bad response restarts the bake time.
  rollout.OnCheck(fixture.New(), {true, false, 0.01}, 111);
  fixture.AllGood(&rollout, 112);
  EXPECT_EQ(rollout.Count(112).new_baked, 0U);
}

TEST(Rollouts, ABuildTakenBackCarriesNoOldInstance) {
  RolloutFixture fixture;
  fixture.Add(1, true);
  Rollout rollout = fixture.Begin(RolloutStep::kRollingBack);
  rollout.Review(fixture.view, 100);
  fixture.AllGood(&rollout, 100);
  fixture.AllGood(&rollout, 110);
  EXPECT_EQ(rollout.Count(110).new_baked, 2U);
  EXPECT_FALSE(rollout.MayStop(fixture.Old(), 110));
  EXPECT_TRUE(rollout.MayStop(fixture.New(), 110));
}

TEST(Rollouts, OneThatNeverStaysHealthyGoesBack) {
  RolloutFixture fixture;
  Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
  RolloutPlan plan = rollout.Review(fixture.view, 99);
  Time now = 100;
  for (; now < 150 && !plan.next; ++now) {
    fixture.AllGood(&rollout, now);
    if (static_cast<int>(now) % 4 == 0) {
      rollout.OnCheck(fixture.New(), {true, false, 0.01}, now);
    }
    plan = rollout.Review(fixture.view, now);
  }
  EXPECT_EQ(plan.next, RolloutStep::kRollingBack);
  EXPECT_NE(plan.reason.find("does not stay healthy"), std::string::npos);
}

TEST(Rollouts, SilenceIsBlamedOnlyWhenTheMachineIsHeardInTheMiddleOfIt) {
  RolloutFixture fixture;
  Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
  RolloutPlan plan = rollout.Review(fixture.view, 100);
  rollout.TakeDueChecks(10, 100);
  fixture.AllGood(&rollout, 100);
  ReplicaObservation& machine = fixture.view.replicas[2];
  const auto silent_check = [&](Time start, Time end) {
    rollout.Review(fixture.view, start);
    rollout.TakeDueChecks(10, start);
    rollout.OnCheck(fixture.Old(), {true, true, 0.01}, end);
    rollout.OnCheck(fixture.view.replicas[1].key, {true, true, 0.01}, end);
    rollout.OnCheck(fixture.New(), {}, end);
    return rollout.Review(fixture.view, end).next;
  };
  // A partition: the last heartbeat arrives before it begins, and the next one
  // just after it ends, before any check has passed.
  machine.last_heartbeat = 100.5;
  EXPECT_FALSE(silent_check(101, 102));
  EXPECT_FALSE(silent_check(103, 104));
  EXPECT_FALSE(silent_check(105, 106));
  machine.last_heartbeat = 106.1;
  EXPECT_FALSE(rollout.Review(fixture.view, 106.2).next);
  // A heartbeat arrived, and the next check has no response either: the replica
  // itself is at fault.
  EXPECT_EQ(silent_check(107, 108), RolloutStep::kRollingBack);
}

TEST(Rollouts, SlowerByMoreThanAllowedGoesBack) {
  RolloutFixture fixture;
  fixture.spec.check.slow_ratio = 3;
  Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
  rollout.Review(fixture.view, 100);
  for (int i = 0; i < 200; ++i) {
    rollout.OnCheck(fixture.Old(), {true, true, 0.010}, 100 + i * 0.01);
    rollout.OnCheck(fixture.view.replicas[1].key, {true, true, 0.012}, 102);
    rollout.OnCheck(fixture.New(), {true, true, 0.060}, 102);
  }
  const RolloutPlan plan = rollout.Review(fixture.view, 102);
  EXPECT_EQ(plan.next, RolloutStep::kRollingBack);
  EXPECT_NE(plan.reason.find("slowly"), std::string::npos);
}

using health_expression::HealthExpression;

HealthExpression::Result JudgeOnce(const std::string& expression, int status,
                                   std::string_view body, double ms = 1) {
  HealthExpression verdict(expression);
  EXPECT_EQ(verdict.error(), "");
  return verdict.Judge({status, body, ms});
}

TEST(Verdicts, SeeTheAnswer) {
  using enum HealthExpression::Result;
  EXPECT_EQ(JudgeOnce("status == 200", 200, ""), kGood);
  EXPECT_EQ(JudgeOnce("status == 200", 503, ""), kBad);
  // A service that answers 200 with empty results must be detected as bad.
  const std::string found = "status == 200 and count('/chargers') > 0";
  EXPECT_EQ(JudgeOnce(found, 200, R"({"chargers":[{"id":1}]})"), kGood);
  EXPECT_EQ(JudgeOnce(found, 200, R"({"chargers":[]})"), kBad);
  EXPECT_EQ(JudgeOnce(found, 200, R"({"error":"none"})"), kBad);
  EXPECT_EQ(JudgeOnce(found, 200, "no JSON"), kBad);
  EXPECT_EQ(JudgeOnce("value('/a/b') == 'ok' and has('ok')", 200,
                      R"({"a":{"b":"ok"}})"),
            kGood);
  EXPECT_EQ(JudgeOnce("latency_ms < 50", 200, "", 80), kBad);
  EXPECT_EQ(JudgeOnce("true", 200, ""), kGood);
}

TEST(Verdicts, WhatIsNotTrueOrFalseIsAnError) {
  using enum HealthExpression::Result;
  EXPECT_EQ(JudgeOnce("status", 200, ""), kError);
  EXPECT_EQ(JudgeOnce("nothing.at.all", 200, ""), kError);
  EXPECT_EQ(JudgeOnce("count()", 200, ""), kError);
  EXPECT_NE(HealthExpression::WhatIsWrong("status =="), "");
  EXPECT_NE(HealthExpression::WhatIsWrong(std::string("\x1bLua")), "");
}

TEST(Verdicts, AreBoundedAndReachNothing) {
  using enum HealthExpression::Result;
  EXPECT_EQ(JudgeOnce("(function() while true do end end)()", 200, ""), kError);
  EXPECT_EQ(JudgeOnce("(function() local s = body while true do s = s .. s "
                      "end end)()",
                      200, std::string(1000, 'x')),
            kError);
  for (const char* name : {"os", "io", "require", "load", "string", "pcall",
                           "setmetatable", "debug", "coroutine", "_G"}) {
    EXPECT_EQ(JudgeOnce(std::string(name) + " == nil", 200, ""), kGood) << name;
  }
  // An expression that ran into a limit works for the next response, and no
  // state is kept between evaluations.
  HealthExpression verdict(
      "(function() if has('loop') then while true do end end "
      "local seen = kept kept = 1 return seen == nil end)()");
  EXPECT_EQ(verdict.Judge({200, "loop", 1}), kError);
  EXPECT_EQ(verdict.Judge({200, "", 1}), kGood);
  EXPECT_EQ(verdict.Judge({200, "", 1}), kGood);
  // A deeply nested body does not overflow the stack.
  EXPECT_EQ(JudgeOnce("count('') == -1", 200, std::string(60'000, '[')), kGood);
}

// Disabled by default. Prints the leader's CPU time for reviews and checks.
//   oxbow_tests --gtest_also_run_disabled_tests --gtest_filter='*Cost*'
TEST(Rollouts, DISABLED_CostOfManyInstances) {
  for (const uint32_t count : {1000U, 4000U}) {
    RolloutFixture fixture;
    fixture.view.replicas.clear();
    fixture.view.from_tasks = fixture.view.to_tasks = count / 2;
    fixture.spec.floor = count / 2;
    for (uint32_t i = 0; i < count; ++i) fixture.Add(i / 2, i % 2 == 1);
    Rollout rollout = fixture.Begin(RolloutStep::kAdvancing);
    HealthExpression verdict("status == 200 and count('/chargers') > 0");
    const std::string body = R"({"chargers":[{"id":1},{"id":2}]})";
    constexpr int kSeconds = 20;
    const auto start = std::clock();
    for (int i = 0; i < kSeconds * 4; ++i) {
      const double now = 100 + i * 0.25;
      rollout.Review(fixture.view, now);
      for (const TaskAttemptKey& key : rollout.TakeDueChecks(count, now)) {
        const bool good =
            verdict.Judge({200, body, 1}) == HealthExpression::Result::kGood;
        rollout.OnCheck(key, {true, good, 0.001}, now);
      }
    }
    const double used =
        static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    std::printf(
        "%u instances, each checked every second: %.2f %% of a core "
        "without the requests\n",
        count, 100 * used / kSeconds);
  }
}

TEST(Latencies, QuantilesComeFromTheBins) {
  LatencyHistogram latencies;
  EXPECT_EQ(latencies.Quantile(0.9), 0);
  for (int i = 1; i <= 1000; ++i) latencies.Add(i * 1e-3);
  EXPECT_NEAR(latencies.Quantile(0.5), 0.5, 0.15);
  EXPECT_NEAR(latencies.Quantile(0.9), 0.9, 0.25);
}

std::string WhatIsWrongWith(const std::string& text) {
  rapidjson::Document doc;
  doc.Parse(text.c_str());
  EXPECT_FALSE(doc.HasParseError()) << text;
  RolloutSpec spec;
  const std::string malformed = wire::ReadRolloutSpec(doc, &spec);
  return malformed.empty() ? wire::WhyNoRollout(spec, 4) : malformed;
}

TEST(Declarations, AreCheckedInWords) {
  const std::string head =
      R"({"id":"ro-7","from":"job-000001","to":"job-000002",)";
  const std::string check = R"("check":{"port":8080}})";
  EXPECT_EQ(WhatIsWrongWith(head + R"("floor":3,)" + check), "");
  EXPECT_EQ(WhatIsWrongWith(head + check), "field floor");
  EXPECT_EQ(WhatIsWrongWith(head + R"("floor":3})"), "field check");
  EXPECT_EQ(WhatIsWrongWith(head + R"("floor":3,"check":{"port":0}})"),
            "check, field port");
  EXPECT_EQ(
      WhatIsWrongWith(head + R"("floor":3,"check":{"port":1,"path":"a b"}})"),
      "check, field path");
  EXPECT_NE(WhatIsWrongWith(head + R"("floor":5,)" + check), "");
  EXPECT_NE(WhatIsWrongWith(head + R"("floor":4,"surge":0,)" + check), "");
  EXPECT_NE(WhatIsWrongWith(head +
                            R"("floor":3,"check":{"port":1,"verdict":"1 +"}})"),
            "");
  EXPECT_EQ(WhatIsWrongWith(
                R"({"id":"ro-7","from":"job-000001","to":"job-000001",
                "floor":1,"check":{"port":1}})"),
            "field to");
}

}  // namespace
}  // namespace oxbow::test
