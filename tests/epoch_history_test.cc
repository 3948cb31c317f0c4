// What may be concluded from the age of a store epoch.

#include "app/recovery/epoch_history.h"

#include <gtest/gtest.h>

#include <algorithm>

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
  EXPECT_EQ(history.OnEpochObserved(EpochOf(3, 0), 1, 1000), kFirstEpoch);
  EXPECT_EQ(history.OnEpochObserved(EpochOf(3, 0), 2, 1001), kNone);
  EXPECT_EQ(history.OnEpochObserved(EpochOf(4, 0), 3, 1002), kLaterEpoch);
  EXPECT_EQ(history.first_epoch(), 3U);
}

TEST(EpochHistory, RemembersWhetherTheEpochBeforeWasComplete) {
  EpochHistory history(kLeaseSeconds);
  StoreEpoch incomplete = EpochOf(1, 0);
  incomplete.whole = false;
  history.OnEpochObserved(incomplete, 1, 1000);
  history.OnEpochDetails(incomplete, 1);
  EXPECT_TRUE(history.WasCompleteBefore());
  history.OnEpochObserved(EpochOf(2, 0), 2, 1001);
  EXPECT_FALSE(history.WasCompleteBefore());
}

TEST(EpochHistory, AYoungFirstEpochWaitsALeaseForTheWorkers) {
  EpochHistory history(kLeaseSeconds);
  const StoreEpoch young = EpochOf(1, 999);
  history.OnEpochObserved(young, 1, 1000);
  history.OnEpochDetails(young, 1);
  EXPECT_FALSE(history.AllWorkersHaveReported(young, 1 + kLeaseSeconds));
  EXPECT_TRUE(history.AllWorkersHaveReported(young, 1.1 + kLeaseSeconds));
  EpochHistory restarted(kLeaseSeconds);
  restarted.OnEpochObserved(young, 1, 999 + kLeaseSeconds);
  EXPECT_TRUE(restarted.AllWorkersHaveReported(young, 1));
}

TEST(EpochHistory, AnIncompleteEpochMayBeKnownElsewhereForSevenLeases) {
  EpochHistory history(kLeaseSeconds);
  StoreEpoch epoch = EpochOf(2, 0);
  epoch.whole = false;
  epoch.rebuilt = false;
  history.OnEpochObserved(epoch, 10, 1000);
  history.OnEpochDetails(epoch, 10);
  EXPECT_FALSE(history.AllWorkersHaveReported(epoch, 1000));
  EXPECT_TRUE(history.MayBeKnownElsewhere(epoch, 1000));
  epoch.rebuilt = true;
  history.OnEpochDetails(epoch, 20);
  EXPECT_FALSE(history.AllWorkersHaveReported(epoch, 20 + 2 * kLeaseSeconds));
  EXPECT_TRUE(history.AllWorkersHaveReported(epoch, 20.1 + 2 * kLeaseSeconds));
  EXPECT_TRUE(history.MayBeKnownElsewhere(epoch, 20 + 7 * kLeaseSeconds));
  EXPECT_FALSE(history.MayBeKnownElsewhere(epoch, 20.1 + 7 * kLeaseSeconds));
}

// Guards against questions that stay unanswered for longer than the rule allows
// at the leases of the deployments: 75 s, or 7.5 shorter leases. Not before a
// lease is over, in which a worker may still show a task of the job.
TEST(EpochHistory, UnknownIdsAreDeniedWithinTheRuleAtEveryLease) {
  constexpr double kRuleSeconds = 75;
  constexpr double kRuleLeases = 7.5;
  constexpr double kOpened = 10;
  constexpr double kRebuildLeases = 0.2;
  for (const double lease : {2.0, 8.0, 22.0, 45.0}) {
    SCOPED_TRACE(lease);
    const double rebuilt = kOpened + kRebuildLeases * lease;
    EpochHistory history(lease);
    StoreEpoch epoch = EpochOf(2, 0);
    epoch.whole = false;
    epoch.rebuilt = false;
    history.OnEpochObserved(epoch, kOpened, 1000);
    history.OnEpochDetails(epoch, kOpened);
    EXPECT_TRUE(history.MayBeKnownElsewhere(epoch, kOpened + 1000));
    epoch.rebuilt = true;
    history.OnEpochDetails(epoch, rebuilt);
    EXPECT_FALSE(history.AllWorkersHaveReported(epoch, rebuilt + lease));
    EXPECT_TRUE(history.MayBeKnownElsewhere(epoch, rebuilt + lease));
    const double end = kOpened + std::min(kRuleSeconds, kRuleLeases * lease);
    EXPECT_TRUE(history.AllWorkersHaveReported(epoch, end));
    EXPECT_FALSE(history.MayBeKnownElsewhere(epoch, end));
  }
}

}  // namespace
}  // namespace oxbow::app
