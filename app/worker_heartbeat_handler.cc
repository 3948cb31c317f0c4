#include "app/worker_heartbeat_handler.h"

#include <utility>

#include "core/lease/fencing_token_source.h"

namespace oxbow::app {
namespace {

using Renewal = ZoneCoordinator::Renewal;
using Result = api::HeartbeatAnswer::Result;

}  // namespace

std::optional<HeartbeatResponse> WorkerHeartbeatHandler::ProcessAsLeader(
    const Heartbeat& heartbeat) {
  LeaderRuntime& leader_runtime = context_.leader_runtime;
  const Leader* active = leader_runtime.ActiveLeader();
  if (active == nullptr) return std::nullopt;
  HeartbeatResponse response;
  leader_runtime.Deliver(active->revision(), [&](Leader& leader) {
    response = leader.OnHeartbeat(heartbeat, context_.loop.Now());
  });
  // The heartbeat may have ended this leadership, and a repeated copy of an
  // earlier heartbeat is not answered.
  if (!leader_runtime.is_leading() || response.refused || response.withheld) {
    return std::nullopt;
  }
  return response;
}

api::HeartbeatAnswer WorkerHeartbeatHandler::AnswerAsLeader(
    const Heartbeat& heartbeat, uint64_t revision) {
  api::HeartbeatAnswer answer;
  answer.leader =
      context_.zone_coordinator.RedirectTargetFor(heartbeat, revision);
  if (!answer.leader.empty()) {
    context_.leader_runtime.Deliver(revision, [&](Leader& leader) {
      leader.OnProbeAnswer(heartbeat, context_.loop.Now());
    });
    answer.result = Result::kRedirected;
    return answer;
  }
  std::optional<HeartbeatResponse> response = ProcessAsLeader(heartbeat);
  if (response) {
    answer.response = *std::move(response);
    answer.result = Result::kAnswered;
  }
  return answer;
}

net::Task<api::HeartbeatAnswer> WorkerHeartbeatHandler::Handle(
    Heartbeat heartbeat, std::string body) {
  context_.recovery.OnObservedTerm(TermOfToken(heartbeat.token));
  if (const Leader* leader = context_.leader_runtime.ActiveLeader()) {
    co_return AnswerAsLeader(heartbeat, leader->revision());
  }
  ZoneCoordinator& zone_coordinator = context_.zone_coordinator;
  if (zone_coordinator.MayForward(heartbeat, body.size())) {
    ZoneCoordinator::ForwardedAnswer forwarded =
        co_await zone_coordinator.ForwardToLeader(std::move(body));
    if (forwarded.answered) {
      api::HeartbeatAnswer answer;
      answer.forwarded = std::move(forwarded.text);
      answer.result = Result::kForwarded;
      co_return answer;
    }
  }
  co_return RenewOrRedirect(heartbeat);
}

api::HeartbeatAnswer WorkerHeartbeatHandler::RenewOrRedirect(
    const Heartbeat& heartbeat) {
  const uint64_t term = TermOfToken(heartbeat.token);
  Renewal renewal = Renewal::kYes;
  if (heartbeat.token == 0 || !context_.election.MayRenewWorkerLeases(term)) {
    renewal = context_.zone_coordinator.MayRenewWorkerLeases(heartbeat);
  }
  api::HeartbeatAnswer answer;
  if (renewal == Renewal::kYes) {
    // The response contains the worker's own fencing token and no commands. It
    // renews the worker's lease; the next leader measures the lease from the
    // start of its own leadership.
    answer.response.token = heartbeat.token;
    answer.result = Result::kAnswered;
    return answer;
  }
  answer.leader = RedirectTarget(heartbeat, renewal);
  if (answer.leader != context_.settings.node) {
    answer.result = Result::kRedirected;
  }
  return answer;
}

std::string WorkerHeartbeatHandler::RedirectTarget(const Heartbeat& heartbeat,
                                                   Renewal renewal) const {
  const ZoneCoordinator& zone_coordinator = context_.zone_coordinator;
  const Catalog& catalog = context_.catalog;
  // A worker that is redirected to a controller that it cannot reach loses
  // lease time there. A worker is redirected to the leader if the leader of the
  // term known here reaches it, or if this controller is not cut off.
  const bool leader_reaches_worker =
      renewal == Renewal::kRedirected &&
      TermOfToken(heartbeat.token) ==
          TermOf(catalog.epoch(), catalog.leader().mod_revision);
  std::string target;
  if (leader_reaches_worker || !zone_coordinator.IsCutOff()) {
    target = context_.election.LeaderName();
  }
  if (target.empty() && renewal == Renewal::kNo &&
      heartbeat.zone == context_.settings.zone) {
    target = zone_coordinator.DelegateInZone();
  }
  return target;
}

}  // namespace oxbow::app
