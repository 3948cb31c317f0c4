// Runs a command-line command with its own event loop and a client for one
// controller. Blocks the thread, so controllers must not use it.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "net/http_client.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/task.h"

namespace oxbow::cli {

// Sends requests to one controller. It exists only while RunWithController runs
// the command.
class ControllerClient {
 public:
  // `max_answer_bytes`: the maximum size of a response body; a larger response
  // counts as no answer.
  ControllerClient(net::Loop& loop, const net::Address& address,
                   size_t max_answer_bytes);

  // Sends a request and repeats it while it gets no answer, 429 or 503, as the
  // protocol expects of users: one second after each attempt or after the time
  // in Retry-After, at most thirty times. Returns the last result, which may
  // still be no answer, 429 or 503.
  net::Task<net::ClientResult> Ask(std::string method, std::string path,
                                   std::string body);
  net::Task<void> Sleep(net::Time seconds);

 private:
  net::Loop& loop_;
  net::HttpClient http_;
};

// Runs the command until it completes. Returns false without running it if
// `address` is not an IPv4 address with a port. The command may hold references
// to objects of the caller.
bool RunWithController(
    const std::string& address, size_t max_answer_bytes,
    const std::function<net::Task<void>(ControllerClient& client)>& command);

}  // namespace oxbow::cli
