// What the state service holds, as far as this controller has followed it.
// Every controller keeps one, so a standby is warm when it takes over.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/operator_record.h"
#include "core/recovery/store_epoch.h"
#include "core/recovery/terminal_state_index.h"
#include "core/rollout/rollout.h"

namespace oxbow {

// Keys. Everything live stands under one prefix, so one watch follows it all.
// Terminal states move out of it and stay for ever.
namespace keys {
inline constexpr std::string_view kLive = "ob/live/";
inline constexpr std::string_view kLeader = "ob/live/leader";
// In the order of keys these two come before all other live ones, so the first
// page of a listing tells whose the rest is.
inline constexpr std::string_view kEpochMark = "ob/live/e/";
inline constexpr std::string_view kEpoch = "ob/live/epoch";
inline constexpr std::string_view kJob = "ob/live/j/";
// Jobs that wait for others. A release moves one to kJob, a cancellation to
// kTerminal, each in one transaction.
inline constexpr std::string_view kWaiting = "ob/live/w/";
inline constexpr std::string_view kMachine = "ob/live/m/";
inline constexpr std::string_view kRental = "ob/live/r/";
inline constexpr std::string_view kRollout = "ob/live/o/";
inline constexpr std::string_view kOperator = "ob/live/p/";
// Rights to keep a zone's workers, each under a lease; not followed.
inline constexpr std::string_view kZone = "ob/zone/";
inline constexpr std::string_view kTerminal = "ob/final/";
inline constexpr std::string_view kRolloutEnd = "ob/ended/o/";
// Earlier versions of operators' records, NAME/VERSION.
inline constexpr std::string_view kOperatorPast = "ob/ended/p/";

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
  // Taken to keep the workers alive, not to lead (Leadership).
  bool renews_only = false;
};

struct TerminalRecord {
  TerminalState state = TerminalState::kNone;
  uint32_t tasks = 0;
  uint64_t stamp = 0;
};

// monostate: the key does not exist.
using Record =
    std::variant<std::monostate, LeaderRecord, JobRecord, MachineRecord,
                 RentalRecord, TerminalRecord, RolloutRecord, StoreEpoch,
                 EpochMark, OperatorRecord, WaitingRecord>;

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
  // A fresh read has not found the key. What is owed to the state service is
  // not there yet, and stays known here.
  void Missing(const std::string& key, uint64_t revision);

  // --- epochs: see docs/recovery.md for what beats what
  const StoreEpoch& epoch() const { return epoch_; }
  // The stamp of the epoch's mark; 0 while it is not known.
  uint64_t opened() const { return mark_id_ == epoch_.id ? mark_stamp_ : 0; }
  // What a write has to be conditioned on to belong to this epoch.
  std::pair<std::string, uint64_t> Guard() const;
  // Records from before the epoch that the state service does not hold, or
  // holds an older copy of, with the version that is remembered.
  const std::map<std::string, Version>& owed() const { return owed_; }
  // Takes in what another controller remembers. False when it is no news.
  bool Remember(const std::string& key, const Record& record, Version version);
  // Ends that others know of have been added: no job that has one stays live.
  void ApplyEnds();
  Version VersionOf(const std::string& key) const;
  // monostate if it is not known.
  Record RecordOf(const std::string& key) const;
  // What changed last of all that is known here: live keys, and jobs that have
  // ended. An older copy lacks some of it.
  std::vector<std::string> NewestKeys(size_t count) const;
  std::vector<std::string> LatestEnds(size_t count) const;
  // The watch may have waited for revisions that came a second time.
  void FollowAnew() { followed_ = 0; }
  // The epoch has been rebuilt, by another: what is still owed here was of no
  // use to it, and the state service is read anew.
  void ForgetOwed();

  const std::unordered_map<std::string, JobRecord>& jobs() const {
    return jobs_;
  }
  // Jobs that wait for others. One that is also among jobs(), or known to have
  // ended, waits no more: its record is an older copy that has come back.
  const std::unordered_map<std::string, WaitingRecord>& waiting() const {
    return waiting_;
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
  // By name; withdrawn ones too.
  const std::unordered_map<std::string, OperatorRecord>& operators() const {
    return operators_;
  }
  // Every kind of live record that has a name: visit(map by name, key prefix).
  template <typename Visit>
  void EachKind(const Visit& visit) const {
    VisitKinds(*this, visit);
  }
  const LeaderRecord& leader() const { return leader_; }
  const JobRecord* FindJob(const std::string& id) const;
  // Null too for one that does not wait any more; see waiting().
  const WaitingRecord* FindWaiting(const std::string& id) const;
  // How a job ended, as far as a user may be told; kNone if that is not known.
  // `done` counts from its record on. A cancellation counts once the record has
  // moved to the terminal states, where it goes when no task of the job can be
  // on any machine: whoever may still answer a worker's reports, in an outage
  // and without any memory, has nothing left to keep alive that is cancelled.
  // Until then JobRecord::terminal_state says that the job is ending.
  TerminalRecord FindEnd(const std::string& id) const;
  // The same without its number of tasks, remembered for longer.
  TerminalState FindTerminalState(const std::string& id) const;
  const TerminalStateIndex& ended() const { return ended_; }
  TerminalStateIndex& ended() { return ended_; }
  void RememberEnd(const std::string& id, const TerminalRecord& end);

 private:
  template <typename Self, typename Visit>
  static void VisitKinds(Self& self, const Visit& visit) {
    visit(self.jobs_, keys::kJob);
    visit(self.waiting_, keys::kWaiting);
    visit(self.machines_, keys::kMachine);
    visit(self.rentals_, keys::kRental);
    visit(self.rollouts_, keys::kRollout);
    visit(self.operators_, keys::kOperator);
  }
  uint64_t StampOf(const std::string& key) const;
  void SetStamp(const std::string& key, uint64_t stamp);
  void Store(const std::string& key, const Record& record, uint64_t stamp);
  void Remove(const std::string& key);
  // The job does not wait any more: its waiting record is not owed.
  void ReleaseOwedWaiting(const std::string& id);
  bool PutEpoch(const std::string& key, const Record& record, uint64_t stamp);
  bool PutOverOwed(const std::string& key, const Record& record,
                   uint64_t stamp);
  // A new epoch: all that is known is from before, and owed to it.
  void Rebase();

  std::unordered_map<std::string, JobRecord> jobs_;
  std::unordered_map<std::string, WaitingRecord> waiting_;
  std::unordered_map<std::string, MachineRecord> machines_;
  std::unordered_map<std::string, RentalRecord> rentals_;
  std::unordered_map<std::string, RolloutRecord> rollouts_;
  std::unordered_map<std::string, OperatorRecord> operators_;
  LeaderRecord leader_;
  uint64_t followed_ = 0;
  // Bounded: an older one is read from the state service again.
  std::unordered_map<std::string, TerminalRecord> terminal_records_;
  std::deque<std::string> terminal_order_;
  TerminalStateIndex ended_;
  StoreEpoch epoch_;
  std::string mark_id_;
  uint64_t mark_stamp_ = 0;
  std::map<std::string, Version> owed_;
};

}  // namespace oxbow
