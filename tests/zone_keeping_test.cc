// Each test names the failure that it prevents.

#include "core/lease/zone_keeping.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

// A lease of 10 s, a cancellation has 40: the right lasts 29.5 s.
Settings Deployment() {
  Settings s;
  s.peers = {{"b", "z", ""}, {"c", "y", ""}};
  return s;
}

ZoneKeeper Ready(Time now) {
  ZoneKeeper keeper(Deployment().workers);
  keeper.RecordedAnew(now, now);
  keeper.Granted(now);
  return keeper;
}

TEST(ZoneKeeping, TasksOutliveTheTimeThatACancellationHas) {
  WorkerSettings w;
  EXPECT_DOUBLE_EQ(ZoneRight(w) + w.lease_s + ZoneMargin(w), w.cancel_s);
  w.cancel_s = w.lease_s;
  EXPECT_EQ(ZoneRight(w), 0);
}

TEST(ZoneKeeping, KeepsBeyondTheRight) {
  ZoneKeeper keeper = Ready(0);
  EXPECT_TRUE(keeper.Keep(29));
  EXPECT_FALSE(keeper.Keep(29.5));
}

TEST(ZoneKeeping, KeepsWhatANewLeaderWasToldItMayNot) {
  // The record ended, a new leader found none, and it is written again: what
  // the old leader granted is void.
  ZoneKeeper keeper = Ready(0);
  keeper.RecordedAnew(5, 5.1);
  EXPECT_FALSE(keeper.Keep(6));
  keeper.Granted(5);  // asked before
  EXPECT_FALSE(keeper.Keep(6));
  keeper.Granted(5.2);
  EXPECT_TRUE(keeper.Keep(6));
}

TEST(ZoneKeeping, KeepsAlthoughItStandsBack) {
  ZoneKeeper keeper = Ready(0);
  EXPECT_TRUE(keeper.AskedToStandBack(1));
  EXPECT_FALSE(keeper.Keep(1.9));
  EXPECT_TRUE(keeper.Keep(2.1));
  EXPECT_FALSE(keeper.AskedToStandBack(2.5));  // it has just kept
  EXPECT_NEAR(keeper.KeptAgo(2.5), 0.4, 1e-9);
}

TEST(ZoneKeeping, SessionIsOverWhileItsKeeperIsOutOfReach) {
  ZoneRights rights(Deployment(), 100, std::set<std::string>{"b"});
  EXPECT_TRUE(rights.MayBeKept("z", 139));
  // The right, and a lease after it.
  EXPECT_FALSE(rights.MayBeKept("z", 100 + 29.5 + 10.2));
  // Nobody's record is there for the other zone.
  EXPECT_FALSE(rights.MayBeKept("y", 110.2));
}

TEST(ZoneKeeping, WhatIsNotKnownIsTakenForARight) {
  ZoneRights rights(Deployment(), 100, std::nullopt);
  EXPECT_TRUE(rights.MayBeKept("y", 139));
}

TEST(ZoneKeeping, DeadMachinesWaitForTheWholeRight) {
  // One that can be asked stands back, and has not kept for a lease.
  ZoneRights rights(Deployment(), 100, std::set<std::string>{"b"});
  rights.Grant("b", "life", 50, 150);
  rights.StoodBack("b", "life", 60, -1, 160, 160.1);
  EXPECT_FALSE(rights.MayBeKept("z", 160.5));
  EXPECT_TRUE(rights.MayBeKept("z", 161.1));  // its word is over
  rights.StoodBack("b", "life", 62, 3, 162, 162.1);
  EXPECT_TRUE(rights.MayBeKept("z", 162.5));  // kept three seconds ago
}

TEST(ZoneKeeping, StartedAgainItHasForgottenThatItStoodBack) {
  ZoneRights rights(Deployment(), 100, std::set<std::string>{});
  rights.Grant("b", "one", 50, 150);
  rights.StoodBack("b", "one", 60, -1, 160, 160.1);
  rights.Grant("b", "two", 0.1, 160.3);
  EXPECT_TRUE(rights.MayBeKept("z", 160.5));
  // The word of its former life was held back on the way.
  rights.StoodBack("b", "one", 60, -1, 160.2, 160.6);
  EXPECT_TRUE(rights.MayBeKept("z", 160.7));
  // The new life has not kept; the former may have, until just before it.
  rights.StoodBack("b", "two", 0.5, -1, 160.6, 160.7);
  EXPECT_TRUE(rights.MayBeKept("z", 160.8));
  rights.StoodBack("b", "two", 12, -1, 172, 172.1);
  EXPECT_FALSE(rights.MayBeKept("z", 172.2));
}

TEST(ZoneKeeping, RecordReadBeforeAGrantEndsIt) {
  ZoneRights rights(Deployment(), 100, std::set<std::string>{"b"});
  rights.Grant("b", "life", 50, 150);
  rights.RecordsRead({}, 149.9, 150.1);
  EXPECT_TRUE(rights.MayBeKept("z", 165));
  rights.RecordsRead({}, 151, 151.1);
  EXPECT_TRUE(rights.MayBeKept("z", 161));
  EXPECT_FALSE(rights.MayBeKept("z", 161.3));
}

}  // namespace
}  // namespace oxbow
