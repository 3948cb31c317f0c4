#include "core/recovery/peer_selector.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oxbow {
namespace {

using enum PeerState;

constexpr std::array kChanges = {
    std::pair{kAnswers, kResting}, std::pair{kResting, kOnTrial},
    std::pair{kResting, kAnswers},  // the answer to an earlier request
    std::pair{kOnTrial, kAnswers}, std::pair{kOnTrial, kResting},
};

}  // namespace

PeerSelector::PeerSelector(size_t peers, double rest_seconds,
                           double max_rest_seconds, double fruitless_per_second)
    : peers_(peers, {kAnswers, 0, rest_seconds}),
      rest_seconds_(rest_seconds),
      max_rest_seconds_(max_rest_seconds),
      fruitless_per_second_(fruitless_per_second),
      fruitless_allowance_(std::max(1.0, fruitless_per_second)) {}

void PeerSelector::Change(Peer& peer, PeerEvent event) {
  switch (event) {
    case PeerEvent::kAnswer:
      return CheckedTransition(peer.state, kAnswers, kChanges, "peer");
    case PeerEvent::kSilence:
      return CheckedTransition(peer.state, kResting, kChanges, "peer");
    case PeerEvent::kTrial:
      return CheckedTransition(peer.state, kOnTrial, kChanges, "peer");
  }
}

bool PeerSelector::MayForwardRequest(Time now) {
  const double max_allowance = std::max(1.0, fruitless_per_second_);
  fruitless_allowance_ = std::min(
      max_allowance, fruitless_allowance_ +
                         (now - allowance_updated_at_) * fruitless_per_second_);
  allowance_updated_at_ = now;
  if (fruitless_allowance_ < 1) return false;
  fruitless_allowance_ -= 1;
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
  if (entry.state != kResting || now < entry.until) return false;
  Change(entry, PeerEvent::kTrial);
  return true;
}

void PeerSelector::OnPeerAnswered(size_t peer) {
  Peer& entry = peers_[peer];
  entry.rest_seconds = rest_seconds_;
  if (entry.state != kAnswers) Change(entry, PeerEvent::kAnswer);
}

void PeerSelector::OnPeerSilent(size_t peer, Time now) {
  Peer& entry = peers_[peer];
  // Of several requests that waited for it at once, one counts.
  if (entry.state == kResting) return;
  Change(entry, PeerEvent::kSilence);
  entry.until = now + entry.rest_seconds;
  entry.rest_seconds = std::min(2 * entry.rest_seconds, max_rest_seconds_);
}

void PeerSelector::OnRequestResolved(size_t peer) {
  preferred_ = peer;
  fruitless_allowance_ =
      std::min(std::max(1.0, fruitless_per_second_), fruitless_allowance_ + 1);
}

}  // namespace oxbow
