#include "app/job_request_handler.h"

#include <optional>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerKind;

// How long a user waits for this controller. The protocol lets users wait 2 s
// for the answer to a status request and 5 s for the answer to any other
// request. At least half of that is left for the user to ask another controller
// if this one cannot tell.
constexpr double kStatusTimeoutSeconds = 1;
constexpr double kChangeTimeoutSeconds = 2.5;
// The interval between asking one peer and the next.
constexpr double kStatusPeerIntervalSeconds = 0.1;
constexpr double kChangePeerIntervalSeconds = 0.4;
// The limit of requests in progress per connection. It is above 1 because a
// request continues after its user has stopped waiting.
constexpr size_t kMaxRequestsPerConnection = 4;
// The fraction of the connections whose users may wait for an answer at the
// same time. The other connections are left to the workers.
constexpr double kMaxWaitingShare = 0.5;
// The time between two log lines about withheld statuses, in heartbeat
// intervals.
constexpr double kMetricsLogHeartbeats = 1;

}  // namespace

const JobRequestHandler::StatusRequest JobRequestHandler::kStatusRequest{
    PeerKind::kRelayPoll, kStatusTimeoutSeconds, kStatusPeerIntervalSeconds};
const JobRequestHandler::StatusRequest JobRequestHandler::kCancelRequest{
    PeerKind::kRelayCancel, kChangeTimeoutSeconds, kChangePeerIntervalSeconds};

JobRequestHandler::JobRequestHandler(const RequestContext& context)
    : context_(context),
      status_reader_(context_),
      submitter_(context_, status_reader_),
      canceller_(context_, status_reader_),
      heartbeat_handler_(context_),
      peer_requests_(context_, status_reader_, submitter_, canceller_,
                     heartbeat_handler_),
      metrics_(kMetricsLogHeartbeats *
               context.settings.workers.heartbeat_interval_seconds) {}

bool JobRequestHandler::IsReady() {
  return context_.watcher.ever_synced() && !context_.watcher.types().empty() &&
         !context_.zone_coordinator.IsIsolated();
}

const std::map<std::string, MachineType>* JobRequestHandler::MachineTypes() {
  return context_.watcher.types().empty() ? nullptr : &context_.watcher.types();
}

const std::vector<TeamQuota>& JobRequestHandler::TeamQuotas() {
  return context_.settings.teams;
}

bool JobRequestHandler::IsKnownLocally(const std::string& id) {
  return context_.catalog.WasAccepted(id);
}

bool JobRequestHandler::MayStartRequest() const {
  const LimitSettings& limits = context_.settings.limits;
  const auto max_waiting = static_cast<size_t>(
      kMaxWaitingShare * static_cast<double>(limits.client_connections()));
  return users_waiting_ < max_waiting &&
         requests_in_progress_ <
             kMaxRequestsPerConnection *
                 static_cast<size_t>(limits.max_connections);
}

template <typename Answer>
net::Task<Answer> JobRequestHandler::AnswerWithin(net::Task<Answer> work,
                                                  double timeout_seconds) {
  auto pending = std::make_shared<PendingAnswer<Answer>>(context_.loop);
  net::Spawn(Complete(std::move(work), pending));
  ++users_waiting_;
  co_await pending->done.Wait(timeout_seconds);
  --users_waiting_;
  co_return pending->answer;
}

template <typename Answer>
net::Task<void> JobRequestHandler::Complete(
    net::Task<Answer> work, std::shared_ptr<PendingAnswer<Answer>> pending) {
  ++requests_in_progress_;
  pending->answer = co_await std::move(work);
  pending->done.Set();
  --requests_in_progress_;
}

net::Task<api::JobStatus> JobRequestHandler::AnswerOrForward(
    StatusRequest request, net::Task<api::JobStatus> local, std::string id) {
  const net::Time started = context_.loop.Now();
  api::JobStatus status = co_await std::move(local);
  // A request whose user has stopped waiting is not forwarded.
  const double remaining_seconds =
      started + request.timeout_seconds - context_.loop.Now();
  if (status.presence == api::JobStatus::Presence::kUnknown &&
      remaining_seconds > 0) {
    const clients::PeerMessage answer = co_await context_.forwarder.AskPeers(
        MakeJobMessage(request.relay_kind, std::move(id)),
        request.peer_interval_seconds, remaining_seconds);
    const std::optional<WithheldReason> withheld_here = status.withheld;
    status = StatusFromPeer(answer);
    status.withheld = withheld_here;
  }
  co_return status;
}

net::Task<api::JobStatus> JobRequestHandler::GetStatus(std::string id) {
  ResolvedStatus resolved = status_reader_.Resolve(id, RecordRead::kNone);
  if (resolved.decision != StatusDecision::kReadFirst) {
    co_return CountStatus(id, std::move(resolved.status));
  }
  api::JobStatus status = co_await AskForStatus(id);
  co_return CountStatus(id, std::move(status));
}

net::Task<api::JobStatus> JobRequestHandler::AskForStatus(std::string id) {
  if (!MayStartRequest()) {
    api::JobStatus refused;
    refused.withheld = WithheldReason::kTooManyRequests;
    co_return refused;
  }
  net::Task<api::JobStatus> work =
      AnswerOrForward(kStatusRequest, status_reader_.Read(id), id);
  co_return co_await AnswerWithin(std::move(work),
                                  kStatusRequest.timeout_seconds);
}

api::JobStatus JobRequestHandler::CountStatus(const std::string& id,
                                              api::JobStatus status) {
  if (status.presence == api::JobStatus::Presence::kUnknown) {
    metrics_.OnWithheld(id, status.withheld.value_or(WithheldReason::kTimedOut),
                        context_.loop.Now());
  } else {
    metrics_.OnAnswered(id);
  }
  return status;
}

api::ControllerCounters JobRequestHandler::Counters() {
  api::ControllerCounters counters;
  counters.answered = metrics_.answered();
  counters.withheld = metrics_.withheld();
  counters.oldest_withheld_seconds =
      metrics_.OldestWithheldSeconds(context_.loop.Now());
  counters.longest_stall_seconds = context_.loop.longest_stall();
  return counters;
}

net::Task<api::JobStatus> JobRequestHandler::Cancel(std::string id) {
  std::optional<api::JobStatus> terminated = status_reader_.TerminalStatus(id);
  if (terminated) co_return *std::move(terminated);
  if (!MayStartRequest()) co_return api::JobStatus{};
  net::Task<api::JobStatus> work =
      AnswerOrForward(kCancelRequest, canceller_.Cancel(id), id);
  co_return co_await AnswerWithin(std::move(work),
                                  kCancelRequest.timeout_seconds);
}

net::Task<api::SubmitResult> JobRequestHandler::Submit(
    std::shared_ptr<const JobSpec> spec) {
  if (!MayStartRequest()) co_return api::SubmitResult::kUnavailable;
  net::Task<api::SubmitResult> work =
      submitter_.Submit(std::move(spec), kChangeTimeoutSeconds);
  co_return co_await AnswerWithin(std::move(work), kChangeTimeoutSeconds);
}

net::Task<api::HeartbeatAnswer> JobRequestHandler::OnHeartbeat(
    Heartbeat heartbeat, std::string body) {
  return heartbeat_handler_.Handle(std::move(heartbeat), std::move(body));
}

api::LeaderView JobRequestHandler::CurrentLeader() {
  api::LeaderView view;
  view.leader = context_.election.LeaderName();
  const Leader* leader = context_.leader_runtime.ActiveLeader();
  if (leader == nullptr) return view;
  view.here = true;
  view.machines = leader->heartbeats_received().recorded;
  view.silent = leader->heartbeats_received().silent;
  view.expired_leases = leader->expired_leases();
  view.commands = leader->command_counters();
  view.alarms = leader->Alarms();
  view.waiting = leader->DescribeWaitingJobs();
  return view;
}

}  // namespace oxbow::app
