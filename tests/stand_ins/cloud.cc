// The fake cloud on loopback.
#include <rapidjson/document.h>

#include <utility>

#include "tests/stand_ins.h"

namespace oxbow::test {

using net::HttpRequest;
using net::HttpResponse;
using net::Task;

FakeCloud::FakeCloud(net::Loop& loop)
    : server_(loop, Local(0), {},
              [this](HttpRequest r) { return Handle(std::move(r)); }) {
  net::Spawn(server_.Run());
}

Task<HttpResponse> FakeCloud::Handle(HttpRequest request) {
  HttpResponse response;
  if (request.path() == "/flavors") {
    response.body =
        R"({"fleets":[{"name":"g8","cores":8,"accelerators":0,"memory_gb":64,
        "cache_gb":50,"fetch_gb_per_s":1.0,"hourly":1.0,"low_price":0.5,
        "startup_s":5,"yards":["a","b"]}]})";
  } else if (request.path() == "/machines" && request.method == "GET") {
    response.body = R"({"hosts":[)" + listed() + R"(],"has_next":false})";
  } else if (request.path() == "/machines/delete" && on_delete) {
    rapidjson::Document doc;
    doc.Parse(request.body.c_str());
    for (const auto& host : doc["hosts"].GetArray()) {
      on_delete(host.GetString());
    }
    response.body = "{}";
  } else {
    response.status = 503;
    response.body = R"({"error":"no capacity"})";
  }
  co_return response;
}

}  // namespace oxbow::test
