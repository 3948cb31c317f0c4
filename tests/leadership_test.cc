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
  l.SeekStarted(0);
  l.Won(42, 7, now);
  return l;
}

TEST(Leadership, TwoLeadersBecauseTheLeaseCountsFromTheAnswer) {
  // The renewal was sent at 10 and answered at 12: the service may count from
  // any moment in between, so the holder counts from 10, less the drift.
  Leadership l = ActiveLeader(8);
  l.RenewGranted(10);
  EXPECT_TRUE(l.Valid(10 + kLease * (1 - kDrift) - 0.001));
  EXPECT_FALSE(l.Valid(10 + kLease));
}

TEST(Leadership, TwoLeadersBecauseALapsedOneActsAgain) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.Valid(13));
  l.RenewGranted(13);  // an answer that was on its way
  EXPECT_FALSE(l.Valid(13.1));
  EXPECT_EQ(l.state(), LeaderState::kExpired);
}

TEST(Leadership, WorkersLostInAnOutageTheOthersCanBridge) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  l.PromiseGranted("c", 12);
  EXPECT_TRUE(l.Valid(16));
  EXPECT_EQ(l.state(), LeaderState::kLeadingByPromises);
  // It ends with the earliest of the promises.
  EXPECT_FALSE(l.Valid(11 + kPromise));
}

TEST(Leadership, TwoLeadersBecauseOnePeerHasNotPromised) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  EXPECT_FALSE(l.Valid(13));
}

TEST(Leadership, TwoLeadersBecauseAPromiseComesAfterTheLapse) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.Valid(13));
  l.PromiseGranted("b", 12);
  l.PromiseGranted("c", 12);
  EXPECT_FALSE(l.Valid(13));
}

TEST(Leadership, PromiserSeeksAlthoughItPromised) {
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.PeerDoesNotLead("a");
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.AskedToPromise(/*state_fails=*/true, 20));
  EXPECT_FALSE(l.MaySeek(20 + kPromise));
  EXPECT_TRUE(l.MaySeek(20 + kPromise * (1 + 2 * kDrift)));
}

TEST(Leadership, RestartedPromiserForgetsItsPromise) {
  // It promised just before it crashed. The new process can't know, so it
  // waits the longest promise out, unless nobody leads who could rely on it.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 30);
  EXPECT_FALSE(l.MaySeek(31));
  l.PeerDoesNotLead("a");
  EXPECT_FALSE(l.MaySeek(31));
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.MaySeek(31));
  Leadership alone({"a", "c"}, kLease, kPromise, 0, 30);
  EXPECT_TRUE(alone.MaySeek(30 + kPromise * (1 + 2 * kDrift)));
}

TEST(Leadership, LeaderCutOffAloneFromTheStateServiceLeadsOnForEver) {
  // The promiser reaches the service: it refuses, the leader lapses, and
  // somebody who can record takes over.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  EXPECT_FALSE(l.AskedToPromise(/*state_fails=*/false, 20));
}

TEST(Leadership, PromiseGivenWhileItsOwnSearchMaySucceed) {
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.SeekStarted(0);
  EXPECT_FALSE(l.AskedToPromise(/*state_fails=*/true, 20));
}

TEST(Leadership, WinnerIsOverthrownByASearchBegunBeforeItWon) {
  // The search began on a key that was gone; while its lease was being made
  // another controller won, and the watch said so. The write must still be
  // conditioned on the key that was gone.
  Leadership l({"a", "c"}, kLease, kPromise, 0, 0);
  l.SeekStarted(0);
  EXPECT_EQ(l.seen(), 0U);
  EXPECT_THROW(l.SeekStarted(620), IllegalTransition);
  EXPECT_EQ(l.seen(), 0U);
}

TEST(Leadership, LapsedLeaderNeverLeadsAgain) {
  Leadership l = ActiveLeader(10);
  EXPECT_FALSE(l.Valid(13));
  EXPECT_FALSE(l.MaySeek(100));
  l.Retire();
  EXPECT_TRUE(l.MaySeek(100));
}

TEST(Leadership, OldPromisesCarryIntoANewLeadership) {
  Leadership l = ActiveLeader(10);
  l.PromiseGranted("b", 11);
  l.PromiseGranted("c", 11);
  l.Lost();
  l.Retire();
  l.SeekStarted(0);
  l.Won(50, 8, 12);
  EXPECT_FALSE(l.Valid(12 + kLease));
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
  EXPECT_FALSE(l.MaySeek(30.5));
  EXPECT_TRUE(l.MayTakeKey(30.5));
  l.SeekStarted(0);
  l.Won(42, 7, 30.5, /*leads=*/false);
  EXPECT_FALSE(l.Valid(30.6));
  EXPECT_TRUE(l.MayRenew(30.6));
  l.PeerDoesNotLead("b");
  EXPECT_FALSE(l.Promote(31));
  l.PeerDoesNotLead("c");
  EXPECT_TRUE(l.Promote(31));
  EXPECT_TRUE(l.Valid(31));
}

TEST(DelegatedLease, KeepsOnBeyondItsLease) {
  Leadership l = Started(30);
  l.SeekStarted(0);
  l.Won(42, 7, 30.5, /*leads=*/false);
  EXPECT_FALSE(l.MayRenew(30.5 + kLease));
  EXPECT_EQ(l.state(), LeaderState::kExpired);
}

TEST(DelegatedLease, TendsWithoutEverybodysPromise) {
  Leadership l = Started(30);
  l.DelegationAsked(31);
  l.DelegationGranted("b", 31);
  EXPECT_FALSE(l.MayRenew(31.1));
  l.DelegationGranted("c", 31);
  EXPECT_TRUE(l.MayRenew(31.1));
  EXPECT_FALSE(l.MayRenew(31 + kDelegation));
}

TEST(DelegatedLease, PromisesLeftOverFromBeforeItHeldTheKey) {
  // Whoever was told that it holds the key counts with none of them.
  Leadership l = Started(30);
  l.DelegationAsked(31);
  l.DelegationGranted("b", 31);
  l.DelegationGranted("c", 31);
  l.SeekStarted(0);
  l.Won(42, 7, 31.1, /*leads=*/false);
  l.Lost();
  l.Retire();
  EXPECT_FALSE(l.MayRenew(31.2));
  l.DelegationGranted("b", 31);  // late
  l.DelegationGranted("c", 31);
  EXPECT_FALSE(l.MayRenew(31.2));
}

TEST(DelegatedLease, PromiserIsBackWithinAFractionOfASecond) {
  // It asks who relies on what it may have promised. A delegate by promises
  // says so from its question on: the answer may still be under way.
  Leadership delegate = Started(0);
  delegate.DelegationAsked(31);
  EXPECT_EQ(delegate.Role(31.2), LeaderRole::kRenewsByPromises);
  Leadership back = Started(31.1);
  back.PeerIs("b", delegate.Role(31.2));
  back.PeerIs("c", LeaderRole::kNone);
  EXPECT_FALSE(back.MaySeek(31.3));
  EXPECT_TRUE(back.MaySeek(31.1 + kDelegation * (1 + 2 * kDrift)));
  EXPECT_EQ(delegate.Role(31 + kDelegation), LeaderRole::kNone);
}

TEST(DelegatedLease, LeaderTakesItsOwnKeyAgainWhileADelegateRestsOnItsPromise) {
  // Between two lives it led in, one that only started may have promised.
  Leadership back = Started(31);
  back.PeerIs("b", LeaderRole::kRenewsByPromises);
  EXPECT_FALSE(back.OwnProven(31.2));
  EXPECT_TRUE(back.OwnProven(31 + kDelegation * (1 + 2 * kDrift)));
  Leadership told = Started(31);
  told.PeerIs("b", LeaderRole::kLeads);
  EXPECT_FALSE(told.OwnProven(40));
}

TEST(DelegatedLease, SeeksAlthoughItPromisedADelegate) {
  Leadership l = Started(0);
  EXPECT_TRUE(l.AskedToDelegate("b", "life-1", 3, /*state_fails=*/true, 20));
  EXPECT_FALSE(l.MaySeek(20.1));
  EXPECT_FALSE(l.MayTakeKey(20.1));
  l.DelegationReleased("b", "life-1", 3);
  EXPECT_TRUE(l.MaySeek(20.1));
}

TEST(DelegatedLease, ReleaseThatWasHeldBackFreesALaterPromise) {
  Leadership l = Started(0);
  EXPECT_TRUE(l.AskedToDelegate("b", "life-1", 5, /*state_fails=*/true, 20));
  l.DelegationReleased("b", "life-1", 4);
  EXPECT_FALSE(l.MaySeek(20.1));
  // Of a former life, which had counted further.
  l.DelegationReleased("b", "life-0", 50);
  EXPECT_FALSE(l.MaySeek(20.1));
}

TEST(DelegatedLease, OneThatReachesTheStateServicePromisesADelegate) {
  Leadership l = Started(0);
  EXPECT_FALSE(l.AskedToDelegate("b", "life-1", 1, /*state_fails=*/false, 20));
  l.SeekStarted(0);
  EXPECT_FALSE(l.AskedToDelegate("b", "life-1", 2, /*state_fails=*/true, 20));
}

}  // namespace
}  // namespace oxbow
