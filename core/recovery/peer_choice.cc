#include "core/recovery/peer_choice.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oxbow {
namespace {

using enum PeerState;

constexpr std::array kChanges = {
    std::pair{kAnswers, kResting}, std::pair{kResting, kOnTrial},
    std::pair{kResting, kAnswers},  // the answer to an earlier question
    std::pair{kOnTrial, kAnswers}, std::pair{kOnTrial, kResting},
};

}  // namespace

PeerChoice::PeerChoice(size_t peers, double rest_seconds,
                       double most_rest_seconds, double vain_per_second)
    : peers_(peers, {kAnswers, 0, rest_seconds}),
      rest_seconds_(rest_seconds),
      most_rest_seconds_(most_rest_seconds),
      vain_per_seconds_(vain_per_second),
      vain_(std::max(1.0, vain_per_second)) {}

void PeerChoice::Change(Peer& peer, PeerEvent event) {
  switch (event) {
    case PeerEvent::kAnswer:
      return CheckedChange(peer.state, kAnswers, kChanges, "peer");
    case PeerEvent::kSilence:
      return CheckedChange(peer.state, kResting, kChanges, "peer");
    case PeerEvent::kTrial:
      return CheckedChange(peer.state, kOnTrial, kChanges, "peer");
  }
}

bool PeerChoice::MayAskAround(Time now) {
  const double most = std::max(1.0, vain_per_seconds_);
  vain_ = std::min(most, vain_ + (now - counted_) * vain_per_seconds_);
  counted_ = now;
  if (vain_ < 1) return false;
  vain_ -= 1;
  return true;
}

std::vector<size_t> PeerChoice::PreferenceOrder() const {
  std::vector<size_t> order;
  for (size_t i = 0; i < peers_.size(); ++i) {
    order.push_back((first_ + i) % peers_.size());
  }
  return order;
}

bool PeerChoice::MayTry(size_t peer, Time now) {
  Peer& the_peer = peers_[peer];
  if (the_peer.state != kResting || now < the_peer.until) return false;
  Change(the_peer, PeerEvent::kTrial);
  return true;
}

void PeerChoice::Answered(size_t peer) {
  Peer& the_peer = peers_[peer];
  the_peer.rest_seconds = rest_seconds_;
  if (the_peer.state != kAnswers) Change(the_peer, PeerEvent::kAnswer);
}

void PeerChoice::Silent(size_t peer, Time now) {
  Peer& the_peer = peers_[peer];
  // Of several that waited for it at once, one counts.
  if (the_peer.state == kResting) return;
  Change(the_peer, PeerEvent::kSilence);
  the_peer.until = now + the_peer.rest_seconds;
  the_peer.rest_seconds =
      std::min(2 * the_peer.rest_seconds, most_rest_seconds_);
}

void PeerChoice::Helped(size_t peer) {
  first_ = peer;
  vain_ = std::min(std::max(1.0, vain_per_seconds_), vain_ + 1);
}

}  // namespace oxbow
