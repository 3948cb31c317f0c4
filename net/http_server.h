// Serves HTTP/1.1 on one address; one coroutine per connection.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/connection_table.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace oxbow::net {

// Owns its connections: each is a detached coroutine that ends with the
// connection. The handler is called once for each request; requests beyond the
// limits are refused with 4xx.
//
// `Limits::connections` bounds the open connections. Near the limit, each
// connection is closed after its next answer, so that clients which keep theirs
// open make room for others. At the limit, or when the process has no file
// descriptor left, the connection that has been idle longest is closed for a
// new one. The new connection waits until the other has been idle for a minimum
// time, since the first request of a client that has just connected may be on
// its way. A connection on which a request has begun is never closed for
// another; if that is true of all connections, a new one is closed at once.
//
// The server must live as long as the loop runs.
class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpRequest request)>;
  // Returns the kind of client that sent a request, 1 to
  // ConnectionTable::kMaxKinds - 1, for the counters.
  using Classifier = std::function<size_t(const HttpRequest& request)>;
  struct Limits {
    size_t connections = 400;
    Time idle_seconds = 75;     // between requests
    Time request_seconds = 5;   // from a request's first byte to its last
    Time response_seconds = 5;  // to write the whole response
    HttpParser::Limits message;
  };
  // `limit`, `open` and `open_by_kind` are current values, the others count
  // since the start.
  struct Counters {
    size_t limit = 0;
    size_t open = 0;
    ConnectionTable::CountByKind open_by_kind{};
    uint64_t accepted = 0;
    uint64_t refused = 0;      // closed without an answer, at the limit
    uint64_t evicted = 0;      // closed while idle, to make room for another
    uint64_t turned_over = 0;  // closed after an answer, near the limit
    // Times that the process had no file descriptor left for a connection.
    uint64_t out_of_descriptors = 0;
  };

  HttpServer(Loop& loop, const Address& address, Limits limits, Handler handler,
             Classifier classifier = {});

  // Accepts until the loop stops.
  Task<void> Run();
  uint16_t port() const { return listener_.port(); }
  size_t open_connections() const { return table_.size(); }
  Counters counters() const;

 private:
  Task<void> Serve(std::unique_ptr<Socket> socket);
  // Whether one more connection may be served. At the limit, waits briefly for
  // a connection to become evictable, but only while there are idle ones.
  Task<bool> Admit();
  // The connection that has been idle longest; null if none is idle.
  Connection* LongestIdle();
  // Closes the connection that has been idle longest, if it has been idle for
  // the minimum time; otherwise returns false.
  bool EvictIdle();
  // Whether a connection stays open after its answer. `wanted`: both sides
  // agree to keep it open.
  bool KeepOpen(bool wanted);

  Loop& loop_;
  Listener listener_;
  Limits limits_;
  Handler handler_;
  Classifier classifier_;
  ConnectionTable table_;
  Event place_freed_;  // set when a connection ends
  Counters counters_;
};

}  // namespace oxbow::net
