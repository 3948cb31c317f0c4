#include "core/lease/leadership.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

using enum LeaderState;

constexpr std::array kChanges = {
    std::pair{kFollower, kCampaigning}, std::pair{kCampaigning, kFollower},
    std::pair{kCampaigning, kLeading},  std::pair{kLeading, kProlonged},
    std::pair{kCampaigning, kRenewing}, std::pair{kRenewing, kLeading},
    std::pair{kRenewing, kExpired},     std::pair{kLeading, kExpired},
    std::pair{kProlonged, kLeading},    std::pair{kProlonged, kExpired},
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

Time Leadership::PromisedUntil() const {
  if (peers_.empty()) return -1e9;  // nobody can promise: the lease decides
  Time until = 1e18;
  for (const std::string& peer : peers_) {
    const auto it = granted_until_.find(peer);
    until = std::min(until, it == granted_until_.end() ? -1e9 : it->second);
  }
  return until;
}

bool Leadership::MayActAsLeader(Time now) {
  if (state_ == kRenewing && now >= lease_until_) Change(kExpired);
  if (state_ != kLeading && state_ != kProlonged) return false;
  if (now < lease_until_) {
    if (state_ == kProlonged) Change(kLeading);
    return true;
  }
  if (now < PromisedUntil()) {
    if (state_ == kLeading) Change(kProlonged);
    return true;
  }
  Change(kExpired);
  return false;
}

bool Leadership::MayCampaign(Time now) const {
  return state_ == kFollower && !Bound(now) && ForgottenPromisesExpired(now);
}

bool Leadership::MayTakeFreeKey(Time now) const {
  return delegation_seconds_ > 0 && state_ == kFollower && !Bound(now);
}

// By a promise that this process has given.
bool Leadership::Bound(Time now) const {
  if (now < promised_until_) return true;
  return std::any_of(delegation_promised_.begin(), delegation_promised_.end(),
                     [now](const auto& p) { return now < p.second.until; });
}

bool Leadership::ForgottenPromisesExpired(Time now) const {
  if (now >= started_ + promise_seconds_ * (1 + kMaxClockDriftRate))
    return true;
  return AllIdle(DelegationsAreOver(now));
}

bool Leadership::ForgottenDelegationsExpired(Time now) const {
  return leading_.empty() && (DelegationsAreOver(now) || AllIdle(false));
}

bool Leadership::DelegationsAreOver(Time now) const {
  return now >= started_ + delegation_seconds_ * (1 + kMaxClockDriftRate);
}

bool Leadership::AllIdle(bool delegations_are_over) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return known_idle_.contains(peer) ||
           (delegations_are_over && delegates_.contains(peer));
  });
}

void Leadership::OnCampaignStarted(uint64_t seen) {
  Change(kCampaigning);
  seen_ = seen;
  // A controller that learns that this one renews by the key, or leads, no
  // longer honours its promise to a delegate; so one left over must not count
  // here afterwards either.
  delegation_over_ = std::max(delegation_over_, delegation_asked_);
  delegation_granted_.clear();
}

void Leadership::OnCampaignFailed() { Change(kFollower); }

void Leadership::OnElected(uint64_t revision, uint64_t lease_id, Time sent,
                           bool leads) {
  Change(leads ? kLeading : kRenewing);
  revision_ = revision;
  lease_id_ = lease_id;
  lease_until_ = sent + lease_seconds_ * (1 - kMaxClockDriftRate);
  granted_until_.clear();
}

bool Leadership::PromoteToLeader(Time now) {
  if (state_ != kRenewing || now >= lease_until_ ||
      !ForgottenPromisesExpired(now))
    return false;
  Change(kLeading);
  return true;
}

void Leadership::Rewon(uint64_t revision, uint64_t lease_id, Time sent) {
  if (state_ == kProlonged) Change(kLeading);
  revision_ = revision;
  lease_id_ = lease_id;
  lease_until_ = sent + lease_seconds_ * (1 - kMaxClockDriftRate);
  granted_until_.clear();
}

void Leadership::ResetAfterDataLoss(Time now) {
  started_ = now;
  known_idle_.clear();
  delegates_.clear();
  leading_.clear();
}

void Leadership::RenewGranted(Time sent) {
  if (state_ != kLeading && state_ != kProlonged && state_ != kRenewing) return;
  lease_until_ =
      std::max(lease_until_, sent + lease_seconds_ * (1 - kMaxClockDriftRate));
}

void Leadership::OnKeyLost() {
  if (state_ == kLeading || state_ == kProlonged || state_ == kRenewing) {
    Change(kExpired);
  }
}

void Leadership::BecomeFollower() {
  if (state_ == kExpired) Change(kFollower);
}

bool Leadership::WantsPromises(Time now) const {
  // Ask as soon as one renewal is overdue: the promises have to be there before
  // the lease expires, for afterwards they are of no use.
  constexpr double kOverdueRenewal = 0.7;  // of the lease is left
  return state_ == kProlonged ||
         (state_ == kLeading &&
          lease_until_ - now < lease_seconds_ * kOverdueRenewal);
}

void Leadership::PromiseGranted(const std::string& peer, Time sent) {
  Time& until = granted_until_[peer];
  until = std::max(until, sent + promise_seconds_ * (1 - kMaxClockDriftRate));
}

bool Leadership::OnPromiseRequested(bool state_fails, Time now) {
  // An attempt to win the key in progress has an unknown outcome: nothing can
  // be promised.
  if (!state_fails || state_ != kFollower) return false;
  promised_until_ = now + promise_seconds_ * (1 + kMaxClockDriftRate);
  return true;
}

// That a peer relies on no promise holds from then on: what it comes to rely on
// later, this process has promised and remembers.
void Leadership::SetPeerRole(const std::string& peer, LeaderRole role) {
  if (std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) return;
  if (role == LeaderRole::kLeads) {
    leading_.insert(peer);
    return;
  }
  leading_.erase(peer);
  if (role == LeaderRole::kRenewsByPromises) {
    delegates_.insert(peer);
  } else {
    known_idle_.insert(peer);
  }
}

LeaderRole Leadership::Role(Time now) const {
  if (state_ == kLeading || state_ == kProlonged) return LeaderRole::kLeads;
  if (state_ == kRenewing) return LeaderRole::kRenewsByKey;
  // From the request on: a promise may be in flight while the controller that
  // gave it, restarted, asks who relies on it.
  return delegation_over_ < delegation_asked_ &&
                 now < delegation_asked_ + delegation_seconds_
             ? LeaderRole::kRenewsByPromises
             : LeaderRole::kNone;
}

bool Leadership::MayRenewWorkerLeases(Time now) {
  if (state_ == kRenewing) {
    if (now < lease_until_) return true;
    Change(kExpired);
    return false;
  }
  if (state_ != kFollower || delegation_seconds_ <= 0 || peers_.empty())
    return false;
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const auto it = delegation_granted_.find(peer);
    return it != delegation_granted_.end() && now < it->second;
  });
}

uint64_t Leadership::StartDelegationRequest(Time sent) {
  delegation_asked_ = sent;
  return ++delegation_number_;
}

void Leadership::DelegationGranted(const std::string& peer, Time sent) {
  if (sent <= delegation_over_) return;
  Time& until = delegation_granted_[peer];
  until =
      std::max(until, sent + delegation_seconds_ * (1 - kMaxClockDriftRate));
}

uint64_t Leadership::EndDelegation(Time now) {
  if (delegation_over_ >= delegation_asked_) return 0;
  delegation_over_ = now;
  delegation_granted_.clear();
  return delegation_number_;
}

bool Leadership::OnDelegationPromiseRequested(
    const std::string& peer, const std::string& process_incarnation,
    uint64_t number, bool state_fails, Time now) {
  if (delegation_seconds_ <= 0 || !state_fails || state_ != kFollower)
    return false;
  DelegationPromise& promise = delegation_promised_[peer];
  promise.process_incarnation = process_incarnation;
  promise.number = number;
  promise.until = std::max(
      promise.until, now + delegation_seconds_ * (1 + kMaxClockDriftRate));
  return true;
}

void Leadership::DelegationReleased(const std::string& peer,
                                    const std::string& process_incarnation,
                                    uint64_t number) {
  const auto it = delegation_promised_.find(peer);
  if (it != delegation_promised_.end() &&
      it->second.process_incarnation == process_incarnation &&
      it->second.number <= number) {
    delegation_promised_.erase(it);
  }
}

}  // namespace oxbow
