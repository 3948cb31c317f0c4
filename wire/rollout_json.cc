#include "wire/rollout_json.h"

#include <algorithm>
#include <cctype>

#include "health_expression/health_expression.h"
#include "wire/field_reader.h"
#include "wire/job_json.h"

namespace oxbow::wire {
namespace {

constexpr size_t kMaxCheckFieldBytes =
    1024;  // bytes of an expression or a path

std::string ReadCheck(const rapidjson::Value& value, HealthCheck* out) {
  FieldReader read(value);
  uint32_t port = 0;
  read.Count("port", 1, 65'535, &port);
  out->port = static_cast<uint16_t>(port);
  read.BoolIfGiven("port_per_task", &out->port_per_task);
  read.StringIfGiven("path", &out->path);
  read.AmountIfGiven("interval_s", 0.05, &out->interval_seconds);
  read.AmountIfGiven("timeout_s", 0.01, &out->timeout_seconds);
  read.CountIfGiven("good_in_row", 1, 1000, &out->good_in_row);
  read.CountIfGiven("bad_in_row", 1, 1000, &out->bad_in_row);
  read.StringIfGiven("verdict", &out->expression);
  read.AmountIfGiven("slow_ratio", 0, &out->slow_ratio);
  if (!read.error().empty()) return "check, " + read.error();
  const bool plain =
      std::all_of(out->path.begin(), out->path.end(),
                  [](unsigned char c) { return c > ' ' && c < 0x7f; });
  if (out->path.front() != '/' || out->path.size() > kMaxCheckFieldBytes ||
      !plain) {
    return "check, field path";
  }
  if (out->expression.size() > kMaxCheckFieldBytes)
    return "check, field verdict";
  return {};
}

}  // namespace

bool ValidRolloutId(std::string_view id) {
  constexpr std::string_view kPrefix = "ro-";
  constexpr size_t kMaxSuffixBytes = 60;
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  return !id.empty() && id.size() <= kMaxSuffixBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '.' || c == '-' || c == '_';
         });
}

std::string ReadRolloutSpec(const rapidjson::Value& value, RolloutSpec* out) {
  if (!value.IsObject()) return "not an object";
  FieldReader read(value);
  read.String("id", &out->id);
  read.String("from", &out->from);
  read.String("to", &out->to);
  read.Count("floor", 0, kMaxTasks, &out->floor);
  read.CountIfGiven("surge", 0, kMaxTasks, &out->surge);
  read.AmountIfGiven("start_s", 0, &out->start_seconds);
  read.AmountIfGiven("bake_s", 0, &out->bake_seconds);
  read.AmountIfGiven("watch_s", 0, &out->watch_seconds);
  if (!read.error().empty()) return read.error();
  if (!ValidRolloutId(out->id)) return "field id";
  if (!ValidJobId(out->from)) return "field from";
  if (!ValidJobId(out->to) || out->to == out->from) return "field to";
  const auto* check = json::Find(value, "check");
  if (check == nullptr || !check->IsObject()) return "field check";
  return ReadCheck(*check, &out->check);
}

void WriteRolloutSpec(json::Writer& writer, const RolloutSpec& spec) {
  const auto number = [&](const char* key, double value) {
    writer.Key(key);
    writer.Double(value);
  };
  const auto count = [&](const char* key, uint32_t value) {
    writer.Key(key);
    writer.Uint(value);
  };
  json::Field(writer, "id", spec.id);
  json::Field(writer, "from", spec.from);
  json::Field(writer, "to", spec.to);
  count("floor", spec.floor);
  count("surge", spec.surge);
  number("start_s", spec.start_seconds);
  number("bake_s", spec.bake_seconds);
  number("watch_s", spec.watch_seconds);
  writer.Key("check");
  writer.StartObject();
  count("port", spec.check.port);
  writer.Key("port_per_task");
  writer.Bool(spec.check.port_per_task);
  json::Field(writer, "path", spec.check.path);
  number("interval_s", spec.check.interval_seconds);
  number("timeout_s", spec.check.timeout_seconds);
  count("good_in_row", spec.check.good_in_row);
  count("bad_in_row", spec.check.bad_in_row);
  json::Field(writer, "verdict", spec.check.expression);
  number("slow_ratio", spec.check.slow_ratio);
  writer.EndObject();
}

std::string WhyNoRollout(const RolloutSpec& spec, uint32_t from_tasks) {
  if (spec.floor > from_tasks) {
    return "the floor is above the " + std::to_string(from_tasks) +
           " replicas of " + spec.from;
  }
  if (spec.surge == 0 && spec.floor == from_tasks) {
    return "with a floor of all replicas and no surge nothing could ever move";
  }
  const std::string wrong =
      health_expression::HealthExpression::WhatIsWrong(spec.check.expression);
  if (!wrong.empty()) return "the verdict can't be used: " + wrong;
  return {};
}

std::string RolloutBody(const RolloutRecord& record,
                        const RolloutCounts* counts) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  WriteRolloutSpec(writer, *record.spec);
  json::Field(writer, "step", NameOf(kRolloutStepNames, record.step));
  if (!record.reason.empty()) json::Field(writer, "reason", record.reason);
  if (record.request != RolloutRequest::kNone) {
    json::Field(writer, "wish", NameOf(kRolloutRequests, record.request));
  }
  if (counts != nullptr) {
    const auto count = [&](const char* key, uint32_t value) {
      writer.Key(key);
      writer.Uint(value);
    };
    count("old", counts->old_present);
    count("old_healthy", counts->old_healthy);
    count("new", counts->new_present);
    count("new_healthy", counts->new_healthy);
    count("new_baked", counts->new_baked);
  }
  writer.EndObject();
  return json::Text(buffer);
}

}  // namespace oxbow::wire
