#include "net/http.h"

#include <gtest/gtest.h>

#include <random>

namespace oxbow::net {
namespace {

constexpr std::string_view kPost =
    "POST /v2/runs?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::string_view kChunked =
    "POST /do HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";

HttpParser Request(HttpParser::Limits limits = {}) {
  return {HttpParser::Kind::kRequest, limits};
}

TEST(HttpParser, ReadsBytesSplitAtEveryPosition) {
  for (const std::string_view wire : {kPost, kChunked}) {
    for (size_t split = 0; split <= wire.size(); ++split) {
      HttpParser p = Request();
      EXPECT_EQ(p.Feed(wire.substr(0, split)), split);
      EXPECT_EQ(p.Feed(wire.substr(split)), wire.size() - split);
      ASSERT_TRUE(p.done()) << split;
      EXPECT_EQ(p.body(), wire == kPost ? "hello" : "abcde");
      EXPECT_TRUE(p.keep_alive());
    }
  }
}

TEST(HttpParser, ReadsByteByByte) {
  HttpParser p = Request();
  for (const char c : kChunked) p.Feed({&c, 1});
  EXPECT_TRUE(p.done());
  EXPECT_EQ(p.body(), "abcde");
}

TEST(HttpParser, LeavesWhatFollowsTheMessage) {
  HttpParser p = Request();
  const std::string two = std::string(kPost) + "GET /";
  EXPECT_EQ(p.Feed(two), kPost.size());
  EXPECT_EQ(p.request().path(), "/v2/runs");
  EXPECT_EQ(p.request().query("x"), "1");
  EXPECT_EQ(p.request().query("y"), "");
}

TEST(HttpParser, RefusesWhatIsMalformed) {
  const std::vector<std::pair<std::string, int>> bad = {
      {"GET\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\n\r\n", 400},
      {"GET x HTTP/1.1\r\n\r\n", 400},
      {"G@T / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\n: empty\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
       400},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
      {"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", 413},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"GET / HTTP/1.1\r\nA: " + std::string(9000, 'x') + "\r\n\r\n", 431},
  };
  for (const auto& [wire, status] : bad) {
    HttpParser p = Request();
    p.Feed(wire);
    EXPECT_TRUE(p.failed()) << wire.substr(0, 60);
    EXPECT_EQ(p.error_status(), status) << wire.substr(0, 60);
  }
}

TEST(HttpParser, SurvivesGarbage) {
  std::mt19937 random(1);
  for (int round = 0; round < 2000; ++round) {
    std::string wire(kChunked);
    for (int i = 0; i < 4; ++i) {
      wire[random() % wire.size()] = static_cast<char>(random());
    }
    HttpParser p = Request({.header_bytes = 256, .body_bytes = 64});
    p.Feed(wire);
    EXPECT_LE(p.body().size(), 64U);
  }
}

TEST(HttpParser, ReadsResponses) {
  HttpParser p(HttpParser::Kind::kResponse, {});
  p.Feed(
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\n"
      "Connection: close\r\nContent-Length: 2\r\n\r\n{}");
  EXPECT_TRUE(p.done());
  EXPECT_EQ(p.status(), 503);
  EXPECT_EQ(p.retry_after_seconds(), 3);
  EXPECT_FALSE(p.keep_alive());
}

TEST(HttpParser, AResponseWithoutLengthRunsToTheEnd) {
  HttpParser p(HttpParser::Kind::kResponse, {});
  p.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_FALSE(p.done());
  p.Finish();
  EXPECT_TRUE(p.done());
  EXPECT_EQ(p.body(), "abc");
  HttpParser cut(HttpParser::Kind::kResponse, {});
  cut.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  cut.Finish();
  EXPECT_TRUE(cut.failed());  // an incomplete body is an error
}

}  // namespace
}  // namespace oxbow::net
