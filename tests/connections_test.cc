// Tests how a server handles more clients than its connection limit allows.

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "tests/controller_node_fixture.h"
#include "wire/json.h"

namespace oxbow::test {
namespace {

constexpr size_t kLimit = 10;  // connection limit of a server

class ConnectionsOfNode : public WholeNode {};

TEST_F(ConnectionsOfNode, AreShownByKindOfClient) {
  RunToEnd(loop_, [](ConnectionsOfNode* node) -> net::Task<void> {
    co_await node->UntilReady();
    net::Address address;
    net::ParseAddress(node->settings_.listen, &address);
    net::HttpClient user(node->loop_, address, /*body_limit=*/1000);
    const auto asked =
        co_await user.Request("GET", "/v2/runs/job-000001", "", 5);
    EXPECT_EQ(asked.status, 404);
    EXPECT_EQ(co_await node->Status("GET", "/v2/leader", ""), 200);
    rapidjson::Document counters;
    EXPECT_TRUE(json::Parse(node->last_body_, &counters));
    const auto* connections = json::Find(counters, "connections");
    EXPECT_NE(connections, nullptr);
    if (connections == nullptr) co_return;
    EXPECT_EQ(json::GetUint(*connections, "open"), 2U);
    EXPECT_EQ(json::GetUint(*connections, "user"), 1U);
    EXPECT_EQ(json::GetUint(*connections, "operator"), 1U);
    EXPECT_EQ(json::GetUint(*connections, "worker"), 0U);
    EXPECT_EQ(json::GetUint(*connections, "refused"), 0U);
  }(this));
}

net::Task<net::HttpResponse> AnswerEmpty(net::HttpRequest /*request*/) {
  co_return net::HttpResponse{};
}

// Guards against clients that open connections and send nothing: they must not
// keep a client from getting an answer.
TEST(ConnectionLimit, ClientsThatSayNothingDoNotShutOutOneThatAsks) {
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = kLimit;
  net::HttpServer server(loop, Local(0), limits, AnswerEmpty);
  net::Spawn(server.Run());
  RunToEnd(loop, [](net::Loop& l, net::HttpServer& s) -> net::Task<void> {
    std::vector<std::unique_ptr<net::Socket>> silent;
    for (size_t i = 0; i < 3 * kLimit; ++i) {
      silent.push_back(
          co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1));
      EXPECT_NE(silent.back(), nullptr);
    }
    net::HttpClient client(l, Local(s.port()), /*body_limit=*/1000);
    const auto answer = co_await client.Request("GET", "/", "", 1);
    EXPECT_TRUE(answer.ok());
    EXPECT_LE(s.open_connections(), kLimit);
    EXPECT_GE(s.counters().evicted, 2 * kLimit);
    EXPECT_EQ(s.counters().refused, 0U);
  }(loop, server));
}

// Guards against lost answers: a connection on which a request has begun or is
// being answered must not be closed to make room for another.
TEST(ConnectionLimit, AConnectionWithARequestUnderWayIsNotClosedForAnother) {
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = 2;
  net::HttpServer server(
      loop, Local(0), limits,
      [&loop](net::HttpRequest) -> net::Task<net::HttpResponse> {
        co_await loop.Sleep(0.3);
        co_return net::HttpResponse{};
      });
  net::Spawn(server.Run());
  RunToEnd(loop, [](net::Loop& l, net::HttpServer& s) -> net::Task<void> {
    const auto begun =
        co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1);
    co_await begun->Write("G", l.Now() + 1);
    net::Event answered(l);
    net::HttpClient slow(l, Local(s.port()), /*body_limit=*/1000);
    bool slow_ok = false;
    net::Spawn(
        [](net::HttpClient* c, bool* ok, net::Event* done) -> net::Task<void> {
          const auto answer = co_await c->Request("GET", "/slow", "", 2);
          *ok = answer.ok();
          done->Set();
        }(&slow, &slow_ok, &answered));
    co_await l.Sleep(0.1);
    net::HttpClient other(l, Local(s.port()), /*body_limit=*/1000);
    const auto refused = co_await other.Request("GET", "/", "", 1);
    EXPECT_EQ(refused.outcome, net::Outcome::kUnknown);
    EXPECT_EQ(s.counters().refused, 1U);
    co_await begun->Write("ET / HTTP/1.1\r\n\r\n", l.Now() + 1);
    char byte = 0;
    EXPECT_EQ(co_await begun->Read(&byte, 1, l.Now() + 2), 1);
    co_await answered.Wait(2);
    EXPECT_TRUE(slow_ok);
    EXPECT_EQ(s.counters().evicted, 0U);
  }(loop, server));
}

// Guards against connections that are closed before their first request arrives
// because other clients connect at the same moment. The same clients could then
// fail each time.
TEST(ConnectionLimit, ClientsThatConnectAtOnceAreAllAnswered) {
  constexpr size_t kClients = 4 * kLimit;
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = kLimit;
  net::HttpServer server(loop, Local(0), limits, AnswerEmpty);
  net::Spawn(server.Run());
  RunToEnd(loop, [](net::Loop& l, net::HttpServer& s) -> net::Task<void> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    for (size_t i = 0; i < kClients; ++i) {
      clients.push_back(
          co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1));
    }
    // The requests are sent only after all connections have been opened.
    for (const auto& client : clients) {
      co_await client->Write("GET / HTTP/1.1\r\n\r\n", l.Now() + 1);
    }
    size_t answered = 0;
    for (const auto& client : clients) {
      char byte = 0;
      answered += co_await client->Read(&byte, 1, l.Now() + 1) == 1 ? 1 : 0;
    }
    EXPECT_EQ(answered, clients.size());
    EXPECT_EQ(s.counters().evicted, 0U);
    EXPECT_EQ(s.counters().refused, 0U);
  }(loop, server));
}

// Guards against requests that are lost when an idle connection is closed:
// bytes that have arrived but that the server has not read yet begin a request.
TEST(ConnectionLimit, AnIdleConnectionWithUnreadInputIsNotClosedForAnother) {
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = 2;
  net::HttpServer server(loop, Local(0), limits, AnswerEmpty);
  net::Spawn(server.Run());
  RunToEnd(loop, [](net::Loop& l, net::HttpServer& s) -> net::Task<void> {
    const auto asking =
        co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1);
    const auto silent =
        co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1);
    co_await l.Sleep(0.2);
    // Both events arrive in one turn of the loop: the server sees the new
    // connection first, and then the request on the connection that has been
    // idle longest.
    std::unique_ptr<net::Socket> third;
    net::Spawn([](net::Loop* loop_of_test, uint16_t port,
                  std::unique_ptr<net::Socket>* out) -> net::Task<void> {
      *out = co_await net::Socket::Connect(*loop_of_test, Local(port),
                                           loop_of_test->Now() + 1);
    }(&l, s.port(), &third));
    co_await asking->Write("GET / HTTP/1.1\r\n\r\n", l.Now() + 1);
    char byte = 0;
    EXPECT_EQ(co_await asking->Read(&byte, 1, l.Now() + 1), 1);
    EXPECT_EQ(co_await silent->Read(&byte, 1, l.Now() + 1), 0);
    EXPECT_EQ(s.counters().evicted, 1U);
  }(loop, server));
}

// Guards against connections that are closed needlessly: far below the limit,
// each client keeps its connection.
TEST(ConnectionLimit, FarBelowTheLimitConnectionsAreKept) {
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = kLimit;
  net::HttpServer server(loop, Local(0), limits, AnswerEmpty);
  net::Spawn(server.Run());
  RunToEnd(loop, [](net::Loop& l, net::HttpServer& s) -> net::Task<void> {
    std::vector<std::unique_ptr<net::HttpClient>> clients;
    for (int i = 0; i < 5; ++i) {
      clients.push_back(
          std::make_unique<net::HttpClient>(l, Local(s.port()), 1000));
    }
    for (int round = 0; round < 10; ++round) {
      for (const auto& client : clients) {
        EXPECT_TRUE((co_await client->Request("GET", "/", "", 1)).ok());
      }
    }
    EXPECT_EQ(s.counters().accepted, clients.size());
    EXPECT_EQ(s.counters().turned_over, 0U);
  }(loop, server));
}

// Guards against a server that stops accepting connections, or retries in a
// busy loop, when the process runs out of file descriptors: it must close idle
// connections instead.
TEST(ConnectionLimit, WithoutDescriptorsIdleConnectionsMakeRoom) {
  net::Loop loop;
  net::HttpServer server(loop, Local(0), {}, AnswerEmpty);
  net::Spawn(server.Run());
  RunToEnd(loop, [](net::Loop& l, net::HttpServer& s) -> net::Task<void> {
    std::vector<std::unique_ptr<net::Socket>> silent;
    for (int i = 0; i < 5; ++i) {
      silent.push_back(
          co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1));
    }
    co_await l.Sleep(0.05);
    // Leaves one descriptor: the client uses it, and none is left for the
    // server.
    const int next_descriptor = dup(0);
    close(next_descriptor);
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    rlimit lowered = before;
    lowered.rlim_cur = static_cast<rlim_t>(next_descriptor) + 1;
    setrlimit(RLIMIT_NOFILE, &lowered);
    const auto socket =
        co_await net::Socket::Connect(l, Local(s.port()), l.Now() + 1);
    co_await socket->Write("GET / HTTP/1.1\r\n\r\n", l.Now() + 1);
    char byte = 0;
    const ssize_t read = co_await socket->Read(&byte, 1, l.Now() + 2);
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_EQ(read, 1);
    EXPECT_GE(s.counters().evicted, 1U);
    EXPECT_LE(s.counters().out_of_descriptors, 5U);
  }(loop, server));
}

// Sends one request after another without a pause until the test is over.
net::Task<void> AskWithoutPause(net::Loop& loop, net::HttpClient& client,
                                const bool& is_over) {
  constexpr double kAfterRefusalSeconds = 0.02;
  while (!is_over) {
    const auto answer =
        co_await client.Request("GET", "/v2/runs/job-900000", "", 5);
    if (!answer.ok()) co_await loop.Sleep(kAfterRefusalSeconds);
  }
}

// Sends reports as a worker does: one per interval, and after a failure again
// after a fraction of it. Records the longest time without an answer.
net::Task<void> Report(net::Loop& loop, net::HttpClient& client,
                       double interval_seconds, std::string body,
                       const bool& is_over, double& longest_gap_seconds) {
  constexpr double kAfterFailureIntervals = 0.25;
  double last_answer = loop.Now();
  while (!is_over) {
    const auto answer = co_await client.Request("POST", "/v1/report", body, 4);
    const bool is_answered = answer.outcome == net::Outcome::kAnswered;
    longest_gap_seconds =
        std::max(longest_gap_seconds, loop.Now() - last_answer);
    if (is_answered) last_answer = loop.Now();
    co_await loop.Sleep((is_answered ? 1 : kAfterFailureIntervals) *
                        interval_seconds);
  }
}

// Guards against worker leases that expire because users occupy all connections
// of the server.
TEST(ConnectionLimit, ThousandsOfWorkersAreAnsweredBesideAFloodOfUsers) {
  constexpr size_t kWorkers = 2000;
  constexpr size_t kUsers = 200;
  constexpr size_t kConnections = 500;
  constexpr double kLeaseSeconds = 9;
  constexpr double kIntervalSeconds = 2;
  constexpr double kFloodSeconds = 6;
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = kConnections;
  net::HttpServer server(loop, Local(0), limits, AnswerEmpty);
  net::Spawn(server.Run());
  bool is_over = false;
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  std::vector<double> gaps(kWorkers, 0);
  for (size_t i = 0; i < kWorkers + kUsers; ++i) {
    clients.push_back(std::make_unique<net::HttpClient>(
        loop, Local(server.port()), /*body_limit=*/1000, /*max_idle=*/1));
  }
  for (size_t i = 0; i < kUsers; ++i) {
    net::Spawn(AskWithoutPause(loop, *clients[kWorkers + i], is_over));
  }
  for (size_t i = 0; i < kWorkers; ++i) {
    // The workers' reports are spread over the interval, as in operation.
    const double start = kIntervalSeconds * static_cast<double>(i) / kWorkers;
    loop.At(loop.Now() + start, [&, i] {
      net::Spawn(
          Report(loop, *clients[i], kIntervalSeconds, "{}", is_over, gaps[i]));
    });
  }
  RunToEnd(loop, [](net::Loop& l, bool& over) -> net::Task<void> {
    co_await l.Sleep(kFloodSeconds);
    over = true;
    co_await l.Sleep(1.5 * kIntervalSeconds);
  }(loop, is_over));
  EXPECT_LT(*std::max_element(gaps.begin(), gaps.end()), kLeaseSeconds / 3);
  EXPECT_LE(server.open_connections(), kConnections);
}

class FewConnections : public WholeNode {
 public:
  FewConnections() : WholeNode({}, {}, kMaxConnections) {}
  static constexpr int kMaxConnections = 40;
};

// Guards against user requests that wait for a slow store and meanwhile occupy
// all connections, so that no worker can reach its leader.
TEST_F(FewConnections, HeartbeatsAreAnsweredWhileUsersWaitForTheStore) {
  constexpr size_t kWorkers = 10;
  constexpr size_t kUsers = 60;
  RunToEnd(loop_, [](FewConnections* node) -> net::Task<void> {
    co_await node->UntilReady();
    net::Address address;
    net::ParseAddress(node->settings_.listen, &address);
    node->state_.read_delay_seconds = 0.9;
    bool is_over = false;
    std::vector<std::unique_ptr<net::HttpClient>> clients;
    std::vector<double> gaps(kWorkers, 0);
    for (size_t i = 0; i < kWorkers + kUsers; ++i) {
      clients.push_back(std::make_unique<net::HttpClient>(
          node->loop_, address, /*body_limit=*/10'000, /*max_idle=*/1));
    }
    for (size_t i = 0; i < kUsers; ++i) {
      net::Spawn(AskWithoutPause(node->loop_, *clients[kWorkers + i], is_over));
    }
    co_await node->loop_.Sleep(0.5);
    for (size_t i = 0; i < kWorkers; ++i) {
      net::Spawn(Report(
          node->loop_, *clients[i],
          node->settings_.workers.heartbeat_interval_seconds,
          fmt::format(
              R"({{"host":"n-{}","endpoint":"127.0.0.1:9","fleet":"small",)"
              R"("yard":"a","tenure":1,"tally":1,"fence":0,"legs":[]}})",
              i),
          is_over, gaps[i]));
    }
    co_await node->loop_.Sleep(3);
    is_over = true;
    co_await node->loop_.Sleep(1.5);
    EXPECT_LT(*std::max_element(gaps.begin(), gaps.end()),
              node->settings_.workers.lease_seconds / 3);
  }(this));
}

}  // namespace
}  // namespace oxbow::test
