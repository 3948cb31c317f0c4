#include "core/recovery/peer_selector.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oxbow {
namespace {

using enum PeerState;

constexpr std::array kChanges = {
    std::pair{kResponsive, kBackingOff}, std::pair{kBackingOff, kProbing},
    std::pair{kBackingOff, kResponsive},  // the answer to an earlier request
    std::pair{kProbing, kResponsive},    std::pair{kProbing, kBackingOff},
};

}  // namespace

PeerSelector::PeerSelector(size_t peers, double initial_backoff_seconds,
                           double max_backoff_seconds,
                           double unresolved_per_second)
    : peers_(peers, {kResponsive, 0, initial_backoff_seconds}),
      initial_backoff_seconds_(initial_backoff_seconds),
      max_backoff_seconds_(max_backoff_seconds),
      unresolved_per_second_(unresolved_per_second),
      unresolved_allowance_(std::max(1.0, unresolved_per_second)) {}

void PeerSelector::Change(Peer& peer, PeerEvent event) {
  switch (event) {
    case PeerEvent::kPeerAnswered:
      return CheckedTransition(peer.state, kResponsive, kChanges, "peer");
    case PeerEvent::kPeerSilent:
      return CheckedTransition(peer.state, kBackingOff, kChanges, "peer");
    case PeerEvent::kProbeStarted:
      return CheckedTransition(peer.state, kProbing, kChanges, "peer");
  }
}

bool PeerSelector::MayForwardRequest(Time now) {
  const double max_allowance = std::max(1.0, unresolved_per_second_);
  unresolved_allowance_ = std::min(
      max_allowance, unresolved_allowance_ + (now - allowance_updated_at_) *
                                                 unresolved_per_second_);
  allowance_updated_at_ = now;
  if (unresolved_allowance_ < 1) return false;
  unresolved_allowance_ -= 1;
  return true;
}

std::vector<size_t> PeerSelector::PreferenceOrder() const {
  std::vector<size_t> preference;
  for (size_t i = 0; i < peers_.size(); ++i) {
    preference.push_back((preferred_ + i) % peers_.size());
  }
  return preference;
}

bool PeerSelector::MayProbe(size_t peer, Time now) {
  Peer& entry = peers_[peer];
  if (entry.state != kBackingOff || now < entry.backoff_ends_at) return false;
  Change(entry, PeerEvent::kProbeStarted);
  return true;
}

void PeerSelector::OnPeerAnswered(size_t peer) {
  Peer& entry = peers_[peer];
  entry.next_backoff_seconds = initial_backoff_seconds_;
  if (entry.state != kResponsive) Change(entry, PeerEvent::kPeerAnswered);
}

void PeerSelector::OnPeerSilent(size_t peer, Time now) {
  Peer& entry = peers_[peer];
  // If several requests waited for the peer at the same time, only the first
  // one that gets no answer starts a back-off.
  if (entry.state == kBackingOff) return;
  Change(entry, PeerEvent::kPeerSilent);
  entry.backoff_ends_at = now + entry.next_backoff_seconds;
  entry.next_backoff_seconds =
      std::min(2 * entry.next_backoff_seconds, max_backoff_seconds_);
}

void PeerSelector::OnRequestResolved(size_t peer) {
  preferred_ = peer;
  unresolved_allowance_ = std::min(std::max(1.0, unresolved_per_second_),
                                   unresolved_allowance_ + 1);
}

}  // namespace oxbow
