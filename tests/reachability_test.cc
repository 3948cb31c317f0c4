// Whether heartbeat responses are taken to reach a machine.

#include "core/model/reachability.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

constexpr uint64_t kToken = 100;

class ReachabilityTest : public testing::Test {
 protected:
  // A heartbeat with this token that is answered with `answer`.
  void SendHeartbeat(FencingToken token, uint64_t answer, double apart = 1) {
    now_ += apart;
    reachability_.OnHeartbeat({++seq_, token, apart, false}, workers_, now_);
    reachability_.OnTokenShown(token, answer, workers_, now_);
    reachability_.OnResponse({seq_, answer, token, false},
                             workers_.lease_seconds, now_);
  }
  bool IsStaleHeartbeat(FencingToken token) {
    return reachability_.IsStaleHeartbeat(token, workers_.lease_seconds, false,
                                          now_);
  }

  WorkerSettings workers_{1.0, 10.0, 40.0, 4.0, 40.0};
  Reachability reachability_;
  Time now_ = 1000;
  uint64_t seq_ = 0;
};

TEST_F(ReachabilityTest, OneLostResponseIsSuspectedAndTwoMeanNoneAreReceived) {
  SendHeartbeat(0, kToken);
  EXPECT_TRUE(reachability_.MayTakeWork());
  SendHeartbeat(0, kToken);
  EXPECT_EQ(reachability_.state(), ReachabilityState::kSuspected);
  EXPECT_FALSE(reachability_.MayTakeWork());
  SendHeartbeat(0, kToken);
  EXPECT_TRUE(reachability_.receives_no_responses());
}

TEST_F(ReachabilityTest,
       ATokenSentWithCommandsDoesNotProveDeliveryOfResponses) {
  SendHeartbeat(0, kToken);
  SendHeartbeat(kToken, kToken);
  EXPECT_EQ(reachability_.state(), ReachabilityState::kProven);
  SendHeartbeat(kToken, kToken, 5);
  SendHeartbeat(kToken, kToken, 5.2);
  EXPECT_EQ(reachability_.state(), ReachabilityState::kSuspected);
  ASSERT_TRUE(reachability_.NeedsDeliveryCheck(now_));
  reachability_.OnDeliveryCheckSent(kToken + 1);
  reachability_.OnCommandsSent(kToken + 1);
  EXPECT_TRUE(
      reachability_.NeedsDeliveryCheck(now_));  // it went the other way as well
  SendHeartbeat(kToken + 1, kToken + 1);
  EXPECT_FALSE(reachability_.MayTakeWork());
  reachability_.OnDeliveryCheckSent(kToken + 2);
  SendHeartbeat(kToken + 2, kToken + 2);
  EXPECT_EQ(reachability_.state(), ReachabilityState::kProven);
}

TEST_F(ReachabilityTest, HeartbeatsAtTheUsualIntervalRaiseNoSuspicion) {
  workers_.heartbeat_interval_seconds = 4;
  SendHeartbeat(0, kToken);
  for (int i = 0; i < 100; ++i)
    SendHeartbeat(kToken, kToken, i % 2 ? 3.1 : 5.0);
  EXPECT_EQ(reachability_.state(), ReachabilityState::kProven);
}

TEST_F(ReachabilityTest,
       AnIncarnationThatEndsAlthoughAnsweredReceivesNoResponses) {
  SendHeartbeat(0, kToken);
  SendHeartbeat(kToken, kToken);
  now_ += 5;
  reachability_.OnIncarnationEnded(workers_, now_);
  EXPECT_TRUE(reachability_.receives_no_responses());
}

TEST_F(ReachabilityTest, ALongSilenceRequiresADeliveryCheck) {
  SendHeartbeat(0, kToken);
  SendHeartbeat(kToken, kToken);
  SendHeartbeat(kToken, kToken, 7);
  EXPECT_EQ(reachability_.state(), ReachabilityState::kSuspected);
}

TEST_F(ReachabilityTest, AHeartbeatWithoutOurTokenForALeaseIsOld) {
  for (int i = 0; i < 14; ++i) {
    SendHeartbeat(0, kToken);
    EXPECT_FALSE(IsStaleHeartbeat(0));
  }
  now_ += 2;
  EXPECT_TRUE(IsStaleHeartbeat(0));
  EXPECT_FALSE(IsStaleHeartbeat(kToken));
}

TEST_F(ReachabilityTest, LosingContactAgainDelaysTheNextDeliveryCheck) {
  SendHeartbeat(0, kToken);
  for (int i = 0; i < 2; ++i) {
    reachability_.OnIncarnationEnded(workers_, now_);
    ASSERT_TRUE(reachability_.receives_no_responses());
    const uint64_t check_token = kToken + 1 + static_cast<uint64_t>(i);
    reachability_.OnDeliveryCheckSent(check_token);
    SendHeartbeat(kToken, check_token);
    SendHeartbeat(check_token, check_token);
    EXPECT_EQ(reachability_.MayTakeWork(), i == 0);
  }
  EXPECT_FALSE(reachability_.NeedsDeliveryCheck(now_));
  EXPECT_TRUE(
      reachability_.NeedsDeliveryCheck(now_ + workers_.lease_seconds / 2));
}

}  // namespace
}  // namespace oxbow
