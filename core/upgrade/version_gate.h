// From when on records may be written that an earlier version can't act on
// safely. Every controller records the version of its records once, when it
// starts; one that runs an earlier version records nothing. When all the
// controllers of the settings have recorded the present version, a mark is
// recorded, which is never taken back: a process that ends comes back with the
// version that it ran. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace oxbow {

// The records that this program writes: 1 knew no jobs that wait for others,
// and recorded no version.
inline constexpr uint32_t kRecordsVersion = 2;

// What a controller, or the mark for all of them, says of itself.
struct VersionRecord {
  uint32_t version = 0;
  uint64_t mod_revision = 0;
};

enum class GateState : uint8_t {
  kClosed,   // some controller may run an earlier version
  kAllSeen,  // all have recorded this one; the mark is still to be written
  kOpen,     // marked, or known to have been: for good
};

enum class GateWrite : uint8_t { kNothing, kOwn, kMark };

class VersionGate {
 public:
  // Under the prefix of the versions beside those of the controllers, whose
  // names can't be so.
  static constexpr const char* kMark = "*";
  using Versions = std::unordered_map<std::string, VersionRecord>;

  // `self` and the other controllers, and how many there are by the settings.
  VersionGate(std::string self, std::vector<std::string> peers, size_t nodes);

  // What is recorded, as far as it is known here.
  void See(const Versions& versions);
  GateState state() const { return state_; }
  bool open() const { return state_ == GateState::kOpen; }
  // What this controller has to record next, and in place of which stamp.
  GateWrite RequiredWrite() const { return required_write_; }
  uint64_t replaces() const { return replaces_; }

 private:
  // The one function for a change.
  void Change(GateState next);
  bool AllSeen(const Versions& versions) const;

  const std::string self_;
  std::vector<std::string> names_;  // all of them
  const size_t nodes_;
  GateState state_ = GateState::kClosed;
  GateWrite required_write_ = GateWrite::kNothing;
  uint64_t replaces_ = 0;
};

}  // namespace oxbow
