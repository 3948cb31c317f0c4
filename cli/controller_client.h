// What every command of the command line is built on: an event loop of its own
// and one controller to ask. Blocks: for commands, not for controllers.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "net/http_client.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/task.h"

namespace oxbow::cli {

// Asks one controller. Lives as long as the command that RunWithController
// runs.
class ControllerClient {
 public:
  // `max_answer_bytes`: of the body of one answer; larger ones count as none.
  ControllerClient(net::Loop& loop, const net::Address& address,
                   size_t max_answer_bytes);

  // Repeats a request that got no answer, 429 or 503, a second after each
  // attempt or as long as Retry-After says, thirty times at most, as a user of
  // the protocol does. Returns the last result, which may be one of these.
  net::Task<net::ClientResult> Ask(std::string method, std::string path,
                                   std::string body);
  net::Task<void> Sleep(net::Time seconds);

 private:
  net::Loop& loop_;
  net::HttpClient http_;
};

// Runs the command to its end. False, without running it, if `address` is no
// IPv4 address with a port. The command may refer to what its caller owns.
bool RunWithController(
    const std::string& address, size_t max_answer_bytes,
    const std::function<net::Task<void>(ControllerClient& client)>& command);

}  // namespace oxbow::cli
