#include "api/answers.h"

#include "wire/json.h"

namespace oxbow::api {

net::HttpResponse Error(int status, std::string_view text) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "error", text);
  writer.EndObject();
  net::HttpResponse response;
  response.status = status;
  response.body = json::Text(buffer);
  return response;
}

net::HttpResponse TryLater(std::string_view why, int status) {
  constexpr int kRetryAfterSeconds = 1;
  net::HttpResponse response = Error(status, why);
  response.retry_after_seconds = kRetryAfterSeconds;
  return response;
}

net::HttpResponse WrongMethod(std::string_view allowed) {
  net::HttpResponse response = Error(405, "method not allowed");
  response.allow = allowed;
  return response;
}

}  // namespace oxbow::api
