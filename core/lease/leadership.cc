#include "core/lease/leadership.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

using enum LeaderState;

constexpr std::array kChanges = {
    std::pair{kFollower, kCampaigning},
    std::pair{kCampaigning, kFollower},
    std::pair{kCampaigning, kLeading},
    std::pair{kLeading, kLeadingByPromises},
    std::pair{kCampaigning, kRenewing},
    std::pair{kRenewing, kLeading},
    std::pair{kRenewing, kExpired},
    std::pair{kLeading, kExpired},
    std::pair{kLeadingByPromises, kLeading},
    std::pair{kLeadingByPromises, kExpired},
    std::pair{kExpired, kFollower},
};

}  // namespace

Leadership::Leadership(std::vector<std::string> peers, double lease_seconds,
                       double promise_seconds, double delegation_seconds,
                       Time started)
    : peers_(std::move(peers)),
      lease_seconds_(lease_seconds),
      promise_seconds_(promise_seconds),
      started_(started),
      delegation_seconds_(delegation_seconds) {}

void Leadership::Change(LeaderState next) {
  CheckedTransition(state_, next, kChanges, "leadership");
}

Time Leadership::PeerPromisesUntil() const {
  if (peers_.empty()) return -1e9;  // no peer can promise: the lease decides
  Time until = 1e18;
  for (const std::string& peer : peers_) {
    const auto it = peer_promises_until_.find(peer);
    until =
        std::min(until, it == peer_promises_until_.end() ? -1e9 : it->second);
  }
  return until;
}

bool Leadership::MayActAsLeader(Time now) {
  if (state_ == kRenewing && now >= lease_expires_at_) Change(kExpired);
  if (state_ != kLeading && state_ != kLeadingByPromises) return false;
  if (now < lease_expires_at_) {
    if (state_ == kLeadingByPromises) Change(kLeading);
    return true;
  }
  if (now < PeerPromisesUntil()) {
    if (state_ == kLeading) Change(kLeadingByPromises);
    return true;
  }
  Change(kExpired);
  return false;
}

bool Leadership::MayCampaign(Time now) const {
  return state_ == kFollower && !IsBoundByPromise(now) &&
         ForgottenPromisesExpired(now);
}

bool Leadership::MayTakeFreeKey(Time now) const {
  return delegation_seconds_ > 0 && state_ == kFollower &&
         !IsBoundByPromise(now);
}

bool Leadership::IsBoundByPromise(Time now) const {
  if (now < promised_until_) return true;
  return std::any_of(given_delegation_promises_.begin(),
                     given_delegation_promises_.end(),
                     [now](const auto& p) { return now < p.second.until; });
}

bool Leadership::ForgottenPromisesExpired(Time now) const {
  if (now >= started_ + promise_seconds_ * (1 + kMaxClockDriftRate))
    return true;
  return NoPeerReliesOnPromises(DelegationsAreOver(now));
}

bool Leadership::ForgottenDelegationsExpired(Time now) const {
  return leading_peers_.empty() &&
         (DelegationsAreOver(now) || NoPeerReliesOnPromises(false));
}

bool Leadership::DelegationsAreOver(Time now) const {
  return now >= started_ + delegation_seconds_ * (1 + kMaxClockDriftRate);
}

bool Leadership::NoPeerReliesOnPromises(bool delegations_are_over) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return idle_peers_.contains(peer) ||
           (delegations_are_over && delegate_peers_.contains(peer));
  });
}

void Leadership::OnCampaignStarted(uint64_t seen) {
  Change(kCampaigning);
  seen_ = seen;
  // A controller that learns that this one holds the key stops honouring its
  // promise to it as a delegate. So promises from before the campaign must not
  // count here afterwards either.
  delegation_ended_at_ =
      std::max(delegation_ended_at_, delegation_requested_at_);
  peer_delegations_until_.clear();
}

void Leadership::OnCampaignFailed() { Change(kFollower); }

void Leadership::OnElected(uint64_t revision, uint64_t lease_id, Time sent,
                           bool leads) {
  Change(leads ? kLeading : kRenewing);
  revision_ = revision;
  lease_id_ = lease_id;
  lease_expires_at_ = sent + lease_seconds_ * (1 - kMaxClockDriftRate);
  peer_promises_until_.clear();
}

bool Leadership::PromoteToLeader(Time now) {
  if (state_ != kRenewing || now >= lease_expires_at_ ||
      !ForgottenPromisesExpired(now))
    return false;
  Change(kLeading);
  return true;
}

void Leadership::OnKeyRewritten(uint64_t revision, uint64_t lease_id,
                                Time sent) {
  if (state_ == kLeadingByPromises) Change(kLeading);
  revision_ = revision;
  lease_id_ = lease_id;
  lease_expires_at_ = sent + lease_seconds_ * (1 - kMaxClockDriftRate);
  peer_promises_until_.clear();
}

void Leadership::ResetAfterDataLoss(Time now) {
  started_ = now;
  idle_peers_.clear();
  delegate_peers_.clear();
  leading_peers_.clear();
}

void Leadership::RenewGranted(Time sent) {
  if (state_ != kLeading && state_ != kLeadingByPromises && state_ != kRenewing)
    return;
  lease_expires_at_ = std::max(
      lease_expires_at_, sent + lease_seconds_ * (1 - kMaxClockDriftRate));
}

void Leadership::OnKeyLost() {
  if (state_ == kLeading || state_ == kLeadingByPromises ||
      state_ == kRenewing) {
    Change(kExpired);
  }
}

void Leadership::BecomeFollower() {
  if (state_ == kExpired) Change(kFollower);
}

bool Leadership::WantsPromises(Time now) const {
  // The leader asks as soon as one renewal is overdue: promises that arrive
  // after the lease has expired have no effect.
  constexpr double kOverdueRenewal = 0.7;  // share of the lease that is left
  return state_ == kLeadingByPromises ||
         (state_ == kLeading &&
          lease_expires_at_ - now < lease_seconds_ * kOverdueRenewal);
}

void Leadership::PromiseGranted(const std::string& peer, Time sent) {
  Time& until = peer_promises_until_[peer];
  until = std::max(until, sent + promise_seconds_ * (1 - kMaxClockDriftRate));
}

bool Leadership::OnPromiseRequested(bool store_fails, Time now) {
  // The outcome of a campaign in progress is unknown, so nothing can be
  // promised.
  if (!store_fails || state_ != kFollower) return false;
  promised_until_ = now + promise_seconds_ * (1 + kMaxClockDriftRate);
  return true;
}

// A peer that once relied on no promise stays in idle_peers_: whatever it
// relies on later, this process has promised and remembers.
void Leadership::SetPeerRole(const std::string& peer, LeaderRole role) {
  if (std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) return;
  if (role == LeaderRole::kLeads) {
    leading_peers_.insert(peer);
    return;
  }
  leading_peers_.erase(peer);
  if (role == LeaderRole::kRenewsByPromises) {
    delegate_peers_.insert(peer);
  } else {
    idle_peers_.insert(peer);
  }
}

LeaderRole Leadership::Role(Time now) const {
  if (state_ == kLeading || state_ == kLeadingByPromises)
    return LeaderRole::kLeads;
  if (state_ == kRenewing) return LeaderRole::kRenewsByKey;
  // This controller counts as a delegate from its request on: a promise may
  // still be in flight when the controller that gave it has restarted and asks
  // for this controller's role.
  return delegation_ended_at_ < delegation_requested_at_ &&
                 now < delegation_requested_at_ + delegation_seconds_
             ? LeaderRole::kRenewsByPromises
             : LeaderRole::kNone;
}

bool Leadership::MayRenewWorkerLeases(Time now) {
  if (state_ == kRenewing) {
    if (now < lease_expires_at_) return true;
    Change(kExpired);
    return false;
  }
  if (state_ != kFollower || delegation_seconds_ <= 0 || peers_.empty())
    return false;
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const auto it = peer_delegations_until_.find(peer);
    return it != peer_delegations_until_.end() && now < it->second;
  });
}

uint64_t Leadership::StartDelegationRequest(Time sent) {
  delegation_requested_at_ = sent;
  return ++delegation_number_;
}

void Leadership::DelegationGranted(const std::string& peer, Time sent) {
  if (sent <= delegation_ended_at_) return;
  Time& until = peer_delegations_until_[peer];
  until =
      std::max(until, sent + delegation_seconds_ * (1 - kMaxClockDriftRate));
}

uint64_t Leadership::EndDelegation(Time now) {
  if (delegation_ended_at_ >= delegation_requested_at_) return 0;
  delegation_ended_at_ = now;
  peer_delegations_until_.clear();
  return delegation_number_;
}

bool Leadership::OnDelegationPromiseRequested(
    const std::string& peer, const std::string& process_incarnation,
    uint64_t number, bool store_fails, Time now) {
  if (delegation_seconds_ <= 0 || !store_fails || state_ != kFollower)
    return false;
  DelegationPromise& promise = given_delegation_promises_[peer];
  promise.process_incarnation = process_incarnation;
  promise.number = number;
  promise.until = std::max(
      promise.until, now + delegation_seconds_ * (1 + kMaxClockDriftRate));
  return true;
}

void Leadership::DelegationReleased(const std::string& peer,
                                    const std::string& process_incarnation,
                                    uint64_t number) {
  const auto it = given_delegation_promises_.find(peer);
  if (it != given_delegation_promises_.end() &&
      it->second.process_incarnation == process_incarnation &&
      it->second.number <= number) {
    given_delegation_promises_.erase(it);
  }
}

}  // namespace oxbow
