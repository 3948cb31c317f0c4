// How every job that this controller knows to have ended did end: two
// compressed bitmaps over the numbers in the ids, a few megabytes for millions
// of jobs. What it knows is never taken back.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <roaring/roaring.hh>
#include <string>
#include <string_view>

#include "core/model/job.h"

namespace oxbow {

class TerminalStateIndex {
 public:
  // The number of a job id in its usual form; nothing for another, which is
  // not indexed.
  static std::optional<uint32_t> NumberOf(std::string_view id);
  static std::string IdOf(uint32_t number);

  // The first end that is told stays.
  void Add(std::string_view id, TerminalState state);
  TerminalState Find(std::string_view id) const;
  uint64_t size() const { return done_.cardinality() + aborted_.cardinality(); }
  // Those that `other` does not hold.
  void ForEachMissing(
      const TerminalStateIndex& other,
      const std::function<void(const std::string& id, TerminalState state)>&
          what) const;

  // For another controller. Both parts, done first.
  std::string Encode(TerminalState part) const;
  // Adds what the bytes hold; false if they are no such part.
  bool Merge(TerminalState part, const std::string& bytes);

 private:
  const Roaring& Part(TerminalState state) const {
    return state == TerminalState::kDone ? done_ : aborted_;
  }

  Roaring done_;
  Roaring aborted_;
};

}  // namespace oxbow
