// A test fixture that runs a whole controller on loopback, with stand-ins for
// the key-value store and the cloud.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "app/controller_node.h"
#include "net/http_client.h"
#include "tests/stand_ins.h"

namespace oxbow::test {

// Runs one coroutine to its end. Fails after 20 s, so that no test hangs.
inline void RunToEnd(net::Loop& loop, net::Task<void> body) {
  bool ended = false;
  net::Spawn(
      [](net::Task<void> inner, net::Loop& l, bool* done) -> net::Task<void> {
        co_await std::move(inner);
        *done = true;
        l.Stop();
      }(std::move(body), loop, &ended));
  loop.At(loop.Now() + 20, [&loop] { loop.Stop(); });
  loop.Run();
  EXPECT_TRUE(ended) << "timed out";
}

inline std::string JobJson(const std::string& id,
                           const std::string& crew = "t") {
  return R"({"id":")" + id + R"(","duty":"d","crew":")" + crew +
         R"(","form":"batch","standing":"standard","legs":2,"cores":1.0,
         "accelerators":0.0,"memory_gb":1.0,"build":"i","size_gb":1.0,
         "together":false,"scatter":false,"loaner":false,"reckon_s":5.0,
         "bookmark_s":0.0,"stow_s":0.0})";
}

// Returns the JSON of a job that waits for the jobs in `dependencies`, a JSON
// array of job ids.
inline std::string WaitingJson(const std::string& id,
                               const std::string& dependencies) {
  std::string json = JobJson(id);
  json.insert(json.size() - 1, R"(,"waits_on":)" + dependencies);
  return json;
}

class WholeNode : public testing::Test {
 public:
  explicit WholeNode(const Tuning& tuning = {},
                     const std::vector<PeerSettings>& peers = {},
                     int max_connections = LimitSettings().max_connections)
      : state_(loop_), cloud_(loop_), tuning_(tuning) {
    settings_.node = "a";
    settings_.zone = "a";
    settings_.listen = Local(FreePort()).ToString();
    settings_.peer_listen = Local(FreePort()).ToString();
    settings_.store_address = Local(state_.port()).ToString();
    settings_.cloud_address = Local(cloud_.port()).ToString();
    settings_.teams.push_back({"t", 0, 0, 0, 0});
    settings_.peers = peers;
    settings_.nodes = static_cast<int>(peers.size()) + 1;
    settings_.limits.max_connections = max_connections;
    // Short leases keep the test short.
    settings_.workers = {0.2, 2.0, 8.0, 1.0, 8.0};
    node_ = std::make_unique<app::ControllerNode>(loop_, settings_, tuning_);
    node_->Start();
    net::Address address;
    net::ParseAddress(settings_.listen, &address);
    client_ = std::make_unique<net::HttpClient>(loop_, address, 100'000);
  }

  net::Task<void> UntilReady() {
    for (int i = 0; i < 300; ++i) {
      const auto r = co_await client_->Request("GET", "/ready", "", 1);
      if (r.ok()) co_return;
      co_await loop_.Sleep(0.02);
    }
    ADD_FAILURE() << "never ready";
  }
  net::Task<int> Status(std::string method, std::string path,
                        std::string body) {
    const auto r = co_await client_->Request(method, path, body, 5);
    last_body_ = r.body;
    last_retry_ = r.retry_after_seconds;
    co_return r.outcome == net::Outcome::kAnswered ? r.status : 0;
  }
  // Sends a request and repeats it while the status is 503, as users do.
  net::Task<int> AskWithRetries(std::string method, std::string path,
                                std::string body = "") {
    int status = 0;
    for (int i = 0; i < 200; ++i) {
      status = co_await Status(method, path, body);
      if (status != 503) break;
      co_await loop_.Sleep(0.05);
    }
    co_return status;
  }

  net::Loop loop_;
  FakeKeyValueStore state_;
  FakeCloud cloud_;
  Settings settings_;
  Tuning tuning_;
  std::unique_ptr<app::ControllerNode> node_;
  std::unique_ptr<net::HttpClient> client_;
  std::string last_body_;
  int last_retry_ = 0;
};

}  // namespace oxbow::test
