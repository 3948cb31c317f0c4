#include "clients/retained_records_page.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <sstream>

namespace oxbow::clients {
namespace {

constexpr uint32_t kMostText = 64 * 1024;
constexpr uint32_t kMostEntries = 4096;

template <class Archive>
void Text(Archive& archive, std::string& text) {
  // The length is checked before it is believed.
  auto length = static_cast<uint32_t>(text.size());
  archive(length);
  if (length > kMostText) throw cereal::Exception("text too long");
  text.resize(length);
  archive(cereal::binary_data(text.data(), length));
}

template <class Archive>
void Entry(Archive& archive, Memory& memory) {
  Text(archive, memory.key);
  archive(memory.version.epoch, memory.version.mod_revision);
  Text(archive, memory.record);
}

}  // namespace

std::string EncodeMemory(const std::vector<Memory>& page) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(static_cast<uint32_t>(page.size()));
    for (Memory memory : page) Entry(archive, memory);
  }
  return std::move(out).str();
}

bool DecodeMemory(const std::string& bytes, std::vector<Memory>* out) {
  std::istringstream in(bytes);
  try {
    cereal::PortableBinaryInputArchive archive(in);
    uint32_t count = 0;
    archive(count);
    if (count > kMostEntries) return false;
    for (uint32_t i = 0; i < count; ++i) {
      Memory memory;
      Entry(archive, memory);
      out->push_back(std::move(memory));
    }
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace oxbow::clients
