#include "app/recovery_coordinator.h"

#include <utility>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

}  // namespace

RecoveryCoordinator::RecoveryCoordinator(
    net::Loop& loop, const Settings& settings, const Tuning& tuning,
    Catalog& catalog, clients::KeyValueStoreClient& store,
    StoreWatcher& watcher, const LeaderHealthCoordinator::Peers& peers,
    Callbacks callbacks)
    : context_{loop,  settings, tuning, catalog,
               store, watcher,  peers,  callbacks.is_leading},
      callbacks_(std::move(callbacks)),
      history_(settings.workers.lease_seconds),
      broadcast_(context_),
      inspector_(context_),
      detector_(context_, inspector_, broadcast_, callbacks_.on_loss),
      leader_key_monitor_(context_, callbacks_.on_orphaned_key),
      epoch_opener_(context_, inspector_, detector_, leader_key_monitor_),
      collector_(context_, history_, callbacks_.deliver_to_leader),
      provider_(context_, history_, broadcast_),
      retained_records_writer_(context_, inspector_, detector_, collector_),
      bootstrapper_(context_, inspector_, detector_, broadcast_, collector_),
      auditor_(context_, inspector_, detector_) {}

void RecoveryCoordinator::Start() {
  if (!IsEnabled()) return;
  context_.store.on_step_back = [this] {
    ReportDataLoss(DataLossIndication::kRevisionDecreased);
  };
  leader_key_monitor_.Start();
  bootstrapper_.Start();
  net::Spawn(CheckLoop());
  if (context_.tuning.recovery_pages > 0) auditor_.Start();
}

bool RecoveryCoordinator::MayCampaign() const {
  return !IsEnabled() ||
         (bootstrapper_.IsComplete() && verification().MayCampaign());
}

bool RecoveryCoordinator::MayDeny() const {
  return !IsEnabled() || (verification().MayDeny() &&
                          history_.AllWorkersHaveReported(
                              context_.catalog.epoch(), context_.loop.Now()));
}

bool RecoveryCoordinator::MayBeKnownElsewhere() const {
  return IsEnabled() && history_.MayBeKnownElsewhere(context_.catalog.epoch(),
                                                     context_.loop.Now());
}

bool RecoveryCoordinator::MayReportLive(uint64_t mod_revision) const {
  if (!IsEnabled()) return true;
  if (!bootstrapper_.IsComplete()) return false;
  const StoreVerificationState state = verification().state();
  return state == StoreVerificationState::kVerified ||
         (state == StoreVerificationState::kReconciling &&
          mod_revision > context_.catalog.epoch_mark_revision());
}

bool RecoveryCoordinator::MayAccept() const {
  return !IsEnabled() || verification().MayAccept(callbacks_.is_leading());
}

net::Task<RecoveryCoordinator::Known> RecoveryCoordinator::AskPeersForJob(
    std::string id) {
  PeerMessage request;
  request.kind = PeerKind::kKnown;
  request.node = context_.settings.node;
  request.job_id = std::move(id);
  const std::vector<PeerMessage> answers = co_await broadcast_.Ask(
      std::move(request), PeerBroadcast::WaitFor::kResponsivePeers);
  for (const PeerMessage& answer : answers) {
    if (answer.answer == PeerAnswer::kYes) co_return Known::kYes;
  }
  co_return answers.size() == context_.peers.size() ? Known::kNobody
                                                    : Known::kNoAnswerFromSome;
}

net::Task<void> RecoveryCoordinator::CheckUnknownJob(std::string id) {
  const StoreCheck result = co_await inspector_.CheckJob(id);
  // If jobs may already have been lost, a missing job indicates no further
  // loss.
  if (result == StoreCheck::kMissing && verification().MayDeny() &&
      context_.catalog.epoch().whole) {
    ReportDataLoss(DataLossIndication::kUnknownTask, id);
  }
}

net::Task<StoreCheck> RecoveryCoordinator::IsDeleted(std::string key) {
  const std::string id = JobIdOfKey(key);
  if (id.empty()) co_return StoreCheck::kIntact;
  if (context_.catalog.pending_writes().contains(key)) {
    // The record is still to be written, so it was never in this store; but its
    // write may conflict because the job has ended.
    const StoreCheck found = co_await inspector_.CheckJob(id);
    co_return found == StoreCheck::kNoAnswer ? found : StoreCheck::kIntact;
  }
  if (context_.catalog.VersionOf(key).mod_revision == 0) {
    co_return StoreCheck::kIntact;
  }
  const StoreCheck result = co_await inspector_.CheckJob(id);
  if (result == StoreCheck::kMissing) {
    ReportDataLoss(DataLossIndication::kRecordMissing, key);
  }
  co_return result;
}

net::Task<void> RecoveryCoordinator::CheckLoop() {
  const double pause_seconds =
      context_.settings.workers.lease_seconds / context_.tuning.recovery_checks;
  for (;;) {
    co_await context_.loop.Sleep(pause_seconds);
    if (context_.catalog.epoch().number == 0) continue;
    const StoreVerificationState state = verification().state();
    if (state == StoreVerificationState::kSuspected) continue;
    if (state == StoreVerificationState::kLost) {
      co_await detector_.ReexamineLoss();
      continue;
    }
    const StoreCheck result = co_await CheckEpoch();
    if (result == StoreCheck::kMissing) {
      ReportDataLoss(DataLossIndication::kEpochMissing);
    }
    if (result == StoreCheck::kIntact && !callbacks_.is_leading()) {
      co_await leader_key_monitor_.CheckLeader();
    }
  }
}

void RecoveryCoordinator::OnEpochRecord() {
  const StoreEpoch& epoch = context_.catalog.epoch();
  if (!IsEnabled() || epoch.number == 0) return;
  const StoreVerificationState state_before = verification().state();
  const auto change =
      history_.OnEpochObserved(epoch, context_.loop.Now(), net::WallNow());
  if (change == EpochHistory::Change::kLaterEpoch) OnLaterEpoch(epoch);
  history_.OnEpochDetails(epoch, context_.loop.Now());
  detector_.OnEpoch(epoch.number, epoch.rebuilt);
  WriteRetainedRecords(epoch, state_before);
}

void RecoveryCoordinator::OnLaterEpoch(const StoreEpoch& epoch) {
  logging::Info("observed a later store epoch",
                {{"epoch", epoch.number}, {"base_term", epoch.base}});
  context_.store.Restart(epoch.mod_revision);
  collector_.OnLaterEpoch();
  callbacks_.on_later_epoch();
  context_.watcher.Reread();
}

void RecoveryCoordinator::WriteRetainedRecords(
    const StoreEpoch& epoch, StoreVerificationState state_before) {
  if (!epoch.rebuilt || context_.catalog.pending_writes().empty() ||
      callbacks_.is_leading() ||
      retained_records_writer_.HasStarted(epoch.number)) {
    return;
  }
  // In any other state the epoch has only just been observed, and the records
  // are being reread already.
  if (state_before == StoreVerificationState::kReconciling) {
    context_.watcher.Reread();
  }
  retained_records_writer_.Start(epoch.number);
}

bool RecoveryCoordinator::Handles(PeerKind kind) {
  return kind == PeerKind::kLedger || kind == PeerKind::kMemory ||
         kind == PeerKind::kEnded || kind == PeerKind::kKnown;
}

net::Task<void> RecoveryCoordinator::OnPeer(PeerMessage message,
                                            PeerMessage* reply) {
  if (!IsEnabled()) co_return;
  switch (message.kind) {
    case PeerKind::kLedger:
      co_await detector_.AnswerVerification(std::move(message), reply);
      break;
    case PeerKind::kKnown:
      if (context_.catalog.WasAccepted(message.job_id)) {
        reply->answer = PeerAnswer::kYes;
      }
      break;
    case PeerKind::kMemory:
      provider_.FillRetainedRecords(message, reply);
      break;
    case PeerKind::kEnded:
      provider_.FillTerminalStates(message, reply);
      break;
    default:
      break;
  }
}

}  // namespace oxbow::app
