// Answers that every route gives in the same form.
#pragma once

#include <string_view>

#include "net/http.h"

namespace oxbow::api {

net::HttpResponse Error(int status, std::string_view text);
// At once, with the time to come back: a request is never held back so that
// its user does not ask again.
net::HttpResponse TryLater(std::string_view why, int status = 503);
net::HttpResponse WrongMethod(std::string_view allowed);

}  // namespace oxbow::api
