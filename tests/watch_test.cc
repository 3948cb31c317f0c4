// Tests how a controller catches up after it has missed thousands of changes of
// the key-value store.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "app/store_watcher.h"
#include "clients/watch_decoder.h"
#include "tests/controller_node_fixture.h"
#include "wire/json.h"

namespace oxbow::test {
namespace {

using Progress = clients::WatchDecoder::Progress;

// Changes that the store keeps for watchers, as the protocol's section
// "Controller nodes -> state" says.
constexpr size_t kKeptChanges = 10'000;

struct Decoded {
  Progress progress = Progress::kMore;
  std::vector<std::string> keys;  // keys of the decoded changes
  uint64_t revision = 0;
  size_t most_at_once = 0;
  size_t steps = 0;
};

Decoded DecodeAll(const std::string& body, size_t at_once) {
  Decoded decoded;
  clients::WatchDecoder decoder(body);
  while (decoded.progress == Progress::kMore) {
    const size_t before = decoded.keys.size();
    decoded.progress = decoder.Next(at_once, [&](const auto& change) {
      const std::string set = json::GetString(change, "set");
      decoded.keys.push_back(set.empty() ? json::GetString(change, "delete")
                                         : set);
    });
    decoded.most_at_once =
        std::max(decoded.most_at_once, decoded.keys.size() - before);
    ++decoded.steps;
  }
  decoded.revision = decoder.revision();
  return decoded;
}

TEST(WatchDecoder, FindsTheChangesWhateverStandsBesideThem) {
  const std::string body =
      R"( {"more":{"log":[{"set":"no"}],"ledger_no":1}, "log" : [)"
      R"({"set":"a","v":{"log":[{"x":"]}\"{"}]},"stamp":4} ,)"
      R"({"delete":"b","stamp":5}],"ledger_no":7,"extra":[{"set":"no"}]} )";
  const Decoded decoded = DecodeAll(body, 1);
  EXPECT_EQ(decoded.progress, Progress::kDone);
  EXPECT_EQ(decoded.revision, 7U);
  EXPECT_EQ(decoded.keys, (std::vector<std::string>{"a", "b"}));
}

TEST(WatchDecoder, TakesAnswersWithoutChanges) {
  for (const char* body :
       {R"({"ledger_no":7,"log":[]})", R"({"ledger_no":7,"log":null})",
        R"({"ledger_no":7})"}) {
    const Decoded decoded = DecodeAll(body, 1);
    EXPECT_EQ(decoded.progress, Progress::kDone) << body;
    EXPECT_EQ(decoded.revision, 7U) << body;
    EXPECT_TRUE(decoded.keys.empty()) << body;
  }
}

// Guards against a truncated answer that is accepted as a complete one.
TEST(WatchDecoder, AnAnswerCutShortAtAnyByteIsMalformed) {
  const std::string body =
      R"({"ledger_no":7,"log":[{"set":"a","v":{"x":[1,"}"]},"stamp":4}]})";
  for (size_t length = 0; length < body.size(); ++length) {
    EXPECT_EQ(DecodeAll(body.substr(0, length), 5).progress,
              Progress::kMalformed)
        << length;
  }
  EXPECT_EQ(DecodeAll(body + "}", 5).progress, Progress::kMalformed);
}

// Guards against a large answer that blocks the event loop: each step must
// decode a bounded number of changes.
TEST(WatchDecoder, ALargeAnswerIsDecodedInBoundedSteps) {
  constexpr size_t kAtOnce = 200;
  std::string body = R"({"ledger_no":9,"log":[)";
  for (size_t i = 0; i < kKeptChanges; ++i) {
    body += fmt::format(R"({}{{"set":"k{}","v":{{}},"stamp":{}}})",
                        i == 0 ? "" : ",", i, i);
  }
  body += "]}";
  const Decoded decoded = DecodeAll(body, kAtOnce);
  EXPECT_EQ(decoded.progress, Progress::kDone);
  EXPECT_EQ(decoded.keys.size(), kKeptChanges);
  EXPECT_EQ(decoded.most_at_once, kAtOnce);
  EXPECT_GE(decoded.steps, kKeptChanges / kAtOnce);
}

// A watcher that loses its connection to the fake store.
class CutOffWatcher : public testing::Test {
 public:
  CutOffWatcher() : store_(loop_), cloud_(loop_) {}

  void Start(double memory_mb) {
    settings_.limits.memory_mb = memory_mb;
    settings_.workers.lease_seconds = 2;
    settings_.workers.heartbeat_interval_seconds = 0.2;
    client_ = std::make_unique<clients::KeyValueStoreClient>(
        loop_, Local(store_.port()), settings_);
    cloud_client_ = std::make_unique<clients::CloudClient>(
        loop_, Local(cloud_.port()), settings_);
    watcher_ = std::make_unique<app::StoreWatcher>(
        loop_, settings_, *client_, *cloud_client_, catalog_,
        app::StoreWatcher::Callbacks{[](const std::string&) {}, [] {},
                                     [](const auto&) {}, [] {}});
    watcher_->Start();
  }
  // Changes records of 500 bytes, as another controller would.
  void ChangeThousandsOfRecords() {
    const std::string value =
        fmt::format(R"({{"filler":"{}"}})", std::string(500, 'x'));
    for (size_t i = 0; i < kKeptChanges; ++i) {
      store_.Put(fmt::format("ob/live/m/n-{:06}", i), value);
    }
  }
  // Returns the seconds until the catalog has the store's revision, or -1 if it
  // does not get there.
  net::Task<double> SecondsUntilCaughtUp() {
    constexpr double kGiveUpSeconds = 12;
    const net::Time begun = loop_.Now();
    while (loop_.Now() < begun + kGiveUpSeconds) {
      if (catalog_.watched_revision() >= kKeptChanges) {
        co_return loop_.Now() - begun;
      }
      co_await loop_.Sleep(0.05);
    }
    co_return -1;
  }

  // Makes the store unreachable, changes its records, makes it reachable again
  // and expects the watcher to catch up.
  void ExpectInStepAfterThousandsOfChanges() {
    RunToEnd(loop_, [](CutOffWatcher* test) -> net::Task<void> {
      while (!test->watcher_->synced()) co_await test->loop_.Sleep(0.01);
      test->store_.down = true;
      test->ChangeThousandsOfRecords();
      co_await test->loop_.Sleep(0.5);
      test->store_.down = false;
      const double seconds = co_await test->SecondsUntilCaughtUp();
      EXPECT_GE(seconds, 0);
      EXPECT_LT(seconds, 7.5 * test->settings_.workers.lease_seconds);
    }(this));
  }

  net::Loop loop_;
  FakeKeyValueStore store_;
  FakeCloud cloud_;
  Settings settings_;
  Catalog catalog_;
  std::unique_ptr<clients::KeyValueStoreClient> client_;
  std::unique_ptr<clients::CloudClient> cloud_client_;
  std::unique_ptr<app::StoreWatcher> watcher_;
};

// Guards against a controller that never catches up with the store after it was
// disconnected while thousands of records changed.
TEST_F(CutOffWatcher, IsInStepAgainAfterThousandsOfChanges) {
  Start(/*memory_mb=*/56);
  ExpectInStepAfterThousandsOfChanges();
}

// Guards against a controller that requests an answer again and again which
// exceeds its memory: it must list the records in pages instead.
TEST_F(CutOffWatcher, ListsTheRecordsWhereTheChangesExceedItsMemory) {
  Start(/*memory_mb=*/8);
  ExpectInStepAfterThousandsOfChanges();
}

}  // namespace
}  // namespace oxbow::test
