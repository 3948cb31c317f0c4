// What operators have laid down, and what a leader must leave to its successor
// beyond jobs and machines: one kind of record for tiers, bookings and claims.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oxbow {

// A record as the key-value store holds it, under its name. The text is JSON of
// its kind; who reads it decides what it means. Versions count up from 1 and
// are never used twice, so a record that is withdrawn stays as a tombstone.
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

// Names are paths of lower-case words: `tiers`, `calendar/rebuild-3`.
inline bool ValidRecordName(std::string_view name) {
  constexpr size_t kLongest = 100;
  if (name.empty() || name.size() > kLongest || name.front() == '/' ||
      name.back() == '/') {
    return false;
  }
  return name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_./") ==
             std::string_view::npos &&
         name.find("..") == std::string_view::npos &&
         name.find("//") == std::string_view::npos;
}

}  // namespace oxbow
