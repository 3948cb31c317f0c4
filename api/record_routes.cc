#include "api/record_routes.h"

#include <rapidjson/document.h>

#include <utility>

#include "api/answers.h"
#include "wire/json.h"

namespace oxbow::api {
namespace {

net::HttpResponse ResponseOf(const std::string& name,
                             const RecordAnswer& answer) {
  using Result = RecordAnswer::Result;
  net::HttpResponse response;
  switch (answer.result) {
    case Result::kOk:
    case Result::kWritten:
      response.status = answer.result == Result::kWritten ? 201 : 200;
      response.body = wire::OperatorBody(name, answer.record);
      return response;
    case Result::kConflict:
      response.status = 409;
      response.body = wire::OperatorBody(name, answer.record);
      return response;
    case Result::kImpossible:
      return Error(422, answer.why);
    case Result::kNotFound:
      return Error(404, "no such record");
    case Result::kTooMany:
      return TryLater(answer.why, 429);
    case Result::kTryLater:
      break;
  }
  return TryLater(answer.why.empty() ? "state unknown" : answer.why);
}

// One entry per line, since clients limit the length of a line.
net::HttpResponse ListOf(const std::vector<NamedRecord>& records) {
  net::HttpResponse response;
  response.body = "{\"records\":[";
  for (size_t i = 0; i < records.size(); ++i) {
    response.body += i == 0 ? "\n" : ",\n";
    response.body += wire::OperatorBody(records[i].name, records[i].record);
  }
  response.body += "]}\n";
  return response;
}

}  // namespace

bool RecordRoutes::Matches(std::string_view path) {
  return path == kPath || path.starts_with(kVersionsPath) ||
         (path.starts_with(kPath) && path.size() > kPath.size() &&
          path[kPath.size()] == '/');
}

net::Task<net::HttpResponse> RecordRoutes::Change(std::string name,
                                                  std::string body) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc)) co_return Error(400, "not JSON");
  wire::OperatorChange change;
  const std::string malformed = wire::ReadOperatorChange(doc, &change);
  if (!malformed.empty()) co_return Error(400, malformed);
  RecordAnswer answer = co_await service_.Change(name, std::move(change));
  co_return ResponseOf(name, answer);
}

net::Task<net::HttpResponse> RecordRoutes::HandleVersions(std::string name) {
  if (!ValidRecordName(name)) co_return Error(404, "no such record");
  const auto versions = co_await service_.ListVersions(std::move(name));
  if (!versions) co_return TryLater("state unknown");
  co_return ListOf(*versions);
}

net::HttpResponse RecordRoutes::List(const std::string& prefix) {
  const auto records = service_.List(prefix);
  if (!records) return TryLater("state unknown");
  return ListOf(*records);
}

net::Task<net::HttpResponse> RecordRoutes::Handle(net::HttpRequest request) {
  const std::string path(request.path());
  const bool get = request.method == "GET";
  if (path.starts_with(kVersionsPath)) {
    if (!get) co_return WrongMethod("GET");
    co_return co_await HandleVersions(path.substr(kVersionsPath.size()));
  }
  if (path.size() <= kPath.size() + 1) {
    if (!get) co_return WrongMethod("GET");
    co_return List(std::string(request.query("prefix")));
  }
  const std::string name = path.substr(kPath.size() + 1);
  if (!ValidRecordName(name)) co_return Error(404, "no such record");
  if (get) {
    RecordAnswer answer = co_await service_.Get(name);
    co_return ResponseOf(name, answer);
  }
  if (request.method != "POST") co_return WrongMethod("GET, POST");
  co_return co_await Change(name, std::move(request.body));
}

}  // namespace oxbow::api
