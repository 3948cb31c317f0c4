// HTTP/1.1 client for one address with a small pool of open connections.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace oxbow::net {

// What is known about a request when it has ended. Safety depends on the
// difference between kNotSent and kUnknown: a request that was never sent
// cannot be executed later, but one without an answer can be, even minutes
// later.
enum class Outcome {
  kAnswered,
  kNotSent,
  kUnknown,
  kTooLarge,  // the answer exceeds the limit: executed or refused
};

// The result of one request. `status` and `body` are valid only for kAnswered.
struct ClientResult {
  Outcome outcome = Outcome::kNotSent;
  int status = 0;
  std::string body;
  int retry_after_seconds = 0;

  bool ok() const { return outcome == Outcome::kAnswered && status == 200; }
};

// Keeps up to `max_idle` idle connections open. Requests run concurrently, each
// on its own connection. The client must outlive its pending requests.
class HttpClient {
 public:
  // `body_limit`: the largest body accepted in an answer, in bytes. `urgent`:
  // the event loop handles its answers before all other ready descriptors.
  HttpClient(Loop& loop, Address address, size_t body_limit,
             size_t max_idle = 4, bool urgent = false);

  Task<ClientResult> Request(std::string method, std::string target,
                             std::string body, Time timeout_seconds);
  const Address& address() const { return address_; }

 private:
  Loop& loop_;
  Address address_;
  std::string host_;
  size_t body_limit_;
  size_t max_idle_;
  bool urgent_;
  std::vector<std::unique_ptr<Socket>> idle_;
};

}  // namespace oxbow::net
