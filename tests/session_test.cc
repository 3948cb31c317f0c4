// How long the leader takes a worker's tasks for possibly there.

#include "core/model/session.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

constexpr double kLease = 10;

TEST(Session, CountsFromWhenItWasFirstShown) {
  Session session;
  session.Change(SessionEvent::kTakeover, 0, 100);
  EXPECT_TRUE(session.Change(SessionEvent::kShown, 3, 106));
  EXPECT_GE(session.MayLiveUntil(kLease), 106 + kLease);
  // Shown again it is no newer, and what renews it is an answer to a report.
  EXPECT_FALSE(session.Change(SessionEvent::kShown, 3, 109));
  EXPECT_LT(session.MayLiveUntil(kLease), 107 + kLease);
  session.Change(SessionEvent::kAnswered, 0, 109);
  EXPECT_GE(session.MayLiveUntil(kLease), 109 + kLease);
}

TEST(Session, NeverCountsBackwards) {
  Session session;
  session.Change(SessionEvent::kAnswered, 0, 109);
  session.Change(SessionEvent::kShown, 2, 104);
  EXPECT_GE(session.MayLiveUntil(kLease), 109 + kLease);
}

// The protocol allows two steady clocks to differ by 0.05 %: the worker's may
// be slow and the leader's fast at the same time.
TEST(Session, LastsLongerThanASlowWorkersLease) {
  constexpr double kApart = 0.0005;
  constexpr double kLong = 600;
  Session session;
  session.Change(SessionEvent::kShown, 1, 0);
  const double by_leader = kLong * (1 + kApart);
  EXPECT_GT(session.MayLiveUntil(kLong), by_leader);
}

TEST(Session, OnceOverOnlyALaterOneIsNews) {
  Session session;
  EXPECT_TRUE(session.MayBeNews(1));
  session.Change(SessionEvent::kShown, 4, 100);
  EXPECT_TRUE(session.alive());
  EXPECT_TRUE(session.MayBeNews(4));
  EXPECT_FALSE(session.MayBeNews(3));
  session.Change(SessionEvent::kRanOut, 0, 111);
  EXPECT_FALSE(session.alive());
  EXPECT_FALSE(session.MayBeNews(4));
  EXPECT_TRUE(session.Change(SessionEvent::kShown, 5, 112));
  EXPECT_TRUE(session.alive());
}

}  // namespace
}  // namespace oxbow
