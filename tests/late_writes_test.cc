// Writes of a whole controller that get no answer and are carried out late.

#include <gtest/gtest.h>

#include <string>

#include "tests/controller_node_fixture.h"
#include "wire/tiers_json.h"

namespace oxbow::test {
namespace {

using net::Task;

// An acceptance without an answer is sent again after a few round trips, so its
// user does not wait. The first is carried out after the job has been cancelled
// and has moved to the terminal states.
TEST_F(WholeNode, AnAcceptanceCarriedOutLateRevivesNothing) {
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

// The first search for leadership is carried out when the second has won: its
// lease has ended, and the key has another stamp.
TEST_F(WholeNode, ASearchCarriedOutLateOverthrowsNobody) {
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

// An acceptance without an answer is carried out when the job has been
// cancelled: it does not wait again.
TEST_F(WholeNode, AWaitingJobAcceptedLateDoesNotWaitAgain) {
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

// With tiers and rollouts, which are off until a tuning file turns them on.
class OperatedNode : public WholeNode {
 public:
  OperatedNode() : WholeNode(Operated()) {}

 private:
  static Tuning Operated() {
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

// An operator's change without an answer is carried out when another one stands
// in its place, and again when that has been withdrawn.
TEST_F(OperatedNode, AnOperatorsChangeCarriedOutLateReplacesNothing) {
  RunToEnd(loop_, [](OperatedNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string tiers = "/v2/records/tiers";
    t->state_.HoldNext("ob/live/p/tiers");
    EXPECT_EQ(co_await t->Status("POST", tiers, TiersJson(0, "first")), 503);
    EXPECT_EQ(t->state_.HeldOnes(), 1U);
    EXPECT_LE(co_await t->Status("POST", tiers, TiersJson(0, "second")), 201);
    EXPECT_LE(
        co_await t->Status("POST", tiers, R"({"version":1,"withdrawn":true})"),
        201);
    const std::string stands = t->state_.Value("ob/live/p/tiers");
    EXPECT_NE(stands.find("second"), std::string::npos) << stands;
    EXPECT_EQ(t->state_.CarryOutHeld(), 409);
    EXPECT_EQ(t->state_.Value("ob/live/p/tiers"), stands);
  }(this));
}

// A rollout's declaration without an answer is carried out when the rollout
// has ended: it does not begin again. Nor is a wish that came late fulfilled.
TEST_F(OperatedNode, ARolloutDeclaredLateDoesNotBeginAgain) {
  RunToEnd(loop_, [](OperatedNode* t) -> Task<void> {
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
