#include "api/answers.h"

#include "wire/json.h"

namespace oxbow::api {

net::HttpResponse Error(int status, std::string_view text) {
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  json::Field(w, "error", text);
  w.EndObject();
  net::HttpResponse response;
  response.status = status;
  response.body = json::Text(buffer);
  return response;
}

net::HttpResponse TryLater(std::string_view why, int status) {
  constexpr int kRetryAfter = 1;  // s
  net::HttpResponse response = Error(status, why);
  response.retry_after_seconds = kRetryAfter;
  return response;
}

net::HttpResponse WrongMethod(std::string_view allowed) {
  net::HttpResponse response = Error(405, "method not allowed");
  response.allow = allowed;
  return response;
}

}  // namespace oxbow::api
