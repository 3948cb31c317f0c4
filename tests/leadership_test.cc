// Each test names the failure that it prevents.

#include "core/lease/leadership.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

constexpr double kLease = 2.5;
constexpr double kPromise = 6;

Leadership ActiveLeader(Time now) {
  Leadership l({"b", "c"}, kLease, kPromise, 0, 0);
  l.PeerDoesNotLead("b");
  l.PeerDoesNotLead("c");
  l.OnCampaignStarted(0);
  l.OnElected(42, 7, now);
  return l;
}

TEST(Leadership, TwoLeadersBecauseTheLeaseCountsFromTheAnswer) {
  // The renewal was sent at 10 and answered at 12: the service may count from
  // any moment in between, so the holder counts from 10, less the drift.
  Leadership l = ActiveLeader(8);
  l.RenewGranted(10);
  EXPECT_TRUE(l.MayActAsLeader(10 + kLease * (1 - kMaxClockDriftRate) - 0.001));
  EXPECT_FALSE(l.MayActAsLeader(10 + kLease));
}

TEST(Leadership, TwoLeadersBecauseALapsedOneActsAgain) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.MayActAsLeader(13));
  l.RenewGranted(13);  // an answer that was on its way
  EXPECT_FALSE(l.MayActAsLeader(13.1));
  EXPECT_EQ(l.state(), LeaderState::kExpired);
}

TEST(Leadership, WorkersLostInAnOutageTheOthersCanBridge) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  l.PromiseGranted("c", 12);
  EXPECT_TRUE(l.MayActAsLeader(16));
  EXPECT_EQ(l.state(), LeaderState::kProlonged);
  // It ends with the earliest of the promises.
  EXPECT_FALSE(l.MayActAsLeader(11 + kPromise));
}

TEST(Leadership, TwoLeadersBecauseOnePeerHasNotPromised) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  EXPECT_FALSE(l.MayActAsLeader(13));
}

TEST(Leadership, TwoLeadersBecauseAPromiseComesAfterTheLapse) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.MayActAsLeader(13));
  l.PromiseGranted("b", 12);
  l.PromiseGranted("c", 12);
  EXPECT_FALSE(l.MayActAsLeader(13));
}

TEST(Leadership, PromiserSeeksAlthoughItPromised) {
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.PeerDoesNotLead("a");
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.OnPromiseRequested(/*state_fails=*/true, 20));
  EXPECT_FALSE(l.MayCampaign(20 + kPromise));
  EXPECT_TRUE(l.MayCampaign(20 + kPromise * (1 + 2 * kMaxClockDriftRate)));
}

TEST(Leadership, RestartedPromiserForgetsItsPromise) {
  // It promised just before it crashed. The new process can't know, so it
  // waits the longest promise out, unless nobody leads who could rely on it.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 30);
  EXPECT_FALSE(l.MayCampaign(31));
  l.PeerDoesNotLead("a");
  EXPECT_FALSE(l.MayCampaign(31));
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.MayCampaign(31));
  Leadership alone({"a", "c"}, kLease, kPromise, 0, 30);
  EXPECT_TRUE(alone.MayCampaign(30 + kPromise * (1 + 2 * kMaxClockDriftRate)));
}

TEST(Leadership, LeaderCutOffAloneFromTheStateServiceLeadsOnForEver) {
  // The promiser reaches the service: it refuses, the leader lapses, and
  // somebody who can record takes over.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  EXPECT_FALSE(l.OnPromiseRequested(/*state_fails=*/false, 20));
}

TEST(Leadership, PromiseGivenWhileItsOwnSearchMaySucceed) {
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.OnCampaignStarted(0);
  EXPECT_FALSE(l.OnPromiseRequested(/*state_fails=*/true, 20));
}

TEST(Leadership, WinnerIsOverthrownByASearchBegunBeforeItWon) {
  // The search began on a key that was gone; while its lease was being made
  // another controller won, and the watch said so. The write must still be
  // conditioned on the key that was gone.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.OnCampaignStarted(0);
  EXPECT_EQ(l.seen(), 0U);
  EXPECT_THROW(l.OnCampaignStarted(620), IllegalTransition);
  EXPECT_EQ(l.seen(), 0U);
}

TEST(Leadership, LapsedLeaderNeverLeadsAgain) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.MayActAsLeader(13));
  EXPECT_FALSE(l.MayCampaign(100));
  l.BecomeFollower();
  EXPECT_TRUE(l.MayCampaign(100));
}

TEST(Leadership, OldPromisesCarryIntoANewLeadership) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  l.PromiseGranted("c", 11);
  l.OnKeyLost();
  l.BecomeFollower();
  l.OnCampaignStarted(0);
  l.OnElected(50, 8, 12);
  EXPECT_FALSE(l.MayActAsLeader(12 + kLease));
}

// --- renewing workers' leases without leading

constexpr double kDelegation = 1.5;

Leadership Started(Time now) {
  return Leadership({"b", "c"}, kLease, kPromise, kDelegation, now);
}

TEST(DelegatedLease,
     AllWorkersLostThoughTheFirstOneIsBackBeforeTheirLeaseEnds) {
  // Nobody else is there to say that nobody rests on a promise of its former
  // life, so it may not lead: it keeps, and leads once they are.
  Leadership l = Started(30);
  EXPECT_FALSE(l.MayCampaign(30.5));
  EXPECT_TRUE(l.MayTakeFreeKey(30.5));
  l.OnCampaignStarted(0);
  l.OnElected(42, 7, 30.5, /*leads=*/false);
  EXPECT_FALSE(l.MayActAsLeader(30.6));
  EXPECT_TRUE(l.MayRenewWorkerLeases(30.6));
  l.PeerDoesNotLead("b");
  EXPECT_FALSE(l.PromoteToLeader(31));
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.PromoteToLeader(31));
  EXPECT_TRUE(l.MayActAsLeader(31));
}

TEST(DelegatedLease, KeepsOnBeyondItsLease) {
  Leadership l = Started(30);
  l.OnCampaignStarted(0);
  l.OnElected(42, 7, 30.5, /*leads=*/false);
  EXPECT_FALSE(l.MayRenewWorkerLeases(30.5 + kLease));
  EXPECT_EQ(l.state(), LeaderState::kExpired);
}

TEST(DelegatedLease, TendsWithoutEverybodysPromise) {
  Leadership l = Started(30);
  l.StartDelegationRequest(31);
  l.DelegationGranted("b", 31);
  EXPECT_FALSE(l.MayRenewWorkerLeases(31.1));
  l.DelegationGranted("c", 31);
  EXPECT_TRUE(l.MayRenewWorkerLeases(31.1));
  EXPECT_FALSE(l.MayRenewWorkerLeases(31 + kDelegation));
}

TEST(DelegatedLease, PromisesLeftOverFromBeforeItHeldTheKey) {
  // Whoever was told that it holds the key counts with none of them.
  Leadership l = Started(30);
  l.StartDelegationRequest(31);
  l.DelegationGranted("b", 31);
  l.DelegationGranted("c", 31);
  l.OnCampaignStarted(0);
  l.OnElected(42, 7, 31.1, /*leads=*/false);
  l.OnKeyLost();
  l.BecomeFollower();
  EXPECT_FALSE(l.MayRenewWorkerLeases(31.2));
  l.DelegationGranted("b", 31);  // late
  l.DelegationGranted("c", 31);
  EXPECT_FALSE(l.MayRenewWorkerLeases(31.2));
}

TEST(DelegatedLease, PromiserIsBackWithinAFractionOfASecond) {
  // It asks who relies on what it may have promised. A delegate by promises
  // says so from its question on: the answer may still be under way.
  Leadership delegate = Started(0);
  delegate.StartDelegationRequest(31);
  EXPECT_EQ(delegate.Role(31.2), LeaderRole::kRenewsByPromises);
  Leadership back = Started(31.1);
  back.SetPeerRole("b", delegate.Role(31.2));
  back.SetPeerRole("c", LeaderRole::kNone);
  EXPECT_FALSE(back.MayCampaign(31.3));
  EXPECT_TRUE(
      back.MayCampaign(31.1 + kDelegation * (1 + 2 * kMaxClockDriftRate)));
  EXPECT_EQ(delegate.Role(31 + kDelegation), LeaderRole::kNone);
}

TEST(DelegatedLease, LeaderTakesItsOwnKeyAgainWhileADelegateRestsOnItsPromise) {
  // Between two lives it led in, one that only started may have promised.
  Leadership back = Started(31);
  back.SetPeerRole("b", LeaderRole::kRenewsByPromises);
  EXPECT_FALSE(back.ForgottenDelegationsExpired(31.2));
  EXPECT_TRUE(back.ForgottenDelegationsExpired(
      31 + kDelegation * (1 + 2 * kMaxClockDriftRate)));
  Leadership told = Started(31);
  told.SetPeerRole("b", LeaderRole::kLeads);
  EXPECT_FALSE(told.ForgottenDelegationsExpired(40));
}

TEST(DelegatedLease, SeeksAlthoughItPromisedADelegate) {
  Leadership l = Started(0);
  EXPECT_TRUE(l.OnDelegationPromiseRequested("b", "life-1", 3,
                                             /*state_fails=*/true, 20));
  EXPECT_FALSE(l.MayCampaign(20.1));
  EXPECT_FALSE(l.MayTakeFreeKey(20.1));
  l.DelegationReleased("b", "life-1", 3);
  EXPECT_TRUE(l.MayCampaign(20.1));
}

TEST(DelegatedLease, ReleaseThatWasHeldBackFreesALaterPromise) {
  Leadership l = Started(0);
  EXPECT_TRUE(l.OnDelegationPromiseRequested("b", "life-1", 5,
                                             /*state_fails=*/true, 20));
  l.DelegationReleased("b", "life-1", 4);
  EXPECT_FALSE(l.MayCampaign(20.1));
  // Of a former life, which had counted further.
  l.DelegationReleased("b", "life-0", 50);
  EXPECT_FALSE(l.MayCampaign(20.1));
}

TEST(DelegatedLease, OneThatReachesTheStateServicePromisesADelegate) {
  Leadership l = Started(0);
  EXPECT_FALSE(l.OnDelegationPromiseRequested("b", "life-1", 1,
                                              /*state_fails=*/false, 20));
  l.OnCampaignStarted(0);
  EXPECT_FALSE(l.OnDelegationPromiseRequested("b", "life-1", 2,
                                              /*state_fails=*/true, 20));
}

}  // namespace
}  // namespace oxbow
