// Tiers: what a record may say, which one is in force, and what each decision
// makes of it.

#include <gtest/gtest.h>

#include <random>

#include "core/priority_tiers/tier_policy.h"
#include "core/priority_tiers/tier_set.h"
#include "wire/tiers_json.h"

namespace oxbow {
namespace {

JobSpec Spec(const std::string& job_class, Priority priority, JobKind kind,
             const std::string& team = "t") {
  JobSpec spec;
  spec.id = "job-" + job_class;
  spec.job_class = job_class;
  spec.team = team;
  spec.priority = priority;
  spec.kind = kind;
  spec.need = {1, 0, 1};
  return spec;
}

Job MakeJob(const JobSpec& spec) {
  return Job(
      {std::make_shared<const JobSpec>(spec), 0, TerminalState::kNone, 0}, 0, 0,
      0);
}

constexpr const char* kText = R"({"tiers":[
  {"name":"public","rank":1,"match":{"duty":["finder","routing"],
    "form":["service"]},"kept_share":0.1,"shade":"blue"},
  {"name":"ops","rank":0,"match":{"crew":["ops"]},"floor_s":20},
  {"name":"nightly","rank":5,"match":{"standing":["best_effort"]},
    "most_share":0.5}]})";

std::shared_ptr<const TierSet> Read(const std::string& text) {
  std::vector<Tier> tiers;
  EXPECT_EQ(wire::ReadTiers(text, {}, &tiers), "");
  return std::make_shared<const TierSet>(std::move(tiers), TierBounds{});
}

TEST(Tiers, FirstMatchWinsAndRanksOrder) {
  const auto set = Read(kText);
  ASSERT_EQ(set->size(), 4U);
  using enum Priority;
  using enum JobKind;
  const auto name = [&](const JobSpec& spec) {
    return set->at(set->Classify(spec)).name;
  };
  EXPECT_EQ(name(Spec("finder", kLow, kService, "ops")), "public");
  EXPECT_EQ(name(Spec("finder", kLow, kArray)), "nightly");
  EXPECT_EQ(name(Spec("x", kHigh, kArray, "ops")), "ops");
  EXPECT_EQ(name(Spec("x", kHigh, kArray)), "rest");
  EXPECT_EQ(set->at(0).name, "ops");
  EXPECT_EQ(set->at(3).name, "rest");
  EXPECT_EQ(set->at(3).turn_wait_seconds,
            TierBounds{}.default_turn_wait_seconds);
  EXPECT_EQ(*Read(wire::WriteTiers(set->listed())), *set);
}

TEST(Tiers, BadRecordsAreRefusedWithTheValue) {
  const std::vector<std::pair<const char*, const char*>> cases = {
      {"{", "not JSON"},
      {"[]", "tiers: not a list"},
      {R"({"tiers":[]})", "none given"},
      {R"({"tiers":[3]})", "entry 0: not an object"},
      {R"({"tiers":[{"name":"a"}]})", "rank"},
      {R"({"tiers":[{"name":"a b","rank":0}]})", "\"a b\""},
      {R"({"tiers":[{"name":"rest","rank":0}]})", "rest"},
      {R"({"tiers":[{"name":"a","rank":1.5}]})", "rank"},
      {R"({"tiers":[{"name":"a","rank":0,"match":{"crew":["x"]}},
          {"name":"a","rank":1}]})",
       "given twice"},
      {R"({"tiers":[{"name":"a","rank":7,"match":{"crew":["x"]}},
          {"name":"b","rank":7}]})",
       "7 given twice"},
      {R"({"tiers":[{"name":"a","rank":0,"kept_share":1.2}]})", "1.2"},
      {R"({"tiers":[{"name":"a","rank":0,"kept_share":"x"}]})", "kept_share"},
      {R"({"tiers":[{"name":"a","rank":0,"most_share":0}]})", "most_share: 0"},
      {R"({"tiers":[{"name":"a","rank":0,"kept_share":0.5,"most_share":0.4}]})",
       "0.5 is more"},
      {R"({"tiers":[{"name":"a","rank":0,"kept_share":0.6,
          "match":{"crew":["x"]}},{"name":"b","rank":1,"kept_share":0.5}]})",
       "1.1"},
      {R"({"tiers":[{"name":"a","rank":0,"floor_s":3}]})", "3 is not between"},
      {R"({"tiers":[{"name":"a","rank":0,"floor_s":900}]})", "900"},
      {R"({"tiers":[{"name":"a","rank":0,"match":{"form":["job"]}}]})",
       "\"job\" is unknown"},
      {R"({"tiers":[{"name":"a","rank":0,"match":{"duty":[]}}]})",
       "duty: an empty list"},
      {R"({"tiers":[{"name":"a","rank":0},{"name":"b","rank":1}]})",
       "tier a before it matches every job"},
  };
  for (const auto& [text, what] : cases) {
    std::vector<Tier> tiers;
    const std::string why = wire::ReadTiers(text, {}, &tiers);
    EXPECT_NE(why.find(what), std::string::npos) << text << " -> " << why;
    EXPECT_EQ(why.find('\n'), std::string::npos);
    EXPECT_TRUE(tiers.empty());
  }
}

TEST(Tiers, RecordsOfTooManyTiersOrBytesAreRefused) {
  std::string many = R"({"tiers":[)";
  for (int i = 0; i < 17; ++i) {
    const std::string n = std::to_string(i);
    many += (i ? "," : "") + std::string(R"({"name":"t)") + n + R"(","rank":)" +
            n + R"(,"match":{"crew":["c)" + n + "\"]}}";
  }
  std::vector<Tier> tiers;
  EXPECT_NE(wire::ReadTiers(many + "]}", {}, &tiers).find("at most 16"),
            std::string::npos);
  EXPECT_NE(wire::ReadTiers(std::string(9'000, ' '), {}, &tiers).find("bytes"),
            std::string::npos);
}

TEST(Tiers, NeverWithoutASet) {
  TiersInForce in_force;
  const TierBounds bounds;
  const auto put = [&](const char* text, uint64_t version) {
    wire::TakeTiers(text, version, bounds, &in_force);
  };
  using enum TierSource;
  EXPECT_EQ(in_force.source(), kBuiltIn);
  EXPECT_EQ(in_force.set()->size(), 1U);
  put("{", 1);
  EXPECT_EQ(in_force.source(), kBuiltIn);
  EXPECT_EQ(in_force.refused_version(), 1U);
  in_force.OnNoRecord();
  EXPECT_EQ(in_force.source(), kBuiltIn);
  put(kText, 2);
  EXPECT_EQ(in_force.source(), kRecorded);
  EXPECT_EQ(in_force.version(), 2U);
  EXPECT_TRUE(in_force.refused().empty());
  put(R"({"tiers":[]})", 3);
  EXPECT_EQ(in_force.source(), kLastKnown);
  EXPECT_EQ(in_force.version(), 2U);
  EXPECT_EQ(in_force.set()->size(), 4U);
  EXPECT_NE(in_force.refused(), "");
  put(kText, 4);
  EXPECT_EQ(in_force.source(), kRecorded);
  in_force.OnNoRecord();  // lost with the key-value store's data
  EXPECT_EQ(in_force.source(), kLastKnown);
  EXPECT_EQ(in_force.version(), 4U);
  in_force.OnWithdrawn();
  EXPECT_EQ(in_force.source(), kBuiltIn);
  EXPECT_EQ(in_force.set()->size(), 1U);
}

TEST(Headroom, BurstsFadeAndTheShareBounds) {
  Headroom headroom(10, 300);
  for (int i = 0; i < 8; ++i) headroom.OnStart("a", {2, 0, 4}, 100 + i);
  EXPECT_DOUBLE_EQ(headroom.Burst("a", 107).cpus, 16);
  // A later, smaller burst does not make the larger one forgotten.
  headroom.OnStart("a", {2, 0, 4}, 130);
  EXPECT_GT(headroom.Burst("a", 130).cpus, 14);
  EXPECT_LT(headroom.Burst("a", 730).cpus, 4);
  EXPECT_NEAR(headroom.Burst("a", 430).cpus, 7.5, 0.5);
  EXPECT_EQ(headroom.Burst("b", 130).cpus, 0);
  const Resources total{100, 0, 400};
  EXPECT_DOUBLE_EQ(headroom.Reserved("a", total, 0.05, {}, 130).cpus, 5);
  EXPECT_DOUBLE_EQ(headroom.Reserved("b", total, 0.5, {30, 0, 60}, 130).cpus,
                   30);
}

TEST(Headroom, LargestLossIsAMachineOrAnotherZonesShare) {
  const auto loss =
      LargestLoss({{"a", {40, 0, 0}}, {"b", {10, 0, 0}}, {"c", {10, 0, 0}}},
                  {{"a", {8, 0, 0}}, {"b", {8, 0, 0}}, {"c", {2, 0, 0}}});
  EXPECT_DOUBLE_EQ(loss.at("a").cpus, 8);
  EXPECT_DOUBLE_EQ(loss.at("b").cpus, 20);
  EXPECT_DOUBLE_EQ(
      LargestLoss({{"a", {40, 0, 0}}}, {{"a", {8, 0, 0}}}).at("a").cpus, 8);
}

RecoveryObservation Seen(double wanted, double placed, double running,
                         std::vector<bool> waiting) {
  return {wanted, placed, running, std::move(waiting), 100};
}

TEST(Recovery, ReleasesTierAfterTier) {
  const RecoveryLimits limits = RecoveryLimits::From({});
  MassFailureRecovery recovery(limits);
  const std::vector<bool> all{true, true, true};
  recovery.Review(Seen(100, 98, 98, all),
                  0);  // two of a hundred: no mass failure
  EXPECT_TRUE(recovery.MayStart(2));
  recovery.Review(Seen(100, 80, 80, all), 1);
  EXPECT_EQ(recovery.step(), RecoveryStep::kAssessingLoss);
  EXPECT_TRUE(recovery.MayStart(0));
  EXPECT_FALSE(recovery.MayStart(1));
  recovery.Review(Seen(100, 70, 70, all), 4);  // still growing
  recovery.Review(Seen(100, 80, 70, all), 8);
  EXPECT_EQ(recovery.step(), RecoveryStep::kAssessingLoss);
  recovery.Review(Seen(100, 100, 80, all), 9.5);
  EXPECT_EQ(recovery.step(), RecoveryStep::kBestTierFirst);
  EXPECT_FALSE(recovery.MayStart(1));
  recovery.Review(Seen(100, 100, 100, all), 12);
  EXPECT_EQ(recovery.step(), RecoveryStep::kReleasingTiers);
  EXPECT_TRUE(recovery.MayStart(1));
  EXPECT_FALSE(recovery.MayStart(2));
  for (int i = 0; i < 25; ++i) {
    EXPECT_TRUE(recovery.MayFetch(1));
    recovery.NoteFetch(1);
  }
  EXPECT_FALSE(recovery.MayFetch(1));
  EXPECT_TRUE(recovery.MayFetch(0));
  recovery.Review(Seen(100, 100, 100, all), 17.5);
  EXPECT_TRUE(recovery.MayStart(2));
  EXPECT_TRUE(recovery.MayFetch(2));
  recovery.Review(Seen(100, 100, 100, all), 23);
  EXPECT_EQ(recovery.step(), RecoveryStep::kCooldown);
  // As long as they waited, nobody waits again.
  recovery.Review(Seen(100, 50, 50, all), 30);
  EXPECT_TRUE(recovery.MayStart(2));
  recovery.Review(Seen(100, 50, 50, all), 46);
  EXPECT_EQ(recovery.step(), RecoveryStep::kAssessingLoss);
}

// Whatever is seen, the waits end: the best tier never comes back, machines go
// on dying, the number of tiers changes.
TEST(Recovery, EveryWaitEnds) {
  const RecoveryLimits limits = RecoveryLimits::From({});
  EXPECT_LT(limits.LongestWait(), 12 * WorkerSettings{}.lease_seconds);
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    MassFailureRecovery recovery(limits);
    double placed = 60;
    Time held_since = -1;
    Time free_since = 0;
    double last_wait = 0;
    for (Time now = 0; now < 600; now += 0.25) {
      if (round % 3 == 0) placed = std::max(0.0, placed - 0.1);
      const size_t tiers = 1 + (round % 5 == 0 ? random() % 16 : 2);
      std::vector<bool> waiting(tiers);
      for (size_t i = 0; i < tiers; ++i) waiting[i] = random() % 4 != 0;
      recovery.Review(Seen(100, placed, random() % 100, waiting), now);
      const bool held = !recovery.MayStart(1) || !recovery.MayStart(15);
      if (held && held_since < 0) {
        held_since = now;
        EXPECT_GE(now - free_since + 0.5, last_wait);
      }
      if (!held && held_since >= 0) {
        last_wait = now - held_since;
        free_since = now;
        held_since = -1;
      }
      if (held) {
        ASSERT_LE(now - held_since, limits.LongestWait() + 0.5);
      }
    }
  }
}

// Policies over the record above: ops 0, public 1, nightly 2, rest 3.
class Policy : public testing::Test {
 protected:
  Policy() : policy_(settings_, true) {
    policy_.SetTiers(Read(kText));
    view_.total = {{"a", {100, 0, 400}}, {"b", {100, 0, 400}}};
    view_.free = {{"a", {12, 0, 40}}, {"b", {50, 0, 200}}};
    view_.machines = 20;
  }
  void Wait(const Job& job, uint8_t place, double waited) {
    view_.waiting.push_back({&job, place, waited, false});
  }

  Settings settings_;
  TierPolicy policy_;
  TierObservation view_;
  Job nightly_ = MakeJob(Spec("batch", Priority::kLow, JobKind::kArray));
  Job rest_ = MakeJob(Spec("other", Priority::kNormal, JobKind::kArray));
  Job finder_ =
      MakeJob(Spec("finder", Priority::kProduction, JobKind::kService));
};

TEST_F(Policy, OffOrOfOneTierChangesNothing) {
  for (const bool on : {false, true}) {
    TierPolicy policy(settings_, on);
    if (!on) policy.SetTiers(Read(kText));
    EXPECT_FALSE(policy.active());
    EXPECT_EQ(policy.Classify(nightly_.spec()), 0);
    policy.BeginPass(view_, 1);
    EXPECT_EQ(policy.RankOf(nightly_, 0), 0);
    EXPECT_TRUE(policy.MayStart(nightly_, 0));
    EXPECT_TRUE(policy.MayUse(nightly_, 0, "a", {90, 0, 1}, true));
    EXPECT_TRUE(policy.WithinShare(nightly_, 0, {190, 0, 1}));
  }
}

TEST_F(Policy, KeptRoomIsForBetterTiersOnly) {
  policy_.UpdateLargestLoss(1, {{"a", {{20, 0, 20}, {8, 0, 8}}}});
  policy_.BeginPass(view_, 1);
  // 8 of 12 free cores in zone a are kept: one machine's worth.
  EXPECT_DOUBLE_EQ(policy_.HeadroomOfBetterTiers(2, "a").cpus, 8);
  EXPECT_TRUE(policy_.MayUse(nightly_, 2, "a", {4, 0, 4}, false));
  EXPECT_FALSE(policy_.MayUse(nightly_, 2, "a", {5, 0, 4}, false));
  EXPECT_TRUE(policy_.MayUse(finder_, 1, "a", {12, 0, 4}, false));
  EXPECT_TRUE(policy_.MayUse(nightly_, 2, "b", {50, 0, 4}, false));
  policy_.TakeCapacity("a", {4, 0, 4});
  EXPECT_FALSE(policy_.MayUse(nightly_, 2, "a", {1, 0, 1}, false));
  policy_.ReturnCapacity("a", {4, 0, 4});
  // What was started lately is kept too, up to the share.
  for (int i = 0; i < 40; ++i) {
    policy_.OnTaskStarted(finder_, 1, "b", {1, 0, 1}, false, 1);
  }
  policy_.BeginPass(view_, 2);
  EXPECT_DOUBLE_EQ(policy_.HeadroomOfBetterTiers(2, "b").cpus, 10);
}

TEST_F(Policy, ShareHoldsWhileOthersWaitAndNoLonger) {
  Wait(nightly_, 2, 0);
  policy_.BeginPass(view_, 1);
  policy_.AddUsage(2, {99, 0, 0});
  EXPECT_TRUE(policy_.WithinShare(nightly_, 2, {2, 0, 1}));  // nobody else
  Wait(rest_, 3, 0);
  policy_.BeginPass(view_, 2);
  EXPECT_TRUE(policy_.WithinShare(nightly_, 2, {1, 0, 1}));
  EXPECT_FALSE(policy_.WithinShare(nightly_, 2, {2, 0, 1}));
  policy_.OnOtherTiersServed();  // what they leave is not left idle
  EXPECT_TRUE(policy_.WithinShare(nightly_, 2, {2, 0, 1}));
}

TEST_F(Policy, WhoWaitsTooLongGetsATurnNowAndThen) {
  const Job longer = MakeJob(Spec("batch", Priority::kLow, JobKind::kArray));
  Wait(nightly_, 2, 119);
  policy_.UpdateLargestLoss(1, {{"a", {{20, 0, 20}, {12, 0, 40}}}});
  policy_.BeginPass(view_, 1);
  EXPECT_EQ(policy_.RankOf(nightly_, 2), 4);
  EXPECT_FALSE(policy_.MayUse(nightly_, 2, "a", {4, 0, 4}, false));
  view_.waiting.clear();
  Wait(nightly_, 2, 121);
  Wait(longer, 2, 122);
  view_.best_wanted = 100;  // and in a recovery too
  policy_.BeginPass(view_, 3);
  EXPECT_TRUE(policy_.recovery().delays_lower_tiers());
  EXPECT_EQ(policy_.RankOf(longer, 2), 1);  // after the best tier
  EXPECT_EQ(policy_.RankOf(nightly_, 2), 4);
  EXPECT_TRUE(policy_.MayStart(longer, 2));
  EXPECT_FALSE(policy_.MayStart(nightly_, 2));
  EXPECT_TRUE(policy_.MayUse(longer, 2, "a", {4, 0, 4}, true));
  policy_.OnTaskStarted(longer, 2, "a", {4, 0, 4}, true, 3);
  // One task was the turn; the tier's next one comes a lease later.
  EXPECT_FALSE(policy_.MayStart(longer, 2));
  policy_.BeginPass(view_, 12);
  EXPECT_FALSE(policy_.MayStart(nightly_, 2));
  EXPECT_FALSE(policy_.MayStart(longer, 2));
  policy_.BeginPass(view_, 13.5);
  EXPECT_TRUE(policy_.MayStart(longer, 2));
}

}  // namespace
}  // namespace oxbow
