// Coordinates the recovery after the key-value store has lost data: detecting
// the loss, opening a new store epoch, collecting the records that all
// controllers retain in memory, and bootstrapping a controller that has just
// started. Also tells which answers to requests are safe meanwhile.
// LeaderElection decides who may open an epoch, and Leader which records are
// written back.
//
// The caller awaits each task that a function returns; the task owns its
// arguments. The loops that Start() spawns are detached and use this object, so
// it must live as long as the event loop runs.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/leader_health_coordinator.h"
#include "app/recovery/bootstrapper.h"
#include "app/recovery/data_loss_detector.h"
#include "app/recovery/epoch_history.h"
#include "app/recovery/epoch_opener.h"
#include "app/recovery/leader_key_monitor.h"
#include "app/recovery/peer_broadcast.h"
#include "app/recovery/peer_state_collector.h"
#include "app/recovery/peer_state_provider.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/retained_records_writer.h"
#include "app/recovery/store_auditor.h"
#include "app/recovery/store_inspector.h"
#include "app/store_watcher.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/recovery/store_verification.h"
#include "net/loop.h"

namespace oxbow::app {

// The interface of the recovery to the rest of a controller; one per
// controller.
class RecoveryCoordinator {
 public:
  struct Callbacks {
    // Called once a loss of data is certain.
    std::function<void()> on_loss;
    // Called when a later epoch is known; any earlier leadership has then
    // ended.
    std::function<void()> on_later_epoch;
    std::function<bool()> is_leading;
    // Called when the leader key of a revision has no lease any more.
    LeaderKeyMonitor::OrphanedKeyHandler on_orphaned_key;
    PeerStateCollector::DeliverToLeader deliver_to_leader;
  };
  // All arguments passed by reference must outlive this object.
  RecoveryCoordinator(net::Loop& loop, const Settings& settings,
                      const Tuning& tuning, Catalog& catalog,
                      clients::KeyValueStoreClient& store,
                      StoreWatcher& watcher,
                      const LeaderHealthCoordinator::Peers& peers,
                      Callbacks callbacks);
  // Starts the checks, if data-loss detection is enabled. Must be called once.
  void Start();

  // Whether the detection of data loss is enabled.
  bool IsEnabled() const { return context_.IsEnabled(); }
  const StoreVerification& verification() const {
    return detector_.verification();
  }

  // --- which answers and actions are safe now
  // Whether a free or missing leader key proves that no controller leads.
  bool MayCampaign() const;
  // Whether this controller may say that a job does not exist if the job is
  // neither in the store nor in memory and no controller that answers knows it.
  bool MayDeny() const;
  // Whether an accepted job may be known only to a controller or machine that
  // cannot be reached now. Denying a job's existence then requires the answers
  // of all controllers, the leader's first. This state is limited in time: a
  // job that nobody has reported for a fixed time is forgotten.
  bool MayBeKnownElsewhere() const;
  // Whether a live record of `mod_revision` that was read here shows the job's
  // status. A record from before the epoch may be an older copy, and the job's
  // terminal state may be retained by another controller.
  bool MayReportLive(uint64_t mod_revision) const;
  // Whether a submission may be accepted here.
  bool MayAccept() const;
  // Asks whether any other controller knows the job. Used before denying that
  // the job exists.
  enum class Known : uint8_t { kYes, kNoAnswerFromSome, kNobody };
  net::Task<Known> AskPeersForJob(std::string id);

  // Adds the precondition that the store still holds the epoch known here.
  void AddEpochPrecondition(std::vector<Precondition>* preconditions) const {
    inspector_.AddEpochPrecondition(preconditions);
  }
  // Whether a write failed because the store does not hold the epoch known
  // here.
  bool IsEpochPreconditionFailure(const std::vector<std::string>& failed_keys) {
    return detector_.IsEpochPreconditionFailure(failed_keys);
  }

  // --- indications of a loss
  // `key` is that of the missing record.
  void ReportDataLoss(DataLossIndication indication, const std::string& key) {
    detector_.Report(indication, key);
  }
  void ReportDataLoss(DataLossIndication indication) {
    detector_.Report(indication);
  }
  // `term` is the upper part of a fencing token that a worker has presented.
  void OnObservedTerm(uint64_t term) { detector_.OnObservedTerm(term); }
  // Must be called for a running task whose job the leader does not know. Reads
  // the job's live and terminal records; if both are missing, that indicates a
  // loss.
  net::Task<void> CheckUnknownJob(std::string id);
  // Whether a key that was not found may be regarded as deleted. A job's key
  // may be if the job's terminal state is recorded; if it is not recorded, that
  // indicates a loss.
  net::Task<StoreCheck> IsDeleted(std::string key);
  // Determines by a fresh read whether the store holds the epoch known here.
  net::Task<StoreCheck> CheckEpoch() { return inspector_.CheckEpoch(); }

  // --- epochs, see EpochOpener
  // Must be called when the catalog's epoch may have changed.
  void OnEpochRecord();
  EpochOpening InitialEpoch() const { return epoch_opener_.InitialEpoch(); }
  net::Task<std::optional<EpochOpening>> PrepareEpoch(OpenedBy opened_by) {
    return epoch_opener_.Prepare(opened_by);
  }
  void OnEpochOpened(const EpochOpening& opening, uint64_t revision) {
    epoch_opener_.OnOpened(opening, revision);
  }
  // Whether the leader of `revision` has collected the records that the other
  // controllers retain. If not, starts collecting them.
  bool HasCollected(uint64_t revision) {
    return collector_.HasCollected(revision);
  }

  // --- requests from other controllers
  static bool Handles(clients::PeerKind kind);
  // Answers a message for which Handles() is true. `reply` belongs to the
  // caller that awaits the task.
  net::Task<void> OnPeer(clients::PeerMessage message,
                         clients::PeerMessage* reply);

 private:
  net::Task<void> CheckLoop();
  void OnLaterEpoch(const StoreEpoch& epoch);
  void WriteRetainedRecords(const StoreEpoch& epoch,
                            StoreVerificationState state_before);

  const RecoveryContext context_;
  const Callbacks callbacks_;
  EpochHistory history_;
  PeerBroadcast broadcast_;
  StoreInspector inspector_;
  DataLossDetector detector_;
  LeaderKeyMonitor leader_key_monitor_;
  EpochOpener epoch_opener_;
  PeerStateCollector collector_;
  PeerStateProvider provider_;
  RetainedRecordsWriter retained_records_writer_;
  Bootstrapper bootstrapper_;
  StoreAuditor auditor_;
};

}  // namespace oxbow::app
