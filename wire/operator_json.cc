#include "wire/operator_json.h"

#include "wire/field_reader.h"

namespace oxbow::wire {

void WriteOperator(json::Writer& w, const OperatorRecord& r) {
  json::Field(w, "kind", r.kind);
  json::Field(w, "text", r.text);
  json::Key(w, "version");
  w.Uint64(r.version);
  json::Field(w, "author", r.author);
  json::Field(w, "note", r.note);
  json::Key(w, "t");
  w.Double(r.changed_wall);
  if (r.withdrawn) {
    json::Key(w, "withdrawn");
    w.Bool(true);
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
  json::Writer w(buffer);
  w.StartObject();
  json::Field(w, "name", name);
  json::Field(w, "kind", r.kind);
  json::Key(w, "version");
  w.Uint64(r.version);
  json::Field(w, "author", r.author);
  json::Field(w, "note", r.note);
  json::Key(w, "t");
  w.Double(r.changed_wall);
  json::Key(w, "withdrawn");
  w.Bool(r.withdrawn);
  json::Key(w, "text");
  rapidjson::Document text;
  if (json::Parse(r.text, &text)) {
    text.Accept(w);
  } else {
    w.Null();
  }
  w.EndObject();
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
  json::Writer w(buffer);
  text->Accept(w);
  out->record.text = json::Text(buffer);
  return {};
}

}  // namespace oxbow::wire
