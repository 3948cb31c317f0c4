// What the key-value store holds, as far as this controller has followed it.
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
#include "core/upgrade/version_gate.h"

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
// The versions that the controllers run; see VersionGate.
inline constexpr std::string_view kVersion = "ob/live/v/";
inline constexpr std::string_view kMachine = "ob/live/m/";
inline constexpr std::string_view kScaleOut = "ob/live/r/";
inline constexpr std::string_view kRollout = "ob/live/o/";
inline constexpr std::string_view kOperator = "ob/live/p/";
// Rights to keep a zone's workers, each under a lease; not followed.
inline constexpr std::string_view kZone = "ob/zone/";
// Written once each and never followed, see WriteFence.
inline constexpr std::string_view kFence = "ob/fence/";
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
  uint64_t mod_revision = 0;
  // Taken to keep the workers alive, not to lead (Leadership).
  bool renews_only = false;
};

struct TerminalRecord {
  TerminalState state = TerminalState::kNone;
  uint32_t tasks = 0;
  uint64_t mod_revision = 0;
};

// Settles a write whose answer is missing: the write is conditioned on the
// absence of a key that holds one, so once the key is there it is either
// carried out already or never will be.
struct WriteFence {
  uint64_t number = 0;
};

// monostate: the key does not exist.
using Record =
    std::variant<std::monostate, LeaderRecord, JobRecord, MachineRecord,
                 ScaleOutRecord, TerminalRecord, RolloutRecord, StoreEpoch,
                 EpochMark, OperatorRecord, WaitingRecord, VersionRecord,
                 WriteFence>;

class Catalog {
 public:
  // Takes in a value seen in the key-value store. False when it is older than
  // what is known already.
  bool Put(const std::string& key, const Record& record, uint64_t mod_revision);
  bool Erase(const std::string& key, uint64_t mod_revision);
  // The watch has delivered every change up to here.
  void AdvanceWatch(uint64_t revision) {
    watched_revision_ = std::max(watched_revision_, revision);
  }
  uint64_t watched_revision() const { return watched_revision_; }
  // After a whole listing: removes what it does not hold although it is as old
  // as the listing, and returns those keys.
  std::vector<std::string> EraseMissing(
      const std::unordered_set<std::string>& listed, uint64_t revision);
  // A fresh read has not found the key. What is owed to the key-value store is
  // not there yet, and stays known here.
  void Missing(const std::string& key, uint64_t revision);

  // --- epochs: see docs/recovery.md for what beats what
  const StoreEpoch& epoch() const { return epoch_; }
  // The stamp of the epoch's mark; 0 while it is not known.
  uint64_t opened() const {
    return mark_id_ == epoch_.id ? mark_mod_revision_ : 0;
  }
  // What a write has to be conditioned on to belong to this epoch.
  std::pair<std::string, uint64_t> Guard() const;
  // Records from before the epoch that the key-value store does not hold, or
  // holds an older copy of, with the version that is remembered.
  const std::map<std::string, Version>& pending_writes() const {
    return pending_writes_;
  }
  // Takes in what another controller remembers. False when it is no news.
  bool Remember(const std::string& key, const Record& record, Version version);
  // Ends that others know of have been added: no job that has one stays live.
  void ApplyTerminalStates();
  Version VersionOf(const std::string& key) const;
  // monostate if it is not known.
  Record RecordOf(const std::string& key) const;
  // What changed last of all that is known here: live keys, and jobs that have
  // ended. An older copy lacks some of it.
  std::vector<std::string> NewestKeys(size_t count) const;
  std::vector<std::string> LatestTerminalStates(size_t count) const;
  // The watch may have waited for revisions that came a second time.
  void RestartWatch() { watched_revision_ = 0; }
  // The epoch has been rebuilt, by another: what is still owed here was of no
  // use to it, and the key-value store is read anew.
  void ForgetPendingWrites();

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
  const std::unordered_map<std::string, ScaleOutRecord>& scale_outs() const {
    return scale_outs_;
  }
  const std::unordered_map<std::string, RolloutRecord>& rollouts() const {
    return rollouts_;
  }
  // By name; withdrawn ones too.
  const std::unordered_map<std::string, OperatorRecord>& operators() const {
    return operators_;
  }
  // By the controller's name, and the mark of all.
  const VersionGate::Versions& versions() const { return versions_; }
  // Every kind of live record that has a name: visit(map by name, key prefix).
  template <typename Visit>
  void EachKind(const Visit& visit) const {
    VisitKinds(*this, visit);
  }
  const LeaderRecord& leader() const { return leader_; }
  const JobRecord* FindJob(const std::string& id) const;
  // Null too for one that does not wait any more; see waiting().
  const WaitingRecord* FindWaiting(const std::string& id) const;
  // Whether it is known that the job was accepted, whatever became of it.
  bool Accepted(const std::string& id) const;
  // How a job ended, as far as a user may be told; kNone if that is not known.
  // `done` counts from its record on. A cancellation counts once the record has
  // moved to the terminal states, where it goes when no task of the job can be
  // on any machine: whoever may still answer a worker's reports, in an outage
  // and without any memory, has nothing left to keep alive that is cancelled.
  // Until then JobRecord::terminal_state says that the job is ending.
  TerminalRecord FindTerminalRecord(const std::string& id) const;
  // The same without its number of tasks, remembered for longer.
  TerminalState FindTerminalState(const std::string& id) const;
  const TerminalStateIndex& ended() const { return ended_; }
  TerminalStateIndex& ended() { return ended_; }
  void RememberTerminalState(const std::string& id, const TerminalRecord& end);

 private:
  template <typename Self, typename Visit>
  static void VisitKinds(Self& self, const Visit& visit) {
    visit(self.jobs_, keys::kJob);
    visit(self.waiting_, keys::kWaiting);
    visit(self.versions_, keys::kVersion);
    visit(self.machines_, keys::kMachine);
    visit(self.scale_outs_, keys::kScaleOut);
    visit(self.rollouts_, keys::kRollout);
    visit(self.operators_, keys::kOperator);
  }
  uint64_t ModRevisionOf(const std::string& key) const;
  void SetModRevision(const std::string& key, uint64_t mod_revision);
  void Store(const std::string& key, const Record& record,
             uint64_t mod_revision);
  void Remove(const std::string& key);
  // The job does not wait any more: its waiting record is not owed.
  void DropPendingWaitingRecord(const std::string& id);
  bool PutEpoch(const std::string& key, const Record& record,
                uint64_t mod_revision);
  bool PutOverPending(const std::string& key, const Record& record,
                      uint64_t mod_revision);
  // A new epoch: all that is known is from before, and owed to it.
  void Rebase();

  std::unordered_map<std::string, JobRecord> jobs_;
  std::unordered_map<std::string, WaitingRecord> waiting_;
  VersionGate::Versions versions_;
  std::unordered_map<std::string, MachineRecord> machines_;
  std::unordered_map<std::string, ScaleOutRecord> scale_outs_;
  std::unordered_map<std::string, RolloutRecord> rollouts_;
  std::unordered_map<std::string, OperatorRecord> operators_;
  LeaderRecord leader_;
  uint64_t watched_revision_ = 0;
  // Bounded: an older one is read from the key-value store again.
  std::unordered_map<std::string, TerminalRecord> terminal_records_;
  std::deque<std::string> terminal_order_;
  TerminalStateIndex ended_;
  StoreEpoch epoch_;
  std::string mark_id_;
  uint64_t mark_mod_revision_ = 0;
  std::map<std::string, Version> pending_writes_;
};

}  // namespace oxbow
