#include "app/request_forwarder.h"

#include <algorithm>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerMessage;

// The timeout of a probe, as a fraction of the workers' lease.
constexpr double kProbeTimeoutRatio = 0.06;
// The initial and the longest back-off from a peer that does not answer, as
// fractions of the heartbeat interval.
constexpr double kInitialBackoffRatio = 0.1;
constexpr double kMaxBackoffRatio = 0.5;
// The rate at which requests may be forwarded while no peer can resolve them,
// as a fraction of this controller's share of the key-value store's request
// rate.
constexpr double kUnresolvedRequestShare = 0.25;

}  // namespace

RequestForwarder::RequestForwarder(net::Loop& loop, const Settings& settings,
                                   LeaderElection& election,
                                   const LeaderHealthCoordinator::Peers& peers)
    : loop_(loop),
      settings_(settings),
      election_(election),
      peers_(peers),
      peer_selector_(
          peers.size(),
          kInitialBackoffRatio * settings.workers.heartbeat_interval_seconds,
          kMaxBackoffRatio * settings.workers.heartbeat_interval_seconds,
          kUnresolvedRequestShare * settings.store.rps / settings.nodes) {}

// A controller that alone can't reach the key-value store keeps its users'
// connections. Without forwarding, these users would get 503 although other
// controllers could answer them. Only the controller that has written or read a
// job's record accepts the job or denies that it exists.
net::Task<PeerMessage> RequestForwarder::AskPeers(PeerMessage message,
                                                  double interval_seconds,
                                                  double timeout_seconds) {
  if (peers_.empty() || !peer_selector_.MayForwardRequest(loop_.Now())) {
    co_return PeerMessage{};
  }
  message.node = settings_.node;
  auto round = std::make_shared<Round>(loop_);
  const net::Time deadline = loop_.Now() + timeout_seconds;
  // Each request asks all peers until one can answer. If each request asked
  // only a single peer, in rotation, the requests about one job might always
  // reach peers that can't answer.
  for (const size_t peer : peer_selector_.PreferenceOrder()) {
    if (round->answered || loop_.Now() >= deadline) break;
    if (!IsResponsive(peer)) continue;
    ++round->asked;
    round->changed.Clear();
    net::Spawn(AskPeer(round, peer, message, deadline - loop_.Now()));
    if (round->finished < round->asked) {
      co_await round->changed.Wait(
          std::min(interval_seconds, deadline - loop_.Now()));
    }
  }
  while (!round->answered && round->finished < round->asked &&
         loop_.Now() < deadline) {
    round->changed.Clear();
    co_await round->changed.Wait(deadline - loop_.Now());
  }
  co_return round->answered ? round->answer : PeerMessage{};
}

bool RequestForwarder::IsResponsive(size_t peer) {
  if (peer_selector_.MayProbe(peer, loop_.Now())) net::Spawn(ProbePeer(peer));
  return peer_selector_.IsResponsive(peer);
}

net::Task<void> RequestForwarder::ProbePeer(size_t peer) {
  PeerMessage hello;
  hello.kind = clients::PeerKind::kHello;
  hello.node = settings_.node;
  const auto answer = co_await peers_[peer]->Ask(
      std::move(hello), kProbeTimeoutRatio * settings_.workers.lease_seconds);
  RecordOutcome(peer, answer.ok);
}

void RequestForwarder::RecordOutcome(size_t peer, bool answered) {
  if (answered) {
    peer_selector_.OnPeerAnswered(peer);
  } else {
    peer_selector_.OnPeerSilent(peer, loop_.Now());
  }
}

net::Task<void> RequestForwarder::AskPeer(std::shared_ptr<Round> round,
                                          size_t peer, PeerMessage message,
                                          double timeout_seconds) {
  const auto answer =
      co_await peers_[peer]->Ask(std::move(message), timeout_seconds);
  RecordOutcome(peer, answer.ok);
  if (answer.ok && answer.message.answer != PeerAnswer::kNo &&
      !round->answered) {
    peer_selector_.OnRequestResolved(peer);
    round->answered = true;
    round->answer = answer.message;
  }
  ++round->finished;
  round->changed.Set();
}

net::Task<clients::PeerClient::Answer> RequestForwarder::AskLeader(
    PeerMessage message, double timeout_seconds) {
  const clients::PeerClient* leader = election_.LeaderPeer();
  size_t index = 0;
  while (index < peers_.size() && peers_[index].get() != leader) ++index;
  // Behind a network partition each request would otherwise wait for an
  // unreachable leader until its timeout.
  if (index == peers_.size() || !IsResponsive(index)) {
    co_return clients::PeerClient::Answer{};
  }
  message.node = settings_.node;
  clients::PeerClient::Answer answer =
      co_await peers_[index]->Ask(std::move(message), timeout_seconds);
  RecordOutcome(index, answer.ok);
  co_return answer;
}

}  // namespace oxbow::app
