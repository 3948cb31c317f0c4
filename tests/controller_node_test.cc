// Tests of the responses that users get from a whole controller on loopback.

#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <memory>
#include <string>

#include "tests/controller_node_fixture.h"

namespace oxbow::test {
namespace {

using net::Task;

std::string Text(const rapidjson::Document& doc) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  doc.Accept(writer);
  return buffer.GetString();
}

TEST_F(WholeNode, AnswersUsersAsTheProtocolSays) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    EXPECT_EQ(co_await t->Status("POST", jobs, "{"), 400);
    EXPECT_EQ(co_await t->Status("POST", jobs, "[]"), 400);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-1")), 400);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001", "x")),
              422);
    EXPECT_EQ(co_await t->Status("GET", jobs, ""), 405);
    EXPECT_EQ(co_await t->Status("GET", "/nowhere", ""), 404);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 404);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 200);
    // The job is known already, so the new content is not checked.
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001", "x")),
              200);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 200);
    EXPECT_NE(t->last_body_.find("pending"), std::string::npos);
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000001/cancel"),
              200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000009/cancel"),
              404);
  }(this));
}

// The key-value store lowers the size of the values that it accepts, without
// notice.
TEST_F(WholeNode, WhatTheStateServiceFindsTooLargeIsNotTriedForEver) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    std::string large = JobJson("job-000002");
    large.replace(large.find(R"("i")"), 3,
                  "\"" + std::string(1500, 'i') + "\"");
    EXPECT_EQ(co_await t->Status("POST", jobs, large), 201);
    t->state_.most_value = 1000;
    large.replace(large.find("job-000002"), 10, "job-000003");
    EXPECT_EQ(co_await t->Status("POST", jobs, large), 400);
    // A job that is recorded already and is larger than the new limit can still
    // be cancelled, and doesn't hold up other jobs.
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000002/cancel"),
              200);
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000001/cancel"),
              200);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000002", ""), 200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
  }(this));
}

// A job that lacks a field or that fits no machine is refused and is unknown
// afterwards. Repeated submissions, and cancellations of a job that has ended,
// change nothing.
TEST_F(WholeNode, OddRequestsAreRefusedAndChangeNothing) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    rapidjson::Document whole;
    whole.Parse(JobJson("job-000001").c_str());
    for (auto member = whole.MemberBegin(); member < whole.MemberEnd();
         ++member) {
      rapidjson::Document lacking;
      lacking.CopyFrom(whole, lacking.GetAllocator());
      lacking.RemoveMember(member->name.GetString());
      EXPECT_EQ(co_await t->Status("POST", jobs, Text(lacking)), 400)
          << "without " << member->name.GetString();
    }
    const auto changed = [&](const char* field, double value) {
      rapidjson::Document other;
      other.CopyFrom(whole, other.GetAllocator());
      other[field].SetDouble(value);
      return Text(other);
    };
    EXPECT_EQ(co_await t->Status("POST", jobs, changed("cores", 9)), 422);
    EXPECT_EQ(co_await t->Status("POST", jobs, changed("accelerators", 1)),
              422);
    EXPECT_EQ(co_await t->Status("POST", jobs, changed("memory_gb", 65)), 422);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 404);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000001/cancel"),
              200);
    for (int i = 0; i < 3; ++i) {
      EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000001/cancel"),
                200);
      EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
      EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 200);
      EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
    }
  }(this));
}

TEST_F(WholeNode, IsHonestWhileTheStateServiceIsDown) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    co_await t->AskWithRetries("POST", jobs + "/job-000001/cancel");
    t->state_.down = true;
    const double asked = t->loop_.Now();
    // A job that can't be recorded is not accepted. The user is told so at
    // once, with the time after which to retry.
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000002")), 503);
    EXPECT_GT(t->last_retry_, 0);
    EXPECT_LT(t->loop_.Now() - asked, 1);
    // A job is reported as not found only after a fresh read of the store.
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000003", ""), 503);
    // The terminal state of a job is reported without the store.
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 200);
    t->state_.down = false;
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000002")), 201);
  }(this));
}

TEST_F(WholeNode, AcceptsAJobThatWaitsForOthersThatWereAccepted) {
  RunToEnd(loop_, [](WholeNode* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    for (const char* malformed :
         {R"("job-000001")", R"(["job-1"])", R"(["job-000002"])", "[3]",
          R"(["job-000001","job-000001"])"}) {
      EXPECT_EQ(co_await t->Status("POST", jobs,
                                   WaitingJson("job-000002", malformed)),
                400);
      EXPECT_NE(t->last_body_.find("waits_on"), std::string::npos);
    }
    const std::string first = WaitingJson("job-000002", R"(["job-000001"])");
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs, first), 422);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    EXPECT_EQ(co_await t->Status("POST", jobs, first), 201);
    EXPECT_EQ(co_await t->Status("POST", jobs, first), 200);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000002")), 200);
    EXPECT_EQ(t->state_.Value("ob/live/j/job-000002"), "");
    EXPECT_NE(t->state_.Value("ob/live/w/job-000002"), "");
    // A job may also wait for a job that is itself waiting.
    const std::string last = WaitingJson("job-000003", R"(["job-000002"])");
    EXPECT_EQ(co_await t->Status("POST", jobs, last), 201);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000003", ""), 200);
    EXPECT_NE(t->last_body_.find("pending"), std::string::npos);
    t->state_.down = true;
    const std::string later = WaitingJson("job-000004", R"(["job-000009"])");
    EXPECT_EQ(co_await t->Status("POST", jobs, later), 503);
    t->state_.down = false;
    // The list has more job ids than fit in a record.
    std::string names = R"(["job-000001")";
    for (int i = 0; i < 700; ++i) {
      names += R"(,"job-100)" + std::to_string(1000 + i) + "\"";
    }
    EXPECT_EQ(co_await t->Status("POST", jobs,
                                 WaitingJson("job-000005", names + "]")),
              400);
    // A cancellation also cancels all jobs that wait for the cancelled job, and
    // each job that names it later.
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000002/cancel"),
              200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
    const std::string late = WaitingJson("job-000006", R"(["job-000002"])");
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs, late), 201);
    for (const char* id : {"job-000003", "job-000006"}) {
      for (int i = 0; i < 100; ++i) {
        co_await t->AskWithRetries("GET", jobs + "/" + id);
        if (t->last_body_.find("aborted") != std::string::npos) break;
        co_await t->loop_.Sleep(0.05);
      }
      EXPECT_NE(t->last_body_.find("aborted"), std::string::npos) << id;
    }
    EXPECT_EQ(co_await t->Status("POST", jobs, last), 200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
  }(this));
}

// A controller whose only peer has not recorded its version.
class NodeBesideAnOldOne : public WholeNode {
 public:
  NodeBesideAnOldOne()
      : WholeNode({}, {{"old", "a", Local(FreePort()).ToString()}}) {}
};

TEST_F(NodeBesideAnOldOne, AcceptsNoJobThatWaitsUntilAllKnowThem) {
  RunToEnd(loop_, [](NodeBesideAnOldOne* t) -> Task<void> {
    co_await t->UntilReady();
    const std::string jobs = "/v2/runs";
    const std::string chain = WaitingJson("job-000002", R"(["job-000001"])");
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs, JobJson("job-000001")),
              201);
    for (int i = 0; i < 100; ++i) {
      if (!t->state_.Value("ob/live/v/a").empty()) break;
      co_await t->loop_.Sleep(0.05);
    }
    EXPECT_NE(t->state_.Value("ob/live/v/a"), "");
    EXPECT_EQ(co_await t->Status("POST", jobs, chain), 503);
    EXPECT_GT(t->last_retry_, 0);
    EXPECT_EQ(t->state_.Value("ob/live/w/job-000002"), "");
    EXPECT_EQ(t->state_.Value("ob/live/j/job-000002"), "");
    // The peer restarts with the new version.
    t->state_.Put("ob/live/v/old", R"({"version":2})");
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs, chain), 201);
    EXPECT_NE(t->state_.Value("ob/live/w/job-000002"), "");
    EXPECT_NE(t->state_.Value("ob/live/v/*"), "");
  }(this));
}

// Two controllers, of which the second never reaches the key-value store.
// Requests go to the second one.
class CutOffNode : public WholeNode {
 public:
  CutOffNode() {
    cut_off_ = settings_;
    cut_off_.node = "b";
    cut_off_.listen = Local(FreePort()).ToString();
    cut_off_.peer_listen = Local(FreePort()).ToString();
    cut_off_.store_address = Local(FreePort()).ToString();
    cut_off_.peers = {{"a", "a", settings_.peer_listen}};
    cut_off_.nodes = 2;
    other_ = std::make_unique<app::ControllerNode>(loop_, cut_off_, tuning_);
    other_->Start();
    net::Address address;
    net::ParseAddress(cut_off_.listen, &address);
    near_ = std::move(client_);
    client_ = std::make_unique<net::HttpClient>(loop_, address, 100'000);
  }

  Task<void> UntilBothAreUp() {
    for (int i = 0; i < 300; ++i) {
      const auto r = co_await near_->Request("GET", "/ready", "", 1);
      if (r.ok() && other_->Types() != nullptr) co_return;
      co_await loop_.Sleep(0.02);
    }
    ADD_FAILURE() << "never up";
  }

  Settings cut_off_;
  std::unique_ptr<app::ControllerNode> other_;
  std::unique_ptr<net::HttpClient> near_;
};

TEST_F(CutOffNode, RelaysToOneThatReachesTheStateService) {
  RunToEnd(loop_, [](CutOffNode* t) -> Task<void> {
    co_await t->UntilBothAreUp();
    const std::string jobs = "/v2/runs";
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 201);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 200);
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000001")), 200);
    // The id is denied only because the other controller has read the store
    // afresh.
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000002", ""), 404);
    EXPECT_EQ(co_await t->AskWithRetries("POST", jobs + "/job-000001/cancel"),
              200);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000001", ""), 200);
    EXPECT_NE(t->last_body_.find("aborted"), std::string::npos);
    // When neither controller reaches the store, the user is told so at once.
    t->state_.down = true;
    const double asked = t->loop_.Now();
    EXPECT_EQ(co_await t->Status("POST", jobs, JobJson("job-000003")), 503);
    EXPECT_EQ(co_await t->Status("GET", jobs + "/job-000004", ""), 503);
    EXPECT_LT(t->loop_.Now() - asked, 1);
  }(this));
}

}  // namespace
}  // namespace oxbow::test
