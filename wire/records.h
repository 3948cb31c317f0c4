// Reads and writes the records of the key-value store as JSON.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>

#include "core/catalog/catalog.h"

namespace oxbow::wire {

// Returns the JSON value of a record, without its stamp.
std::string EncodeRecord(const Record& record);
// Parses the value stored under `key`. Returns false if the value is not of the
// record kind that the key stands for.
bool DecodeRecord(std::string_view key, const rapidjson::Value& value,
                  Record* out);

}  // namespace oxbow::wire
