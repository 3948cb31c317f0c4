// What happens when the key-value store has lost data: composes the detection
// of the loss, the new epoch, the collection of what all controllers remember
// and the bootstrap of a controller that has just started, and says what a
// request may rest on meanwhile. Who may open an epoch is for the
// LeaderElection; what is written back for the leader's core.
//
// Coroutines: a task that is returned is awaited by its caller and owns its
// arguments. The loops that Start() spawns are detached and use this object,
// which therefore lives as long as the event loop.
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

// The face of the recovery to the rest of a controller.
class RecoveryCoordinator {
 public:
  struct Callbacks {
    // The loss is certain.
    std::function<void()> on_loss;
    // A later epoch is known: whoever led before does not.
    std::function<void()> on_later_epoch;
    std::function<bool()> is_leading;
    // The leader key of that revision belongs to nobody.
    LeaderKeyMonitor::OrphanedKeyHandler on_orphaned_key;
    PeerStateCollector::DeliverToLeader deliver_to_leader;
  };
  // All arguments by reference must outlive this object.
  RecoveryCoordinator(net::Loop& loop, const Settings& settings,
                      const Tuning& tuning, Catalog& catalog,
                      clients::KeyValueStoreClient& store,
                      StoreWatcher& watcher,
                      const LeaderHealthCoordinator::Peers& peers,
                      Callbacks callbacks);
  void Start();

  // Whether data loss is looked for at all.
  bool IsEnabled() const { return context_.IsEnabled(); }
  const StoreVerification& verification() const {
    return detector_.verification();
  }

  // --- what a request may rest on
  // Whether a leader key that is free, or missing, means that nobody leads.
  bool MayCampaign() const;
  // Whether a job that is neither recorded nor remembered may be denied, if no
  // controller of those that answer knows it.
  bool MayDeny() const;
  // Whether an accepted job may be known only to a controller or machine that
  // is not in contact now. A denial then needs the answers of all, the leader
  // first. It ends: what nobody has reported for a fixed time is forgotten.
  bool MayBeKnownElsewhere() const;
  // Whether a live record of that revision that was read here tells the job's
  // status. One from before the epoch may be an older copy, of a job whose
  // terminal state is retained elsewhere.
  bool MayReportLive(uint64_t mod_revision) const;
  // Whether a submission may be accepted here.
  bool MayAccept() const;
  // Whether any other controller knows the job. For a caller about to deny it.
  enum class Known : uint8_t { kYes, kNoAnswerFromSome, kNobody };
  net::Task<Known> AskPeersForJob(std::string id);

  // Makes a write one of the epoch that is known here.
  void AddEpochPrecondition(std::vector<Precondition>* preconditions) const {
    inspector_.AddEpochPrecondition(preconditions);
  }
  // Whether a write failed for not being one of the present epoch.
  bool IsEpochPreconditionFailure(const std::vector<std::string>& failed_keys) {
    return detector_.IsEpochPreconditionFailure(failed_keys);
  }

  // --- indications of a loss
  // `key`: the record that is missing.
  void ReportDataLoss(DataLossIndication indication, const std::string& key) {
    detector_.Report(indication, key);
  }
  void ReportDataLoss(DataLossIndication indication) {
    detector_.Report(indication);
  }
  // The upper part of a fencing token that a worker has shown.
  void OnObservedTerm(uint64_t term) { detector_.OnObservedTerm(term); }
  // A task runs whose job the leader does not know: reads its record, or how it
  // ended; having neither indicates a loss.
  net::Task<void> CheckUnknownJob(std::string id);
  // Whether a key that was not found may be taken for deleted: a job's, if its
  // terminal state is recorded. If it is not, that indicates a loss.
  net::Task<StoreCheck> IsDeleted(std::string key);
  // Whether the store holds the epoch that is known here; reads afresh.
  net::Task<StoreCheck> CheckEpoch() { return inspector_.CheckEpoch(); }

  // --- epochs, see EpochOpener
  // The catalog's epoch may have changed.
  void OnEpochRecord();
  EpochOpening InitialEpoch() const { return epoch_opener_.InitialEpoch(); }
  net::Task<std::optional<EpochOpening>> PrepareEpoch(OpenedBy opened_by) {
    return epoch_opener_.Prepare(opened_by);
  }
  void OnEpochOpened(const EpochOpening& opening, uint64_t revision) {
    epoch_opener_.OnOpened(opening, revision);
  }
  // Whether the leader of that revision knows all that is remembered. Starts to
  // collect it if it does not.
  bool HasCollected(uint64_t revision) {
    return collector_.HasCollected(revision);
  }

  // --- requests of other controllers
  static bool Handles(clients::PeerKind kind);
  // `reply` belongs to the awaiting caller.
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
