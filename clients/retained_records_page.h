// What one controller remembers, in pages for another: see docs/recovery.md.
#pragma once

#include <string>
#include <vector>

#include "core/recovery/store_epoch.h"

namespace oxbow::clients {

struct Memory {
  std::string key;
  Version version;
  std::string record;  // JSON, as the key-value store holds it
};

// A page fits a frame with room to spare.
inline constexpr size_t kMemoryPage = 40 * 1024;

std::string EncodeMemory(const std::vector<Memory>& page);
// False when the bytes are no such page.
bool DecodeMemory(const std::string& bytes, std::vector<Memory>* out);

}  // namespace oxbow::clients
