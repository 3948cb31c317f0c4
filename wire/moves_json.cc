#include "wire/moves_json.h"

#include "wire/field_reader.h"
#include "wire/job_json.h"
#include "wire/json.h"

namespace oxbow::wire {
namespace {

std::string Read(const std::string& text, MoveClaim* out) {
  rapidjson::Document document;
  if (!json::Parse(text, &document) || !document.IsObject()) {
    return "not an object";
  }
  FieldReader read(document);
  MoveClaim claim;
  read.String("id", &claim.id);
  read.String("service", &claim.job);
  read.Count("task", 0, kMaxTasks - 1, &claim.task);
  read.String("from", &claim.from);
  read.String("to", &claim.to);
  read.String("for", &claim.for_job);
  read.Amount("until", 0, &claim.expires_wall);
  read.Amount("cool", 0, &claim.cooldown_until_wall);
  claim.attempt = json::GetUint(document, "attempt");
  if (!read.error().empty()) return read.error();
  if (!ValidJobId(claim.job)) return "field service";
  if (!ValidJobId(claim.for_job)) return "field for";
  *out = std::move(claim);
  return {};
}

}  // namespace

std::string WriteMoveClaim(const MoveClaim& claim) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "id", claim.id);
  json::Field(writer, "service", claim.job);
  writer.Key("task");
  writer.Uint(claim.task);
  writer.Key("attempt");
  writer.Uint64(claim.attempt);
  json::Field(writer, "from", claim.from);
  json::Field(writer, "to", claim.to);
  json::Field(writer, "for", claim.for_job);
  writer.Key("until");
  writer.Double(claim.expires_wall);
  writer.Key("cool");
  writer.Double(claim.cooldown_until_wall);
  writer.EndObject();
  return json::Text(buffer);
}

bool ReadMoveClaim(const std::string& text, MoveClaim* out) {
  return Read(text, out).empty();
}

std::string CheckMoveClaim(const std::string& /*name*/,
                           const std::string& text) {
  MoveClaim claim;
  return Read(text, &claim);
}

}  // namespace oxbow::wire
