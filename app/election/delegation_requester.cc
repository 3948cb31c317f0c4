#include "app/election/delegation_requester.h"

#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// How long one heartbeat keeps the delegation wanted, in heartbeat intervals.
constexpr double kWantedIntervals = 2;
// Between two requests, as a share of the time that a delegation lasts.
constexpr double kRequestAgainRatio = 0.25;

}  // namespace

void DelegationRequester::OnUnansweredWorker(net::Time now) {
  wanted_until_ =
      now +
      kWantedIntervals * context_.settings.workers.heartbeat_interval_seconds;
}

void DelegationRequester::Update(net::Time now) {
  if (context_.leadership.delegation_seconds() <= 0) return;
  if (!context_.store.Failing()) return Release(now);
  const bool is_wanted = wanted_until_ && now < *wanted_until_;
  if (!is_wanted || now < next_request_at_) return;
  next_request_at_ =
      now + kRequestAgainRatio * context_.leadership.delegation_seconds();
  const uint64_t number = context_.leadership.StartDelegationRequest(now);
  for (const auto& peer : context_.peers) {
    net::Spawn(AskPeer(peer.get(), number, now));
  }
}

void DelegationRequester::Release(net::Time now) {
  const uint64_t number = context_.leadership.EndDelegation(now);
  if (number == 0) return;
  for (const auto& peer : context_.peers) {
    PeerMessage release;
    release.kind = PeerKind::kDelegationOver;
    release.node = context_.settings.node;
    release.text = context_.incarnation;
    release.mod_revision = number;
    net::Spawn(peer->Notify(std::move(release)));
  }
}

net::Task<void> DelegationRequester::AskPeer(clients::PeerClient* peer,
                                             uint64_t number,
                                             net::Time sent_at) {
  PeerMessage request;
  request.kind = PeerKind::kDelegate;
  request.node = context_.settings.node;
  request.text = context_.incarnation;
  request.mod_revision = number;
  const auto answer =
      co_await peer->Ask(request, context_.leadership.delegation_seconds());
  if (answer.ok && answer.message.answer == PeerAnswer::kYes) {
    context_.leadership.DelegationGranted(peer->name(), sent_at);
  }
}

}  // namespace oxbow::app
