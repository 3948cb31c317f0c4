// The leader's writes on their way, by themselves: what an answer means, and
// what waits for it.

#include "core/store_writes/write_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oxbow {
namespace {

class Writes : public testing::Test {
 public:
  Writes() { settings_.store.txn_ops = 4; }

  // Changes keys of a machine, as many as the test wants.
  class Operation : public StoreOperation {
   public:
    Operation(Writes& test, std::string name)
        : StoreOperation(std::move(name)), test_(test) {}
    std::string_view kind() const override { return "test"; }
    BuildResult Build(CompareAndSwap* txn) const override {
      return test_.Build(name(), txn);
    }
    void OnRecorded(uint64_t revision, Time /*now*/) override {
      test_.done_.emplace_back(name(), revision);
    }

   private:
    Writes& test_;
  };

  BuildResult Build(const std::string& name, CompareAndSwap* txn) const {
    if (already_so_.contains(name)) return BuildResult::kNothingToDo;
    for (int i = 0; i < conditions_each_; ++i) {
      txn->preconditions.push_back({keys::Of(keys::kMachine, name), 0});
    }
    if (creates_) {
      txn->preconditions.push_back({keys::Of(keys::kMachine, name + "0"), 0});
    }
    for (int i = 0; i < changes_each_; ++i) {
      txn->mutations.push_back(
          {keys::Of(keys::kMachine, name + std::to_string(i)), {}});
    }
    return BuildResult::kAdded;
  }

  void Ask(const std::string& name,
           WritePriority priority = WritePriority::kUrgent) {
    queue_.Enqueue(std::make_unique<Operation>(*this, name), priority);
  }
  template <typename What>
  What Last() const {
    EXPECT_FALSE(actions_.empty());
    return std::get<What>(actions_.back());
  }

  Settings settings_;
  std::vector<Action> actions_;
  std::set<std::string> already_so_;
  int changes_each_ = 1;
  int conditions_each_ = 0;
  bool creates_ = false;
  std::vector<std::pair<std::string, uint64_t>> done_;
  WriteQueue queue_{settings_, {{std::string(keys::kLeader), 77}}, actions_};
};

TEST_F(Writes, EachTransactionIsConditionedOnTheLeaderKey) {
  Ask("a");
  queue_.Flush(0);
  const auto txn = Last<CompareAndSwap>();
  EXPECT_EQ(txn.preconditions.back().key, keys::kLeader);
  EXPECT_EQ(txn.preconditions.back().mod_revision, 77U);
}

// Sent again under a new condition at once, an unanswered write that is applied
// late would be followed by one that knows nothing of it.
TEST_F(Writes, AnUnansweredOneIsReadBeforeAnythingElse) {
  Ask("a");
  queue_.Flush(0);
  const auto txn = Last<CompareAndSwap>();
  Ask("b");
  EXPECT_TRUE(queue_.OnAnswer(txn.id, WriteOutcome::kUnknown, 0, {}, 1));
  const auto read = Last<ReadKeys>();
  EXPECT_EQ(read.keys,
            std::vector<std::string>{keys::Of(keys::kMachine, "a0")});
  queue_.Flush(2);
  EXPECT_EQ(queue_.phase(), WritePhase::kReading);
  EXPECT_EQ(actions_.size(), 2U);
  // The read fails: it is read again, under another number.
  queue_.OnRead(read.id, false, 3);
  const auto again = Last<ReadKeys>();
  EXPECT_NE(again.id, read.id);
  queue_.OnRead(read.id, true, 3);  // too late to count
  EXPECT_EQ(queue_.phase(), WritePhase::kReading);
  // It had been applied: done, by what was read, without a revision of its own.
  already_so_.insert("a");
  queue_.OnRead(again.id, true, 4);
  EXPECT_EQ(done_, (std::vector<std::pair<std::string, uint64_t>>{{"a", 0}}));
  EXPECT_EQ(Last<CompareAndSwap>().mutations[0].key,
            keys::Of(keys::kMachine, "b0"));
}

// That a key is not there holds again once it is deleted: the unanswered write
// would be carried out then, were it not for the fence.
TEST_F(Writes, AnUnansweredCreationIsFencedBeforeItIsRead) {
  const auto fence = [](int number) {
    return Precondition{keys::Of(keys::kFence, "77/" + std::to_string(number)),
                        0};
  };
  const auto rests_on = [](const CompareAndSwap& txn, const Precondition& on) {
    return std::any_of(txn.preconditions.begin(), txn.preconditions.end(),
                       [&](const Precondition& precondition) {
                         return precondition.key == on.key &&
                                precondition.mod_revision == 0;
                       });
  };
  creates_ = true;
  Ask("a");
  queue_.Flush(0);
  const auto first = Last<CompareAndSwap>();
  EXPECT_TRUE(rests_on(first, fence(0)));
  EXPECT_TRUE(queue_.OnAnswer(first.id, WriteOutcome::kUnknown, 0, {}, 1));
  // The fence is refused, then not answered; the third finds that it stands.
  auto second = Last<CompareAndSwap>();
  EXPECT_EQ(second.mutations.at(0).key, fence(0).key);
  EXPECT_TRUE(rests_on(second, fence(0)));
  EXPECT_TRUE(queue_.OnAnswer(second.id, WriteOutcome::kNotExecuted, 0, {}, 1));
  const size_t before = actions_.size();
  queue_.Flush(1);
  EXPECT_EQ(actions_.size(), before);  // not at once
  queue_.Flush(1 + settings_.workers.heartbeat_interval_seconds);
  second = Last<CompareAndSwap>();
  EXPECT_TRUE(queue_.OnAnswer(second.id, WriteOutcome::kUnknown, 0, {}, 9));
  const auto third = Last<CompareAndSwap>();
  EXPECT_EQ(third.mutations.at(0).key, fence(0).key);
  EXPECT_NE(third.id, second.id);
  EXPECT_TRUE(
      queue_.OnAnswer(third.id, WriteOutcome::kConflict, 0, {fence(0).key}, 9));
  const auto read = Last<ReadKeys>();
  EXPECT_EQ(read.keys,
            std::vector<std::string>{keys::Of(keys::kMachine, "a0")});
  queue_.OnRead(read.id, true, 9);
  EXPECT_TRUE(rests_on(Last<CompareAndSwap>(), fence(1)));
  EXPECT_EQ(queue_.phase(), WritePhase::kWriting);
}

TEST_F(Writes, AFenceThatMissesTheLeaderKeyEndsTheLeadership) {
  creates_ = true;
  Ask("a");
  queue_.Flush(0);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id, WriteOutcome::kUnknown,
                              0, {}, 1));
  EXPECT_FALSE(queue_.OnAnswer(Last<CompareAndSwap>().id,
                               WriteOutcome::kConflict, 0,
                               {std::string(keys::kLeader)}, 1));
}

TEST_F(Writes, ALateAnswerToAnEarlierOneIsNoNews) {
  Ask("a");
  queue_.Flush(0);
  const auto first = Last<CompareAndSwap>();
  EXPECT_TRUE(queue_.OnAnswer(first.id, WriteOutcome::kNotExecuted, 0, {}, 0));
  queue_.Flush(1);
  EXPECT_TRUE(queue_.OnAnswer(first.id, WriteOutcome::kApplied, 90, {}, 1));
  EXPECT_TRUE(done_.empty());
  EXPECT_EQ(queue_.phase(), WritePhase::kWriting);
}

TEST_F(Writes, WhenTheLeaderKeyHasChangedTheLeadershipIsOver) {
  Ask("a");
  queue_.Flush(0);
  const uint64_t id = Last<CompareAndSwap>().id;
  EXPECT_FALSE(queue_.OnAnswer(id, WriteOutcome::kConflict, 0,
                               {std::string(keys::kLeader)}, 1));
}

TEST_F(Writes, AConflictOfAnotherKeyIsAReasonToRead) {
  Ask("a");
  queue_.Flush(0);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id,
                              WriteOutcome::kConflict, 0,
                              {keys::Of(keys::kMachine, "a0")}, 1));
  EXPECT_EQ(queue_.phase(), WritePhase::kReading);
}

TEST_F(Writes, GoInPiecesThatFitTheUrgentFirst) {
  changes_each_ = 2;
  Ask("lazy", WritePriority::kBackground);
  for (const char* name : {"a", "b", "c"}) Ask(name);
  Ask("a");  // waits already
  EXPECT_EQ(queue_.waiting(), 4U);
  queue_.Flush(0);
  EXPECT_EQ(Last<CompareAndSwap>().mutations.size(), 4U);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id, WriteOutcome::kApplied,
                              80, {}, 1));
  EXPECT_EQ(done_.size(), 2U);
  const auto rest = Last<CompareAndSwap>();
  EXPECT_EQ(rest.mutations[0].key, keys::Of(keys::kMachine, "c0"));
  EXPECT_EQ(rest.mutations[2].key, keys::Of(keys::kMachine, "lazy0"));
  // One that is larger than the limit goes alone rather than never.
  changes_each_ = 9;
  Ask("large");
  EXPECT_TRUE(queue_.OnAnswer(rest.id, WriteOutcome::kApplied, 81, {}, 2));
  EXPECT_EQ(Last<CompareAndSwap>().mutations.size(), 9U);
}

// A lazy one that was put back waits among the urgent ones.
TEST_F(Writes, WhatWaitsIsNotQueuedASecondTime) {
  Ask("a", WritePriority::kBackground);
  queue_.Flush(0);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id,
                              WriteOutcome::kNotExecuted, 0, {}, 0));
  Ask("a", WritePriority::kBackground);
  EXPECT_EQ(queue_.waiting(), 1U);
}

// As it is, the same transaction would be refused for ever.
TEST_F(Writes, WhatIsRefusedForItsSizeIsSplitAndHoldsUpNothing) {
  for (const char* name : {"a", "b", "large", "c"}) Ask(name);
  queue_.Flush(0);
  int sent = 0;
  // Refuses whatever holds the large one, until nothing is sent any more.
  for (; queue_.phase() == WritePhase::kWriting; ++sent) {
    ASSERT_LT(sent, 20);
    const auto txn = Last<CompareAndSwap>();
    const bool large = std::any_of(
        txn.mutations.begin(), txn.mutations.end(), [](const Mutation& change) {
          return change.key == keys::Of(keys::kMachine, "large0");
        });
    EXPECT_TRUE(queue_.OnAnswer(
        txn.id, large ? WriteOutcome::kRefused : WriteOutcome::kApplied, 80, {},
        1));
  }
  EXPECT_EQ(done_.size(), 3U);
  EXPECT_EQ(queue_.refused_for_size(), 1U);
  Ask("large");  // waits already
  queue_.Flush(2);
  EXPECT_EQ(queue_.phase(), WritePhase::kIdle);
  queue_.Flush(2 + settings_.workers.lease_seconds);
  EXPECT_EQ(queue_.phase(), WritePhase::kWriting);
}

TEST_F(Writes, HoldNoMoreConditionsThanATransactionTakes) {
  conditions_each_ = 4;
  for (const char* name : {"a", "b", "c", "d"}) Ask(name);
  queue_.Flush(0);
  // Four times `txn_ops`, the leader key and the fence among them.
  EXPECT_EQ(Last<CompareAndSwap>().mutations.size(), 3U);
}

}  // namespace
}  // namespace oxbow
