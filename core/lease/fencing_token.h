// Fencing tokens and attempt numbers, unique across leaders without a write.
#pragma once

#include <cstdint>
#include <optional>

namespace oxbow {

// The upper bits are the revision of the leader key, which the key-value store
// never gives twice, the lower ones count within one leadership.
inline constexpr int kTokenBits = 20;

inline uint64_t FirstToken(uint64_t leader_revision) {
  return leader_revision << kTokenBits;
}

class NumberSource {
 public:
  explicit NumberSource(uint64_t leader_revision)
      : next_(FirstToken(leader_revision) + 1),
        end_(FirstToken(leader_revision + 1)) {}

  // Nothing once the range is used up: a number beyond it could be one of the
  // next leader's. The holder then has to win a new revision.
  std::optional<uint64_t> Next() {
    if (next_ >= end_) return std::nullopt;
    return next_++;
  }

 private:
  uint64_t next_;
  uint64_t end_;
};

}  // namespace oxbow
