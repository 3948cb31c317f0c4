// Leadership: the right to lead by the lease of the leader key or by promises,
// and the renewal of workers' leases without leading. Each test is named after
// the failure that it guards against. Times are in seconds.

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
  // The renewal was sent at 10 and answered at 12. The key-value store may
  // count the lease from any time in between, so its holder counts from 10,
  // less the drift of the clocks.
  Leadership l = ActiveLeader(8);
  l.RenewGranted(10);
  EXPECT_TRUE(l.MayActAsLeader(10 + kLease * (1 - kMaxClockDriftRate) - 0.001));
  EXPECT_FALSE(l.MayActAsLeader(10 + kLease));
}

TEST(Leadership, TwoLeadersBecauseAnExpiredOneLeadsAgain) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.MayActAsLeader(13));
  l.RenewGranted(13);  // a late answer
  EXPECT_FALSE(l.MayActAsLeader(13.1));
  EXPECT_EQ(l.state(), LeaderState::kExpired);
}

TEST(Leadership, WorkersLostInAnOutageThatPromisesCanBridge) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  l.PromiseGranted("c", 12);
  EXPECT_TRUE(l.MayActAsLeader(16));
  EXPECT_EQ(l.state(), LeaderState::kLeadingByPromises);
  // The right to lead ends with the earliest of the promises.
  EXPECT_FALSE(l.MayActAsLeader(11 + kPromise));
}

TEST(Leadership, TwoLeadersBecauseOnePeerHasNotPromised) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  EXPECT_FALSE(l.MayActAsLeader(13));
}

TEST(Leadership, TwoLeadersBecauseAPromiseArrivesAfterExpiry) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.MayActAsLeader(13));
  l.PromiseGranted("b", 12);
  l.PromiseGranted("c", 12);
  EXPECT_FALSE(l.MayActAsLeader(13));
}

TEST(Leadership, ControllerCampaignsInSpiteOfItsPromise) {
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.PeerDoesNotLead("a");
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.OnPromiseRequested(/*store_fails=*/true, 20));
  EXPECT_FALSE(l.MayCampaign(20 + kPromise));
  EXPECT_TRUE(l.MayCampaign(20 + kPromise * (1 + 2 * kMaxClockDriftRate)));
}

TEST(Leadership, RestartedControllerDoesNotKnowOfItsPromise) {
  // The controller promised just before it crashed. The new process can't know
  // this, so it waits until the longest promise has expired, unless no other
  // controller leads and could rely on the promise.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 30);
  EXPECT_FALSE(l.MayCampaign(31));
  l.PeerDoesNotLead("a");
  EXPECT_FALSE(l.MayCampaign(31));
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.MayCampaign(31));
  Leadership alone({"a", "c"}, kLease, kPromise, 0, 30);
  EXPECT_TRUE(alone.MayCampaign(30 + kPromise * (1 + 2 * kMaxClockDriftRate)));
}

TEST(Leadership, LeaderAloneCutOffFromTheStoreLeadsForEver) {
  // A controller that reaches the key-value store refuses to promise. The right
  // of the leader then expires, and a controller that can write takes over.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  EXPECT_FALSE(l.OnPromiseRequested(/*store_fails=*/false, 20));
}

TEST(Leadership, PromiseGivenWhileItsOwnCampaignMaySucceed) {
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.OnCampaignStarted(0);
  EXPECT_FALSE(l.OnPromiseRequested(/*store_fails=*/true, 20));
}

TEST(Leadership, CampaignThatBeganEarlierReplacesTheKeyOfTheWinner) {
  // The campaign began when there was no leader key. While its lease was being
  // created, another controller won, and the watch delivered its key. The
  // precondition of the write must still be that there is no key.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.OnCampaignStarted(0);
  EXPECT_EQ(l.seen(), 0U);
  EXPECT_THROW(l.OnCampaignStarted(620), IllegalTransition);
  EXPECT_EQ(l.seen(), 0U);
}

TEST(Leadership, ExpiredLeaderNeverLeadsAgain) {
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

// --- Renewing workers' leases without leading.

constexpr double kDelegation = 1.5;

Leadership Started(Time now) {
  return Leadership({"b", "c"}, kLease, kPromise, kDelegation, now);
}

TEST(DelegatedLease,
     AllWorkersLostThoughTheFirstOneIsBackBeforeTheirLeaseEnds) {
  // After all controllers have ended, the first one to start can't learn from
  // the others that none relies on a promise of its earlier process. So it must
  // not lead yet: it takes the key, renews workers' leases, and becomes the
  // leader once the others have answered.
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

TEST(DelegatedLease, RenewsWorkersAfterTheLeaseOfItsKeyHasExpired) {
  Leadership l = Started(30);
  l.OnCampaignStarted(0);
  l.OnElected(42, 7, 30.5, /*leads=*/false);
  EXPECT_FALSE(l.MayRenewWorkerLeases(30.5 + kLease));
  EXPECT_EQ(l.state(), LeaderState::kExpired);
}

TEST(DelegatedLease, RenewsWorkersWithoutThePromisesOfAllPeers) {
  Leadership l = Started(30);
  l.StartDelegationRequest(31);
  l.DelegationGranted("b", 31);
  EXPECT_FALSE(l.MayRenewWorkerLeases(31.1));
  l.DelegationGranted("c", 31);
  EXPECT_TRUE(l.MayRenewWorkerLeases(31.1));
  EXPECT_FALSE(l.MayRenewWorkerLeases(31 + kDelegation));
}

TEST(DelegatedLease, PromisesFromBeforeItHeldTheKeyStillCount) {
  // A controller that has learnt that this one holds the key no longer honours
  // its promise to it.
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

TEST(DelegatedLease, ControllerThatPromisedRestartsAtOnceAndCampaigns) {
  // The new process asks the others whether they rely on a promise that it may
  // have given. A delegate answers so from its request on, since the answer to
  // the request may still be in flight.
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

TEST(DelegatedLease,
     LeaderTakesItsOwnKeyAgainWhileADelegateReliesOnItsPromise) {
  // Between two processes of a controller that led there may have been a third
  // one that did not lead and gave a promise.
  Leadership back = Started(31);
  back.SetPeerRole("b", LeaderRole::kRenewsByPromises);
  EXPECT_FALSE(back.ForgottenDelegationsExpired(31.2));
  EXPECT_TRUE(back.ForgottenDelegationsExpired(
      31 + kDelegation * (1 + 2 * kMaxClockDriftRate)));
  Leadership told = Started(31);
  told.SetPeerRole("b", LeaderRole::kLeads);
  EXPECT_FALSE(told.ForgottenDelegationsExpired(40));
}

TEST(DelegatedLease, ControllerCampaignsInSpiteOfItsPromiseToADelegate) {
  Leadership l = Started(0);
  EXPECT_TRUE(l.OnDelegationPromiseRequested("b", "process-1", 3,
                                             /*store_fails=*/true, 20));
  EXPECT_FALSE(l.MayCampaign(20.1));
  EXPECT_FALSE(l.MayTakeFreeKey(20.1));
  l.DelegationReleased("b", "process-1", 3);
  EXPECT_TRUE(l.MayCampaign(20.1));
}

TEST(DelegatedLease, DelayedReleaseEndsALaterPromise) {
  Leadership l = Started(0);
  EXPECT_TRUE(l.OnDelegationPromiseRequested("b", "process-1", 5,
                                             /*store_fails=*/true, 20));
  l.DelegationReleased("b", "process-1", 4);
  EXPECT_FALSE(l.MayCampaign(20.1));
  // From an earlier process, whose request numbers were higher.
  l.DelegationReleased("b", "process-0", 50);
  EXPECT_FALSE(l.MayCampaign(20.1));
}

TEST(DelegatedLease, ControllerThatReachesTheStorePromisesADelegate) {
  Leadership l = Started(0);
  EXPECT_FALSE(l.OnDelegationPromiseRequested("b", "process-1", 1,
                                              /*store_fails=*/false, 20));
  l.OnCampaignStarted(0);
  EXPECT_FALSE(l.OnDelegationPromiseRequested("b", "process-1", 2,
                                              /*store_fails=*/true, 20));
}

}  // namespace
}  // namespace oxbow
