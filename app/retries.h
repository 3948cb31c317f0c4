// Requests of the command-line clients to a controller, repeated while it
// can't accept them, as a user of the protocol does.
#pragma once

#include <string>

#include "net/http_client.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Asks until there is an answer other than 429 and 503, a second after each try
// or as long as Retry-After says, thirty times at most; returns the last
// result, which may be one of these or no answer at all. The loop and the
// client must outlive the task.
net::Task<net::ClientResult> AskWithRetries(net::Loop& loop,
                                            net::HttpClient& http,
                                            std::string method,
                                            std::string path, std::string body);

}  // namespace oxbow::app
