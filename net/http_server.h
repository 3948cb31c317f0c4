// Serves HTTP/1.1 on one address; one coroutine per connection.
#pragma once

#include <functional>
#include <memory>

#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace oxbow::net {

// Owns its connections: each is a detached coroutine that ends with the
// connection. The handler is called once a request; requests beyond the limits
// are refused with 4xx, connections beyond `Limits::connections` are closed.
// The server must live as long as the loop runs.
class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpRequest request)>;
  struct Limits {
    size_t connections = 400;
    Time idle_seconds = 75;     // between requests
    Time request_seconds = 5;   // from a request's first byte to its last
    Time response_seconds = 5;  // to take the response off our hands
    HttpParser::Limits message;
  };

  HttpServer(Loop& loop, const Address& address, Limits limits,
             Handler handler);

  // Accepts until the loop stops.
  Task<void> Run();
  uint16_t port() const { return listener_.port(); }
  size_t open_connections() const { return open_; }

 private:
  Task<void> Serve(std::unique_ptr<Socket> socket);

  Loop& loop_;
  Listener listener_;
  Limits limits_;
  Handler handler_;
  size_t open_ = 0;
};

}  // namespace oxbow::net
