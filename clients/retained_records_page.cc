#include "clients/retained_records_page.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <sstream>

namespace oxbow::clients {
namespace {

constexpr uint32_t kMaxTextBytes = 64 * 1024;
constexpr uint32_t kMaxRecords = 4096;

template <class Archive>
void ArchiveText(Archive& archive, std::string& text) {
  // The length is checked before memory is allocated for the text: a corrupt
  // page may contain any length.
  auto length = static_cast<uint32_t>(text.size());
  archive(length);
  if (length > kMaxTextBytes) throw cereal::Exception("text too long");
  text.resize(length);
  archive(cereal::binary_data(text.data(), length));
}

template <class Archive>
void ArchiveRecord(Archive& archive, RetainedRecord& retained) {
  ArchiveText(archive, retained.key);
  archive(retained.version.epoch, retained.version.mod_revision);
  ArchiveText(archive, retained.record);
}

}  // namespace

std::string EncodeRetainedRecords(const std::vector<RetainedRecord>& page) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(static_cast<uint32_t>(page.size()));
    for (RetainedRecord retained : page) ArchiveRecord(archive, retained);
  }
  return std::move(out).str();
}

std::optional<std::vector<RetainedRecord>> DecodeRetainedRecords(
    const std::string& bytes) {
  std::istringstream in(bytes);
  try {
    cereal::PortableBinaryInputArchive archive(in);
    uint32_t count = 0;
    archive(count);
    if (count > kMaxRecords) return std::nullopt;
    std::vector<RetainedRecord> page;
    for (uint32_t i = 0; i < count; ++i) {
      RetainedRecord retained;
      ArchiveRecord(archive, retained);
      page.push_back(std::move(retained));
    }
    return page;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace oxbow::clients
