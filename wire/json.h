// Helper functions for RapidJSON, so that a missing or mistyped field is
// handled the same way everywhere.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace oxbow::json {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Writes the key of the next field of the object that is being written.
inline void Key(Writer& writer, std::string_view key) {
  writer.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
}

// Writes a string value. `text` is unescaped; the writer escapes it.
inline void String(Writer& writer, std::string_view text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

// Writes a field with a string value.
inline void Field(Writer& writer, std::string_view key, std::string_view text) {
  Key(writer, key);
  String(writer, text);
}

// Returns the JSON text written so far.
inline std::string Text(const rapidjson::StringBuffer& buffer) {
  return {buffer.GetString(), buffer.GetSize()};
}

// Returns the value of a field, or a null pointer if the field is absent or
// null in the JSON, or if `object` is not an object.
inline const rapidjson::Value* Find(const rapidjson::Value& object,
                                    const char* key) {
  if (!object.IsObject()) return nullptr;
  const auto it = object.FindMember(key);
  if (it == object.MemberEnd() || it->value.IsNull()) return nullptr;
  return &it->value;
}

// Returns the text of a string value. The view is valid as long as the value.
inline std::string_view View(const rapidjson::Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

// The Get... functions read one field. If it is missing or of another type,
// they return an empty string, the fallback, or false.
inline std::string GetString(const rapidjson::Value& object, const char* key) {
  const rapidjson::Value* value = Find(object, key);
  return value != nullptr && value->IsString() ? std::string(View(*value))
                                               : std::string();
}

inline double GetDouble(const rapidjson::Value& object, const char* key,
                        double fallback = 0) {
  const rapidjson::Value* value = Find(object, key);
  return value != nullptr && value->IsNumber() ? value->GetDouble() : fallback;
}

inline uint64_t GetUint(const rapidjson::Value& object, const char* key,
                        uint64_t fallback = 0) {
  const rapidjson::Value* value = Find(object, key);
  return value != nullptr && value->IsUint64() ? value->GetUint64() : fallback;
}

inline bool GetBool(const rapidjson::Value& object, const char* key) {
  const rapidjson::Value* value = Find(object, key);
  return value != nullptr && value->IsBool() && value->GetBool();
}

// Parses JSON text. Returns false if the text is not valid JSON.
inline bool Parse(std::string_view text, rapidjson::Document* out) {
  out->Parse(text.data(), text.size());
  return !out->HasParseError();
}

}  // namespace oxbow::json
