#include "wire/worker_json.h"

#include <charconv>
#include <utility>

#include "wire/json.h"
#include "wire/names.h"

namespace oxbow::wire {
namespace {

bool ReadTask(const rapidjson::Value& value, TaskStatus* out) {
  const auto* leg = json::Find(value, "leg");
  if (leg == nullptr || !leg->IsString()) return false;
  const std::string_view name = json::View(*leg);
  const size_t slash = name.rfind('/');
  if (slash == std::string_view::npos) return false;
  out->job_id = std::string(name.substr(0, slash));
  const char* end = name.data() + name.size();
  const auto [stop, error] =
      std::from_chars(name.data() + slash + 1, end, out->task);
  if (error != std::errc() || stop != end) return false;
  out->attempt = json::GetUint(value, "try_no");
  const auto* phase = json::Find(value, "status");
  if (phase == nullptr || !phase->IsString() ||
      !TermOf(kPhases, json::View(*phase), &out->phase)) {
    return false;
  }
  const auto* reason = json::Find(value, "exit_reason");
  if (reason != nullptr && reason->IsString() &&
      !TermOf(kReasons, json::View(*reason), &out->reason)) {
    out->reason =
        ExitReason::kError;  // an unknown exit reason is not a success
  }
  out->saved = json::GetBool(value, "saved");
  return true;
}

}  // namespace

void WriteOrders(json::Writer& writer,
                 const std::vector<WorkerCommand>& commands) {
  writer.Key("orders");
  writer.StartArray();
  for (const WorkerCommand& command : commands) {
    writer.StartObject();
    json::Field(writer, "order", NameOf(kCommands, command.kind));
    json::Field(writer, "leg",
                command.job_id + "/" + std::to_string(command.task));
    writer.Key("try_no");
    writer.Uint64(command.attempt);
    if (command.kind == CommandKind::kStop) {
      writer.Key("wind_down_s");
      writer.Double(command.grace_seconds);
    }
    writer.EndObject();
  }
  writer.EndArray();
}

bool ParseReport(std::string_view body, Heartbeat* out) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc) || !doc.IsObject()) return false;
  out->host = json::GetString(doc, "host");
  out->endpoint = json::GetString(doc, "endpoint");
  out->type = json::GetString(doc, "fleet");
  out->zone = json::GetString(doc, "yard");
  out->spot = json::GetBool(doc, "loaner");
  out->incarnation = json::GetUint(doc, "tenure");
  out->seq = json::GetUint(doc, "tally");
  out->token = json::GetUint(doc, "fence");
  const auto* notice = json::Find(doc, "warning_s");
  if (notice != nullptr && notice->IsNumber()) {
    out->notice_seconds = notice->GetDouble();
  }
  const auto* tasks = json::Find(doc, "legs");
  if (tasks != nullptr && tasks->IsArray()) {
    out->tasks.reserve(tasks->Size());
    for (const auto& item : tasks->GetArray()) {
      TaskStatus task;
      // The whole heartbeat is rejected: if only the invalid task were skipped,
      // the task would seem to be missing on the worker.
      if (!ReadTask(item, &task)) return false;
      out->tasks.push_back(std::move(task));
    }
  }
  return !out->host.empty() && !out->endpoint.empty() && out->incarnation > 0;
}

std::string EncodeReply(const HeartbeatResponse& reply) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("fence");
  writer.Uint64(reply.token);
  WriteOrders(writer, reply.commands);
  writer.EndObject();
  return json::Text(buffer);
}

}  // namespace oxbow::wire
