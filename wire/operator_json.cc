#include "wire/operator_json.h"

#include "wire/field_reader.h"

namespace oxbow::wire {

void WriteOperator(json::Writer& writer, const OperatorRecord& r) {
  json::Field(writer, "kind", r.kind);
  json::Field(writer, "text", r.text);
  json::Key(writer, "version");
  writer.Uint64(r.version);
  json::Field(writer, "author", r.author);
  json::Field(writer, "note", r.note);
  json::Key(writer, "t");
  writer.Double(r.changed_wall);
  if (r.withdrawn) {
    json::Key(writer, "withdrawn");
    writer.Bool(true);
  }
}

bool ReadOperator(const rapidjson::Value& value, OperatorRecord* out) {
  out->kind = json::GetString(value, "kind");
  out->text = json::GetString(value, "text");
  out->version = json::GetUint(value, "version");
  out->author = json::GetString(value, "author");
  out->note = json::GetString(value, "note");
  out->changed_wall = json::GetDouble(value, "t");
  out->withdrawn = json::GetBool(value, "withdrawn");
  return !out->kind.empty() && out->version > 0;
}

std::string OperatorBody(const std::string& name, const OperatorRecord& r) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Field(writer, "name", name);
  json::Field(writer, "kind", r.kind);
  json::Key(writer, "version");
  writer.Uint64(r.version);
  json::Field(writer, "author", r.author);
  json::Field(writer, "note", r.note);
  json::Key(writer, "t");
  writer.Double(r.changed_wall);
  json::Key(writer, "withdrawn");
  writer.Bool(r.withdrawn);
  json::Key(writer, "text");
  rapidjson::Document text;
  if (json::Parse(r.text, &text)) {
    text.Accept(writer);
  } else {
    writer.Null();
  }
  writer.EndObject();
  return json::Text(buffer);
}

std::string ReadOperatorChange(const rapidjson::Value& value,
                               OperatorChange* out) {
  if (!value.IsObject()) return "not an object";
  const auto* version = json::Find(value, "version");
  if (version != nullptr && !version->IsUint64()) return "field version";
  out->version = json::GetUint(value, "version");
  FieldReader fields(value);
  fields.StringIfGiven("author", &out->record.author);
  fields.StringIfGiven("note", &out->record.note);
  fields.BoolIfGiven("withdrawn", &out->record.withdrawn);
  if (!fields.error().empty()) return fields.error();
  const auto* text = json::Find(value, "text");
  if (text == nullptr) {
    return out->record.withdrawn ? "" : "field text";
  }
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  text->Accept(writer);
  out->record.text = json::Text(buffer);
  return {};
}

}  // namespace oxbow::wire
