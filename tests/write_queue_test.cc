// Unit tests of WriteQueue: how it batches operations, and how it handles each
// outcome of a transaction.

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

class WriteQueueTest : public testing::Test {
 public:
  WriteQueueTest() { settings_.store.txn_ops = 4; }

  // An operation that changes `mutations_each_` keys.
  class Operation : public StoreOperation {
   public:
    Operation(WriteQueueTest& test, std::string name)
        : StoreOperation(std::move(name)), test_(test) {}
    std::string_view kind() const override { return "test"; }
    BuildResult Build(CompareAndSwap* txn) const override {
      return test_.Build(name(), txn);
    }
    void OnRecorded(uint64_t revision, Time /*now*/) override {
      test_.done_.emplace_back(name(), revision);
    }

   private:
    WriteQueueTest& test_;
  };

  BuildResult Build(const std::string& name, CompareAndSwap* txn) const {
    if (already_recorded_.contains(name)) return BuildResult::kNothingToDo;
    for (int i = 0; i < preconditions_each_; ++i) {
      txn->preconditions.push_back({keys::Of(keys::kMachine, name), 0});
    }
    if (creates_) {
      txn->preconditions.push_back({keys::Of(keys::kMachine, name + "0"), 0});
    }
    for (int i = 0; i < mutations_each_; ++i) {
      txn->mutations.push_back(
          {keys::Of(keys::kMachine, name + std::to_string(i)), {}});
    }
    return BuildResult::kAdded;
  }

  void EnqueueOperation(const std::string& name,
                        WritePriority priority = WritePriority::kUrgent) {
    queue_.Enqueue(std::make_unique<Operation>(*this, name), priority);
  }
  // The last action, which must be an ActionType.
  template <typename ActionType>
  ActionType Last() const {
    EXPECT_FALSE(actions_.empty());
    return std::get<ActionType>(actions_.back());
  }

  Settings settings_;
  std::vector<Action> actions_;
  std::set<std::string> already_recorded_;
  int mutations_each_ = 1;
  int preconditions_each_ = 0;
  bool creates_ = false;
  std::vector<std::pair<std::string, uint64_t>> done_;
  WriteQueue queue_{settings_, {{std::string(keys::kLeader), 77}}, actions_};
};

TEST_F(WriteQueueTest, EachTransactionIsConditionedOnTheLeaderKey) {
  EnqueueOperation("a");
  queue_.Flush(0);
  const auto txn = Last<CompareAndSwap>();
  EXPECT_EQ(txn.preconditions.back().key, keys::kLeader);
  EXPECT_EQ(txn.preconditions.back().mod_revision, 77U);
}

// If an unanswered write were repeated at once with a new precondition, the
// first one could still be applied late, unknown to the second.
TEST_F(WriteQueueTest, KeysOfAnUnansweredTransactionAreReadFirst) {
  EnqueueOperation("a");
  queue_.Flush(0);
  const auto txn = Last<CompareAndSwap>();
  EnqueueOperation("b");
  EXPECT_TRUE(queue_.OnAnswer(txn.id, WriteOutcome::kUnknown, 0, {}, 1));
  const auto read = Last<ReadKeys>();
  EXPECT_EQ(read.keys,
            std::vector<std::string>{keys::Of(keys::kMachine, "a0")});
  queue_.Flush(2);
  EXPECT_EQ(queue_.phase(), WritePhase::kReading);
  EXPECT_EQ(actions_.size(), 2U);
  // The read fails: the keys are read again with another request ID.
  queue_.OnRead(read.id, false, 3);
  const auto again = Last<ReadKeys>();
  EXPECT_NE(again.id, read.id);
  queue_.OnRead(read.id, true, 3);  // a late response is ignored
  EXPECT_EQ(queue_.phase(), WritePhase::kReading);
  // The read shows that the write was applied: the operation is recorded, with
  // revision 0 because its own revision is unknown.
  already_recorded_.insert("a");
  queue_.OnRead(again.id, true, 4);
  EXPECT_EQ(done_, (std::vector<std::pair<std::string, uint64_t>>{{"a", 0}}));
  EXPECT_EQ(Last<CompareAndSwap>().mutations[0].key,
            keys::Of(keys::kMachine, "b0"));
}

// The precondition that a key is absent holds again once the key has been
// deleted. Without the fence, the unanswered write could be applied then.
TEST_F(WriteQueueTest, AnUnansweredCreationIsFencedBeforeItsKeysAreRead) {
  const auto fence = [](int number) {
    return Precondition{keys::Of(keys::kFence, "77/" + std::to_string(number)),
                        0};
  };
  const auto requires_that = [](const CompareAndSwap& txn,
                                const Precondition& expected) {
    return std::any_of(txn.preconditions.begin(), txn.preconditions.end(),
                       [&](const Precondition& precondition) {
                         return precondition.key == expected.key &&
                                precondition.mod_revision == 0;
                       });
  };
  creates_ = true;
  EnqueueOperation("a");
  queue_.Flush(0);
  const auto first = Last<CompareAndSwap>();
  EXPECT_TRUE(requires_that(first, fence(0)));
  EXPECT_TRUE(queue_.OnAnswer(first.id, WriteOutcome::kUnknown, 0, {}, 1));
  // The first write of the fence key is not executed, the second one is not
  // answered, and the third one finds that the key exists.
  auto second = Last<CompareAndSwap>();
  EXPECT_EQ(second.mutations.at(0).key, fence(0).key);
  EXPECT_TRUE(requires_that(second, fence(0)));
  EXPECT_TRUE(queue_.OnAnswer(second.id, WriteOutcome::kNotExecuted, 0, {}, 1));
  const size_t before = actions_.size();
  queue_.Flush(1);
  EXPECT_EQ(actions_.size(), before);  // not repeated at once
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
  EXPECT_TRUE(requires_that(Last<CompareAndSwap>(), fence(1)));
  EXPECT_EQ(queue_.phase(), WritePhase::kWriting);
}

TEST_F(WriteQueueTest, AFenceWriteThatMissesTheLeaderKeyEndsTheLeadership) {
  creates_ = true;
  EnqueueOperation("a");
  queue_.Flush(0);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id, WriteOutcome::kUnknown,
                              0, {}, 1));
  EXPECT_FALSE(queue_.OnAnswer(Last<CompareAndSwap>().id,
                               WriteOutcome::kConflict, 0,
                               {std::string(keys::kLeader)}, 1));
}

TEST_F(WriteQueueTest, ALateResponseToAnEarlierTransactionIsIgnored) {
  EnqueueOperation("a");
  queue_.Flush(0);
  const auto first = Last<CompareAndSwap>();
  EXPECT_TRUE(queue_.OnAnswer(first.id, WriteOutcome::kNotExecuted, 0, {}, 0));
  queue_.Flush(1);
  EXPECT_TRUE(queue_.OnAnswer(first.id, WriteOutcome::kApplied, 90, {}, 1));
  EXPECT_TRUE(done_.empty());
  EXPECT_EQ(queue_.phase(), WritePhase::kWriting);
}

TEST_F(WriteQueueTest, WhenTheLeaderKeyHasChangedTheLeadershipIsOver) {
  EnqueueOperation("a");
  queue_.Flush(0);
  const uint64_t id = Last<CompareAndSwap>().id;
  EXPECT_FALSE(queue_.OnAnswer(id, WriteOutcome::kConflict, 0,
                               {std::string(keys::kLeader)}, 1));
}

TEST_F(WriteQueueTest, AConflictOnAnotherKeyCausesARead) {
  EnqueueOperation("a");
  queue_.Flush(0);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id,
                              WriteOutcome::kConflict, 0,
                              {keys::Of(keys::kMachine, "a0")}, 1));
  EXPECT_EQ(queue_.phase(), WritePhase::kReading);
}

TEST_F(WriteQueueTest, SplitsOperationsToFitTheLimitsUrgentOnesFirst) {
  mutations_each_ = 2;
  EnqueueOperation("background", WritePriority::kBackground);
  for (const char* name : {"a", "b", "c"}) EnqueueOperation(name);
  EnqueueOperation("a");  // is queued already
  EXPECT_EQ(queue_.waiting(), 4U);
  queue_.Flush(0);
  EXPECT_EQ(Last<CompareAndSwap>().mutations.size(), 4U);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id, WriteOutcome::kApplied,
                              80, {}, 1));
  EXPECT_EQ(done_.size(), 2U);
  const auto rest = Last<CompareAndSwap>();
  EXPECT_EQ(rest.mutations[0].key, keys::Of(keys::kMachine, "c0"));
  EXPECT_EQ(rest.mutations[2].key, keys::Of(keys::kMachine, "background0"));
  // An operation that exceeds the limit by itself is sent alone.
  mutations_each_ = 9;
  EnqueueOperation("large");
  EXPECT_TRUE(queue_.OnAnswer(rest.id, WriteOutcome::kApplied, 81, {}, 2));
  EXPECT_EQ(Last<CompareAndSwap>().mutations.size(), 9U);
}

// A background operation that was requeued is in the urgent queue.
TEST_F(WriteQueueTest, AQueuedOperationIsNotQueuedAgain) {
  EnqueueOperation("a", WritePriority::kBackground);
  queue_.Flush(0);
  EXPECT_TRUE(queue_.OnAnswer(Last<CompareAndSwap>().id,
                              WriteOutcome::kNotExecuted, 0, {}, 0));
  EnqueueOperation("a", WritePriority::kBackground);
  EXPECT_EQ(queue_.waiting(), 1U);
}

// A transaction that was refused as too large would be refused forever if it
// were repeated unchanged.
TEST_F(WriteQueueTest, RefusedAsTooLargeIsSplitAndBlocksNoOther) {
  for (const char* name : {"a", "b", "large", "c"}) EnqueueOperation(name);
  queue_.Flush(0);
  int sent = 0;
  // Refuses every transaction that contains the large operation, until nothing
  // is sent any more.
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
  EnqueueOperation("large");  // is waiting to be retried
  queue_.Flush(2);
  EXPECT_EQ(queue_.phase(), WritePhase::kIdle);
  queue_.Flush(2 + settings_.workers.lease_seconds);
  EXPECT_EQ(queue_.phase(), WritePhase::kWriting);
}

TEST_F(WriteQueueTest, AddsNoMorePreconditionsThanTheStoreAccepts) {
  preconditions_each_ = 4;
  for (const char* name : {"a", "b", "c", "d"}) EnqueueOperation(name);
  queue_.Flush(0);
  // The limit is four times `txn_ops`, including the preconditions on the
  // leader key and the fence key.
  EXPECT_EQ(Last<CompareAndSwap>().mutations.size(), 3U);
}

}  // namespace
}  // namespace oxbow
