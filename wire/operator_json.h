// JSON of the operators' records: as the key-value store holds them, and as
// they are told to operators.
#pragma once

#include <rapidjson/document.h>

#include <string>

#include "core/model/operator_record.h"
#include "wire/json.h"

namespace oxbow::wire {

// The fields of the stored form, without the braces round them.
void WriteOperator(json::Writer& writer, const OperatorRecord& record);
bool ReadOperator(const rapidjson::Value& value, OperatorRecord* out);

// What an operator is told; the text as JSON, not as a string of it.
std::string OperatorBody(const std::string& name, const OperatorRecord& record);

// What an operator asks for.
struct OperatorChange {
  uint64_t version = 0;  // that it replaces; 0: there is none
  OperatorRecord record;
};
// Empty if well-formed; else what is wrong.
std::string ReadOperatorChange(const rapidjson::Value& value,
                               OperatorChange* out);

}  // namespace oxbow::wire
