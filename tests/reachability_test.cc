// What is believed of whether answers reach a machine.

#include "core/model/reachability.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

constexpr uint64_t kToken = 100;

class DeliveryTest : public testing::Test {
 protected:
  // A report with this token that is answered with `answer`.
  void Report(FencingToken token, uint64_t answer, double apart = 1) {
    now_ += apart;
    d_.Reported(++seq_, token, apart, false, workers_, now_);
    d_.Shown(token, answer, workers_, now_);
    d_.Answered(seq_, answer, token, workers_.lease_seconds, false, now_);
  }
  bool MustBeOld(FencingToken token) {
    return d_.MustBeOld(token, workers_.lease_seconds, false, now_);
  }

  WorkerSettings workers_{1.0, 10.0, 40.0, 4.0, 40.0};
  Reachability d_;
  Time now_ = 1000;
  uint64_t seq_ = 0;
};

TEST_F(DeliveryTest, OneAnswerLostIsASuspicionAndTwoAreDeafness) {
  Report(0, kToken);
  EXPECT_TRUE(d_.MayTakeWork());
  Report(0, kToken);
  EXPECT_EQ(d_.state(), ReachabilityState::kSuspected);
  EXPECT_FALSE(d_.MayTakeWork());
  Report(0, kToken);
  EXPECT_TRUE(d_.deaf());
}

TEST_F(DeliveryTest, AnOrdersTokenProvesNothingOfTheAnswers) {
  Report(0, kToken);
  Report(kToken, kToken);
  EXPECT_EQ(d_.state(), ReachabilityState::kProven);
  Report(kToken, kToken, 5);
  Report(kToken, kToken, 5.2);
  EXPECT_EQ(d_.state(), ReachabilityState::kSuspected);
  ASSERT_TRUE(d_.WantsQuestion(now_));
  d_.Asked(kToken + 1);
  d_.CommandsSent(kToken + 1);
  EXPECT_TRUE(d_.WantsQuestion(now_));  // it went the other way as well
  Report(kToken + 1, kToken + 1);
  EXPECT_FALSE(d_.MayTakeWork());
  d_.Asked(kToken + 2);
  Report(kToken + 2, kToken + 2);
  EXPECT_EQ(d_.state(), ReachabilityState::kProven);
}

TEST_F(DeliveryTest, UsualReportsRaiseNoSuspicion) {
  workers_.heartbeat_interval_seconds = 4;
  Report(0, kToken);
  for (int i = 0; i < 100; ++i) Report(kToken, kToken, i % 2 ? 3.1 : 5.0);
  EXPECT_EQ(d_.state(), ReachabilityState::kProven);
}

TEST_F(DeliveryTest, ASessionThatEndsAlthoughAnsweredIsDeafness) {
  Report(0, kToken);
  Report(kToken, kToken);
  now_ += 5;
  d_.IncarnationEnded(workers_, now_);
  EXPECT_TRUE(d_.deaf());
}

TEST_F(DeliveryTest, AfterALongSilenceItIsAskedFirst) {
  Report(0, kToken);
  Report(kToken, kToken);
  Report(kToken, kToken, 7);
  EXPECT_EQ(d_.state(), ReachabilityState::kSuspected);
}

TEST_F(DeliveryTest, WhatLacksOurTokenForALeaseIsOld) {
  for (int i = 0; i < 14; ++i) {
    Report(0, kToken);
    EXPECT_FALSE(MustBeOld(0));
  }
  now_ += 2;
  EXPECT_TRUE(MustBeOld(0));
  EXPECT_FALSE(MustBeOld(kToken));
}

TEST_F(DeliveryTest, GoingDeafAgainIsPaidForWithTime) {
  Report(0, kToken);
  for (int i = 0; i < 2; ++i) {
    d_.IncarnationEnded(workers_, now_);
    ASSERT_TRUE(d_.deaf());
    const uint64_t question = kToken + 1 + static_cast<uint64_t>(i);
    d_.Asked(question);
    Report(kToken, question);
    Report(question, question);
    EXPECT_EQ(d_.MayTakeWork(), i == 0);
  }
  EXPECT_FALSE(d_.WantsQuestion(now_));
  EXPECT_TRUE(d_.WantsQuestion(now_ + workers_.lease_seconds / 2));
}

}  // namespace
}  // namespace oxbow
