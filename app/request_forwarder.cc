#include "app/request_forwarder.h"

#include <algorithm>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerMessage;

// Of the workers' lease.
constexpr double kProbeTimeoutRatio = 0.06;
// Of the heartbeat interval: how long a peer that does not answer is left
// alone, at first and at most.
constexpr double kPeerRestRatio = 0.1;
constexpr double kMaxPeerRestRatio = 0.5;
// Of this controller's share of the key-value store's requests: how many may be
// forwarded though forwarding has been of no use.
constexpr double kFruitlessShare = 0.25;

}  // namespace

RequestForwarder::RequestForwarder(net::Loop& loop, const Settings& settings,
                                   LeaderElection& election,
                                   const LeaderHealthCoordinator::Peers& peers)
    : loop_(loop),
      settings_(settings),
      election_(election),
      peers_(peers),
      choice_(peers.size(),
              kPeerRestRatio * settings.workers.heartbeat_interval_seconds,
              kMaxPeerRestRatio * settings.workers.heartbeat_interval_seconds,
              kFruitlessShare * settings.store.rps / settings.nodes) {}

// A controller that alone can't reach the key-value store keeps its users'
// connections: without forwarding they would get 503 while other controllers
// could answer. A job is accepted or denied only by the controller that has
// written or read its record.
net::Task<PeerMessage> RequestForwarder::AskPeers(PeerMessage message,
                                                  double interval_seconds,
                                                  double timeout_seconds) {
  if (peers_.empty() || !choice_.MayForwardRequest(loop_.Now())) {
    co_return PeerMessage{};
  }
  message.node = settings_.node;
  auto round = std::make_shared<Round>(loop_);
  const net::Time deadline = loop_.Now() + timeout_seconds;
  // All of them, until one could answer: if each request asked a single peer in
  // turn, the requests about one job might always meet those that can't.
  for (const size_t peer : choice_.PreferenceOrder()) {
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
  if (choice_.MayProbe(peer, loop_.Now())) net::Spawn(ProbePeer(peer));
  return choice_.IsResponsive(peer);
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
    choice_.OnPeerAnswered(peer);
  } else {
    choice_.OnPeerSilent(peer, loop_.Now());
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
    choice_.OnRequestResolved(peer);
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
  // Behind a network partition each request would wait for the leader in vain.
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
