// Tests that HttpClientPool bounds its connections and checks permission to
// send.

#include "net/http_client_pool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include "net/http_server.h"
#include "tests/controller_node_fixture.h"

namespace oxbow::test {
namespace {

net::Task<net::HttpResponse> AnswerEmpty(net::HttpRequest /*request*/) {
  co_return net::HttpResponse{};
}

// Guards against a leader that uses all file descriptors of its process for
// open connections to workers, so that no worker can connect to it.
TEST(HttpClientPool, ManyAddressesShareABoundedNumberOfConnections) {
  constexpr size_t kAddresses = 60;
  constexpr size_t kMaxConnections = 12;
  net::Loop loop;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  for (size_t i = 0; i < kAddresses; ++i) {
    servers.push_back(std::make_unique<net::HttpServer>(
        loop, Local(0), net::HttpServer::Limits{}, AnswerEmpty));
    net::Spawn(servers.back()->Run());
  }
  net::HttpClientPool pool(loop, /*body_limit=*/1000, kMaxConnections);
  const std::function<size_t()> count_open = [&servers] {
    size_t open = 0;
    for (const auto& server : servers) open += server->open_connections();
    return open;
  };
  size_t answered = 0;
  for (int round = 0; round < 2; ++round) {
    for (const auto& server : servers) {
      net::Spawn([](net::HttpClientPool* p, uint16_t port,
                    size_t* count) -> net::Task<void> {
        std::function<bool()> always = [] { return true; };
        const auto answer = co_await p->Request(Local(port), "GET", "/", "", 5,
                                                std::move(always));
        *count += answer.ok() ? 1 : 0;
      }(&pool, server->port(), &answered));
    }
  }
  size_t most_open = 0;
  RunToEnd(loop,
           [](net::Loop* l, const std::function<size_t()>* open,
              size_t* most) -> net::Task<void> {
             for (int i = 0; i < 100; ++i) {
               co_await l->Sleep(0.005);
               *most = std::max(*most, (*open)());
             }
           }(&loop, &count_open, &most_open));
  EXPECT_EQ(answered, 2 * kAddresses);
  // A server notices a closed connection one turn of the loop later, so it may
  // briefly count both the closed and the new one.
  EXPECT_LE(most_open, 2 * kMaxConnections);
  EXPECT_LE(count_open(), kMaxConnections);
  EXPECT_GT(count_open(), 0U);
}

// Guards against a command that is sent although the controller stopped leading
// while the command waited for a connection.
TEST(HttpClientPool, WhatMayNotBeSentAnyMoreWhenItsTurnComesIsNotSent) {
  net::Loop loop;
  net::HttpServer server(
      loop, Local(0), {},
      [&loop](net::HttpRequest) -> net::Task<net::HttpResponse> {
        co_await loop.Sleep(0.1);
        co_return net::HttpResponse{};
      });
  net::Spawn(server.Run());
  net::HttpClientPool pool(loop, /*body_limit=*/1000, /*max_connections=*/1);
  bool leads = true;
  RunToEnd(loop,
           [](net::HttpClientPool* p, uint16_t port, bool* may,
              net::Loop* l) -> net::Task<void> {
             net::Event first_done(*l);
             net::Spawn([](net::HttpClientPool* first, uint16_t to,
                           net::Event* done) -> net::Task<void> {
               std::function<bool()> always = [] { return true; };
               const auto answer = co_await first->Request(
                   Local(to), "GET", "/", "", 2, std::move(always));
               EXPECT_TRUE(answer.ok());
               done->Set();
             }(p, port, &first_done));
             l->At(l->Now() + 0.05, [may] { *may = false; });
             std::function<bool()> while_leading = [may] { return *may; };
             const auto late = co_await p->Request(Local(port), "GET", "/", "",
                                                   2, std::move(while_leading));
             EXPECT_EQ(late.outcome, net::Outcome::kNotSent);
             co_await first_done.Wait(2);
             EXPECT_EQ(p->counters().sent, 1U);
             EXPECT_EQ(p->counters().not_sent, 1U);
           }(&pool, server.port(), &leads, &loop));
}

}  // namespace
}  // namespace oxbow::test
