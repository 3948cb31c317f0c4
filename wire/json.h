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

inline void Key(Writer& w, std::string_view key) {
  w.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
}

inline void String(Writer& w, std::string_view text) {
  w.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

inline void Field(Writer& w, std::string_view key, std::string_view text) {
  Key(w, key);
  String(w, text);
}

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

inline std::string_view View(const rapidjson::Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

inline std::string GetString(const rapidjson::Value& object, const char* key) {
  const auto* v = Find(object, key);
  return v != nullptr && v->IsString() ? std::string(View(*v)) : std::string();
}

inline double GetDouble(const rapidjson::Value& object, const char* key,
                        double fallback = 0) {
  const auto* v = Find(object, key);
  return v != nullptr && v->IsNumber() ? v->GetDouble() : fallback;
}

inline uint64_t GetUint(const rapidjson::Value& object, const char* key,
                        uint64_t fallback = 0) {
  const auto* v = Find(object, key);
  return v != nullptr && v->IsUint64() ? v->GetUint64() : fallback;
}

inline bool GetBool(const rapidjson::Value& object, const char* key) {
  const auto* v = Find(object, key);
  return v != nullptr && v->IsBool() && v->GetBool();
}

inline bool Parse(std::string_view text, rapidjson::Document* out) {
  out->Parse(text.data(), text.size());
  return !out->HasParseError();
}

}  // namespace oxbow::json
