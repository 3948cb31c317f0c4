#include "app/record_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "wire/records.h"

namespace oxbow::app {
namespace {

// The end of a piece that begins at `from`, no part of a character.
size_t EndOfPiece(std::string_view text, size_t from, size_t most) {
  size_t end = std::min(text.size(), from + most);
  const auto within = [&](size_t at) {
    return at < text.size() &&
           (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80;
  };
  while (end > from + 1 && within(end)) --end;
  return end;
}

}  // namespace

std::string PastKey(const std::string& name, uint64_t version) {
  return keys::Of(keys::kOperatorPast, name) + "/" + std::to_string(version);
}

std::string PiecesPrefix(const std::string& name, uint64_t version) {
  return PastKey(name, version) + "/";
}

std::vector<HistoryEntry> PiecesOf(const std::string& name,
                                   const OperatorRecord& record,
                                   size_t most_bytes) {
  const std::string key = PastKey(name, record.version);
  if (wire::EncodeRecord(record).size() <= most_bytes) return {{key, record}};
  OperatorRecord piece = record;
  piece.text.clear();
  size_t around = wire::EncodeRecord(piece).size();
  if (around > most_bytes / 2) {
    piece.note.clear();
    around = wire::EncodeRecord(piece).size();
  }
  // The text is JSON as it was written: a quote or a backslash takes two.
  constexpr size_t kWidest = 2;
  constexpr size_t kLeast = 8;
  const size_t room = most_bytes > around ? most_bytes - around : 0;
  const size_t each = std::max(kLeast, room / kWidest);
  std::vector<HistoryEntry> pieces;
  for (size_t from = 0; from < record.text.size();) {
    const size_t end = EndOfPiece(record.text, from, each);
    piece.text = record.text.substr(from, end - from);
    pieces.emplace_back(fmt::format("{}/{:06}", key, pieces.size()), piece);
    from = end;
  }
  return pieces;
}

std::vector<OperatorRecord> JoinPieces(
    const std::vector<clients::KeyValue>& items) {
  std::vector<OperatorRecord> out;
  for (const clients::KeyValue& item : items) {
    const auto* record = std::get_if<OperatorRecord>(&item.record);
    if (record == nullptr) continue;
    // The keys of one version stand together.
    if (!out.empty() && out.back().version == record->version) {
      out.back().text += record->text;
    } else {
      out.push_back(*record);
    }
  }
  return out;
}

}  // namespace oxbow::app
