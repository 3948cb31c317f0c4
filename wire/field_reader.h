// Reads typed fields from a JSON object and reports the first invalid one.
#pragma once

#include <rapidjson/document.h>

#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "wire/json.h"
#include "wire/names.h"

namespace oxbow::wire {

// Reads typed fields from a JSON object. The first field that is missing, of
// the wrong type or out of range is remembered in error(), which is empty as
// long as every field was valid.
class FieldReader {
 public:
  explicit FieldReader(const rapidjson::Value& object) : object_(object) {}

  const std::string& error() const { return error_; }

  void String(const char* key, std::string* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr || !v->IsString() || v->GetStringLength() == 0) {
      return Fail(key);
    }
    *out = std::string(json::View(*v));
  }
  void OptionalString(const char* key, std::optional<std::string>* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr) return;
    if (!v->IsString()) return Fail(key);
    *out = std::string(json::View(*v));
  }
  void Amount(const char* key, double least, double* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr || !v->IsNumber()) return Fail(key);
    *out = v->GetDouble();
    if (!std::isfinite(*out) || *out < least || *out > kMaxAmount) Fail(key);
  }
  void OptionalAmount(const char* key, std::optional<double>* out) {
    if (json::Find(object_, key) == nullptr) return;
    double value = 0;
    Amount(key, 0, &value);
    *out = value;
  }
  // The ...IfGiven functions leave `out` unchanged if the field is absent.
  void AmountIfGiven(const char* key, double least, double* out) {
    if (json::Find(object_, key) != nullptr) Amount(key, least, out);
  }
  void CountIfGiven(const char* key, uint32_t least, uint32_t most,
                    uint32_t* out) {
    if (json::Find(object_, key) != nullptr) Count(key, least, most, out);
  }
  void StringIfGiven(const char* key, std::string* out) {
    if (json::Find(object_, key) != nullptr) String(key, out);
  }
  void BoolIfGiven(const char* key, bool* out) {
    if (json::Find(object_, key) != nullptr) Bool(key, out);
  }
  void Bool(const char* key, bool* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr || !v->IsBool()) return Fail(key);
    *out = v->GetBool();
  }
  void Count(const char* key, uint32_t least, uint32_t most, uint32_t* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr || !v->IsUint() || v->GetUint() < least ||
        v->GetUint() > most) {
      return Fail(key);
    }
    *out = v->GetUint();
  }
  template <typename Names, typename Term>
  void Word(const char* key, const Names& names, Term* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr || !v->IsString() || !TermOf(names, json::View(*v), out)) {
      Fail(key);
    }
  }
  void OptionalStrings(const char* key,
                       std::optional<std::vector<std::string>>* out) {
    const auto* v = json::Find(object_, key);
    if (v == nullptr) return;
    if (!v->IsArray()) return Fail(key);
    out->emplace();
    for (const auto& item : v->GetArray()) {
      if (!item.IsString()) return Fail(key);
      (*out)->emplace_back(json::View(item));
    }
  }

 private:
  static constexpr double kMaxAmount = 1e12;

  void Fail(const char* key) {
    if (error_.empty()) error_ = std::string("field ") + key;
  }

  const rapidjson::Value& object_;
  std::string error_;
};

}  // namespace oxbow::wire
