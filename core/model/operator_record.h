// A generic record for operators' declarations, which are priority tiers and
// maintenance windows ("booking"), and for the replica moves ("move") that a
// new leader has to continue.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oxbow {

// The stored record. Its text is JSON whose form depends on the kind and is
// interpreted by the readers. Versions count up from 1 and are never reused, so
// a withdrawn record is kept as a tombstone.
struct OperatorRecord {
  std::string kind;  // "tiers", "booking", "move"
  std::string text;
  uint64_t version = 0;
  std::string author;
  std::string note;
  double changed_wall = 0;  // s since 1970
  bool withdrawn = false;
  uint64_t mod_revision = 0;
};

// Whether this is a valid record name: a path of lower-case words such as
// `tiers` or `calendar/rebuild-3`.
inline bool ValidRecordName(std::string_view name) {
  constexpr size_t kMaxLength = 100;
  if (name.empty() || name.size() > kMaxLength || name.front() == '/' ||
      name.back() == '/') {
    return false;
  }
  return name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_./") ==
             std::string_view::npos &&
         name.find("..") == std::string_view::npos &&
         name.find("//") == std::string_view::npos;
}

}  // namespace oxbow
