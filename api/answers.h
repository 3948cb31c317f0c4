// HTTP responses that every route gives in the same form.
#pragma once

#include <string_view>

#include "net/http.h"

namespace oxbow::api {

// {"error": text}
net::HttpResponse Error(int status, std::string_view text);
// With the time after which the user may ask again (Retry-After). Sent at once:
// a request is never delayed to limit the load.
net::HttpResponse TryLater(std::string_view why, int status = 503);
// 405 with the methods that the route has.
net::HttpResponse WrongMethod(std::string_view allowed);

}  // namespace oxbow::api
