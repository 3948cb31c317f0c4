// HTTP responses that every route gives in the same form.
#pragma once

#include <string_view>

#include "net/http.h"

namespace oxbow::api {

// A response with the body {"error": text}.
net::HttpResponse Error(int status, std::string_view text);
// A response with the time after which the user may repeat the request
// (Retry-After). It is sent immediately: a request is never delayed to limit
// the load.
net::HttpResponse TryLater(std::string_view why, int status = 503);
// A 405 response that lists the methods that the route supports.
net::HttpResponse WrongMethod(std::string_view allowed);

}  // namespace oxbow::api
