#include "wire/calendar_json.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>

#include "core/maintenance/maintenance_calendar.h"
#include "wire/field_reader.h"
#include "wire/json.h"
#include "wire/names.h"

namespace oxbow::wire {
namespace {

using BookingName = std::pair<WindowKind, std::string_view>;
constexpr std::array kBookingKinds = {
    BookingName{WindowKind::kWindow, "window"},
    BookingName{WindowKind::kPeak, "peak"}};

using OverrunName = std::pair<Overrun, std::string_view>;
constexpr std::array kOverruns = {
    OverrunName{Overrun::kRunOn, "run_on"},
    OverrunName{Overrun::kSaveAndStop, "save_and_stop"},
    OverrunName{Overrun::kHoldBack, "hold_back"}};

constexpr size_t kMaxNames = 32;
constexpr size_t kMaxExceptions = 64;
constexpr size_t kMaxRuleBytes = 512;
constexpr double kMaxLengthSeconds = 31 * 86400;
constexpr double kMaxUnixSeconds =
    4102444800;  // s since 1970: 2100, leaves room for arithmetic

std::string ReadNames(const rapidjson::Value& value, const char* key,
                      size_t most, std::vector<std::string>* out) {
  FieldReader read(value);
  std::optional<std::vector<std::string>> names;
  read.OptionalStrings(key, &names);
  if (!read.error().empty()) return read.error();
  if (!names) return {};
  *out = std::move(*names);
  const bool good =
      out->size() <= most &&
      std::all_of(out->begin(), out->end(), [](const std::string& name) {
        return !name.empty() && name.size() <= 200;
      });
  return good ? std::string() : std::string("field ") + key;
}

std::string ReadWork(const rapidjson::Value& value, WorkSelector* out) {
  const auto* work = json::Find(value, "work");
  if (work == nullptr || !work->IsObject()) return "field work";
  std::string wrong = ReadNames(*work, "classes", kMaxNames, &out->classes);
  if (wrong.empty()) wrong = ReadNames(*work, "teams", kMaxNames, &out->teams);
  if (wrong.empty()) wrong = ReadNames(*work, "tiers", kMaxNames, &out->tiers);
  FieldReader read(*work);
  read.AmountIfGiven("cores_above", 0, &out->cores_above);
  read.AmountIfGiven("accelerators_above", 0, &out->accelerators_above);
  if (wrong.empty()) wrong = read.error();
  return wrong.empty() ? wrong : "work, " + wrong;
}

// Reads `times`, a list of pairs of start (s since 1970) and length (s), which
// must be sorted and must not overlap.
std::string ReadTimes(const rapidjson::Value& value, MaintenanceWindow* out) {
  const auto* times = json::Find(value, "times");
  if (times == nullptr || !times->IsArray() ||
      times->Size() > kMaxWindowTimes) {
    return "field times";
  }
  for (const auto& pair : times->GetArray()) {
    if (!pair.IsArray() || pair.Size() != 2 || !pair[0].IsNumber() ||
        !pair[1].IsNumber()) {
      return "field times";
    }
    const double from = pair[0].GetDouble();
    const double length = pair[1].GetDouble();
    if (!(from >= 0 && from < kMaxUnixSeconds && length > 0 &&
          length < kMaxUnixSeconds)) {
      return "field times";
    }
    if (!out->times.empty() && from < out->times.back().to) {
      return "field times";
    }
    out->times.push_back({from, from + length});
  }
  FieldReader read(value);
  read.AmountIfGiven("known_until", 0, &out->known_until);
  return read.error();
}

void WriteNames(json::Writer& writer, const char* key,
                const std::vector<std::string>& names) {
  if (names.empty()) return;
  writer.Key(key);
  writer.StartArray();
  for (const std::string& name : names) json::String(writer, name);
  writer.EndArray();
}

}  // namespace

bool ValidBookingId(std::string_view id) {
  constexpr size_t kMaxIdBytes = 60;
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::islower(c) || std::isdigit(c) || c == '.' || c == '-' ||
                  c == '_';
         });
}

std::string ReadMaintenanceWindow(const std::string& id,
                                  const std::string& text, bool with_times,
                                  MaintenanceWindow* out) {
  *out = {};
  out->id = id;
  if (!ValidBookingId(id)) return "the id " + id.substr(0, 80);
  rapidjson::Document doc;
  if (!json::Parse(text, &doc)) return "not JSON";
  if (!doc.IsObject()) return "not an object";
  FieldReader read(doc);
  read.Word("kind", kBookingKinds, &out->kind);
  if (json::Find(doc, "overrun") != nullptr) {
    read.Word("overrun", kOverruns, &out->overrun);
  }
  read.AmountIfGiven("room", 0, &out->capacity_share);
  read.String("zone", &out->zone);
  read.String("starts", &out->starts);
  read.StringIfGiven("rule", &out->rule);
  read.Amount("length_s", 1, &out->length_seconds);
  if (!read.error().empty()) return read.error();
  if (out->length_seconds > kMaxLengthSeconds) return "field length_s";
  if (out->zone.size() > 80) return "field zone";
  if (out->starts.size() > 30) return "field starts";
  if (out->rule.size() > kMaxRuleBytes) return "field rule";
  std::string wrong = ReadNames(doc, "except", kMaxExceptions, &out->except);
  if (wrong.empty()) wrong = ReadWork(doc, &out->work);
  if (wrong.empty() && with_times) wrong = ReadTimes(doc, out);
  return wrong;
}

std::string WriteBooking(const MaintenanceWindow& booking) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "kind", NameOf(kBookingKinds, booking.kind));
  writer.Key("work");
  writer.StartObject();
  WriteNames(writer, "classes", booking.work.classes);
  WriteNames(writer, "teams", booking.work.teams);
  WriteNames(writer, "tiers", booking.work.tiers);
  if (booking.work.cores_above >= 0) {
    writer.Key("cores_above");
    writer.Double(booking.work.cores_above);
  }
  if (booking.work.accelerators_above >= 0) {
    writer.Key("accelerators_above");
    writer.Double(booking.work.accelerators_above);
  }
  writer.EndObject();
  writer.Key("room");
  writer.Double(booking.capacity_share);
  json::Field(writer, "overrun", NameOf(kOverruns, booking.overrun));
  json::Field(writer, "zone", booking.zone);
  json::Field(writer, "starts", booking.starts);
  if (!booking.rule.empty()) json::Field(writer, "rule", booking.rule);
  WriteNames(writer, "except", booking.except);
  writer.Key("length_s");
  writer.Double(booking.length_seconds);
  writer.Key("times");
  writer.StartArray();
  for (const UtcInterval& t : booking.times) {
    writer.StartArray();
    writer.Int64(std::llround(t.from));
    writer.Int64(std::llround(t.to) - std::llround(t.from));
    writer.EndArray();
  }
  writer.EndArray();
  if (booking.known_until > 0) {
    writer.Key("known_until");
    writer.Int64(std::llround(booking.known_until));
  }
  writer.EndObject();
  return json::Text(buffer);
}

}  // namespace oxbow::wire
