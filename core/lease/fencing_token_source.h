// Issues fencing tokens and task attempt numbers that are unique across
// leaders, without a write to the key-value store for each.
#pragma once

#include <cstdint>
#include <optional>

#include "core/model/fencing_token.h"

namespace oxbow {

// The upper bits of a token are the term of its leader: the revision of the
// leader key, which the key-value store never issues twice within a store
// epoch, plus the base of the epoch (TermOf). The lower kSequenceBits bits
// count within the term.
inline constexpr int kSequenceBits = 20;

// The lowest value of the term's range. FencingTokenSource never issues it.
inline FencingToken FirstFencingToken(uint64_t term) {
  return term << kSequenceBits;
}

// The term of the leader that issued the token.
inline uint64_t TermOfToken(FencingToken token) {
  return token >> kSequenceBits;
}

// Issues the numbers of one term in ascending order. A number is issued once,
// as a fencing token or as the number of a task attempt. An issued number may
// serve as the token of further machines: a worker compares only the tokens
// that it has been sent itself.
class FencingTokenSource {
 public:
  explicit FencingTokenSource(uint64_t term)
      : next_(FirstFencingToken(term) + 1), end_(FirstFencingToken(term + 1)) {}

  // The next number, or nullopt once the term's range is exhausted: a number
  // beyond it could be issued by the next leader too. The caller then has to
  // win the leader key again to get a new term.
  std::optional<FencingToken> Next() {
    if (next_ >= end_) return std::nullopt;
    return next_++;
  }
  // The number issued last, or the lowest of the term if none has been.
  FencingToken Latest() const { return next_ - 1; }

 private:
  FencingToken next_;
  FencingToken end_;
};

}  // namespace oxbow
