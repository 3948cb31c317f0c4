#include "app/retries.h"

#include <algorithm>

namespace oxbow::app {
namespace {

constexpr net::Time kTimeout = 5;  // s, of one try
constexpr net::Time kPause = 1;    // s, between two tries, at least
constexpr int kTries = 30;

bool MustRetry(const net::ClientResult& answer) {
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
  for (int i = 0; i < kTries; ++i) {
    answer = co_await http.Request(method, path, body, kTimeout);
    if (!MustRetry(answer)) break;
    const net::Time pause =
        std::max<net::Time>(kPause, answer.retry_after_seconds);
    co_await loop.Sleep(pause);
  }
  co_return answer;
}

}  // namespace oxbow::app
