// JSON of what the key-value store holds.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>

#include "core/catalog/catalog.h"

namespace oxbow::wire {

// The value of a record, without its stamp.
std::string EncodeRecord(const Record& record);
// False when the value is not of the kind that the key promises.
bool DecodeRecord(std::string_view key, const rapidjson::Value& value,
                  Record* out);

}  // namespace oxbow::wire
