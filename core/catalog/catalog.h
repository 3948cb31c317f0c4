// A local copy of the key-value store: the records that this controller has
// seen through the watch, listings, reads and its own writes. Every controller
// keeps one, so that a standby needs no reload when it is elected. The catalog
// also retains records that the store has lost; docs/recovery.md defines which
// of two copies of a record wins. It is owned by the application and used on
// the event loop's thread only. The leader's modules read it, and change it
// only to reflect their own writes.
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

// The precondition that every write of an epoch has: this key has this mod
// revision.
struct EpochGuard {
  std::string key;
  uint64_t mod_revision = 0;
};

// One exists per controller; see above.
class Catalog {
 public:
  // Stores a value that was seen in the store. Returns false, and changes
  // nothing, if the local copy is newer.
  bool Put(const std::string& key, const Record& record, uint64_t mod_revision);
  // Removes a key that was deleted in the store at `mod_revision`. Returns
  // false, and changes nothing, if the local copy is newer or does not exist.
  bool Erase(const std::string& key, uint64_t mod_revision);
  // The watch has delivered every change up to this revision.
  void AdvanceWatch(uint64_t revision) {
    watched_revision_ = std::max(watched_revision_, revision);
  }
  uint64_t watched_revision() const { return watched_revision_; }
  // To be called after a complete listing of the store as of `revision`, with
  // the listed keys. Erases the records that are not listed although they are
  // not newer than the listing, and returns their keys.
  std::vector<std::string> EraseMissing(
      const std::unordered_set<std::string>& listed, uint64_t revision);
  // To be called when a read as of `revision` did not find the key. Erases the
  // record, but keeps it if its write is pending, since it is not in the store
  // yet.
  void MarkMissing(const std::string& key, uint64_t revision);

  // --- epochs and data loss; see docs/recovery.md for which copy wins
  const StoreEpoch& epoch() const { return epoch_; }
  // The mod revision of the mark of the current epoch; 0 while it is unknown.
  // Every record with a higher mod revision was written in this epoch.
  uint64_t epoch_mark_revision() const {
    return mark_id_ == epoch_.id ? mark_mod_revision_ : 0;
  }
  // The precondition that every write of this epoch has.
  EpochGuard Guard() const;
  // Records from before the current epoch that the store has lost, or of which
  // it holds an older copy: their keys, with the versions of the copies that
  // this catalog retains and that the leader has to write back.
  const std::map<std::string, Version>& pending_writes() const {
    return pending_writes_;
  }
  // Merges a record that another controller has retained. Returns false, and
  // changes nothing, if the local copy wins.
  bool MergeRetained(const std::string& key, const Record& record,
                     Version version);
  // Applies the terminal states in terminal_states() to live jobs. To be called
  // after states from other controllers were added there.
  void ApplyTerminalStates();
  // The version of the local copy of the record.
  Version VersionOf(const std::string& key) const;
  // The local copy of the record; monostate if there is none.
  Record RecordOf(const std::string& key) const;
  // Up to `count` keys that changed last. If the store has lost data and was
  // reset to an older state, it lacks some of them.
  std::vector<std::string> NewestKeys(size_t count) const;
  // Up to `count` IDs of jobs that ended last, for the same purpose.
  std::vector<std::string> LatestTerminalStates(size_t count) const;
  // To be called when the store has lost data, so that revisions up to
  // watched_revision() may occur a second time.
  void RestartWatch() { watched_revision_ = 0; }
  // Discards the records whose writes are pending. To be called when another
  // controller has completed the reconciliation of the epoch without them; the
  // store has to be read again.
  void ForgetPendingWrites();

  const std::unordered_map<std::string, JobRecord>& jobs() const {
    return jobs_;
  }
  // Jobs that wait for others. A job that is also in jobs(), or has ended, does
  // not wait any more: its waiting record is an older copy that reappeared when
  // the store lost data.
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
  // Operator records by name, including withdrawn ones.
  const std::unordered_map<std::string, OperatorRecord>& operator_records()
      const {
    return operators_;
  }
  // The versions that the controllers run, by the controller's name, and the
  // mark that all of them have recorded the same version; see VersionGate.
  const VersionGate::Versions& versions() const { return versions_; }
  // Calls visit(records by name, key prefix) for each kind of live record that
  // has a name.
  template <typename Visit>
  void ForEachKind(const Visit& visit) const {
    VisitKinds(*this, visit);
  }
  const LeaderRecord& leader() const { return leader_; }
  const JobRecord* FindJob(const std::string& id) const;
  // Also null for a job that does not wait any more; see waiting().
  const WaitingRecord* FindWaiting(const std::string& id) const;
  // Whether this controller knows that the job was accepted. The job may have
  // ended since.
  bool WasAccepted(const std::string& id) const;
  // The terminal state of a job that users may be told; kNone if there is none.
  // kDone is returned as soon as the live record says so. kAborted is returned
  // only once the record has been moved to the terminal records, that is when
  // no task of the job can be on any machine. This rules out that a controller
  // which renews workers' leases during an outage of the store, without knowing
  // any job, keeps tasks alive after users were told that their job is
  // cancelled. Until then JobRecord::terminal_state shows that the job is
  // ending.
  TerminalRecord FindTerminalRecord(const std::string& id) const;
  // The same without the number of tasks. Terminal states are kept for all
  // jobs, terminal records only for the latest ones.
  TerminalState FindTerminalState(const std::string& id) const;
  const TerminalStateIndex& terminal_states() const { return terminal_states_; }
  TerminalStateIndex& terminal_states() { return terminal_states_; }
  // Keeps the terminal state of a job that has ended.
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
  // To be called when the job does not wait any more: its waiting record must
  // not be written back.
  void DropPendingWaitingRecord(const std::string& id);
  // Put for the records of the epoch and of its mark.
  bool PutEpoch(const std::string& key, const Record& record,
                uint64_t mod_revision);
  // Put for a key whose write is pending: keeps the copy that wins.
  bool PutOverPending(const std::string& key, const Record& record,
                      uint64_t mod_revision);
  // Starts a new epoch: all records are from before it, so their writes are
  // pending until the store shows that it still holds them.
  void StartEpoch();

  std::unordered_map<std::string, JobRecord> jobs_;
  std::unordered_map<std::string, WaitingRecord> waiting_;
  VersionGate::Versions versions_;
  std::unordered_map<std::string, MachineRecord> machines_;
  std::unordered_map<std::string, ScaleOutRecord> scale_outs_;
  std::unordered_map<std::string, RolloutRecord> rollouts_;
  std::unordered_map<std::string, OperatorRecord> operators_;
  LeaderRecord leader_;
  uint64_t watched_revision_ = 0;
  // The latest kMaxTerminalRecords records; older ones have to be read from
  // the store again.
  std::unordered_map<std::string, TerminalRecord> terminal_records_;
  std::deque<std::string> terminal_order_;
  TerminalStateIndex terminal_states_;
  StoreEpoch epoch_;
  std::string mark_id_;
  uint64_t mark_mod_revision_ = 0;
  std::map<std::string, Version> pending_writes_;
};

}  // namespace oxbow
