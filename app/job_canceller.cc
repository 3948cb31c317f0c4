#include "app/job_canceller.h"

#include <optional>
#include <utility>

#include "wire/names.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using Presence = api::JobStatus::Presence;

// The timeout of a cancellation at the leader, as a fraction of the workers'
// lease: 0.3 while the leader waits for the terminal state to be recorded
// (LeaderRuntime::Cancel), and 0.05 for the network.
constexpr double kLeaderTimeoutRatio = 0.3 + 0.05;

}  // namespace

net::Task<api::JobStatus> JobCanceller::Cancel(std::string id) {
  const std::optional<api::JobStatus> terminated =
      status_reader_.TerminalStatus(id);
  if (terminated) co_return *terminated;
  api::JobStatus status;
  if (context_.zone_coordinator.IsIsolated()) co_return status;
  if (!context_.catalog.WasAccepted(id)) {
    status = co_await status_reader_.ReadFresh(id);
    if (status.presence != Presence::kExists) co_return status;
    const std::optional<api::JobStatus> terminated_since =
        status_reader_.TerminalStatus(id);
    if (terminated_since) co_return *terminated_since;
  }
  if (context_.leader_runtime.ActiveLeader() != nullptr) {
    const TerminalState state = co_await context_.leader_runtime.Cancel(id);
    if (state == TerminalState::kNone) co_return api::JobStatus{};
    status.presence = Presence::kExists;
    status.status = wire::NameOf(wire::kTerminalStates, state);
    co_return status;
  }
  const auto answer = co_await context_.forwarder.AskLeader(
      MakeJobMessage(PeerKind::kCancel, id),
      kLeaderTimeoutRatio * context_.settings.workers.lease_seconds);
  if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
    co_return api::JobStatus{};
  }
  status.presence = Presence::kExists;
  status.status = answer.message.text;
  co_return status;
}

net::Task<TerminalState> JobCanceller::CancelAsLeader(std::string id) {
  LeaderRuntime& leader_runtime = context_.leader_runtime;
  if (leader_runtime.ActiveLeader() == nullptr) co_return TerminalState::kNone;
  if (!context_.catalog.WasAccepted(id)) {
    const api::JobStatus status = co_await status_reader_.ReadFresh(id);
    // The leadership may have ended during the read.
    if (status.presence != Presence::kExists ||
        leader_runtime.ActiveLeader() == nullptr) {
      co_return TerminalState::kNone;
    }
  }
  co_return co_await leader_runtime.Cancel(std::move(id));
}

}  // namespace oxbow::app
