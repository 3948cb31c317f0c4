#include "app/recovery/peer_broadcast.h"

#include <algorithm>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerMessage;

// Shares of the workers' lease. Workers' leases keep elapsing while a new epoch
// is opened, so all requests that this takes must together stay well below one
// lease.
constexpr double kRequestTimeoutRatio = 0.08;
constexpr double kQuestionTimeoutRatio = 1.5 * kRequestTimeoutRatio;

}  // namespace

net::Task<std::vector<PeerMessage>> PeerBroadcast::Ask(PeerMessage message,
                                                       WaitFor wait_for) {
  const auto& peers = context_.peers;
  if (peers.empty()) co_return std::vector<PeerMessage>{};
  auto question = std::make_shared<Question>(context_.loop);
  std::vector<bool> is_waited_for;
  for (const auto& peer : peers) {
    is_waited_for.push_back(wait_for == WaitFor::kAllPeers ||
                            !silent_.contains(peer->name()));
    question->outstanding += is_waited_for.back() ? 1 : 0;
  }
  if (question->outstanding == 0) question->done.Set();
  for (size_t i = 0; i < peers.size(); ++i) {
    net::Spawn(AskOne(question, peers[i].get(), message, is_waited_for[i]));
  }
  co_await question->done.Wait(kQuestionTimeoutRatio *
                               context_.settings.workers.lease_seconds);
  co_return question->answers;
}

net::Task<void> PeerBroadcast::AskOne(std::shared_ptr<Question> question,
                                      clients::PeerClient* peer,
                                      PeerMessage message, bool is_waited_for) {
  const auto answer = co_await peer->Ask(
      std::move(message),
      kRequestTimeoutRatio * context_.settings.workers.lease_seconds);
  if (answer.ok) {
    silent_.erase(peer->name());
    question->answers.push_back(answer.message);
  } else {
    silent_.insert(peer->name());
  }
  if (is_waited_for && --question->outstanding == 0) question->done.Set();
}

bool PeerBroadcast::IsPeer(const std::string& node) const {
  return std::any_of(context_.peers.begin(), context_.peers.end(),
                     [&](const auto& peer) { return peer->name() == node; });
}

}  // namespace oxbow::app
