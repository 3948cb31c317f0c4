// Reads and writes the operators' records as JSON: the form that the key-value
// store holds and the form that the HTTP interface returns to operators.
#pragma once

#include <rapidjson/document.h>

#include <string>

#include "core/model/operator_record.h"
#include "wire/json.h"

namespace oxbow::wire {

// Writes the fields of the stored form into the object that is being written.
void WriteOperator(json::Writer& writer, const OperatorRecord& record);
bool ReadOperator(const rapidjson::Value& value, OperatorRecord* out);

// Returns the response body for a record. The record's text is embedded as
// JSON, not as a string that contains JSON.
std::string OperatorBody(const std::string& name, const OperatorRecord& record);

// An operator's request to change a record.
struct OperatorChange {
  uint64_t version = 0;  // the version it replaces; 0: no record yet
  OperatorRecord record;
};
// Parses a change. Returns a description of the first error, or an empty
// string.
std::string ReadOperatorChange(const rapidjson::Value& value,
                               OperatorChange* out);

}  // namespace oxbow::wire
