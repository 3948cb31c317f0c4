// How long the leader takes a worker's tasks for possibly there.

#include "core/model/worker_incarnation.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

constexpr double kLease = 10;

TEST(WorkerIncarnation, CountsFromWhenItWasFirstShown) {
  WorkerIncarnation incarnation;
  incarnation.Change(IncarnationEvent::kFailover, 0, 100);
  EXPECT_TRUE(incarnation.Change(IncarnationEvent::kShown, 3, 106));
  EXPECT_GE(incarnation.MayLiveUntil(kLease), 106 + kLease);
  // Shown again it is no newer, and what renews it is an answer to a report.
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

// The protocol allows two steady clocks to differ by 0.05 %: the worker's may
// be slow and the leader's fast at the same time.
TEST(WorkerIncarnation, LastsLongerThanASlowWorkersLease) {
  constexpr double kApart = 0.0005;
  constexpr double kLong = 600;
  WorkerIncarnation incarnation;
  incarnation.Change(IncarnationEvent::kShown, 1, 0);
  const double by_leader = kLong * (1 + kApart);
  EXPECT_GT(incarnation.MayLiveUntil(kLong), by_leader);
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
