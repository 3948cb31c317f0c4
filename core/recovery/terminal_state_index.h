// The terminal state of every job that this controller knows to have ended. The
// index consists of two compressed bitmaps over the numbers in the job ids, and
// takes a few megabytes for millions of jobs. An entry is never changed or
// removed.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <roaring/roaring.hh>
#include <string>
#include <string_view>

#include "core/model/job.h"

namespace oxbow {

// A value type; a copy costs little for the number of entries.
class TerminalStateIndex {
 public:
  // The number in a job id of the usual form, `job-000412`; nullopt for an id
  // of another form, which can't be indexed.
  static std::optional<uint32_t> NumberOf(std::string_view id);
  static std::string IdOf(uint32_t number);

  // Adds the job unless the index has it already.
  void Add(std::string_view id, TerminalState state);
  // kNone if the index does not have the job.
  TerminalState Find(std::string_view id) const;
  uint64_t size() const { return done_.cardinality() + aborted_.cardinality(); }
  // Calls `visit` for each job that `other` does not have: first the jobs that
  // are done, then the aborted ones, each in the order of their numbers.
  void ForEachMissing(
      const TerminalStateIndex& other,
      const std::function<void(const std::string& id, TerminalState state)>&
          visit) const;

  // Serializes the jobs with the state `part`, to be sent to another
  // controller.
  std::string Encode(TerminalState part) const;
  // Adds the jobs that another controller has serialized. Returns false if the
  // bytes are not valid.
  bool Merge(TerminalState part, const std::string& bytes);

 private:
  const Roaring& Part(TerminalState state) const {
    return state == TerminalState::kDone ? done_ : aborted_;
  }

  Roaring done_;
  Roaring aborted_;
};

}  // namespace oxbow
