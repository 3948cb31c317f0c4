// What happens when the key-value store has lost data: finds out, keeps
// everybody from acting on records that are missing, and puts together what all
// controllers remember for the one that opens a new epoch. Owns the
// verification of the key-value store; who may open an epoch the election says,
// what is written back the leader's core.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "app/leader_health_coordinator.h"
#include "app/store_watcher.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/leader/leader.h"
#include "core/recovery/store_verification.h"
#include "net/loop.h"

namespace oxbow::app {

class RecoveryCoordinator {
 public:
  struct Callbacks {
    // The loss is certain.
    std::function<void()> lost;
    // An epoch that this controller has not opened: who led before does not.
    std::function<void()> other_epoch;
    std::function<bool()> leading;
    // The leader key of that stamp is nobody's.
    std::function<void(uint64_t mod_revision)> orphaned;
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        tell;
  };
  RecoveryCoordinator(net::Loop& loop, const Settings& settings,
                      const Tuning& tuning, Catalog& catalog,
                      clients::KeyValueStoreClient& state,
                      StoreWatcher& watcher,
                      const LeaderHealthCoordinator::Peers& peers,
                      Callbacks callbacks);
  void Start();

  bool on() const { return tuning_.recovery_checks > 0; }
  const StoreVerification& verification() const { return verification_; }
  // Whether a leader key that is free, or not there, means that nobody leads.
  bool MaySeek() const {
    return !on() || (bootstrapped_ && verification_.MaySeek());
  }
  // Whether any controller knows of the job. For one who is about to deny it.
  enum class Known { kYes, kNobodyHeard, kNobody };
  net::Task<Known> AnybodyKnows(std::string id);
  // Whether a job that is neither recorded nor remembered may be denied, if no
  // controller of those that answer knows of it.
  bool MayDeny() const;
  // Whether an accepted job may be known to one alone who is not heard now: a
  // controller that was away in the rebuild, or a machine. Denied is then only
  // what all have been asked about, the leader first. It ends: what nobody has
  // told for that long is forgotten, whoever may still remember it.
  bool SomeoneMayTell() const;
  // Whether a live record that was read here, of that stamp, says how its job
  // stands. One from before an epoch may be an older copy, of a job whose end
  // is remembered elsewhere.
  bool MayTellLive(uint64_t mod_revision) const {
    if (!on()) return true;
    return bootstrapped_ &&
           (verification_.state() == StoreVerificationState::kVerified ||
            (verification_.state() == StoreVerificationState::kRebuilding &&
             mod_revision > catalog_.opened()));
  }
  // Whether a submission may be accepted here.
  bool MayAccept() const {
    return !on() || verification_.MayAccept(callbacks_.leading());
  }

  // Makes a write one of the epoch that is known.
  void AddGuard(std::vector<Precondition>* preconditions) const;
  // Whether a write failed for not being one of the epoch that stands.
  bool GuardFailed(const std::vector<std::string>& failed);

  // --- signs
  void ReportDataLoss(DataLossIndication sign, const std::string& key = {});
  // Upper part of a token that a worker has shown.
  void TermSeen(uint64_t term);
  // A task runs whose job the leader does not know: brings in its record, or
  // how it ended; having neither is a sign.
  net::Task<void> AskAboutJob(std::string id);
  // Whether a key that was not found may be taken for deleted: a job's, if its
  // end is there. If it is not, that is a sign.
  net::Task<StoreCheck> IsDeleted(std::string key);
  // The catalog's epoch may have changed.
  void EpochSeen();
  // Whether the key-value store holds what it should; looks afresh.
  net::Task<StoreCheck> Check();

  // --- a new epoch
  struct Opening {
    std::vector<Precondition> preconditions;
    std::vector<Mutation> mutations;
    StoreEpoch epoch;
  };
  // The first epoch of a deployment.
  Opening InitialEpoch() const;
  // Looks at what stands there now and asks everybody how far they have seen.
  // False when the key-value store does not answer, somebody was first, or, if
  // this controller has not `led` until now, somebody may lead by the key that
  // is there.
  net::Task<bool> Prepare(Opening* out, bool led);
  // Takes an epoch into the catalog that this controller has just written.
  void Opened(const Opening& opening, uint64_t revision);
  // Whether the leader of that revision knows all that is remembered. Starts
  // asking if it does not.
  bool HasCollected(uint64_t revision);

  // --- as one who is asked
  static bool Handles(clients::PeerKind kind);
  net::Task<void> OnPeer(clients::PeerMessage message,
                         clients::PeerMessage* reply);

 private:
  struct Ask {  // everybody at once
    explicit Ask(net::Loop& loop) : done(loop) {}
    net::Event done;
    std::vector<clients::PeerMessage> answers;
    size_t left = 0;
  };

  // Whether nobody can hold the key any more: it has outlived its lease.
  net::Task<bool> Orphaned(const clients::KeyValue& leader);
  // As a newcomer: others may remember more than the key-value store holds.
  net::Task<void> Bootstrap();
  // The key of a job that is recorded as live though its end is known, if any.
  std::string Revived() const;
  // Whether the named leader is there; a key may outlive its holder and its
  // lease.
  net::Task<void> WatchLeader();
  net::Task<void> CheckLoop();
  net::Task<void> LookAtTerm();
  net::Task<void> AuditLoop();
  net::Task<void> AuditLive(std::string* after);
  net::Task<void> AuditEnded(std::string* after);
  // Settles a suspicion, one round after the other.
  net::Task<void> Settle();
  net::Task<void> SpreadWord();
  // Looks again at what the sign was.
  net::Task<StoreCheck> Examine();
  // Whether a record that is known here is gone, or older there.
  net::Task<StoreCheck> LookForRecord(std::string key);
  // Whether the key-value store holds it, a job's end included.
  net::Task<bool> Finds(std::string key, uint64_t mod_revision);
  // Whether any of what changed last is gone, or older there.
  net::Task<StoreCheck> LookForNewest();
  // Whether a job has neither a live record nor an end.
  net::Task<StoreCheck> LookForJob(std::string id);
  // `hurried`: does not wait for one that gave no answer the last time.
  net::Task<std::vector<clients::PeerMessage>> AskAll(
      clients::PeerMessage message, bool hurried = false);
  net::Task<std::vector<clients::PeerMessage>> AskAll() {
    return AskAll(Ledger());
  }
  net::Task<void> AskOne(std::shared_ptr<Ask> ask, clients::PeerClient* peer,
                         clients::PeerMessage message, bool waited);
  clients::PeerMessage Ledger() const;
  net::Task<void> CollectPeerState(uint64_t term);
  // From every other controller at once; true if all of them have told all.
  using Collector =
      net::Task<bool> (RecoveryCoordinator::*)(clients::PeerClient*);
  net::Task<bool> CollectFromAll(Collector what);
  net::Task<void> CollectFromOne(std::shared_ptr<Ask> ask, Collector what,
                                 clients::PeerClient* peer, bool* whole);
  net::Task<bool> CollectTerminalStates(clients::PeerClient* peer);
  net::Task<bool> CollectRetainedRecords(clients::PeerClient* peer);
  // Records the jobs that are remembered here alone, after a rebuild that this
  // controller had no part in.
  net::Task<void> WriteRetainedRecords(uint64_t epoch);
  net::Task<bool> WriteRetainedRecord(std::string key, size_t* count);
  net::Task<void> CompareEnded(uint64_t term, bool whole);
  void FillLedger(StoreCheck says, clients::PeerMessage* reply) const;
  void FillMemory(const clients::PeerMessage& ask, clients::PeerMessage* reply);
  void FillEnded(const clients::PeerMessage& ask, clients::PeerMessage* reply);
  bool IsPeer(const std::string& node) const;
  uint64_t HighestTerm() const;

  net::Loop& loop_;
  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  StoreWatcher& watcher_;
  const LeaderHealthCoordinator::Peers& peers_;
  Callbacks callbacks_;
  StoreVerification verification_;
  std::string sign_key_;       // what the sign is about
  uint64_t other_number_ = 0;  // of the epoch that another remembers
  std::string other_id_;
  uint64_t leader_mod_revision_ =
      0;  // of a leader key in lost data, and since when
  net::Time leader_since_ = 0;
  bool leader_probed_ = false;
  net::Time leader_heard_ = 0;  // the named one, saying that it leads
  bool bootstrapped_ = false;
  uint64_t foreign_term_ = 0;  // the highest a worker has shown
  uint64_t seen_epoch_ = 0;
  // The first epoch that this process has known: of what was lost before, it
  // is no witness.
  uint64_t first_epoch_ = 0;
  bool whole_before_ = true;  // the epoch before this one was
  bool whole_now_ = true;
  net::Time founded_ = -1e9;     // when a first epoch was seen to be young
  uint64_t collected_term_ = 0;  // for the leader of that term
  uint64_t collecting_term_ = 0;
  // What is being sent to each of the others, as it was when the first page
  // was asked for. Several ask at once after a crash of many: with one for all,
  // the second took the end of the first one's pages for the end of its own.
  struct Sending {
    std::vector<std::string> memory_keys;
    std::map<uint32_t, std::string> ended_parts;
  };
  std::map<std::string, Sending> sending_;
  std::set<std::string> silent_;  // peers that gave no answer the last time
  uint64_t rebuilt_epoch_ = 0;    // seen to be rebuilt, and since when
  net::Time rebuilt_since_ = 0;
  uint64_t writing_retained_for_ = 0;  // for that epoch
  TerminalStateIndex
      present_;               // ends that the key-value store holds, in a round
  TerminalStateIndex known_;  // those that were known when the round began
};

}  // namespace oxbow::app
