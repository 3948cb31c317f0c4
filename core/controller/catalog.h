// What the state service holds, as far as this controller has followed it.
// Every controller keeps one, so a standby is warm when it takes over.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/rollout/rollout.h"

namespace oxbow {

// Keys. Everything live stands under one prefix, so one watch follows it all.
// Final states move out of it and stay for ever.
namespace keys {
inline constexpr std::string_view kLive = "ob/live/";
inline constexpr std::string_view kLeader = "ob/live/leader";
inline constexpr std::string_view kJob = "ob/live/j/";
inline constexpr std::string_view kMachine = "ob/live/m/";
inline constexpr std::string_view kRental = "ob/live/r/";
inline constexpr std::string_view kRollout = "ob/live/o/";
inline constexpr std::string_view kFinal = "ob/final/";
inline constexpr std::string_view kRolloutEnd = "ob/ended/o/";

inline std::string Of(std::string_view prefix, std::string_view name) {
  std::string out(prefix);
  out += name;
  return out;
}
}  // namespace keys

struct LeaderRecord {
  std::string node;
  std::string incarnation;  // of the process, which a restart changes
  uint64_t stamp = 0;
};

struct FinalRecord {
  FinalState state = FinalState::kNone;
  uint32_t tasks = 0;
  uint64_t stamp = 0;
};

// monostate: the key does not exist.
using Record =
    std::variant<std::monostate, LeaderRecord, JobRecord, MachineRecord,
                 RentalRecord, FinalRecord, RolloutRecord>;

class Catalog {
 public:
  // Takes in a value seen in the state service. False when it is older than
  // what is known already.
  bool Put(const std::string& key, const Record& record, uint64_t stamp);
  bool Erase(const std::string& key, uint64_t stamp);
  // The watch has delivered every change up to here.
  void Followed(uint64_t revision) {
    followed_ = std::max(followed_, revision);
  }
  uint64_t followed() const { return followed_; }
  // After a whole listing: removes what it does not hold although it is as old
  // as the listing, and returns those keys.
  std::vector<std::string> EraseMissing(
      const std::unordered_set<std::string>& listed, uint64_t revision);

  const std::unordered_map<std::string, JobRecord>& jobs() const {
    return jobs_;
  }
  const std::unordered_map<std::string, MachineRecord>& machines() const {
    return machines_;
  }
  const std::unordered_map<std::string, RentalRecord>& rentals() const {
    return rentals_;
  }
  const std::unordered_map<std::string, RolloutRecord>& rollouts() const {
    return rollouts_;
  }
  const LeaderRecord& leader() const { return leader_; }
  const JobRecord* FindJob(const std::string& id) const;
  // End of a job, from its record or remembered; kNone if unknown.
  FinalRecord FindEnd(const std::string& id) const;
  FinalState FindFinal(const std::string& id) const {
    return FindEnd(id).state;
  }
  void RememberEnd(const std::string& id, const FinalRecord& end);

 private:
  uint64_t StampOf(const std::string& key) const;

  std::unordered_map<std::string, JobRecord> jobs_;
  std::unordered_map<std::string, MachineRecord> machines_;
  std::unordered_map<std::string, RentalRecord> rentals_;
  std::unordered_map<std::string, RolloutRecord> rollouts_;
  LeaderRecord leader_;
  uint64_t followed_ = 0;
  // Bounded: an older one is read from the state service again.
  std::unordered_map<std::string, FinalRecord> finals_;
  std::deque<std::string> finals_order_;
};

}  // namespace oxbow
