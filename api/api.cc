#include "api/api.h"

#include <rapidjson/document.h>

#include <utility>

#include "api/answers.h"
#include "wire/job_json.h"
#include "wire/json.h"
#include "wire/worker_json.h"

namespace oxbow::api {
namespace {

constexpr std::string_view kJobs = "/v2/runs";
constexpr std::string_view kCancelEnd = "/cancel";

std::string JobBody(const std::string& id, std::string_view status) {
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  json::Field(w, "id", id);
  json::Field(w, "status", status);
  w.EndObject();
  return json::Text(buffer);
}

}  // namespace

net::Task<net::HttpResponse> Api::Handle(net::HttpRequest request) {
  const std::string path(request.path());
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (path == "/v1/report") {
    if (!post) co_return WrongMethod("POST");
    co_return co_await OnHeartbeat(std::move(request.body));
  }
  if (path == "/ready") {
    if (!get) co_return WrongMethod("GET");
    if (!service_.Ready()) co_return TryLater("not ready");
    net::HttpResponse response;
    response.body = "{}";
    co_return response;
  }
  if (path == "/v2/leader") {
    if (!get) co_return WrongMethod("GET");
    co_return CurrentLeader();
  }
  if (rollouts_ != nullptr && rollouts_->Takes(path)) {
    co_return co_await rollouts_->Handle(std::move(request));
  }
  if (records_ != nullptr && RecordRoutes::Takes(path)) {
    co_return co_await records_->Handle(std::move(request));
  }
  if (path == kJobs) {
    if (!post) co_return WrongMethod("POST");
    co_return co_await Submit(std::move(request.body));
  }
  if (path.starts_with(kJobs) && path[kJobs.size()] == '/') {
    std::string id = path.substr(kJobs.size() + 1);
    if (id.ends_with(kCancelEnd)) {
      id.resize(id.size() - kCancelEnd.size());
      if (id.find('/') == std::string::npos) {
        if (!post) co_return WrongMethod("POST");
        co_return co_await Cancel(std::move(id));
      }
    } else if (id.find('/') == std::string::npos) {
      if (!get) co_return WrongMethod("GET");
      co_return co_await Poll(std::move(id));
    }
  }
  co_return Error(404, "no such path");
}

// A known job is never refused, whatever its description says this time.
net::Task<net::HttpResponse> Api::Refuse(std::string id, int status,
                                         std::string why) {
  if (wire::ValidJobId(id)) {
    const Status known = co_await service_.Poll(id);
    if (known.found == Status::JobPresence::kYes) {
      net::HttpResponse response;
      response.body = JobBody(id, known.status);
      co_return response;
    }
    if (known.found == Status::JobPresence::kCannotTell) {
      co_return TryLater("state unknown");
    }
  }
  co_return Error(status, why);
}

net::Task<net::HttpResponse> Api::Submit(std::string body) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc)) co_return Error(400, "not JSON");
  if (!doc.IsObject()) co_return Error(400, "not an object");
  const std::string id = json::GetString(doc, "id");
  if (wire::ValidJobId(id) && service_.KnownHere(id)) {
    co_return co_await Refuse(id, 400, "known");
  }
  auto spec = std::make_shared<JobSpec>();
  const std::string malformed = wire::ReadSpec(doc, spec.get());
  if (!malformed.empty()) co_return co_await Refuse(id, 400, malformed);
  const auto* types = service_.Types();
  if (types == nullptr) co_return TryLater("machine types unknown");
  const std::string impossible =
      wire::WhyImpossible(*spec, *types, service_.Teams());
  if (!impossible.empty()) co_return co_await Refuse(id, 422, impossible);
  const Submitted submitted = co_await service_.Submit(spec);
  switch (submitted.result) {
    case Submitted::Result::kAccepted: {
      net::HttpResponse response;
      response.status = 201;
      response.body = JobBody(id, "pending");
      co_return response;
    }
    case Submitted::Result::kKnown:
      co_return co_await Refuse(id, 503, "state unknown");
    case Submitted::Result::kTooLarge:
      co_return co_await Refuse(id, 400, "description too large");
    case Submitted::Result::kNamesUnknown:
      co_return co_await Refuse(
          id, 422, "field waits_on names a job that was never accepted");
    case Submitted::Result::kTryLater:
      break;
  }
  co_return TryLater("cannot be recorded now");
}

net::Task<net::HttpResponse> Api::Poll(std::string id) {
  // An id of another form was never accepted and never can be.
  if (!wire::ValidJobId(id)) co_return Error(404, "no such job");
  const Status status = co_await service_.Poll(id);
  if (status.found == Status::JobPresence::kCannotTell) {
    co_return TryLater("state unknown");
  }
  if (status.found == Status::JobPresence::kNo)
    co_return Error(404, "no such job");
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  json::Field(w, "id", id);
  json::Field(w, "status", status.status);
  w.Key("done");
  w.Uint(status.done);
  w.Key("running");
  w.Uint(status.running);
  w.EndObject();
  net::HttpResponse response;
  response.body = json::Text(buffer);
  co_return response;
}

net::Task<net::HttpResponse> Api::Cancel(std::string id) {
  if (!wire::ValidJobId(id)) co_return Error(404, "no such job");
  const Status status = co_await service_.Cancel(id);
  if (status.found == Status::JobPresence::kCannotTell) {
    co_return TryLater("cannot be recorded now");
  }
  if (status.found == Status::JobPresence::kNo)
    co_return Error(404, "no such job");
  net::HttpResponse response;
  response.body = JobBody(id, status.status);
  co_return response;
}

net::HttpResponse Api::CurrentLeader() {
  const LeaderView view = service_.CurrentLeader();
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  json::Field(w, "leader", view.leader);
  w.Key("here");
  w.Bool(view.here);
  if (view.here) {
    w.Key("machines");
    w.Int(view.machines);
    w.Key("silent");
    w.Int(view.silent);
    w.Key("alarms");
    w.StartArray();
    for (const std::string& alarm : view.alarms) w.String(alarm.c_str());
    w.EndArray();
    w.Key("waiting");
    w.StartArray();
    for (const std::string& line : view.waiting) w.String(line.c_str());
    w.EndArray();
  }
  w.EndObject();
  net::HttpResponse response;
  response.body = json::Text(buffer);
  return response;
}

net::Task<net::HttpResponse> Api::OnHeartbeat(std::string body) {
  Heartbeat heartbeat;
  if (!wire::ParseReport(body, &heartbeat))
    co_return Error(400, "not a report");
  HeartbeatAnswer reported =
      co_await service_.OnHeartbeat(std::move(heartbeat), std::move(body));
  net::HttpResponse response;
  switch (reported.result) {
    case HeartbeatAnswer::Result::kAnswered:
      response.body = wire::EncodeReply(reported.reply);
      break;
    case HeartbeatAnswer::Result::kForwarded:
      response.body = std::move(reported.forwarded);
      break;
    case HeartbeatAnswer::Result::kElsewhere: {
      response.status = 421;
      rapidjson::StringBuffer buffer;
      json::Writer w(buffer);
      w.StartObject();
      if (!reported.leader.empty()) {
        json::Field(w, "controller", reported.leader);
      }
      w.EndObject();
      response.body = json::Text(buffer);
      break;
    }
    case HeartbeatAnswer::Result::kUnavailable:
      response = Error(503, "taking over");
      break;
  }
  co_return response;
}

}  // namespace oxbow::api
