#include "app/job_status_reader.h"

#include <algorithm>
#include <utility>

#include "wire/names.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;
using Presence = api::JobStatus::Presence;

// The timeout of a question to the leader and the interval between probes of
// the key-value store, as fractions of the workers' lease.
constexpr double kLeaderTimeoutRatio = 0.06;
constexpr double kProbeIntervalRatio = 0.05;
// The longest wait for the leader's answer to a status request. The user's
// whole request times out after 1 s (kStatusTimeoutSeconds).
constexpr double kMaxLeaderTimeoutSeconds = 0.4;

WithheldReason ReasonOf(const StoreResult& read) {
  return read.beyond_share ? WithheldReason::kBeyondStoreShare
                           : WithheldReason::kReadFailed;
}

api::JobStatus WithheldStatus(WithheldReason reason) {
  api::JobStatus status;
  status.withheld = reason;
  return status;
}

}  // namespace

PeerMessage MakeJobMessage(PeerKind kind, std::string id) {
  PeerMessage message;
  message.kind = kind;
  message.job_id = std::move(id);
  return message;
}

api::JobStatus StatusFromPeer(const PeerMessage& answer) {
  api::JobStatus status;
  if (answer.answer == PeerAnswer::kUnknownJob) {
    status.presence = Presence::kNotFound;
  } else if (answer.answer == PeerAnswer::kYes) {
    status.presence = Presence::kExists;
    status.status = answer.text;
    status.done = answer.done;
    status.running = answer.running;
  }
  return status;
}

std::optional<api::JobStatus> JobStatusReader::TerminalStatus(
    const std::string& id) const {
  const Catalog& catalog = context_.catalog;
  TerminalRecord terminal = catalog.FindTerminalRecord(id);
  if (terminal.state == TerminalState::kNone) {
    // This state was received from other controllers. A leader that has just
    // started may read an older copy of the store in which the job is live.
    terminal.state = catalog.FindTerminalState(id);
    const JobRecord* job = catalog.FindJob(id);
    if (terminal.state == TerminalState::kDone && job == nullptr) {
      return std::nullopt;
    }
    if (job != nullptr) terminal.tasks = job->spec->tasks;
  }
  if (terminal.state == TerminalState::kNone) return std::nullopt;
  api::JobStatus status;
  status.presence = Presence::kExists;
  status.status = wire::NameOf(wire::kTerminalStates, terminal.state);
  status.done = terminal.state == TerminalState::kDone ? terminal.tasks : 0;
  return status;
}

// A terminal state never changes, so a known one is valid even if nothing can
// be read now.
std::optional<api::JobStatus> JobStatusReader::TerminalStatusWithoutCounts(
    const std::string& id) const {
  const TerminalState state = context_.catalog.FindTerminalState(id);
  if (state == TerminalState::kNone) return std::nullopt;
  api::JobStatus status;
  status.presence = Presence::kExists;
  status.status = wire::NameOf(wire::kTerminalStates, state);
  return status;
}

bool JobStatusReader::IsUnknownToLeaderHere(const std::string& id) {
  JobView view;
  const Leader* leader = context_.leader_runtime.ActiveLeader();
  return leader != nullptr && leader->AllMachinesAccountedFor() &&
         leader->View(id, &view) == JobObservation::kUnseen;
}

JobObservation JobStatusReader::ObservationOf(const std::string& id,
                                              JobView* view) {
  const Leader* leader = context_.leader_runtime.ActiveLeader();
  return leader == nullptr ? JobObservation::kUnseen : leader->View(id, view);
}

bool JobStatusReader::IsObservedWithoutRecord(const std::string& id) {
  JobView view;
  return ObservationOf(id, &view) == JobObservation::kUnrecorded;
}

ResolvedStatus JobStatusReader::Resolve(const std::string& id,
                                        RecordRead read) {
  JobView view{.status = "pending"};
  const JobObservation observation = ObservationOf(id, &view);
  ResolvedStatus resolved;
  resolved.decision =
      DecideStatus({context_.catalog.FindTerminalState(id), observation, read});
  api::JobStatus& status = resolved.status;
  switch (resolved.decision) {
    case StatusDecision::kTerminalState: {
      std::optional<api::JobStatus> terminal = TerminalStatus(id);
      // The number of tasks is not in memory, so a read is tried first.
      if (!terminal && read == RecordRead::kNone) {
        resolved.decision = StatusDecision::kReadFirst;
        break;
      }
      if (!terminal) terminal = TerminalStatusWithoutCounts(id);
      status = terminal.value_or(api::JobStatus{});
      break;
    }
    case StatusDecision::kLive:
      status.presence = Presence::kExists;
      status.status = view.status;
      status.done = view.done;
      status.running = view.running;
      break;
    case StatusDecision::kNoSuchJob:
      status.presence = Presence::kNotFound;
      break;
    case StatusDecision::kReadFirst:
    case StatusDecision::kTryAgain:
      break;
  }
  return resolved;
}

api::JobStatus JobStatusReader::StatusAfter(const std::string& id,
                                            RecordRead read) {
  return Resolve(id, read).status;
}

api::JobStatus JobStatusReader::Withhold(const std::string& id,
                                         WithheldReason reason) {
  api::JobStatus status = StatusAfter(id, RecordRead::kInconclusive);
  if (status.presence == Presence::kUnknown) status.withheld = reason;
  return status;
}

net::Task<api::JobStatus> JobStatusReader::Read(std::string id) {
  ResolvedStatus resolved = Resolve(id, RecordRead::kNone);
  if (resolved.decision != StatusDecision::kReadFirst) {
    co_return std::move(resolved.status);
  }
  // An isolated controller can ask no other one. It answers at once, so that
  // the user turns to another controller.
  if (context_.zone_coordinator.IsIsolated()) {
    co_return Withhold(id, WithheldReason::kIsolated);
  }
  PeerMessage question = MakeJobMessage(PeerKind::kPoll, id);
  const auto answer = co_await context_.forwarder.AskLeader(
      std::move(question),
      std::min(kMaxLeaderTimeoutSeconds,
               kLeaderTimeoutRatio * context_.settings.workers.lease_seconds));
  if (answer.ok && answer.message.answer == PeerAnswer::kYes) {
    co_return StatusFromPeer(answer.message);
  }
  const bool unknown_to_leader =
      (answer.ok && answer.message.answer == PeerAnswer::kUnknownJob) ||
      IsUnknownToLeaderHere(id);
  const LeaderAnswer leader_answer =
      unknown_to_leader ? LeaderAnswer::kJobUnknown : LeaderAnswer::kNone;
  co_return co_await ReadFresh(std::move(id), leader_answer);
}

net::Task<api::JobStatus> JobStatusReader::ReadFresh(
    std::string id, LeaderAnswer leader_answer) {
  if (!MayWaitForStore()) {
    co_return Withhold(id, WithheldReason::kStoreUnreachable);
  }
  // The records are read in the order in which a job gets them: waiting, live,
  // terminal.
  if (context_.catalog.FindJob(id) == nullptr) {
    const WaitingRead waiting = co_await ReadWaitingRecord(id);
    if (waiting.presence == RecordPresence::kUnknown) {
      co_return Withhold(id, waiting.reason);
    }
    if (waiting.presence == RecordPresence::kPresent) {
      co_return StatusAfter(id, RecordRead::kLive);
    }
  }
  const StoreResult live =
      co_await context_.store.Get(keys::Of(keys::kJob, id), Urgency::kUser);
  if (live.ok()) co_return StatusOfLiveRecord(id, live.items[0]);
  if (live.status != StoreStatus::kNotFound) {
    co_return Withhold(id, ReasonOf(live));
  }
  // A job moves from one record to the next in one transaction. If all three
  // records, read in this order, are missing, the job was not accepted when the
  // first of them was read.
  co_return co_await ReadTerminalRecord(std::move(id), leader_answer);
}

net::Task<JobStatusReader::WaitingRead> JobStatusReader::ReadWaitingRecord(
    std::string id) {
  const std::string key = keys::Of(keys::kWaiting, id);
  const StoreResult read = co_await context_.store.Get(key, Urgency::kUser);
  WaitingRead waiting;
  waiting.reason = ReasonOf(read);
  if (read.status == StoreStatus::kNotFound) {
    waiting.presence = RecordPresence::kMissing;
  }
  if (!read.ok()) co_return waiting;
  context_.watcher.Apply(key, read.items[0].record, read.items[0].mod_revision);
  context_.leader_runtime.ExecuteActions();
  // The job is not waiting if this controller knows of a later release or
  // termination.
  if (context_.catalog.FindWaiting(id) == nullptr) {
    waiting.presence = RecordPresence::kMissing;
  } else if (context_.recovery.MayReportLive(read.items[0].mod_revision)) {
    waiting.presence = RecordPresence::kPresent;
  } else {
    waiting.reason = WithheldReason::kStoreUnverified;
  }
  co_return waiting;
}

api::JobStatus JobStatusReader::StatusOfLiveRecord(
    const std::string& id, const clients::KeyValue& item) {
  context_.watcher.Apply(item.key, item.record, item.mod_revision);
  context_.leader_runtime.ExecuteActions();
  const auto* job = std::get_if<JobRecord>(&item.record);
  if (job == nullptr) return Withhold(id, WithheldReason::kReadFailed);
  // A terminal state known here overrides the record.
  if (context_.catalog.FindTerminalState(id) == TerminalState::kNone) {
    RecoveryCoordinator& recovery = context_.recovery;
    if (recovery.IsEnabled() && context_.catalog.FindJob(id) == nullptr) {
      // The watch has passed this revision and seen the record deleted, so the
      // store serves an older copy of its data.
      recovery.ReportDataLoss(DataLossIndication::kRevisionDecreased);
      return WithheldStatus(WithheldReason::kStoreUnverified);
    }
    if (!recovery.MayReportLive(item.mod_revision)) {
      return WithheldStatus(WithheldReason::kStoreUnverified);
    }
  }
  return StatusAfter(id, RecordRead::kLive);
}

net::Task<api::JobStatus> JobStatusReader::ReadTerminalRecord(
    std::string id, LeaderAnswer leader_answer) {
  const StoreResult read = co_await context_.store.Get(
      keys::Of(keys::kTerminal, id), Urgency::kUser);
  if (read.ok()) {
    if (const auto* terminal =
            std::get_if<TerminalRecord>(&read.items[0].record)) {
      context_.catalog.RememberTerminalState(id, *terminal);
    }
  } else if (read.status == StoreStatus::kNotFound) {
    co_return co_await StatusWithoutRecord(std::move(id), leader_answer);
  }
  co_return Withhold(id, ReasonOf(read));
}

// Once the key-value store may have lost data, a missing record does not prove
// that the job does not exist. A job retained in memory is still reported; the
// existence of any other job is denied only if a check after the reads finds
// that the store still holds its epoch record.
net::Task<api::JobStatus> JobStatusReader::StatusWithoutRecord(
    std::string id, LeaderAnswer leader_answer) {
  using Known = RecoveryCoordinator::Known;
  RecoveryCoordinator& recovery = context_.recovery;
  ResolvedStatus resolved = Resolve(id, RecordRead::kMissing);
  if (!recovery.IsEnabled() ||
      resolved.decision != StatusDecision::kNoSuchJob) {
    if (resolved.decision == StatusDecision::kTryAgain) {
      resolved.status.withheld = WithheldReason::kRecordMissing;
    }
    co_return std::move(resolved.status);
  }
  if (context_.catalog.WasAccepted(id) || !recovery.MayDeny()) {
    co_return WithheldStatus(WithheldReason::kStoreUnverified);
  }
  const StoreCheck check = co_await recovery.CheckEpoch();
  if (check != StoreCheck::kIntact || !recovery.MayDeny()) {
    co_return WithheldStatus(WithheldReason::kStoreUnverified);
  }
  const Known known = co_await recovery.AskPeersForJob(id);
  if (known == Known::kYes || !recovery.MayDeny()) {
    recovery.ReportDataLoss(DataLossIndication::kRecordMissing,
                            keys::Of(keys::kJob, id));
    co_return WithheldStatus(WithheldReason::kRecordMissing);
  }
  // After an incomplete recovery the leader may still observe a task of the
  // job, or a controller that retains its record may be unreachable.
  if (recovery.MayBeKnownElsewhere() &&
      (leader_answer != LeaderAnswer::kJobUnknown || known != Known::kNobody)) {
    co_return WithheldStatus(WithheldReason::kStoreUnverified);
  }
  co_return StatusAfter(id, RecordRead::kMissing);
}

// While the store does not answer, it is probed separately from users'
// requests. A user who waited here for another timeout could have been answered
// by another controller in that time.
bool JobStatusReader::MayWaitForStore() {
  const net::Time now = context_.loop.Now();
  const double interval_seconds =
      kProbeIntervalRatio * context_.settings.workers.lease_seconds;
  const clients::KeyValueStoreClient& store = context_.store;
  if (!store.Failing() || now < store.last_good() + interval_seconds) {
    return true;
  }
  if (!probing_ && now >= next_probe_) {
    next_probe_ = now + interval_seconds;
    net::Spawn(ProbeStore());
  }
  return false;
}

net::Task<void> JobStatusReader::ProbeStore() {
  probing_ = true;
  co_await context_.store.Get(std::string(keys::kEpoch), Urgency::kUser);
  probing_ = false;
}

net::Task<RecordPresence> JobStatusReader::ReadAcceptance(std::string id) {
  const api::JobStatus status = co_await ReadFresh(std::move(id));
  switch (status.presence) {
    case Presence::kExists:
      co_return RecordPresence::kPresent;
    case Presence::kNotFound:
      co_return RecordPresence::kMissing;
    case Presence::kUnknown:
      break;
  }
  co_return RecordPresence::kUnknown;
}

}  // namespace oxbow::app
