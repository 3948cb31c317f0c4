// Encodes the records that one controller retains into pages that it sends to
// another: see docs/recovery.md.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/recovery/store_epoch.h"

namespace oxbow::clients {

// A record with the epoch and revision at which it was last known.
struct RetainedRecord {
  std::string key;
  Version version;
  std::string record;  // JSON, as the key-value store holds it
};

// A page of this size fits into a frame between controllers with a margin.
inline constexpr size_t kRetainedRecordsPageBytes = 40 * 1024;

std::string EncodeRetainedRecords(const std::vector<RetainedRecord>& page);
// Returns nothing when the bytes are not a valid page.
std::optional<std::vector<RetainedRecord>> DecodeRetainedRecords(
    const std::string& bytes);

}  // namespace oxbow::clients
