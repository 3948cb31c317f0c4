#include "app/retries.h"

#include <algorithm>

namespace oxbow::app {
namespace {

constexpr net::Time kTimeoutSeconds = 5;   // of one attempt
constexpr net::Time kMinPauseSeconds = 1;  // between two attempts
constexpr int kMaxAttempts = 30;

bool ShouldRetry(const net::ClientResult& answer) {
  return answer.outcome != net::Outcome::kAnswered || answer.status == 503 ||
         answer.status == 429;
}

}  // namespace

net::Task<net::ClientResult> AskWithRetries(net::Loop& loop,
                                            net::HttpClient& http,
                                            std::string method,
                                            std::string path,
                                            std::string body) {
  net::ClientResult answer;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    answer = co_await http.Request(method, path, body, kTimeoutSeconds);
    if (!ShouldRetry(answer)) break;
    co_await loop.Sleep(
        std::max<net::Time>(kMinPauseSeconds, answer.retry_after_seconds));
  }
  co_return answer;
}

}  // namespace oxbow::app
