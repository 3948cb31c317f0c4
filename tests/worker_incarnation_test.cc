// WorkerIncarnation: until when the leader must assume that a worker's tasks
// may still run, and which messages of the worker are new.

#include "core/model/worker_incarnation.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

constexpr double kLease = 10;  // seconds

TEST(WorkerIncarnation, CountsFromWhenItWasFirstShown) {
  WorkerIncarnation incarnation;
  incarnation.Change(IncarnationEvent::kFailover, 0, 100);
  EXPECT_TRUE(incarnation.Change(IncarnationEvent::kShown, 3, 106));
  EXPECT_GE(incarnation.MayLiveUntil(kLease), 106 + kLease);
  // A second message of the same incarnation extends nothing. Only an answer to
  // one of its heartbeats does.
  EXPECT_FALSE(incarnation.Change(IncarnationEvent::kShown, 3, 109));
  EXPECT_LT(incarnation.MayLiveUntil(kLease), 107 + kLease);
  incarnation.Change(IncarnationEvent::kAnswered, 0, 109);
  EXPECT_GE(incarnation.MayLiveUntil(kLease), 109 + kLease);
}

TEST(WorkerIncarnation, NeverCountsBackwards) {
  WorkerIncarnation incarnation;
  incarnation.Change(IncarnationEvent::kAnswered, 0, 109);
  incarnation.Change(IncarnationEvent::kShown, 2, 104);
  EXPECT_GE(incarnation.MayLiveUntil(kLease), 109 + kLease);
}

// The protocol allows two steady clocks to differ by 0.05 %. If the worker's
// clock is slow and the leader's is fast, the worker's lease lasts longer than
// its nominal time on the leader's clock.
TEST(WorkerIncarnation, LastsLongerThanASlowWorkersLease) {
  constexpr double kMaxClockDrift = 0.0005;
  constexpr double kLongLease = 600;
  WorkerIncarnation incarnation;
  incarnation.Change(IncarnationEvent::kShown, 1, 0);
  const double lease_on_leader_clock = kLongLease * (1 + kMaxClockDrift);
  EXPECT_GT(incarnation.MayLiveUntil(kLongLease), lease_on_leader_clock);
}

TEST(WorkerIncarnation, OnceOverOnlyALaterOneIsNews) {
  WorkerIncarnation incarnation;
  EXPECT_TRUE(incarnation.MayBeCurrent(1));
  incarnation.Change(IncarnationEvent::kShown, 4, 100);
  EXPECT_TRUE(incarnation.alive());
  EXPECT_TRUE(incarnation.MayBeCurrent(4));
  EXPECT_FALSE(incarnation.MayBeCurrent(3));
  incarnation.Change(IncarnationEvent::kExpire, 0, 111);
  EXPECT_FALSE(incarnation.alive());
  EXPECT_FALSE(incarnation.MayBeCurrent(4));
  EXPECT_TRUE(incarnation.Change(IncarnationEvent::kShown, 5, 112));
  EXPECT_TRUE(incarnation.alive());
}

}  // namespace
}  // namespace oxbow
