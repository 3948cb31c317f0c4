#include "core/lease/leadership.h"

#include <algorithm>
#include <utility>

namespace oxbow {
namespace {

using enum LeaderState;

constexpr std::array kChanges = {
    std::pair{kFollower, kSeeking}, std::pair{kSeeking, kFollower},
    std::pair{kSeeking, kLeading},  std::pair{kLeading, kProlonged},
    std::pair{kLeading, kLapsed},   std::pair{kProlonged, kLeading},
    std::pair{kProlonged, kLapsed}, std::pair{kLapsed, kFollower},
};

}  // namespace

Leadership::Leadership(std::vector<std::string> peers, double lease_s,
                       double promise_s, Time started)
    : peers_(std::move(peers)),
      lease_s_(lease_s),
      promise_s_(promise_s),
      started_(started) {}

void Leadership::Change(LeaderState next) {
  CheckedChange(state_, next, kChanges, "leadership");
}

Time Leadership::PromisedUntil() const {
  if (peers_.empty()) return -1e9;  // nobody to promise: the lease decides
  Time until = 1e18;
  for (const std::string& peer : peers_) {
    const auto it = granted_until_.find(peer);
    until = std::min(until, it == granted_until_.end() ? -1e9 : it->second);
  }
  return until;
}

bool Leadership::Valid(Time now) {
  if (state_ != kLeading && state_ != kProlonged) return false;
  if (now < lease_until_) {
    if (state_ == kProlonged) Change(kLeading);
    return true;
  }
  if (now < PromisedUntil()) {
    if (state_ == kLeading) Change(kProlonged);
    return true;
  }
  Change(kLapsed);
  return false;
}

bool Leadership::MaySeek(Time now) const {
  if (state_ != kFollower || now < promised_until_) return false;
  if (now >= started_ + promise_s_ * (1 + kDrift)) return true;
  return known_idle_.size() == peers_.size();
}

void Leadership::SeekStarted(uint64_t seen) {
  Change(kSeeking);
  seen_ = seen;
}

void Leadership::SeekFailed() { Change(kFollower); }

void Leadership::Won(uint64_t revision, uint64_t lease_id, Time sent) {
  Change(kLeading);
  revision_ = revision;
  lease_id_ = lease_id;
  lease_until_ = sent + lease_s_ * (1 - kDrift);
  granted_until_.clear();
}

void Leadership::Rewon(uint64_t revision, uint64_t lease_id, Time sent) {
  if (state_ == kProlonged) Change(kLeading);
  revision_ = revision;
  lease_id_ = lease_id;
  lease_until_ = sent + lease_s_ * (1 - kDrift);
  granted_until_.clear();
}

void Leadership::Forget(Time now) {
  started_ = now;
  known_idle_.clear();
}

void Leadership::RenewGranted(Time sent) {
  if (state_ != kLeading && state_ != kProlonged) return;
  lease_until_ = std::max(lease_until_, sent + lease_s_ * (1 - kDrift));
}

void Leadership::Lost() {
  if (state_ == kLeading || state_ == kProlonged) Change(kLapsed);
}

void Leadership::Retire() {
  if (state_ == kLapsed) Change(kFollower);
}

bool Leadership::WantsPromises(Time now) const {
  // Ask as soon as one renewal is overdue: what is granted has to be there
  // before the lease runs out, for afterwards it is too late for good.
  return state_ == kProlonged ||
         (state_ == kLeading && lease_until_ - now < lease_s_ * 0.7);
}

void Leadership::PromiseGranted(const std::string& peer, Time sent) {
  Time& until = granted_until_[peer];
  until = std::max(until, sent + promise_s_ * (1 - kDrift));
}

bool Leadership::AskedToPromise(bool state_fails, Time now) {
  // A search under way has an unknown outcome, so nothing can be promised.
  if (!state_fails || state_ != kFollower) return false;
  promised_until_ = now + promise_s_ * (1 + kDrift);
  return true;
}

void Leadership::PeerDoesNotLead(const std::string& peer) {
  if (std::find(peers_.begin(), peers_.end(), peer) != peers_.end()) {
    known_idle_.insert(peer);
  }
}

}  // namespace oxbow
