#include "net/http_server.h"

#include <array>
#include <utility>

namespace oxbow::net {
namespace {

// A share of the connection limit: while more connections are open, each is
// closed after its next answer.
constexpr double kKeepOpenShare = 0.9;
// A connection that has been idle for less time is not closed for another.
constexpr Time kMinIdleSeconds = 0.1;
// The number of apparently idle connections with unread input that one search
// skips before it treats no connection as idle.
constexpr int kMaxInputChecks = 16;

}  // namespace

HttpServer::HttpServer(Loop& loop, const Address& address, Limits limits,
                       Handler handler, Classifier classifier)
    : loop_(loop),
      listener_(loop, address),
      limits_(limits),
      handler_(std::move(handler)),
      classifier_(std::move(classifier)),
      place_freed_(loop) {}

Task<void> HttpServer::Run() {
  bool has_just_evicted = false;
  for (;;) {
    std::unique_ptr<Socket> socket = co_await listener_.Accept();
    if (!socket) {
      ++counters_.out_of_descriptors;
      has_just_evicted = !has_just_evicted && EvictIdle();
      if (!has_just_evicted)
        co_await loop_.Sleep(kOutOfDescriptorsPauseSeconds);
      continue;
    }
    has_just_evicted = false;
    // A connection that can't be served is closed at once: the load balancer
    // and the workers then try another node instead of waiting for this one.
    const bool is_admitted = co_await Admit();
    if (!is_admitted) continue;
    ++counters_.accepted;
    Spawn(Serve(std::move(socket)));
  }
}

Task<bool> HttpServer::Admit() {
  while (table_.size() >= limits_.connections && !EvictIdle()) {
    const Connection* idle = LongestIdle();
    if (idle == nullptr) {
      ++counters_.refused;
      co_return false;
    }
    place_freed_.Clear();
    co_await place_freed_.Wait(kMinIdleSeconds -
                               idle->SecondsInState(loop_.Now()));
  }
  co_return true;
}

Connection* HttpServer::LongestIdle() {
  for (int i = 0; i < kMaxInputChecks; ++i) {
    Connection* idle = table_.LongestIdle();
    if (idle == nullptr || !idle->socket().HasInput()) return idle;
    // A request has arrived, but the connection's coroutine has not read it
    // yet.
    idle->Become(ConnectionState::kReceiving, loop_.Now());
  }
  return nullptr;
}

bool HttpServer::EvictIdle() {
  Connection* idle = LongestIdle();
  if (idle == nullptr || idle->SecondsInState(loop_.Now()) < kMinIdleSeconds) {
    return false;
  }
  ++counters_.evicted;
  idle->socket().CancelRead();  // ends the connection
  return true;
}

bool HttpServer::KeepOpen(bool wanted) {
  const bool is_near_limit =
      static_cast<double>(table_.size()) >
      kKeepOpenShare * static_cast<double>(limits_.connections);
  if (wanted && is_near_limit) ++counters_.turned_over;
  return wanted && !is_near_limit;
}

HttpServer::Counters HttpServer::counters() const {
  Counters counters = counters_;
  counters.limit = limits_.connections;
  counters.open = table_.size();
  counters.open_by_kind = table_.by_kind();
  return counters;
}

Task<void> HttpServer::Serve(std::unique_ptr<Socket> socket) {
  Connection connection(table_, *socket, loop_.Now());
  HttpParser parser(HttpParser::Kind::kRequest, limits_.message);
  std::array<char, 4096> buffer;
  std::string rest;
  bool open = true;
  while (open) {
    parser.Reset();
    connection.Become(ConnectionState::kIdle, loop_.Now());
    const Time idle_deadline = loop_.Now() + limits_.idle_seconds;
    Time deadline = idle_deadline;
    for (;;) {
      if (!rest.empty()) {
        const size_t used = parser.Feed(rest);
        rest.erase(0, used);
      }
      if (parser.done() || parser.failed()) break;
      // A request that arrives slowly must not hold its connection
      // indefinitely.
      if (parser.started() && deadline == idle_deadline) {
        connection.Become(ConnectionState::kReceiving, loop_.Now());
        deadline = loop_.Now() + limits_.request_seconds;
      }
      const ssize_t n =
          co_await socket->Read(buffer.data(), buffer.size(), deadline);
      if (n <= 0) {
        open = false;
        break;
      }
      rest.append(buffer.data(), static_cast<size_t>(n));
    }
    if (!open) break;
    connection.Become(ConnectionState::kAnswering, loop_.Now());
    HttpResponse response;
    if (parser.failed()) {
      response.status = parser.error_status();
      response.keep_alive = false;
    } else {
      if (classifier_) connection.SetKind(classifier_(parser.request()));
      const bool keep_alive = parser.keep_alive();
      response = co_await handler_(std::move(parser.request()));
      response.keep_alive = response.keep_alive && keep_alive;
    }
    open = KeepOpen(response.keep_alive);
    response.keep_alive = open;
    const std::string wire = Serialize(response);
    const bool written =
        co_await socket->Write(wire, loop_.Now() + limits_.response_seconds);
    if (!written) break;
  }
  // Resumes Admit() at the next turn of the loop, when this connection has
  // left the table.
  place_freed_.Set();
}

}  // namespace oxbow::net
