// Fair queueing and queue positions when there is more work than capacity: no
// job starves.

#include "core/fair_queueing/fair_queueing.h"

#include <gtest/gtest.h>

#include <map>

#include "core/scheduler/queue_ranking.h"

namespace oxbow::test {
namespace {

TEST(FairQueueing, EachSideGetsItsShareOfTheWork) {
  FairQueueing queueing(0.25, 1e9);
  double minimum_share = 0;
  double all = 0;
  for (int i = 0; i < 400; ++i) {
    const bool first = queueing.MinimumShareFirst("c", 100);
    const double work = first ? 8 : 1;  // those of the minimum share are larger
    queueing.RecordPlaced(
        "c", first ? QueueOrder::kMinimumShare : QueueOrder::kLeastWorkFirst,
        work, 100);
    minimum_share += first ? work : 0;
    all += work;
  }
  EXPECT_NEAR(minimum_share / all, 0.25, 0.05);
}

TEST(FairQueueing, WhatWasLongAgoIsForgotten) {
  FairQueueing queueing(0.5, 10);
  queueing.RecordPlaced("c", QueueOrder::kMinimumShare, 1000, 0);
  EXPECT_FALSE(queueing.MinimumShareFirst("c", 1));
  queueing.RecordPlaced("c", QueueOrder::kLeastWorkFirst, 1, 200);
  EXPECT_TRUE(queueing.MinimumShareFirst("c", 200));
  EXPECT_TRUE(queueing.MinimumShareFirst("another", 200));
}

TEST(JobSizeTracker, NoneIsTheLargestOfOneSize) {
  JobSizeTracker sizes;
  sizes.OnJobAdded("c", 8);
  EXPECT_FALSE(sizes.IsLargest("c", 8));
  sizes.OnJobAdded("c", 1);
  EXPECT_TRUE(sizes.IsLargest("c", 8));
  EXPECT_FALSE(sizes.IsLargest("c", 4));
}

class QueueRankingTest : public ::testing::Test {
 protected:
  QueueRankingTest() {
    tuning_.begin_within_seconds = 240;
    settings_.objectives = {{"wait", "train", 80, 0.9, 0},
                            {"finished", "train", 350, 0.9, 0},
                            {"deadline", "sync", 0, 0.8, 1.0}};
  }
  Job Waiting(const char* id, JobKind kind, uint32_t tasks, Time submitted) {
    auto spec = std::make_shared<JobSpec>();
    spec->id = id;
    spec->kind = kind;
    spec->job_class = kind == JobKind::kGang ? "train" : "sync";
    spec->tasks = tasks;
    spec->need = {8, 0, 1};
    spec->estimate_seconds = 100;
    if (kind == JobKind::kArray) spec->deadline_seconds = 60;
    return {JobRecord{spec, 0, TerminalState::kNone, 1}, -1, submitted,
            submitted};
  }
  Settings settings_;
  Tuning tuning_;
};

// A gang of the largest size behind a stream of small ones, of which there is
// always one that is quicker.
TEST_F(QueueRankingTest, TheLargestGangGetsItsTurnAmongSmallOnes) {
  QueueRanking ranking(settings_, tuning_);
  const Job large = Waiting("large", JobKind::kGang, 8, 0);
  const Job small = Waiting("small", JobKind::kGang, 1, 55);
  ranking.OnJobAdded(large.spec());
  ranking.OnJobAdded(small.spec());
  EXPECT_TRUE(ranking.PositionOf(small, 100, 59)
                  .Before(ranking.PositionOf(large, 100, 59)));
  EXPECT_TRUE(ranking.PositionOf(large, 100, 61)
                  .Before(ranking.PositionOf(small, 100, 61)));
  // The minimum share has had more than its share of the work, so the quickest
  // jobs come first again.
  ranking.RecordPlaced(large, ranking.PositionOf(large, 100, 61), 61);
  EXPECT_TRUE(ranking.PositionOf(small, 100, 62)
                  .Before(ranking.PositionOf(large, 100, 62)));
}

TEST_F(QueueRankingTest, AnArrayThatHasNotBegunIsBegunOutOfTurn) {
  QueueRanking ranking(settings_, tuning_);
  const Job large = Waiting("large", JobKind::kArray, 1000, 0);
  const Job small = Waiting("small", JobKind::kArray, 10, 115);
  EXPECT_FALSE(ranking.PositionOf(large, 18, 119)
                   .Before(ranking.PositionOf(small, 18, 119)));
  const QueuePosition position = ranking.PositionOf(large, 18, 121);
  EXPECT_TRUE(position.Before(ranking.PositionOf(small, 18, 121)));
  EXPECT_TRUE(position.by_minimum_share);
  EXPECT_EQ(QueueRanking::MinimumShareOf(large.spec()), 21u);
}

TEST_F(QueueRankingTest, WithoutTheRuleNothingGoesOutOfTurn) {
  tuning_.begin_within_seconds = 0;
  QueueRanking ranking(settings_, tuning_);
  const Job large = Waiting("large", JobKind::kArray, 1000, 0);
  EXPECT_FALSE(ranking.PositionOf(large, 18, 1000).by_minimum_share);
}

}  // namespace
}  // namespace oxbow::test
