// Decides when records may be written that an earlier version of the program
// can't handle safely. Every controller that starts with the present version
// records that version in the key-value store; version 1 recorded none. When
// all controllers named in the settings have recorded the present version, a
// mark is recorded: from then on the new records may be written. The mark is
// never withdrawn, since a controller that is restarted runs the same version
// as before. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace oxbow {

// The version of the records that this program writes. A program of version 1
// had no jobs with dependencies and did not record its version.
inline constexpr uint32_t kRecordsVersion = 2;

// The recorded version of one controller, or the mark for all of them.
struct VersionRecord {
  uint32_t version = 0;
  uint64_t mod_revision = 0;  // of the record in the store
};

// How far the controllers have recorded the present version.
enum class GateState : uint8_t {
  kClosed,       // some controller may run an earlier version
  kAllRecorded,  // all have recorded this one; the mark is still to be written
  kOpen,         // marked, or known to have been marked: final
};

// The record that a controller has to write next: none, its own version, or the
// mark.
enum class GateWrite : uint8_t { kNothing, kOwn, kMark };

// The state machine on one controller. It makes no requests: its owner writes
// the record that RequiredWrite names.
class VersionGate {
 public:
  // The name under which the mark is recorded among the names of controllers.
  // No controller can have this name.
  static constexpr const char* kMark = "*";
  using Versions = std::unordered_map<std::string, VersionRecord>;

  // `self` and `peers` are the names of this controller and of the others,
  // `nodes` is the number of controllers in the settings.
  VersionGate(std::string self, std::vector<std::string> peers, size_t nodes);

  // Updates the state from the recorded versions, as far as they are known
  // here.
  void Update(const Versions& versions);
  GateState state() const { return state_; }
  bool open() const { return state_ == GateState::kOpen; }
  GateWrite RequiredWrite() const { return required_write_; }
  // The mod revision of the record that the required write replaces; 0: there
  // is no such record yet.
  uint64_t replaces() const { return replaces_; }

 private:
  // The only function that changes the state.
  void Change(GateState next);
  bool AllHaveRecorded(const Versions& versions) const;

  const std::string self_;
  std::vector<std::string> names_;  // of all controllers, including this one
  const size_t nodes_;
  GateState state_ = GateState::kClosed;
  GateWrite required_write_ = GateWrite::kNothing;
  uint64_t replaces_ = 0;
};

}  // namespace oxbow
