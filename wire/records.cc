#include "wire/records.h"

#include <cmath>
#include <memory>
#include <optional>
#include <utility>

#include "wire/job_json.h"
#include "wire/json.h"
#include "wire/names.h"
#include "wire/operator_json.h"
#include "wire/rollout_json.h"

namespace oxbow::wire {
namespace {

using json::Field;
using json::Key;

struct Encoder {
  json::Writer& writer;

  void operator()(std::monostate) const { writer.Null(); }
  void operator()(const LeaderRecord& r) const {
    Field(writer, "node", r.node);
    Field(writer, "incarnation", r.incarnation);
    if (r.renews_only) {
      Key(writer, "keeping");
      writer.Bool(true);
    }
  }
  void operator()(const JobRecord& r) const {
    Key(writer, "spec");
    WriteSpec(writer, *r.spec);
    Key(writer, "t");
    writer.Double(r.submitted_wall);
    if (r.terminal_state != TerminalState::kNone) {
      Field(writer, "final", NameOf(kTerminalStates, r.terminal_state));
    }
    if (r.released_wall > 0) {
      Key(writer, "released");
      writer.Double(r.released_wall);
    }
  }
  void operator()(const WaitingRecord& r) const {
    Key(writer, "spec");
    WriteSpec(writer, *r.spec);
    Key(writer, "t");
    writer.Double(r.submitted_wall);
  }
  void operator()(const MachineRecord& r) const {
    Field(writer, "type", r.type);
    Field(writer, "zone", r.zone);
    Key(writer, "spot");
    writer.Bool(r.spot);
    Field(writer, "endpoint", r.endpoint);
    Key(writer, "t");
    writer.Double(r.requested_wall);
  }
  void operator()(const ScaleOutRecord& r) const {
    Field(writer, "type", r.type);
    Field(writer, "zone", r.zone);
    Key(writer, "spot");
    writer.Bool(r.spot);
    Key(writer, "count");
    writer.Int(r.count);
  }
  void operator()(const TerminalRecord& record) const {
    Field(writer, "final", NameOf(kTerminalStates, record.state));
    Key(writer, "tasks");
    writer.Uint(record.tasks);
  }
  void operator()(const RolloutRecord& record) const {
    Key(writer, "spec");
    writer.StartObject();
    WriteRolloutSpec(writer, *record.spec);
    writer.EndObject();
    Field(writer, "step", NameOf(kRolloutStepNames, record.step));
    Field(writer, "paused_in", NameOf(kRolloutStepNames, record.paused_in));
    Field(writer, "wish", NameOf(kRolloutRequests, record.request));
    Field(writer, "reason", record.reason);
    Key(writer, "t");
    writer.Double(record.declared_wall);
  }
  void operator()(const StoreEpoch& r) const {
    Key(writer, "number");
    writer.Uint64(r.number);
    Field(writer, "id", r.id);
    Key(writer, "base");
    writer.Uint64(r.base);
    Key(writer, "whole");
    writer.Bool(r.whole);
    Key(writer, "rebuilt");
    writer.Bool(r.rebuilt);
    Key(writer, "t");
    writer.Double(r.opened_wall);
  }
  void operator()(const EpochMark& r) const {
    Key(writer, "number");
    writer.Uint64(r.number);
  }
  void operator()(const OperatorRecord& r) const { WriteOperator(writer, r); }
  void operator()(const VersionRecord& r) const {
    Key(writer, "version");
    writer.Uint(r.version);
  }
  void operator()(const WriteFence& r) const {
    Key(writer, "number");
    writer.Uint64(r.number);
  }
};

// The functions below that return an optional return nothing if the value is
// not a valid record of their kind.

TerminalState TerminalStateOf(const rapidjson::Value& value) {
  TerminalState state = TerminalState::kNone;
  TermOf(kTerminalStates, json::GetString(value, "final"), &state);
  return state;
}

std::optional<StoreEpoch> DecodeEpoch(const rapidjson::Value& value) {
  StoreEpoch epoch;
  epoch.number = json::GetUint(value, "number");
  epoch.id = json::GetString(value, "id");
  epoch.base = json::GetUint(value, "base");
  epoch.whole = json::GetBool(value, "whole");
  epoch.rebuilt = json::GetBool(value, "rebuilt");
  epoch.opened_wall = json::GetDouble(value, "t");
  if (epoch.number == 0 || epoch.id.empty()) return std::nullopt;
  return epoch;
}

std::shared_ptr<const JobSpec> DecodeSpec(const rapidjson::Value& value) {
  const auto* spec = json::Find(value, "spec");
  auto parsed = std::make_shared<JobSpec>();
  if (spec == nullptr || !ReadSpec(*spec, parsed.get()).empty()) {
    return nullptr;
  }
  return parsed;
}

std::optional<JobRecord> DecodeJob(const rapidjson::Value& value) {
  const std::shared_ptr<const JobSpec> spec = DecodeSpec(value);
  if (spec == nullptr) return std::nullopt;
  return JobRecord{spec, json::GetDouble(value, "t"), TerminalStateOf(value), 0,
                   json::GetDouble(value, "released")};
}

std::optional<WaitingRecord> DecodeWaiting(const rapidjson::Value& value) {
  const std::shared_ptr<const JobSpec> spec = DecodeSpec(value);
  if (spec == nullptr) return std::nullopt;
  return WaitingRecord{spec, json::GetDouble(value, "t"), 0};
}

std::optional<RolloutRecord> DecodeRollout(const rapidjson::Value& value) {
  const auto* spec = json::Find(value, "spec");
  auto parsed = std::make_shared<RolloutSpec>();
  RolloutRecord record;
  if (spec == nullptr || !ReadRolloutSpec(*spec, parsed.get()).empty() ||
      !TermOf(kRolloutStepNames, json::GetString(value, "step"),
              &record.step) ||
      !TermOf(kRolloutStepNames, json::GetString(value, "paused_in"),
              &record.paused_in) ||
      !TermOf(kRolloutRequests, json::GetString(value, "wish"),
              &record.request)) {
    return std::nullopt;
  }
  record.spec = std::move(parsed);
  record.reason = json::GetString(value, "reason");
  record.declared_wall = json::GetDouble(value, "t");
  return record;
}

std::optional<OperatorRecord> DecodeOperator(const rapidjson::Value& value) {
  OperatorRecord record;
  if (!ReadOperator(value, &record)) return std::nullopt;
  return record;
}

MachineRecord DecodeMachine(const rapidjson::Value& value) {
  return {json::GetString(value, "type"), json::GetString(value, "zone"),
          json::GetBool(value, "spot"),   json::GetString(value, "endpoint"),
          json::GetDouble(value, "t"),    0};
}

ScaleOutRecord DecodeScaleOut(const rapidjson::Value& value) {
  return {json::GetString(value, "type"), json::GetString(value, "zone"),
          json::GetBool(value, "spot"),
          static_cast<int>(json::GetUint(value, "count")), 0};
}

// Assigns the decoded value to the record. Returns false and leaves the record
// unchanged if there is no value.
template <typename Kind>
bool Assign(std::optional<Kind> decoded, Record* out) {
  if (!decoded) return false;
  *out = std::move(*decoded);
  return true;
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  std::visit(Encoder{writer}, record);
  writer.EndObject();
  return json::Text(buffer);
}

bool DecodeRecord(std::string_view key, const rapidjson::Value& value,
                  Record* out) {
  const auto is = [key](std::string_view prefix) {
    return key.starts_with(prefix);
  };
  if (!value.IsObject()) return false;
  if (key == keys::kEpoch) return Assign(DecodeEpoch(value), out);
  if (is(keys::kJob)) return Assign(DecodeJob(value), out);
  if (is(keys::kWaiting)) return Assign(DecodeWaiting(value), out);
  if (is(keys::kRollout) || is(keys::kEndedRollout)) {
    return Assign(DecodeRollout(value), out);
  }
  if (is(keys::kOperator) || is(keys::kOperatorHistory)) {
    return Assign(DecodeOperator(value), out);
  }
  if (is(keys::kEpochMark)) {
    *out = EpochMark{json::GetUint(value, "number"), 0};
  } else if (key == keys::kLeader) {
    *out = LeaderRecord{json::GetString(value, "node"),
                        json::GetString(value, "incarnation"), 0,
                        json::GetBool(value, "keeping")};
  } else if (is(keys::kMachine)) {
    *out = DecodeMachine(value);
  } else if (is(keys::kVersion)) {
    *out = VersionRecord{static_cast<uint32_t>(json::GetUint(value, "version")),
                         0};
  } else if (is(keys::kScaleOut)) {
    *out = DecodeScaleOut(value);
  } else if (is(keys::kTerminal)) {
    *out =
        TerminalRecord{TerminalStateOf(value),
                       static_cast<uint32_t>(json::GetUint(value, "tasks")), 0};
  } else {
    return false;
  }
  return true;
}

}  // namespace oxbow::wire
