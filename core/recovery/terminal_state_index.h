// The terminal state of every job that this controller knows to have ended, in
// two compressed bitmaps over the numbers in the ids: a few megabytes for
// millions of jobs. A state that is in the index is never changed or removed.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <roaring/roaring.hh>
#include <string>
#include <string_view>

#include "core/model/job.h"

namespace oxbow {

// A value type; copies are cheap for what they hold.
class TerminalStateIndex {
 public:
  // The number of a job id in its usual form, `job-000412`; nothing for another
  // form, which is not indexed.
  static std::optional<uint32_t> NumberOf(std::string_view id);
  static std::string IdOf(uint32_t number);

  // Has no effect on a job that is in the index.
  void Add(std::string_view id, TerminalState state);
  TerminalState Find(std::string_view id) const;
  uint64_t size() const { return done_.cardinality() + aborted_.cardinality(); }
  // Calls `visit` for each job that `other` does not have: those done first, by
  // number.
  void ForEachMissing(
      const TerminalStateIndex& other,
      const std::function<void(const std::string& id, TerminalState state)>&
          visit) const;

  // The jobs with that state, for another controller.
  std::string Encode(TerminalState part) const;
  // Adds what another controller has encoded; false if the bytes are not valid.
  bool Merge(TerminalState part, const std::string& bytes);

 private:
  const Roaring& Part(TerminalState state) const {
    return state == TerminalState::kDone ? done_ : aborted_;
  }

  Roaring done_;
  Roaring aborted_;
};

}  // namespace oxbow
