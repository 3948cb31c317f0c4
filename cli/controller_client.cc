#include "cli/controller_client.h"

#include <algorithm>

namespace oxbow::cli {
namespace {

constexpr net::Time kTimeoutSeconds = 5;   // of one attempt
constexpr net::Time kMinPauseSeconds = 1;  // between two attempts
constexpr int kMaxAttempts = 30;

bool ShouldRetry(const net::ClientResult& answer) {
  return answer.outcome != net::Outcome::kAnswered || answer.status == 503 ||
         answer.status == 429;
}

net::Task<void> RunAndStop(net::Loop& loop, net::Task<void> command) {
  co_await std::move(command);
  loop.Stop();
}

}  // namespace

ControllerClient::ControllerClient(net::Loop& loop, const net::Address& address,
                                   size_t max_answer_bytes)
    : loop_(loop), http_(loop, address, max_answer_bytes) {}

net::Task<net::ClientResult> ControllerClient::Ask(std::string method,
                                                   std::string path,
                                                   std::string body) {
  net::ClientResult answer;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    answer = co_await http_.Request(method, path, body, kTimeoutSeconds);
    if (!ShouldRetry(answer)) break;
    co_await loop_.Sleep(
        std::max<net::Time>(kMinPauseSeconds, answer.retry_after_seconds));
  }
  co_return answer;
}

net::Task<void> ControllerClient::Sleep(net::Time seconds) {
  co_await loop_.Sleep(seconds);
}

bool RunWithController(
    const std::string& address, size_t max_answer_bytes,
    const std::function<net::Task<void>(ControllerClient& client)>& command) {
  net::Address parsed;
  if (!net::ParseAddress(address, &parsed)) return false;
  net::Loop loop;
  ControllerClient client(loop, parsed, max_answer_bytes);
  net::Spawn(RunAndStop(loop, command(client)));
  loop.Run();
  return true;
}

}  // namespace oxbow::cli
