#include "core/placement/placement.h"

#include <gtest/gtest.h>

#include "core/autoscaler/capacity_planning.h"
#include "core/lease/fencing_token_source.h"

namespace oxbow {
namespace {

TEST(LeastCongested, ScalesFetchTimesBetweenWAndZero) {
  const std::vector<double> fetch_seconds = {0, 5, 10};
  EXPECT_EQ(LeastCongestedScores(fetch_seconds, 2),
            (std::vector<double>{2, 1, 0}));
}

TEST(LeastCongested, GivesEveryMachineWWhenAllAreEqual) {
  const std::vector<double> fetch_seconds = {3, 3};
  EXPECT_EQ(LeastCongestedScores(fetch_seconds, 1),
            (std::vector<double>{1, 1}));
  EXPECT_TRUE(LeastCongestedScores({}, 1).empty());
}

TEST(Images, QueuedBytesCountAsNotToFetch) {
  Machine machine("n-1", {"small", "a", false, "x", 0, 0}, 0, 1);
  EXPECT_EQ(machine.GbToFetch("img", 3), 3);
  machine.QueueImage("img", 3, 10);
  EXPECT_EQ(machine.GbToFetch("img", 3), 0);
  EXPECT_FALSE(machine.HasImage("img"));
  machine.MarkImageCached("img", 3, 16);
  EXPECT_TRUE(machine.HasImage("img"));
  EXPECT_DOUBLE_EQ(machine.bandwidth, 0.5);  // 3 GB in 6 s
}

TEST(Images, TheOldestLeavesAFullCache) {
  MachineType type;
  type.cache_gb = 5;
  Machine machine("n-1", {"small", "a", false, "x", 0, 0}, 0, 1);
  machine.type = &type;
  machine.MarkImageCached("one", 3, 1);
  machine.MarkImageCached("two", 2, 2);
  machine.MarkImageCached("one", 3, 3);  // used again
  machine.MarkImageCached("three", 2, 4);
  EXPECT_TRUE(machine.HasImage("one"));
  EXPECT_FALSE(machine.HasImage("two"));
  EXPECT_TRUE(machine.HasImage("three"));
  machine.MarkImageCached("huge", 50,
                          5);  // larger than the cache: it alone is there
  EXPECT_FALSE(machine.HasImage("one"));
}

TEST(Rules, SpreadTakesHalfRoundedUp) {
  EXPECT_EQ(SpreadLimit(5), 3);
  EXPECT_EQ(SpreadLimit(1), 1);
  EXPECT_EQ(SpreadLimit(4), 2);
}

TEST(Numbers, NeverReachTheNextLeadersRange) {
  // A number beyond the range would be one that the next leader gives too.
  FencingTokenSource numbers(7);
  uint64_t last = 0;
  while (const auto number = numbers.Next()) {
    ASSERT_GT(*number, FirstFencingToken(7));
    ASSERT_LT(*number, FirstFencingToken(8));
    ASSERT_GT(*number, last);
    last = *number;
  }
  EXPECT_EQ(last, FirstFencingToken(8) - 1);
}

TEST(States, IllegalChangesAreCaught) {
  Machine machine("n-1", {"small", "a", false, "", 0, 0}, 0, 1);
  EXPECT_THROW(machine.Change(MachineState::kDraining), IllegalTransition);
  JobRecord record;
  auto spec = std::make_shared<JobSpec>();
  spec->tasks = 1;
  record.spec = spec;
  Job job(record, -1, 0, 0);
  job.ChangeTask(0, TaskState::kStarting);
  job.ChangeTask(0, TaskState::kDone);
  EXPECT_THROW(job.ChangeTask(0, TaskState::kRunning), IllegalTransition);
  EXPECT_THROW(job.Change(JobState::kAccepted), IllegalTransition);
}

TEST(ScaleOut, FillsExistingCapacityFirstAndPrefersTheCheapestPool) {
  std::map<std::string, MachineType> types;
  types["small"] = {"small", {4, 0, 16}, 10, 1, 1.0, 0.4, 5, {"a"}};
  types["gpu"] = {"gpu", {4, 4, 16}, 10, 1, 9.0, 3.0, 5, {"a"}};
  JobSpec spec;
  spec.tasks = 6;
  spec.need = {1, 0, 1};
  ScaleOutInput input;
  input.types = &types;
  input.capacity = {{{"small", "a", false}, {2, 0, 16}}};
  input.demand = {{&spec, 6, {}}};
  input.max_new_machines = 10;
  const auto scale_out = PlanScaleOut(input);
  ASSERT_EQ(scale_out.size(), 1U);
  EXPECT_EQ(scale_out.begin()->first, (MachinePool{"small", "a", false}));
  EXPECT_EQ(scale_out.begin()->second, 1);
}

}  // namespace
}  // namespace oxbow
