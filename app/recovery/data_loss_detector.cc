#include "app/recovery/data_loss_detector.h"

#include <algorithm>
#include <utility>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// Whether the indication concerns the store as a whole, so that the other
// controllers' reads say something about it.
bool ConcernsWholeStore(DataLossIndication indication) {
  return indication == DataLossIndication::kRevisionDecreased ||
         indication == DataLossIndication::kEpochMissing;
}

}  // namespace

DataLossDetector::DataLossDetector(const RecoveryContext& context,
                                   StoreInspector& inspector,
                                   PeerBroadcast& broadcast,
                                   std::function<void()> on_loss)
    : context_(context),
      inspector_(inspector),
      broadcast_(broadcast),
      on_loss_(std::move(on_loss)) {}

void DataLossDetector::Report(DataLossIndication indication,
                              const std::string& key) {
  // Without an epoch nothing was ever known that could be missing.
  if (!context_.IsEnabled() || context_.catalog.epoch().number == 0) return;
  if (!verification_.OnIndication(indication)) return;
  suspected_key_ = key;
  logging::Info("the key-value store may have lost data",
                {{"indication", NameOf(indication)}, {"key", key}});
  net::Spawn(SettleSuspicion());
}

void DataLossDetector::OnObservedTerm(uint64_t term) {
  if (!context_.IsEnabled() || term <= foreign_term_) return;
  foreign_term_ = term;
  if (context_.catalog.epoch().number > 0 && term > context_.HighestTerm()) {
    net::Spawn(CheckObservedTerm());
  }
}

// Mostly a leader that has just won, of which this controller has not read.
net::Task<void> DataLossDetector::CheckObservedTerm() {
  const StoreCheck result = co_await inspector_.CheckEpoch();
  if (result == StoreCheck::kIntact && foreign_term_ > context_.HighestTerm()) {
    Report(DataLossIndication::kTermAbove);
  }
}

bool DataLossDetector::IsEpochPreconditionFailure(
    const std::vector<std::string>& failed_keys) {
  if (!context_.IsEnabled()) return false;
  const auto [key, mod_revision] = context_.catalog.Guard();
  if (std::find(failed_keys.begin(), failed_keys.end(), key) ==
      failed_keys.end()) {
    return false;
  }
  if (context_.catalog.epoch().number > 0) {
    Report(DataLossIndication::kEpochMissing);
  }
  return true;
}

net::Task<void> DataLossDetector::SettleSuspicion() {
  while (verification_.state() == StoreVerificationState::kSuspected) {
    const StoreCheck mine = co_await Examine();
    auto peers = PeerFinding::kNone;
    if (mine == StoreCheck::kMissing &&
        ConcernsWholeStore(verification_.indication())) {
      peers = co_await AskPeersFinding();
    }
    const bool revision_decreased =
        verification_.indication() == DataLossIndication::kRevisionDecreased;
    verification_.OnRound(mine, peers);
    if (revision_decreased && verification_.MayCampaign()) {
      context_.catalog.RestartWatch();
      context_.watcher.Reread();
    }
    if (verification_.state() == StoreVerificationState::kSuspected) {
      co_await context_.loop.Sleep(context_.RoundPauseSeconds());
    }
  }
  if (verification_.state() != StoreVerificationState::kLost) {
    logging::Info("the key-value store has lost no data");
    co_return;
  }
  net::Spawn(NotifyPeers());
  logging::Error("the key-value store has lost data",
                 {{"indication", NameOf(verification_.indication())}});
  on_loss_();
}

net::Task<PeerFinding> DataLossDetector::AskPeersFinding() {
  const std::vector<PeerMessage> answers = co_await AskPeers();
  const bool is_intact = std::any_of(answers.begin(), answers.end(),
                                     [](const PeerMessage& answer) {
                                       return answer.answer == PeerAnswer::kYes;
                                     });
  co_return is_intact ? PeerFinding::kIntact : PeerFinding::kNone;
}

net::Task<StoreCheck> DataLossDetector::Examine() {
  const std::string key = suspected_key_;
  const StoreCheck epoch = co_await inspector_.CheckEpoch();
  if (epoch != StoreCheck::kIntact) co_return epoch;
  switch (verification_.indication()) {
    case DataLossIndication::kTermAbove:
      co_return foreign_term_ > context_.HighestTerm() ? StoreCheck::kMissing
                                                       : StoreCheck::kIntact;
    case DataLossIndication::kOtherEpoch:
      co_return IsOtherEpochRemembered() ? StoreCheck::kMissing
                                         : StoreCheck::kIntact;
    case DataLossIndication::kUnknownTask:
      co_return co_await inspector_.CheckJob(key);
    case DataLossIndication::kRecordMissing:
      co_return co_await inspector_.CheckRecord(key);
    case DataLossIndication::kRevisionDecreased:
    case DataLossIndication::kEpochMissing:
      co_return co_await CheckNewestRecords();
    default:
      co_return StoreCheck::kIntact;
  }
}

bool DataLossDetector::IsOtherEpochRemembered() const {
  const StoreEpoch& epoch = context_.catalog.epoch();
  return other_epoch_number_ >= epoch.number && other_epoch_id_ != epoch.id;
}

net::Task<StoreCheck> DataLossDetector::CheckNewestRecords() {
  const NewestRecordsCheck check = co_await inspector_.CheckNewestRecords();
  // The other controllers are asked about the same record.
  if (check.result == StoreCheck::kMissing) suspected_key_ = check.missing_key;
  co_return check.result;
}

net::Task<void> DataLossDetector::ReexamineLoss() {
  // The controller that can open the next epoch may have no indication.
  co_await NotifyPeers();
  const StoreCheck result = co_await Examine();
  if (verification_.state() == StoreVerificationState::kLost) {
    verification_.OnRound(result, PeerFinding::kNone);
  }
}

PeerMessage DataLossDetector::VerificationRequest() const {
  PeerMessage message;
  message.kind = PeerKind::kLedger;
  message.node = context_.settings.node;
  message.done = static_cast<uint32_t>(context_.catalog.epoch().number);
  message.text = context_.catalog.epoch().id;
  message.term = foreign_term_;
  if (verification_.MayCampaign()) return message;
  message.running = static_cast<uint32_t>(verification_.indication());
  message.job_id = suspected_key_;
  // Only a record that is as new counts as found: a controller that knows an
  // older copy would vouch for it, and the suspicion of the one that remembers
  // more would never end.
  if (!suspected_key_.empty()) {
    message.mod_revision =
        context_.catalog.VersionOf(suspected_key_).mod_revision;
  }
  return message;
}

net::Task<std::vector<PeerMessage>> DataLossDetector::AskPeers() {
  return broadcast_.Ask(VerificationRequest());
}

net::Task<void> DataLossDetector::NotifyPeers() { co_await AskPeers(); }

net::Task<void> DataLossDetector::AnswerVerification(PeerMessage request,
                                                     PeerMessage* reply) {
  ReportPeersIndication(request);
  OnObservedTerm(request.term);
  const StoreCheck result = co_await VerifyFor(std::move(request));
  if (result == StoreCheck::kMissing)
    Report(DataLossIndication::kRevisionDecreased);
  FillReply(result, reply);
}

void DataLossDetector::ReportPeersIndication(const PeerMessage& request) {
  const StoreEpoch& epoch = context_.catalog.epoch();
  if (epoch.number > 0 && request.done >= epoch.number &&
      request.text != epoch.id) {
    // Opened after a loss by a controller that had nothing to remember.
    other_epoch_number_ = request.done;
    other_epoch_id_ = request.text;
    Report(DataLossIndication::kOtherEpoch);
  }
  const auto indication = static_cast<DataLossIndication>(request.running);
  if (indication == DataLossIndication::kRecordMissing ||
      indication == DataLossIndication::kUnknownTask) {
    Report(indication, request.job_id);
  }
}

net::Task<StoreCheck> DataLossDetector::VerifyFor(PeerMessage request) {
  if (context_.catalog.epoch().number == 0) co_return StoreCheck::kNoAnswer;
  StoreCheck result = co_await inspector_.CheckEpoch();
  // A controller that suspects a loss asks for more than a revision, which may
  // have grown past what was lost.
  const auto indication = static_cast<DataLossIndication>(request.running);
  if (result == StoreCheck::kIntact &&
      indication != DataLossIndication::kNone) {
    result = co_await CheckNewestRecords();
  }
  // A controller that has just started does not know what is missing, and may
  // have read as far by now: it vouches only for what it finds.
  if (result == StoreCheck::kIntact && !request.job_id.empty()) {
    const bool found =
        co_await inspector_.Contains(request.job_id, request.mod_revision);
    if (!found) result = StoreCheck::kNoAnswer;
  }
  co_return result;
}

void DataLossDetector::FillReply(StoreCheck result, PeerMessage* reply) const {
  const StoreEpoch& epoch = context_.catalog.epoch();
  if (result == StoreCheck::kIntact) reply->answer = PeerAnswer::kYes;
  reply->done = static_cast<uint32_t>(epoch.number);
  reply->running = static_cast<uint32_t>(result);
  reply->text = epoch.id;
  reply->mod_revision = context_.HighestTerm();
  reply->term = foreign_term_;
}

}  // namespace oxbow::app
