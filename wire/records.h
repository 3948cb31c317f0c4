// JSON of what the state service holds.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>

#include "core/controller/catalog.h"

namespace oxbow::wire {

// The value of a record, without its stamp.
std::string EncodeRecord(const Record& record);
// False when the value is not of the kind that the key promises.
bool DecodeRecord(std::string_view key, const rapidjson::Value& value,
                  Record* out);

}  // namespace oxbow::wire
