#include "app/request_forwarder.h"

#include <algorithm>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerMessage;

// Of the workers' lease.
constexpr double kTrialRatio = 0.06;
// Of the heartbeat interval.
constexpr double kPeerRest = 0.1;
constexpr double kMostPeerRest = 0.5;
// Of this controller's share of the key-value store's requests.
constexpr double kVainShare = 0.25;

}  // namespace

RequestForwarder::RequestForwarder(net::Loop& loop, const Settings& settings,
                                   LeaderElection& election,
                                   const LeaderHealthCoordinator::Peers& peers)
    : loop_(loop),
      settings_(settings),
      election_(election),
      peers_(peers),
      choice_(peers.size(),
              kPeerRest * settings.workers.heartbeat_interval_seconds,
              kMostPeerRest * settings.workers.heartbeat_interval_seconds,
              kVainShare * settings.store.rps / settings.nodes) {}

// One that alone is cut off from the key-value store keeps its users for as
// long as its sockets are good: half a minute of 503 for a fifth of all
// requests, while four others could have answered. Nothing is accepted, and
// nothing denied, but by the one who has written or read it.
net::Task<PeerMessage> RequestForwarder::Ask(PeerMessage message, double apart,
                                             double within) {
  PeerMessage none;
  if (peers_.empty() || !choice_.MayAskAround(loop_.Now())) co_return none;
  message.node = settings_.node;
  auto round = std::make_shared<Round>(loop_);
  const net::Time until = loop_.Now() + within;
  // All of them, as long as nobody could tell: with one of them a request, and
  // another one each time, the same job's could meet those that can't for ever.
  for (const size_t peer : choice_.PreferenceOrder()) {
    if (round->helped || loop_.Now() >= until) break;
    if (!IsResponsive(peer)) continue;
    ++round->asked;
    round->news.Clear();
    net::Spawn(AskOne(round, peer, message, until - loop_.Now()));
    if (round->settled < round->asked) {
      co_await round->news.Wait(std::min(apart, until - loop_.Now()));
    }
  }
  while (!round->helped && round->settled < round->asked &&
         loop_.Now() < until) {
    round->news.Clear();
    co_await round->news.Wait(until - loop_.Now());
  }
  co_return round->helped ? round->answer : none;
}

bool RequestForwarder::IsResponsive(size_t peer) {
  if (choice_.MayTry(peer, loop_.Now())) net::Spawn(Try(peer));
  return choice_.IsResponsive(peer);
}

net::Task<void> RequestForwarder::Try(size_t peer) {
  PeerMessage hello;
  hello.kind = clients::PeerKind::kHello;
  hello.node = settings_.node;
  const auto answer = co_await peers_[peer]->Ask(
      std::move(hello), kTrialRatio * settings_.workers.lease_seconds);
  if (answer.ok) {
    choice_.Answered(peer);
  } else {
    choice_.Silent(peer, loop_.Now());
  }
}

net::Task<void> RequestForwarder::AskOne(std::shared_ptr<Round> round,
                                         size_t peer, PeerMessage message,
                                         double within) {
  const auto answer = co_await peers_[peer]->Ask(std::move(message), within);
  if (answer.ok) {
    choice_.Answered(peer);
  } else {
    choice_.Silent(peer, loop_.Now());
  }
  if (answer.ok && answer.message.answer != PeerAnswer::kNo && !round->helped) {
    choice_.Helped(peer);
    round->helped = true;
    round->answer = answer.message;
  }
  ++round->settled;
  round->news.Set();
}

net::Task<clients::PeerClient::Answer> RequestForwarder::AskLeader(
    PeerMessage message, double timeout) {
  clients::PeerClient::Answer answer;
  const clients::PeerClient* leader = election_.LeaderPeer();
  size_t index = 0;
  while (index < peers_.size() && peers_[index].get() != leader) ++index;
  // Behind a cut each request would wait for it, and its user for each.
  if (index == peers_.size() || !IsResponsive(index)) {
    co_return answer;
  }
  message.node = settings_.node;
  answer = co_await peers_[index]->Ask(std::move(message), timeout);
  if (answer.ok) {
    choice_.Answered(index);
  } else {
    choice_.Silent(index, loop_.Now());
  }
  co_return answer;
}

}  // namespace oxbow::app
