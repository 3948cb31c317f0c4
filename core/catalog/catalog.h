// A local copy of the key-value store: the records as far as this controller
// has seen them, by watch, listing, reads and its own writes. Every controller
// keeps one, so a standby needs no reload when it is elected. Also remembers
// records that a store which has lost data does not hold any more;
// docs/recovery.md says which of two copies of a record wins. Has one owner on
// the event loop's thread; the core reads it, and changes it only by what was
// written.
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

#include "core/catalog/store_keys.h"
#include "core/catalog/stored_records.h"
#include "core/recovery/store_epoch.h"
#include "core/recovery/terminal_state_index.h"
#include "core/upgrade/version_gate.h"

namespace oxbow {

// The key, and its mod revision, that every write of an epoch is conditioned
// on.
struct EpochGuard {
  std::string key;
  uint64_t mod_revision = 0;
};

// See above.
class Catalog {
 public:
  // Takes in a value seen in the store. False if it is older than the local
  // copy.
  bool Put(const std::string& key, const Record& record, uint64_t mod_revision);
  bool Erase(const std::string& key, uint64_t mod_revision);
  // The watch has delivered every change up to here.
  void AdvanceWatch(uint64_t revision) {
    watched_revision_ = std::max(watched_revision_, revision);
  }
  uint64_t watched_revision() const { return watched_revision_; }
  // After a complete listing: erases what the listing lacks although it is no
  // newer than the listing, and returns those keys.
  std::vector<std::string> EraseMissing(
      const std::unordered_set<std::string>& listed, uint64_t revision);
  // A read has not found the key. A pending write is kept: it is not in the
  // store yet.
  void MarkMissing(const std::string& key, uint64_t revision);

  // --- epochs: see docs/recovery.md for what beats what
  const StoreEpoch& epoch() const { return epoch_; }
  // The mod revision of the epoch's mark; 0 while it is unknown.
  uint64_t epoch_mark_revision() const {
    return mark_id_ == epoch_.id ? mark_mod_revision_ : 0;
  }
  // What every write of this epoch is conditioned on.
  EpochGuard Guard() const;
  // Keys of records from before the epoch that the store has lost, or has an
  // older copy of, with the version that is remembered here.
  const std::map<std::string, Version>& pending_writes() const {
    return pending_writes_;
  }
  // Takes in a record that another controller remembers. False if the local
  // copy is as new.
  bool MergeRetained(const std::string& key, const Record& record,
                     Version version);
  // After others' terminal states were added to terminal_states(): applies them
  // to live jobs.
  void ApplyTerminalStates();
  Version VersionOf(const std::string& key) const;
  // monostate if there is none.
  Record RecordOf(const std::string& key) const;
  // The keys that changed last, and the jobs that ended last. A store that has
  // gone back to an older copy lacks some of them.
  std::vector<std::string> NewestKeys(size_t count) const;
  std::vector<std::string> LatestTerminalStates(size_t count) const;
  // Revisions up to the watched one may occur a second time.
  void RestartWatch() { watched_revision_ = 0; }
  // Another controller has rebuilt the epoch without what is still pending
  // here: the store is read anew.
  void ForgetPendingWrites();

  const std::unordered_map<std::string, JobRecord>& jobs() const {
    return jobs_;
  }
  // Jobs that wait for others. One that is also among jobs(), or has ended,
  // does not wait any more: its record is an older copy that has come back.
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
  const std::unordered_map<std::string, OperatorRecord>& operator_records()
      const {
    return operators_;
  }
  // By the controller's name, and the mark of all.
  const VersionGate::Versions& versions() const { return versions_; }
  // Every kind of live record that has a name: visit(map by name, key prefix).
  template <typename Visit>
  void ForEachKind(const Visit& visit) const {
    VisitKinds(*this, visit);
  }
  const LeaderRecord& leader() const { return leader_; }
  const JobRecord* FindJob(const std::string& id) const;
  // Null too for one that does not wait any more; see waiting().
  const WaitingRecord* FindWaiting(const std::string& id) const;
  // Whether the job was accepted, as far as is known here; it may have ended.
  bool WasAccepted(const std::string& id) const;
  // How a job ended, as far as a user may be answered with it; kNone if that is
  // unknown. kDone counts from the live record on. A cancellation counts once
  // the record has moved to the terminal records, which it does when no task of
  // the job can be on any machine: whoever may still answer a worker's
  // heartbeats, in an outage and without any state, then keeps nothing alive
  // that is cancelled. Until then JobRecord::terminal_state says that the job
  // is ending.
  TerminalRecord FindTerminalRecord(const std::string& id) const;
  // The same without the number of tasks; remembered for longer.
  TerminalState FindTerminalState(const std::string& id) const;
  const TerminalStateIndex& terminal_states() const { return terminal_states_; }
  TerminalStateIndex& terminal_states() { return terminal_states_; }
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
  // The job does not wait any more: its waiting record is not written back.
  void DropPendingWaitingRecord(const std::string& id);
  bool PutEpoch(const std::string& key, const Record& record,
                uint64_t mod_revision);
  bool PutOverPending(const std::string& key, const Record& record,
                      uint64_t mod_revision);
  // A new epoch: all records are from before it, and pending.
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
  // Bounded: an older one is read from the store again.
  std::unordered_map<std::string, TerminalRecord> terminal_records_;
  std::deque<std::string> terminal_order_;
  TerminalStateIndex terminal_states_;
  StoreEpoch epoch_;
  std::string mark_id_;
  uint64_t mark_mod_revision_ = 0;
  std::map<std::string, Version> pending_writes_;
};

}  // namespace oxbow
