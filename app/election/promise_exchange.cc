#include "app/election/promise_exchange.h"

#include <string>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::Urgency;

// Requests for promises in a lease of the leader key.
constexpr double kRequestsPerLease = 5;
// How long an answer is waited for, as a share of the workers' lease.
constexpr double kAnswerTimeoutRatio = 0.15;

}  // namespace

void PromiseExchange::RequestIfDue(net::Time now) {
  if (!context_.leadership.WantsPromises(now) || now < next_request_at_) return;
  next_request_at_ = now + context_.lease_seconds / kRequestsPerLease;
  for (const auto& peer : context_.peers) net::Spawn(Request(peer.get()));
}

net::Task<void> PromiseExchange::Request(clients::PeerClient* peer) {
  PeerMessage request;
  request.kind = PeerKind::kPromise;
  request.node = context_.settings.node;
  Leadership& leadership = context_.leadership;
  const uint64_t revision = leadership.revision();
  const net::Time sent_at = context_.loop.Refresh();
  const auto answer = co_await peer->Ask(
      request, kAnswerTimeoutRatio * context_.settings.workers.lease_seconds);
  if (answer.ok && answer.message.answer == PeerAnswer::kYes &&
      leadership.revision() == revision) {
    leadership.PromiseGranted(peer->name(), sent_at);
  }
}

net::Task<bool> PromiseExchange::Promise() {
  co_await ProbeStore();
  const bool store_fails = StoreFails();
  co_return context_.leadership.OnPromiseRequested(store_fails,
                                                   context_.loop.Refresh());
}

net::Task<bool> PromiseExchange::PromiseToDelegate(PeerMessage request) {
  co_await ProbeStore();
  const bool store_fails = StoreFails();
  co_return context_.leadership.OnDelegationPromiseRequested(
      request.node, request.text, request.mod_revision, store_fails,
      context_.loop.Refresh());
}

// Data that is lost is as good as no answer: nobody can lead by it.
bool PromiseExchange::StoreFails() const {
  return context_.store.Failing() ||
         !context_.recovery.verification().MayCampaign();
}

net::Task<void> PromiseExchange::ProbeStore() {
  if (is_probing_) co_return;
  is_probing_ = true;
  co_await context_.store.Get(std::string(keys::kLeader), Urgency::kLease);
  is_probing_ = false;
}

}  // namespace oxbow::app
