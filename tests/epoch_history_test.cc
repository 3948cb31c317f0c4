// What may be concluded from the age of a store epoch.

#include "app/recovery/epoch_history.h"

#include <gtest/gtest.h>

namespace oxbow::app {
namespace {

constexpr double kLeaseSeconds = 6;

StoreEpoch EpochOf(uint64_t number, double opened_wall) {
  StoreEpoch epoch;
  epoch.number = number;
  epoch.opened_wall = opened_wall;
  return epoch;
}

TEST(EpochHistory, AnEpochIsAChangeOnceAndTheFirstIsKept) {
  EpochHistory history(kLeaseSeconds);
  using enum EpochHistory::Change;
  EXPECT_EQ(history.OnNumber(EpochOf(3, 0), 1, 1000), kFirstEpoch);
  EXPECT_EQ(history.OnNumber(EpochOf(3, 0), 2, 1001), kNone);
  EXPECT_EQ(history.OnNumber(EpochOf(4, 0), 3, 1002), kLaterEpoch);
  EXPECT_EQ(history.first_epoch(), 3U);
}

TEST(EpochHistory, RemembersWhetherTheEpochBeforeWasComplete) {
  EpochHistory history(kLeaseSeconds);
  StoreEpoch incomplete = EpochOf(1, 0);
  incomplete.whole = false;
  history.OnNumber(incomplete, 1, 1000);
  history.OnFacts(incomplete, 1);
  EXPECT_TRUE(history.WasCompleteBefore());
  history.OnNumber(EpochOf(2, 0), 2, 1001);
  EXPECT_FALSE(history.WasCompleteBefore());
}

TEST(EpochHistory, AYoungFirstEpochWaitsALeaseForTheWorkers) {
  EpochHistory history(kLeaseSeconds);
  const StoreEpoch young = EpochOf(1, 999);
  history.OnNumber(young, 1, 1000);
  history.OnFacts(young, 1);
  EXPECT_FALSE(history.AllWorkersHaveReported(young, 1 + kLeaseSeconds));
  EXPECT_TRUE(history.AllWorkersHaveReported(young, 1.1 + kLeaseSeconds));
  EpochHistory restarted(kLeaseSeconds);
  restarted.OnNumber(young, 1, 999 + kLeaseSeconds);
  EXPECT_TRUE(restarted.AllWorkersHaveReported(young, 1));
}

TEST(EpochHistory, AnIncompleteEpochMayBeKnownElsewhereForSevenLeases) {
  EpochHistory history(kLeaseSeconds);
  StoreEpoch epoch = EpochOf(2, 0);
  epoch.whole = false;
  epoch.rebuilt = false;
  history.OnNumber(epoch, 10, 1000);
  history.OnFacts(epoch, 10);
  EXPECT_FALSE(history.AllWorkersHaveReported(epoch, 1000));
  EXPECT_TRUE(history.MayBeKnownElsewhere(epoch, 1000));
  epoch.rebuilt = true;
  history.OnFacts(epoch, 20);
  EXPECT_FALSE(history.AllWorkersHaveReported(epoch, 20 + 2 * kLeaseSeconds));
  EXPECT_TRUE(history.AllWorkersHaveReported(epoch, 20.1 + 2 * kLeaseSeconds));
  EXPECT_TRUE(history.MayBeKnownElsewhere(epoch, 20 + 7 * kLeaseSeconds));
  EXPECT_FALSE(history.MayBeKnownElsewhere(epoch, 20.1 + 7 * kLeaseSeconds));
}

}  // namespace
}  // namespace oxbow::app
