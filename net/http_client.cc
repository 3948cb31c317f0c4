#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oxbow::net {

HttpClient::HttpClient(Loop& loop, Address address, size_t body_limit,
                       size_t max_idle, bool urgent)
    : loop_(loop),
      address_(std::move(address)),
      host_(address_.ToString()),
      body_limit_(body_limit),
      max_idle_(max_idle),
      urgent_(urgent) {}

Task<ClientResult> HttpClient::Request(std::string method, std::string target,
                                       std::string body, Time timeout_seconds) {
  // One deadline covers connecting, sending and receiving: a connection usually
  // opens within a few milliseconds and leaves the request the rest of the
  // time, and a machine without power never answers.
  const Time deadline = loop_.Now() + timeout_seconds;
  ClientResult result;
  std::unique_ptr<Socket> socket;
  while (!idle_.empty() && !socket) {
    socket = std::move(idle_.back());
    idle_.pop_back();
    if (socket->PeerClosed()) socket.reset();
  }
  if (!socket) {
    socket = co_await Socket::Connect(loop_, address_, deadline, urgent_);
    if (!socket) co_return result;
  }
  const std::string wire = SerializeRequest(method, target, host_, body);
  // Once the kernel has the first byte, the request may reach the server.
  result.outcome = Outcome::kUnknown;
  const bool written = co_await socket->Write(wire, deadline);
  if (!written) co_return result;
  HttpParser parser(HttpParser::Kind::kResponse,
                    {.header_bytes = 8 * 1024, .body_bytes = body_limit_});
  std::array<char, 4096> buffer;
  bool surplus = false;
  while (!parser.done()) {
    const ssize_t n =
        co_await socket->Read(buffer.data(), buffer.size(), deadline);
    if (n < 0) co_return result;
    if (n == 0) {
      parser.Finish();
      if (!parser.done()) co_return result;
      break;
    }
    const size_t used = parser.Feed({buffer.data(), static_cast<size_t>(n)});
    if (parser.failed()) {
      constexpr int kContentTooLarge = 413;
      if (parser.error_status() == kContentTooLarge) {
        result.outcome = Outcome::kTooLarge;
      }
      co_return result;
    }
    surplus = used < static_cast<size_t>(n);
  }
  result.outcome = Outcome::kAnswered;
  result.status = parser.status();
  result.body = std::move(parser.body());
  result.retry_after_seconds = parser.retry_after_seconds();
  if (parser.keep_alive() && !surplus && idle_.size() < max_idle_) {
    idle_.push_back(std::move(socket));
  }
  co_return result;
}

}  // namespace oxbow::net
