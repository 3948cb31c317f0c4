// Tests a complete controller against a key-value store that applies a write
// late, after the controller has got no response to it. Such a write must not
// undo what was written since.

#include <gtest/gtest.h>

#include <string>

#include "tests/controller_node_fixture.h"
#include "wire/tiers_json.h"

namespace oxbow::test {
namespace {

using net::Task;

// The write that creates a job gets no response and is repeated after a few
// round trips, so that the user does not have to wait. The first write is
// applied after the job has been cancelled and moved to the terminal records.
TEST_F(WholeNode, ALateJobCreationDoesNotRestoreTheJob) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    const std::string one = jobs + "/job-000001";
    t->state_.HoldNext("ob/live/j/job-000001");
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 200);
    EXPECT_EQ(co_await t->AskWithRetries("POST", one + "/cancel"), 200);
    for (int i = 0; i < 100; ++i) {
      if (!t->state_.Value("ob/final/job-000001").empty()) break;
      co_await t->loop_.Sleep(0.05);
    }
    EXPECT_EQ(t->state_.Value("ob/live/j/job-000001"), "");
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    EXPECT_EQ(t->state_.CarryOutHeld(), 409);
    EXPECT_EQ(t->state_.Value("ob/live/j/job-000001"), "");
    EXPECT_EQ(co_await t->Status("GET", one, ""), 200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
  }(this));
}

// The first write of the leader key is applied after a second one has won the
// election: the lease of the first one has ended, and the mod revision of the
// key has changed.
TEST_F(WholeNode, ALateLeaderKeyWriteDoesNotReplaceTheLeader) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    t->state_.HoldNext("ob/live/leader");
    for (int i = 0; i < 400 && t->state_.Value("ob/live/leader").empty(); ++i) {
      co_await t->loop_.Sleep(0.02);
    }
    const std::string leader = t->state_.Value("ob/live/leader");
    EXPECT_NE(leader, "");
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    const int status = t->state_.CarryOutHeld();
    EXPECT_TRUE(status == 400 || status == 409) << status;
    EXPECT_EQ(t->state_.Value("ob/live/leader"), leader);
    co_await t->UntilReady();
    EXPECT_EQ(co_await t->Status("POST", "/v2/runs", JobJson("job-000001")),
              201);
  }(this));
}

// The write that creates a waiting job gets no response and is applied after
// the job has been cancelled. The job must not wait again.
TEST_F(WholeNode, ALateWaitingJobCreationDoesNotMakeTheJobWaitAgain) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    const std::string chain = WaitingJson("job-000002", R"(["job-000001"])");
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    t->state_.HoldNext("ob/live/w/job-000002");
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs, chain), 201);
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000002/cancel"),
              200);
    EXPECT_EQ(t->state_.CarryOutHeld(), 409);
    EXPECT_EQ(t->state_.Value("ob/live/w/job-000002"), "");
    EXPECT_NE(t->state_.Value("ob/final/job-000002"), "");
  }(this));
}

// A controller with priority tiers and rollouts, which are off by default.
class NodeWithTiersAndRollouts : public WholeNode {
 public:
  NodeWithTiersAndRollouts() : WholeNode(TiersAndRollouts()) {}

 private:
  static Tuning TiersAndRollouts() {
    Tuning tuning;
    tuning.tiers = 1;
    tuning.rollouts_at_once = 1;
    return tuning;
  }
};

std::string TiersJson(int version, const std::string& name) {
  Tier tier;
  tier.name = name;
  tier.rank = 1;
  tier.match.classes = {"d"};
  return R"({"version":)" + std::to_string(version) + R"(,"author":")" + name +
         R"(","text":)" + wire::WriteTiers({tier}) + "}";
}

// The write of an operator record gets no response. It is applied after the
// record has been written again and then withdrawn, and must not replace it.
TEST_F(NodeWithTiersAndRollouts, ALateOperatorRecordWriteReplacesNothing) {
  RunToEnd(loop_, [](NodeWithTiersAndRollouts* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string tiers = "/v2/records/tiers";
    t->state_.HoldNext("ob/live/p/tiers");
    EXPECT_EQ(co_await t->Status("POST", tiers, TiersJson(0, "first")), 503);
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    EXPECT_LE(co_await t->Status("POST", tiers, TiersJson(0, "second")), 201);
    EXPECT_LE(
        co_await t->Status("POST", tiers, R"({"version":1,"withdrawn":true})"),
        201);
    const std::string current = t->state_.Value("ob/live/p/tiers");
    EXPECT_NE(current.find("second"), std::string::npos) << current;
    EXPECT_EQ(t->state_.CarryOutHeld(), 409);
    EXPECT_EQ(t->state_.Value("ob/live/p/tiers"), current);
  }(this));
}

// The write that declares a rollout gets no response and is applied after the
// rollout has ended. The rollout must not begin again. The same holds for a
// request to pause the rollout.
TEST_F(NodeWithTiersAndRollouts,
       ALateRolloutDeclarationDoesNotBeginTheRolloutAgain) {
  RunToEnd(loop_, [](NodeWithTiersAndRollouts* t) -> Task<void> {
    co_await t->UntilReady();
    std::string service = JobJson("job-000001");
    service.replace(service.find("batch"), 5, "service");
    EXPECT_EQ(co_await t->Status("POST", "/v2/runs", service), 201);
    const std::string rollouts = "/v2/rollouts";
    const std::string one = rollouts + "/ro-1";
    const std::string spec =
        R"({"id":"ro-1","from":"job-000001","to":"job-000002","floor":0,
        "surge":1,"check":{"port":8080,"path":"/health"}})";
    t->state_.HoldNext("ob/live/o/ro-1");
    EXPECT_EQ(co_await t->Status("POST", rollouts, spec), 503);
    EXPECT_EQ(co_await t->Status("POST", rollouts, spec), 201);
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    t->state_.HoldNext("ob/live/o/ro-1");
    co_await t->Status("POST", one + "/pause", "");
    EXPECT_EQ(t->state_.HeldOnes(), 2U);
    co_await t->AskWithRetries("POST", one + "/abort");
    for (int i = 0; i < 200; ++i) {
      if (!t->state_.Value("ob/ended/o/ro-1").empty()) break;
      co_await t->loop_.Sleep(0.05);
    }
    EXPECT_EQ(t->state_.Value("ob/live/o/ro-1"), "");
    EXPECT_EQ(t->state_.CarryOutHeld(), 409);
    EXPECT_EQ(t->state_.CarryOutHeld(), 409);
    EXPECT_EQ(t->state_.Value("ob/live/o/ro-1"), "");
    EXPECT_EQ(t->state_.Value("ob/live/j/job-000002"), "");
  }(this));
}

}  // namespace
}  // namespace oxbow::test
