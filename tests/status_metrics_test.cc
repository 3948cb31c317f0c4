#include "app/status_metrics.h"

#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include "tests/controller_node_fixture.h"
#include "wire/json.h"

namespace oxbow::test {
namespace {

uint64_t CountOf(const app::StatusMetrics& metrics, WithheldReason reason) {
  return metrics.withheld().at(static_cast<size_t>(reason));
}

TEST(StatusMetrics, CountsByReasonAndTimesTheOldestJobUntilItIsAnswered) {
  app::StatusMetrics metrics(/*log_interval_seconds=*/1000);
  EXPECT_EQ(metrics.OldestWithheldSeconds(10), 0);
  metrics.OnWithheld("one", WithheldReason::kBeyondStoreShare, 10);
  metrics.OnWithheld("one", WithheldReason::kTimedOut, 15);
  metrics.OnWithheld("other", WithheldReason::kTimedOut, 20);
  EXPECT_EQ(CountOf(metrics, WithheldReason::kBeyondStoreShare), 1U);
  EXPECT_EQ(CountOf(metrics, WithheldReason::kTimedOut), 2U);
  EXPECT_EQ(metrics.OldestWithheldSeconds(30), 20);
  metrics.OnAnswered("one");
  EXPECT_EQ(metrics.answered(), 1U);
  EXPECT_EQ(metrics.OldestWithheldSeconds(30), 10);
}

class WithheldStatusOfNode : public WholeNode {};

TEST_F(WithheldStatusOfNode, IsShownWithItsReason) {
  RunToEnd(loop_, [](WithheldStatusOfNode* node) -> net::Task<void> {
    co_await node->UntilReady();
    node->state_.down = true;
    EXPECT_EQ(co_await node->Status("GET", "/v2/runs/job-000001", ""), 503);
    EXPECT_EQ(co_await node->Status("GET", "/v2/leader", ""), 200);
    rapidjson::Document counters;
    EXPECT_TRUE(json::Parse(node->last_body_, &counters));
    const auto* withheld = json::Find(counters, "withheld");
    EXPECT_NE(withheld, nullptr);
    if (withheld == nullptr) co_return;
    EXPECT_EQ(json::GetUint(*withheld, "read_failed") +
                  json::GetUint(*withheld, "store_unreachable"),
              1U);
  }(this));
}

}  // namespace
}  // namespace oxbow::test
