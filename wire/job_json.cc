#include "wire/job_json.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "wire/field_reader.h"
#include "wire/names.h"

namespace oxbow::wire {

bool ValidJobId(std::string_view id) {
  constexpr std::string_view kPrefix = "job-";
  constexpr size_t kMinDigits = 6;
  constexpr size_t kMaxDigits = 18;
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  return id.size() >= kMinDigits && id.size() <= kMaxDigits &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

namespace {

// Whether `ids` is a valid list of dependencies of the job `id`: valid job ids
// without duplicates and without `id` itself.
bool ValidWaitsOn(const std::vector<std::string>& ids, const std::string& id) {
  const std::set<std::string_view> different(ids.begin(), ids.end());
  return different.size() == ids.size() && !different.contains(id) &&
         std::all_of(ids.begin(), ids.end(), ValidJobId);
}

}  // namespace

std::string ReadSpec(const rapidjson::Value& value, JobSpec* out) {
  if (!value.IsObject()) return "not an object";
  FieldReader read(value);
  read.String("id", &out->id);
  read.String("duty", &out->job_class);
  read.String("crew", &out->team);
  read.Word("form", kJobKinds, &out->kind);
  read.Word("standing", kPriorities, &out->priority);
  read.Count("legs", 1, kMaxTasks, &out->tasks);
  read.Amount("cores", 0, &out->need.cpus);
  read.Amount("accelerators", 0, &out->need.gpus);
  read.Amount("memory_gb", 0, &out->need.memory_gb);
  read.String("build", &out->image);
  read.Amount("size_gb", 0, &out->image_gb);
  read.OptionalStrings("fleets", &out->types);
  read.OptionalString("yard", &out->zone);
  read.Bool("together", &out->one_zone);
  read.Bool("scatter", &out->spread);
  read.Bool("loaner", &out->spot);
  read.Amount("reckon_s", 0, &out->estimate_seconds);
  read.Amount("bookmark_s", 0, &out->checkpoint_seconds);
  read.Amount("stow_s", 0, &out->save_seconds);
  read.OptionalAmount("due_s", &out->deadline_seconds);
  std::optional<std::vector<std::string>> dependencies;
  read.OptionalStrings("waits_on", &dependencies);
  if (!read.error().empty()) return read.error();
  if (!ValidJobId(out->id)) return "field id";
  if (dependencies) {
    if (!ValidWaitsOn(*dependencies, out->id)) return "field waits_on";
    out->dependencies = std::move(*dependencies);
  }
  return {};
}

void WriteSpec(json::Writer& writer, const JobSpec& spec) {
  const auto number = [&](const char* key, double value) {
    writer.Key(key);
    writer.Double(value);
  };
  writer.StartObject();
  json::Field(writer, "id", spec.id);
  json::Field(writer, "duty", spec.job_class);
  json::Field(writer, "crew", spec.team);
  json::Field(writer, "form", NameOf(kJobKinds, spec.kind));
  json::Field(writer, "standing", NameOf(kPriorities, spec.priority));
  writer.Key("legs");
  writer.Uint(spec.tasks);
  number("cores", spec.need.cpus);
  number("accelerators", spec.need.gpus);
  number("memory_gb", spec.need.memory_gb);
  json::Field(writer, "build", spec.image);
  number("size_gb", spec.image_gb);
  if (spec.types) {
    writer.Key("fleets");
    writer.StartArray();
    for (const std::string& type : *spec.types) json::String(writer, type);
    writer.EndArray();
  }
  if (spec.zone) json::Field(writer, "yard", *spec.zone);
  writer.Key("together");
  writer.Bool(spec.one_zone);
  writer.Key("scatter");
  writer.Bool(spec.spread);
  writer.Key("loaner");
  writer.Bool(spec.spot);
  number("reckon_s", spec.estimate_seconds);
  number("bookmark_s", spec.checkpoint_seconds);
  number("stow_s", spec.save_seconds);
  if (spec.deadline_seconds) number("due_s", *spec.deadline_seconds);
  if (!spec.dependencies.empty()) {
    writer.Key("waits_on");
    writer.StartArray();
    for (const std::string& id : spec.dependencies) json::String(writer, id);
    writer.EndArray();
  }
  writer.EndObject();
}

std::string WhyImpossible(const JobSpec& spec,
                          const std::map<std::string, MachineType>& types,
                          const std::vector<TeamQuota>& teams) {
  const auto team = std::find_if(
      teams.begin(), teams.end(),
      [&](const TeamQuota& team) { return team.name == spec.team; });
  if (team == teams.end()) return "unknown team";
  const bool fits = std::any_of(types.begin(), types.end(), [&](const auto& t) {
    const MachineType& type = t.second;
    const bool zone =
        !spec.zone || std::find(type.zones.begin(), type.zones.end(),
                                *spec.zone) != type.zones.end();
    return spec.AllowsType(type.name) && zone && spec.need.FitsIn(type.total);
  });
  if (!fits) return "a task fits no allowed machine type";
  const double at_once = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  const Resources needed = spec.need * at_once;
  constexpr double kEpsilon = 1e-6;
  if ((team->cpus_max > 0 && needed.cpus > team->cpus_max + kEpsilon) ||
      (team->gpus_max > 0 && needed.gpus > team->gpus_max + kEpsilon)) {
    return "over the team's limit";
  }
  return {};
}

}  // namespace oxbow::wire
