// Who is fit to lead, what may be destroyed, and the order of timeouts, each by
// itself.

#include "core/leader_health/leader_health.h"

#include <gtest/gtest.h>

#include "core/limits/removal_limiter.h"
#include "core/model/timeouts.h"

namespace oxbow {
namespace {

TEST(ReachabilityAnswer, AnAdvantageIsSureForAnyNumberOfMachines) {
  EXPECT_FALSE(IsSignificantAdvantage(1, 1));
  EXPECT_TRUE(IsSignificantAdvantage(2, 2));
  EXPECT_FALSE(IsSignificantAdvantage(2, 8));
  EXPECT_TRUE(IsSignificantAdvantage(4, 8));
  EXPECT_FALSE(IsSignificantAdvantage(5, 24));
  EXPECT_TRUE(IsSignificantAdvantage(8, 24));
  EXPECT_FALSE(IsSignificantAdvantage(0, 24));
  EXPECT_FALSE(IsSignificantAdvantage(25, 24));
}

TEST(ReachabilityAnswer, WhatOneReachesAndTheOtherDoesNotCancelsOut) {
  const ReachabilityAnswer self{"a", true, false, "1100"};
  EXPECT_EQ(ReachabilityAdvantage(self, {"b", true, true, "0011"}), 0);
  EXPECT_EQ(ReachabilityAdvantage(self, {"b", true, true, "1111"}), 2);
  EXPECT_EQ(ReachabilityAdvantage(self, {"b", true, true, "??11"}), 2);
  EXPECT_TRUE(IsReachabilityText("01?", 3));
  EXPECT_FALSE(IsReachabilityText("01", 3));
  EXPECT_FALSE(IsReachabilityText("012", 3));
}

LeaderHealth::Limits SomeLimits() { return {0.125, 0.2, 0.5, 5, 4, 2}; }

// Receives nothing from the start, at a time when leadership transfers are
// allowed.
LeaderHealth ReceivingNothing(Time until) {
  LeaderHealth health(SomeLimits(), 0);
  for (Time t = 0; t <= until; t += 0.05) health.Observe({20, 20, 20}, t);
  return health;
}

TEST(LeaderHealth, AsksOnlyAfterItHasSettled) {
  LeaderHealth health = ReceivingNothing(1.0);
  EXPECT_EQ(health.state(), LeaderHealthState::kSuspect);
  EXPECT_FALSE(health.IsSurveyDue(1.0));
  EXPECT_TRUE(health.IsSurveyDue(2.0));
}

TEST(LeaderHealth, OffersToTheOneThatReachesMostAndMayLead) {
  LeaderHealth health = ReceivingNothing(3);
  health.OnSurveyStarted(3);
  const std::string none(20, '0');
  const std::string all(20, '1');
  const std::string most = all.substr(0, 15) + none.substr(0, 5);
  const auto verdict = health.OnSurveyAnswered(
      {{"a", true, false, none},
       {"b", true, true, most},
       {"c", true, false, all},  // can't: no key-value store
       {"d", true, true, all}},
      4);
  EXPECT_EQ(verdict.kind,
            LeaderHealth::Decision::Kind::kOfferLeadershipTransfer);
  EXPECT_EQ(verdict.to, "d");
  health.OfferRefused(4);
  EXPECT_EQ(health.state(), LeaderHealthState::kSuspect);
}

TEST(LeaderHealth, AsksLessOftenTheLongerNobodyIsBetter) {
  LeaderHealth health = ReceivingNothing(3);
  const std::string none(20, '0');
  int rounds = 0;
  for (Time t = 3; t < 23; t += 0.05) {
    health.Observe({20, 20, 20}, t);
    if (!health.IsSurveyDue(t)) continue;
    health.OnSurveyStarted(t);
    const auto verdict = health.OnSurveyAnswered(
        {{"a", true, false, none}, {"b", true, true, none}}, t);
    EXPECT_EQ(verdict.kind, LeaderHealth::Decision::Kind::kStay);
    ++rounds;
  }
  EXPECT_GE(rounds, 4);
  EXPECT_LE(rounds, 8);
}

// A leader suspect for long over one dead machine asked seldom, and found out
// late that it received nothing meanwhile (seed 1256).
TEST(LeaderHealth, ReceivingTooFewEndsALongPause) {
  LeaderHealth health(SomeLimits(), 0);
  const std::string none(20, '0');
  Time t = 0;
  for (; t < 30; t += 0.05) {
    health.Observe({20, 3, 3}, t);
    if (!health.IsSurveyDue(t)) continue;
    health.OnSurveyStarted(t);
    health.OnSurveyAnswered({{"a", true, false, none}, {"b", true, true, none}},
                            t);
  }
  EXPECT_FALSE(health.IsSurveyDue(t));
  const Time too_few_from = t;
  for (; !health.IsSurveyDue(t); t += 0.05) health.Observe({20, 20, 20}, t);
  EXPECT_LT(t - too_few_from, SomeLimits().survey_pause_seconds);
}

TEST(LeaderHealth, ReceivingTooFewUnwatchedHasNotLasted) {
  LeaderHealth health = ReceivingNothing(3);
  const std::string none(20, '0');
  // The process stood still for ten seconds: no reason to step down blindly.
  health.Observe({20, 20, 20}, 13);
  health.OnSurveyStarted(13);
  EXPECT_EQ(health
                .OnSurveyAnswered(
                    {{"a", true, false, none}, {"b", false, false, ""}}, 13)
                .kind,
            LeaderHealth::Decision::Kind::kStay);
}

TEST(LeadershipTransferLog, AllowsSoManyWithinItsWindow) {
  LeadershipTransferLog log(10, 2);
  EXPECT_TRUE(log.Allows(0));
  log.Record(0);
  log.Record(3);
  EXPECT_FALSE(log.Allows(9));
  EXPECT_TRUE(log.Allows(10.5));
}

RemovalLimiter::Limits Tenth() {
  RemovalLimiter::Limits limits;
  limits.window_seconds = 10;
  limits.fleet.fill(0.1);
  limits.zone = 0.2;
  limits.service = 0.5;
  return limits;
}

// The brake of 1 December counted machines that were still silent, and what it
// had deleted no longer was: 459 of a thousand went within 17 s.
TEST(RemovalLimiter, CountsWhatWasAskedNotWhatIsLeft) {
  RemovalLimiter limiter(Tenth());
  int fleet = 1000;
  int allowed = 0;
  for (int i = 0; i < 900; ++i) {
    const CapacityRemoval loss{RemovalCause::kSilent, i % 2 ? "a" : "b", {}};
    if (limiter.RequestRemoval(loss, fleet, fleet / 2, 1 + i * 0.01) !=
        RemovalDecision::kAllowed) {
      continue;
    }
    ++allowed;
    --fleet;
  }
  EXPECT_EQ(allowed, 100);
  EXPECT_EQ(limiter.refused(RemovalCause::kSilent), 800);
}

TEST(RemovalLimiter, ForgetsAfterItsWindowAndKeepsCausesApart) {
  RemovalLimiter limiter(Tenth());
  const auto ask = [&](RemovalCause cause, Time now) {
    return limiter.RequestRemoval({cause, "a", {}}, 10, 10, now);
  };
  EXPECT_EQ(ask(RemovalCause::kSilent, 0), RemovalDecision::kAllowed);
  EXPECT_EQ(ask(RemovalCause::kSilent, 1), RemovalDecision::kFleetLimit);
  EXPECT_EQ(ask(RemovalCause::kIdle, 1), RemovalDecision::kAllowed);
  EXPECT_EQ(ask(RemovalCause::kSilent, 10.5), RemovalDecision::kAllowed);
}

TEST(RemovalLimiter, HoldsAZoneAndAService) {
  RemovalLimiter limiter(Tenth());
  const auto ask = [&](const std::string& zone,
                       std::vector<CapacityRemoval::AffectedService> parts) {
    return limiter.RequestRemoval(
        {RemovalCause::kSilent, zone, std::move(parts)}, 100, 10, 0);
  };
  EXPECT_EQ(ask("a", {}), RemovalDecision::kAllowed);
  EXPECT_EQ(ask("a", {}), RemovalDecision::kAllowed);
  EXPECT_EQ(ask("a", {}), RemovalDecision::kZoneLimit);
  // The first may take what it finds; then half of the service at most.
  EXPECT_EQ(ask("b", {{"s", 2, 6}}), RemovalDecision::kAllowed);
  EXPECT_EQ(ask("c", {{"s", 2, 6}}), RemovalDecision::kServiceLimit);
  EXPECT_EQ(ask("c", {{"s", 1, 6}}), RemovalDecision::kAllowed);
}

// The two thresholds that lay the wrong way round at a heartbeat of 0.18 lease.
TEST(SilenceTimeouts, IsInOrderForEveryRatioOfReportToLease) {
  for (double ratio = 0.05; ratio <= 1.0 / 3; ratio += 0.005) {
    for (const double suspect : {0.1, 0.3, 0.6, 1.0}) {
      for (const double give_up : {0.2, 0.45, 1.0}) {
        WorkerSettings workers;
        workers.lease_seconds = 22;
        workers.heartbeat_interval_seconds = ratio * workers.lease_seconds;
        Tuning tuning;
        tuning.suspect_ratio = suspect;
        tuning.give_up_ratio = give_up;
        const SilenceTimeouts timeouts = SilenceTimeouts::From(workers, tuning);
        EXPECT_FALSE(timeouts.FindConflict(workers).has_value()) << ratio;
      }
    }
  }
  WorkerSettings workers;
  workers.heartbeat_interval_seconds = 8;
  workers.lease_seconds = 10;
  EXPECT_EQ(SilenceTimeouts::From(workers, {}).FindConflict(workers),
            TimeoutConflict::kLeaseTooShort);
}

}  // namespace
}  // namespace oxbow
