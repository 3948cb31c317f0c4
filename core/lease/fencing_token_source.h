// Fencing tokens and attempt numbers, unique across leaders without a write.
#pragma once

#include <cstdint>
#include <optional>

#include "core/model/fencing_token.h"

namespace oxbow {

// A token's upper bits are the term of its leader: the revision of the leader
// key, which the key-value store never issues twice. The lower bits count
// within that term.
inline constexpr int kSequenceBits = 20;

inline FencingToken FirstFencingToken(uint64_t term) {
  return term << kSequenceBits;
}

// The term of the leader that issued the token.
inline uint64_t TermOfToken(FencingToken token) {
  return token >> kSequenceBits;
}

// Issues the numbers of one term in ascending order. A number serves as a
// fencing token or as the number of a task attempt, never as both.
class FencingTokenSource {
 public:
  explicit FencingTokenSource(uint64_t term)
      : next_(FirstFencingToken(term) + 1), end_(FirstFencingToken(term + 1)) {}

  // Nothing once the term's range is exhausted: a number beyond it could be
  // issued by the next leader too. The caller has to win a new term.
  std::optional<FencingToken> Next() {
    if (next_ >= end_) return std::nullopt;
    return next_++;
  }

 private:
  FencingToken next_;
  FencingToken end_;
};

}  // namespace oxbow
