// When records may be written that an earlier version of the program can't act
// on safely. Every controller records the version of its records once, when it
// starts; one that runs an earlier version records nothing. When all the
// controllers of the settings have recorded the present version, a mark is
// recorded, which is never withdrawn: a process that ends is started again with
// the version that it ran. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace oxbow {

// The version of the records that this program writes. Version 1 had no jobs
// with dependencies, and recorded no version.
inline constexpr uint32_t kRecordsVersion = 2;

// The version of one controller, or the mark for all of them.
struct VersionRecord {
  uint32_t version = 0;
  uint64_t mod_revision = 0;  // of the record in the store
};

// How far the controllers have recorded the present version.
enum class GateState : uint8_t {
  kClosed,   // some controller may run an earlier version
  kAllSeen,  // all have recorded this one; the mark is still to be written
  kOpen,     // marked, or known to have been marked: final
};

// The record that a controller has to write next: none, its own, or the mark.
enum class GateWrite : uint8_t { kNothing, kOwn, kMark };

// The view of one controller; the owner writes what it requires.
class VersionGate {
 public:
  // The name of the mark among those of the controllers, none of which can have
  // it.
  static constexpr const char* kMark = "*";
  using Versions = std::unordered_map<std::string, VersionRecord>;

  // `self` and `peers` are the names of this and the other controllers, `nodes`
  // is how many there are by the settings.
  VersionGate(std::string self, std::vector<std::string> peers, size_t nodes);

  // Takes in what is recorded, as far as it is known here.
  void Update(const Versions& versions);
  GateState state() const { return state_; }
  bool open() const { return state_ == GateState::kOpen; }
  GateWrite RequiredWrite() const { return required_write_; }
  // The revision of the record that the required write replaces; 0: none.
  uint64_t replaces() const { return replaces_; }

 private:
  // The only function that changes the state.
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
