#include "app/job_submitter.h"

#include <algorithm>
#include <utility>

#include "logging/structured_log.h"
#include "wire/names.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using api::SubmitResult;
using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

// The timeout of a question to the leader, as a fraction of the workers' lease.
constexpr double kLeaderTimeoutRatio = 0.06;
// The longest wait for all peers together, and the interval between asking one
// peer and the next.
constexpr double kMaxPeersTimeoutSeconds = 1;
constexpr double kPeerIntervalSeconds = 0.4;
// The limits of what one leader can keep in memory and schedule in time.
constexpr size_t kMaxLiveJobs = 20'000;
constexpr size_t kMaxLiveTasks = 600'000;
// Space left for the growth of a job's record: it is rewritten, slightly
// longer, when the job is released and when it terminates.
constexpr size_t kRecordGrowthBytes = 64;

JobRecord NewJobRecord(const std::shared_ptr<const JobSpec>& spec) {
  return JobRecord{spec, net::WallNow(), TerminalState::kNone, 0};
}

}  // namespace

JobSubmitter::JobSubmitter(const RequestContext& context,
                           JobStatusReader& status_reader)
    : context_(context),
      status_reader_(status_reader),
      admission_(context.catalog,
                 {[this] { return context_.versions.IsOpen(); },
                  [this](std::string id) {
                    return status_reader_.ReadAcceptance(std::move(id));
                  }}) {}

net::Task<SubmitResult> JobSubmitter::Submit(
    std::shared_ptr<const JobSpec> spec, double timeout_seconds) {
  const net::Time started = context_.loop.Now();
  const SubmitResult local = co_await SubmitLocally(spec);
  const double remaining_seconds =
      started + timeout_seconds - context_.loop.Now();
  if (local != SubmitResult::kUnavailable || remaining_seconds <= 0)
    co_return local;
  const bool has_dependencies = !spec->dependencies.empty();
  // Otherwise a peer of an earlier version, which does not know dependencies,
  // might be asked.
  if (has_dependencies && !context_.versions.IsOpen()) co_return local;
  const PeerMessage answer = co_await AskPeers(spec, remaining_seconds);
  switch (answer.answer) {
    case PeerAnswer::kYes:
      co_return SubmitResult::kAccepted;
    case PeerAnswer::kKnownJob:
      co_return SubmitResult::kAlreadyKnown;
    case PeerAnswer::kUnknownJob:
      co_return has_dependencies ? SubmitResult::kUnknownDependency : local;
    case PeerAnswer::kNo:
      break;
  }
  co_return local;
}

net::Task<PeerMessage> JobSubmitter::AskPeers(
    std::shared_ptr<const JobSpec> spec, double timeout_seconds) {
  PeerMessage question =
      MakeJobMessage(spec->dependencies.empty() ? PeerKind::kRelaySubmit
                                                : PeerKind::kRelayChain,
                     spec->id);
  question.text = wire::EncodeRecord(NewJobRecord(spec));
  if (context_.election.LeaderPeer() == nullptr ||
      context_.recovery.MayAccept()) {
    co_return co_await context_.forwarder.AskPeers(
        std::move(question), kPeerIntervalSeconds,
        std::min(timeout_seconds, kMaxPeersTimeoutSeconds));
  }
  // Only the leader holds all retained records and so can distinguish a new job
  // from a known one.
  const clients::PeerClient::Answer answer =
      co_await context_.forwarder.AskLeader(
          std::move(question),
          kLeaderTimeoutRatio * context_.settings.workers.lease_seconds);
  co_return answer.ok ? answer.message : PeerMessage{};
}

bool JobSubmitter::IsAtCapacity(const JobSpec& spec) const {
  const Catalog& catalog = context_.catalog;
  size_t tasks = spec.tasks;
  for (const auto& [id, job] : catalog.jobs()) {
    if (job.terminal_state == TerminalState::kNone) tasks += job.spec->tasks;
  }
  const size_t jobs = catalog.jobs().size() + catalog.waiting().size();
  return jobs >= kMaxLiveJobs || tasks > kMaxLiveTasks;
}

bool JobSubmitter::FitsIntoStoreValue(
    const std::shared_ptr<const JobSpec>& spec) const {
  return wire::EncodeRecord(NewJobRecord(spec)).size() + kRecordGrowthBytes <=
         context_.settings.store.max_value_bytes();
}

net::Task<SubmitResult> JobSubmitter::SubmitLocally(
    std::shared_ptr<const JobSpec> spec) {
  if (!context_.watcher.ever_synced() ||
      context_.zone_coordinator.IsIsolated() || IsAtCapacity(*spec)) {
    co_return SubmitResult::kUnavailable;
  }
  if (!FitsIntoStoreValue(spec)) co_return SubmitResult::kTooLarge;
  if (!context_.recovery.MayAccept() || !status_reader_.MayWaitForStore()) {
    co_return SubmitResult::kUnavailable;
  }
  const DependencyState dependencies = co_await admission_.Check(spec);
  if (dependencies == DependencyState::kNeverAccepted) {
    co_return SubmitResult::kUnknownDependency;
  }
  if (dependencies == DependencyState::kUnknown) {
    co_return SubmitResult::kUnavailable;
  }
  co_return co_await WriteAcceptance(std::move(spec), dependencies);
}

net::Task<SubmitResult> JobSubmitter::WriteAcceptance(
    std::shared_ptr<const JobSpec> spec, DependencyState dependencies) {
  const Acceptance acceptance =
      DependencyAdmission::BuildAcceptance(spec, dependencies, net::WallNow());
  std::vector<Precondition> preconditions = acceptance.preconditions;
  context_.recovery.AddEpochPrecondition(&preconditions);
  std::vector<Mutation> mutations{{acceptance.key, acceptance.record}};
  // An unanswered write may be sent again: only one copy can succeed, because
  // the others find the job's record.
  const StoreResult result = co_await context_.store.Write(
      std::move(preconditions), std::move(mutations), Urgency::kUser,
      /*lease_id=*/0, clients::WhenUnanswered::kSendAgain);
  switch (result.status) {
    case StoreStatus::kOk:
      OnAccepted(*spec, acceptance, result.revision);
      co_return SubmitResult::kAccepted;
    case StoreStatus::kConflict:
      co_return context_.recovery.IsEpochPreconditionFailure(result.failed)
          ? SubmitResult::kUnavailable
          : SubmitResult::kAlreadyKnown;
    case StoreStatus::kRefused:
      co_return SubmitResult::kTooLarge;
    case StoreStatus::kUnknown: {
      const RecordPresence presence =
          co_await status_reader_.ReadAcceptance(spec->id);
      co_return presence == RecordPresence::kPresent
          ? SubmitResult::kAlreadyKnown
          : SubmitResult::kUnavailable;
    }
    default:
      co_return SubmitResult::kUnavailable;
  }
}

void JobSubmitter::OnAccepted(const JobSpec& spec, const Acceptance& acceptance,
                              uint64_t revision) {
  context_.watcher.Apply(acceptance.key, acceptance.record, revision);
  context_.leader_runtime.ExecuteActions();
  NotifyLeader(spec.id, acceptance, revision);
  // Logged so that the log shows what kind of job each id stands for.
  if (!logging::DebugEnabled()) return;
  logging::Debug("job accepted",
                 {{"job", spec.id},
                  {"class", spec.job_class},
                  {"team", spec.team},
                  {"form", wire::NameOf(wire::kJobKinds, spec.kind)},
                  {"tasks", spec.tasks},
                  {"waits_for_dependencies", acceptance.waits}});
}

void JobSubmitter::NotifyLeader(const std::string& id,
                                const Acceptance& acceptance,
                                uint64_t revision) {
  clients::PeerClient* leader = context_.election.LeaderPeer();
  if (leader == nullptr) return;
  PeerMessage notice = MakeJobMessage(PeerKind::kJobAccepted, id);
  notice.node = context_.settings.node;
  notice.mod_revision = revision;
  notice.running = acceptance.waits ? 1 : 0;
  notice.text = wire::EncodeRecord(acceptance.record);
  net::Spawn(leader->Notify(std::move(notice)));
}

}  // namespace oxbow::app
