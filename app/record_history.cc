#include "app/record_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "wire/records.h"

namespace oxbow::app {
namespace {

// The number of bytes that one byte of the text takes at most in the encoded
// record. The text is JSON, in which encoding escapes each quote and backslash.
constexpr size_t kMaxEncodedBytesPerTextByte = 2;
constexpr size_t kMinPieceBytes = 8;

// Returns the end of the piece that begins at `from`. A piece does not end
// inside a UTF-8 character.
size_t EndOfPiece(std::string_view text, size_t from, size_t max_bytes) {
  size_t end = std::min(text.size(), from + max_bytes);
  const auto inside_character = [&](size_t at) {
    return at < text.size() &&
           (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80;
  };
  while (end > from + 1 && inside_character(end)) --end;
  return end;
}

}  // namespace

std::string PastKey(const std::string& name, uint64_t version) {
  return keys::Of(keys::kOperatorHistory, name) + "/" + std::to_string(version);
}

std::string PiecesPrefix(const std::string& name, uint64_t version) {
  return PastKey(name, version) + "/";
}

std::vector<HistoryEntry> PiecesOf(const std::string& name,
                                   const OperatorRecord& record,
                                   size_t max_bytes) {
  const std::string key = PastKey(name, record.version);
  if (wire::EncodeRecord(record).size() <= max_bytes) return {{key, record}};
  OperatorRecord piece = record;
  piece.text.clear();
  size_t overhead = wire::EncodeRecord(piece).size();
  if (overhead > max_bytes / 2) {
    piece.note.clear();
    overhead = wire::EncodeRecord(piece).size();
  }
  const size_t capacity = max_bytes > overhead ? max_bytes - overhead : 0;
  const size_t each =
      std::max(kMinPieceBytes, capacity / kMaxEncodedBytesPerTextByte);
  std::vector<HistoryEntry> pieces;
  for (size_t from = 0; from < record.text.size();) {
    const size_t end = EndOfPiece(record.text, from, each);
    piece.text = record.text.substr(from, end - from);
    pieces.push_back({fmt::format("{}/{:06}", key, pieces.size()), piece});
    from = end;
  }
  return pieces;
}

std::vector<OperatorRecord> JoinPieces(
    const std::vector<clients::KeyValue>& items) {
  std::vector<OperatorRecord> versions;
  for (const clients::KeyValue& item : items) {
    const auto* record = std::get_if<OperatorRecord>(&item.record);
    if (record == nullptr) continue;
    // The items are sorted by key, so the pieces of one version are adjacent.
    if (!versions.empty() && versions.back().version == record->version) {
      versions.back().text += record->text;
    } else {
      versions.push_back(*record);
    }
  }
  return versions;
}

}  // namespace oxbow::app
