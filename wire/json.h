// Small conveniences over RapidJSON, so that a missing or mistyped field is
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

// The key of the next field of an object that has been begun.
inline void Key(Writer& writer, std::string_view key) {
  writer.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
}

// A string value, as it is; the writer escapes it.
inline void String(Writer& writer, std::string_view text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

// A field with a string value.
inline void Field(Writer& writer, std::string_view key, std::string_view text) {
  Key(writer, key);
  String(writer, text);
}

// What has been written so far.
inline std::string Text(const rapidjson::StringBuffer& buffer) {
  return {buffer.GetString(), buffer.GetSize()};
}

// Null when absent, null in the JSON, or the parent is not an object.
inline const rapidjson::Value* Find(const rapidjson::Value& object,
                                    const char* key) {
  if (!object.IsObject()) return nullptr;
  const auto it = object.FindMember(key);
  if (it == object.MemberEnd() || it->value.IsNull()) return nullptr;
  return &it->value;
}

// The text of a string value; lives as long as the value.
inline std::string_view View(const rapidjson::Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

// The following read one field. One that is missing or of another type counts
// as absent: empty, the fallback, or false.
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

// False if the text is not JSON.
inline bool Parse(std::string_view text, rapidjson::Document* out) {
  out->Parse(text.data(), text.size());
  return !out->HasParseError();
}

}  // namespace oxbow::json
