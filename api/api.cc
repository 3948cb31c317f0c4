#include "api/api.h"

#include <rapidjson/document.h>

#include <utility>

#include "api/answers.h"
#include "wire/job_json.h"
#include "wire/json.h"
#include "wire/worker_json.h"

namespace oxbow::api {
namespace {

constexpr std::string_view kHeartbeatPath = "/v1/report";
constexpr std::string_view kReadyPath = "/ready";
constexpr std::string_view kLeaderPath = "/v2/leader";
constexpr std::string_view kJobsPath = "/v2/runs";
constexpr std::string_view kCancelSuffix = "/cancel";

std::string JobBody(const std::string& id, std::string_view status) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "id", id);
  json::Field(writer, "status", status);
  writer.EndObject();
  return json::Text(buffer);
}

std::string JobStatusBody(const std::string& id, const JobStatus& status) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "id", id);
  json::Field(writer, "status", status.status);
  writer.Key("done");
  writer.Uint(status.done);
  writer.Key("running");
  writer.Uint(status.running);
  writer.EndObject();
  return json::Text(buffer);
}

std::string RedirectBody(const std::string& leader) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  if (!leader.empty()) json::Field(writer, "controller", leader);
  writer.EndObject();
  return json::Text(buffer);
}

void WriteStrings(json::Writer& writer, const char* key,
                  const std::vector<std::string>& values) {
  writer.Key(key);
  writer.StartArray();
  for (const std::string& value : values) writer.String(value.c_str());
  writer.EndArray();
}

void WriteCount(json::Writer& writer, std::string_view key, uint64_t count) {
  json::Key(writer, key);
  writer.Uint64(count);
}

void WriteCommandCounters(json::Writer& writer,
                          const CommandCounters& counters) {
  writer.Key("commands");
  writer.StartObject();
  writer.Key("tokens_raised");
  writer.StartObject();
  for (size_t i = 0; i < kTokenRaiseReasons; ++i) {
    WriteCount(writer, kTokenRaiseReasonNames.at(i),
               counters.tokens_raised.at(i));
  }
  writer.EndObject();
  WriteCount(writer, "batches_refused", counters.batches_refused);
  WriteCount(writer, "unexpected_attempts", counters.unexpected_attempts);
  WriteCount(writer, "duplicate_attempts", counters.duplicate_attempts);
  writer.EndObject();
}

void WriteCounters(json::Writer& writer, const ControllerCounters& counters) {
  WriteCount(writer, "answered", counters.answered);
  writer.Key("withheld");
  writer.StartObject();
  for (size_t i = 0; i < kWithheldReasons; ++i) {
    WriteCount(writer, kWithheldReasonNames.at(i), counters.withheld.at(i));
  }
  writer.EndObject();
  writer.Key("oldest_withheld_s");
  writer.Double(counters.oldest_withheld_seconds);
  writer.Key("longest_stall_s");
  writer.Double(counters.longest_stall_seconds);
}

void WriteConnections(json::Writer& writer,
                      const net::HttpServer::Counters& counters) {
  writer.Key("connections");
  writer.StartObject();
  WriteCount(writer, "limit", counters.limit);
  WriteCount(writer, "open", counters.open);
  for (size_t i = 0; i < kClientKinds; ++i) {
    WriteCount(writer, kClientKindNames.at(i), counters.open_by_kind.at(i));
  }
  WriteCount(writer, "accepted", counters.accepted);
  WriteCount(writer, "refused", counters.refused);
  WriteCount(writer, "evicted", counters.evicted);
  WriteCount(writer, "turned_over", counters.turned_over);
  WriteCount(writer, "out_of_descriptors", counters.out_of_descriptors);
  writer.EndObject();
}

net::HttpResponse Response(int status, std::string body) {
  net::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

size_t ClassifyClient(const net::HttpRequest& request) {
  const std::string_view path = request.path();
  ClientKind kind = ClientKind::kOperator;
  if (path == kHeartbeatPath) {
    kind = ClientKind::kWorker;
  } else if (path == kReadyPath) {
    kind = ClientKind::kProbe;
  } else if (path.starts_with(kJobsPath)) {
    kind = ClientKind::kUser;
  }
  return static_cast<size_t>(kind);
}

net::Task<net::HttpResponse> Api::Handle(net::HttpRequest request) {
  const std::string path(request.path());
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (path == kHeartbeatPath) {
    if (!post) co_return WrongMethod("POST");
    co_return co_await OnHeartbeat(std::move(request.body));
  }
  if (path == kReadyPath) {
    co_return get ? Readiness() : WrongMethod("GET");
  }
  if (path == kLeaderPath) {
    co_return get ? CurrentLeader() : WrongMethod("GET");
  }
  if (rollouts_ != nullptr && rollouts_->Matches(path)) {
    co_return co_await rollouts_->Handle(std::move(request));
  }
  if (records_ != nullptr && RecordRoutes::Matches(path)) {
    co_return co_await records_->Handle(std::move(request));
  }
  if (path == kJobsPath) {
    if (!post) co_return WrongMethod("POST");
    co_return co_await Submit(std::move(request.body));
  }
  co_return co_await HandleJob(path, request.method);
}

net::Task<net::HttpResponse> Api::HandleJob(std::string path,
                                            std::string method) {
  if (!path.starts_with(kJobsPath) || path[kJobsPath.size()] != '/') {
    co_return Error(404, "no such path");
  }
  std::string id = path.substr(kJobsPath.size() + 1);
  const bool cancel = id.ends_with(kCancelSuffix);
  if (cancel) id.resize(id.size() - kCancelSuffix.size());
  if (id.find('/') != std::string::npos) {
    co_return Error(404, "no such path");
  }
  if (cancel) {
    if (method != "POST") co_return WrongMethod("POST");
    co_return co_await Cancel(std::move(id));
  }
  if (method != "GET") co_return WrongMethod("GET");
  co_return co_await GetStatus(std::move(id));
}

net::HttpResponse Api::Readiness() {
  if (!service_.IsReady()) return TryLater("not ready");
  net::HttpResponse response;
  response.body = "{}";
  return response;
}

net::Task<net::HttpResponse> Api::RefuseUnlessKnown(std::string id, int status,
                                                    std::string reason) {
  if (wire::ValidJobId(id)) {
    const JobStatus known = co_await service_.GetStatus(id);
    if (known.presence == JobStatus::Presence::kExists) {
      co_return Response(200, JobBody(id, known.status));
    }
    if (known.presence == JobStatus::Presence::kUnknown) {
      co_return TryLater("state unknown");
    }
  }
  co_return Error(status, reason);
}

net::Task<net::HttpResponse> Api::Submit(std::string body) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc)) co_return Error(400, "not JSON");
  if (!doc.IsObject()) co_return Error(400, "not an object");
  const std::string id = json::GetString(doc, "id");
  if (wire::ValidJobId(id) && service_.IsKnownLocally(id)) {
    co_return co_await RefuseUnlessKnown(id, 400, "known");
  }
  auto spec = std::make_shared<JobSpec>();
  const std::string malformed = wire::ReadSpec(doc, spec.get());
  if (!malformed.empty()) {
    co_return co_await RefuseUnlessKnown(id, 400, malformed);
  }
  const auto* types = service_.MachineTypes();
  if (types == nullptr) co_return TryLater("machine types unknown");
  const std::string impossible =
      wire::WhyImpossible(*spec, *types, service_.TeamQuotas());
  if (!impossible.empty()) {
    co_return co_await RefuseUnlessKnown(id, 422, impossible);
  }
  co_return co_await SubmitValid(std::move(spec));
}

net::Task<net::HttpResponse> Api::SubmitValid(
    std::shared_ptr<const JobSpec> spec) {
  const std::string id = spec->id;
  const SubmitResult result = co_await service_.Submit(std::move(spec));
  switch (result) {
    case SubmitResult::kAccepted:
      co_return Response(201, JobBody(id, "pending"));
    case SubmitResult::kAlreadyKnown:
      co_return co_await RefuseUnlessKnown(id, 503, "state unknown");
    case SubmitResult::kTooLarge:
      co_return co_await RefuseUnlessKnown(id, 400, "description too large");
    case SubmitResult::kUnknownDependency:
      co_return co_await RefuseUnlessKnown(
          id, 422, "field waits_on names a job that was never accepted");
    case SubmitResult::kUnavailable:
      break;
  }
  co_return TryLater("cannot be recorded now");
}

net::Task<net::HttpResponse> Api::GetStatus(std::string id) {
  // A job with a malformed id can never have been accepted.
  if (!wire::ValidJobId(id)) co_return Error(404, "no such job");
  const JobStatus status = co_await service_.GetStatus(id);
  switch (status.presence) {
    case JobStatus::Presence::kExists:
      co_return Response(200, JobStatusBody(id, status));
    case JobStatus::Presence::kNotFound:
      co_return Error(404, "no such job");
    case JobStatus::Presence::kUnknown:
      break;
  }
  co_return TryLater("state unknown");
}

net::Task<net::HttpResponse> Api::Cancel(std::string id) {
  if (!wire::ValidJobId(id)) co_return Error(404, "no such job");
  const JobStatus status = co_await service_.Cancel(id);
  switch (status.presence) {
    case JobStatus::Presence::kExists:
      co_return Response(200, JobBody(id, status.status));
    case JobStatus::Presence::kNotFound:
      co_return Error(404, "no such job");
    case JobStatus::Presence::kUnknown:
      break;
  }
  co_return TryLater("cannot be recorded now");
}

net::HttpResponse Api::CurrentLeader() {
  const LeaderView view = service_.CurrentLeader();
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "leader", view.leader);
  writer.Key("here");
  writer.Bool(view.here);
  if (view.here) {
    writer.Key("machines");
    writer.Int(view.machines);
    writer.Key("silent");
    writer.Int(view.silent);
    WriteCount(writer, "expired_leases", view.expired_leases);
    WriteCommandCounters(writer, view.commands);
    WriteStrings(writer, "alarms", view.alarms);
    WriteStrings(writer, "waiting", view.waiting);
  }
  WriteCounters(writer, service_.Counters());
  if (connections_) WriteConnections(writer, connections_());
  writer.EndObject();
  return Response(200, json::Text(buffer));
}

net::Task<net::HttpResponse> Api::OnHeartbeat(std::string body) {
  Heartbeat heartbeat;
  if (!wire::ParseReport(body, &heartbeat)) {
    co_return Error(400, "not a report");
  }
  HeartbeatAnswer answer =
      co_await service_.OnHeartbeat(std::move(heartbeat), std::move(body));
  switch (answer.result) {
    case HeartbeatAnswer::Result::kAnswered:
      co_return Response(200, wire::EncodeReply(answer.response));
    case HeartbeatAnswer::Result::kForwarded:
      co_return Response(200, std::move(answer.forwarded));
    case HeartbeatAnswer::Result::kRedirected:
      co_return Response(421, RedirectBody(answer.leader));
    case HeartbeatAnswer::Result::kUnavailable:
      break;
  }
  co_return Error(503, "taking over");
}

}  // namespace oxbow::api
