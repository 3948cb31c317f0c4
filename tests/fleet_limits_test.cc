// Tests of the limits that a large fleet reaches: the number of connections of
// a server, and the size of a response to a watch.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "clients/key_value_store.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "tests/controller_node_fixture.h"

namespace oxbow::test {
namespace {

constexpr size_t kConnections = 20;
constexpr size_t kClients = 40;
constexpr int kRounds = 20;
constexpr double kRoundSeconds = 0.1;
constexpr double kTimeoutSeconds = 5;

net::Task<net::HttpResponse> AnswerEmpty(net::HttpRequest /*request*/) {
  co_return net::HttpResponse{};
}

net::Task<void> AskRegularly(net::Loop& loop, net::HttpClient& client,
                             int* answers, size_t* finished) {
  for (int round = 0; round < kRounds; ++round) {
    const net::ClientResult result =
        co_await client.Request("GET", "/", "", kTimeoutSeconds);
    *answers += result.outcome == net::Outcome::kAnswered ? 1 : 0;
    co_await loop.Sleep(kRoundSeconds);
  }
  if (++*finished == kClients) loop.Stop();
}

TEST(HttpServer, IdleConnectionsDoNotShutOutTheClientsBeyondTheLimit) {
  net::Loop loop;
  net::HttpServer::Limits limits;
  limits.connections = kConnections;
  net::HttpServer server(loop, Local(0), limits, AnswerEmpty);
  net::Spawn(server.Run());
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  std::vector<int> answers(kClients, 0);
  size_t finished = 0;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<net::HttpClient>(
        loop, Local(server.port()), /*body_limit=*/1000, /*max_idle=*/1));
    net::Spawn(AskRegularly(loop, *clients.back(), &answers[i], &finished));
  }
  loop.Run();
  EXPECT_EQ(std::count(answers.begin(), answers.end(), 0), 0)
      << "clients never answered, of " << kClients;
}

TEST(KeyValueStoreWatch, AnAnswerWithAllChangesThatAreKeptIsTaken) {
  constexpr int kKeptChanges = 10'000;  // protocol, "Controller nodes -> state"
  constexpr size_t kRecordBytes = 500;
  net::Loop loop;
  FakeKeyValueStore store(loop);
  const std::string value =
      fmt::format(R"({{"filler":"{}"}})", std::string(kRecordBytes, 'x'));
  for (int i = 0; i < kKeptChanges; ++i) {
    store.Put(fmt::format("ob/live/m/n-{:06}", i), value);
  }
  Settings settings;
  clients::KeyValueStoreClient client(loop, Local(store.port()), settings);
  clients::StoreStatus status = clients::StoreStatus::kNotExecuted;
  RunToEnd(loop,
           [](clients::KeyValueStoreClient* watching,
              clients::StoreStatus* result) -> net::Task<void> {
             const clients::StoreResult changes = co_await watching->Watch(
                 "ob/live/", /*after=*/0, /*block_seconds=*/5);
             *result = changes.status;
           }(&client, &status));
  EXPECT_EQ(status, clients::StoreStatus::kOk);
}

}  // namespace
}  // namespace oxbow::test
