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
  Peer& p = peers_[peer];
  if (p.state != kResting || now < p.until) return false;
  Change(p, PeerEvent::kTrial);
  return true;
}

void PeerChoice::Answered(size_t peer) {
  Peer& p = peers_[peer];
  p.rest_seconds = rest_seconds_;
  if (p.state != kAnswers) Change(p, PeerEvent::kAnswer);
}

void PeerChoice::Silent(size_t peer, Time now) {
  Peer& p = peers_[peer];
  // Of several that waited for it at once, one counts.
  if (p.state == kResting) return;
  Change(p, PeerEvent::kSilence);
  p.until = now + p.rest_seconds;
  p.rest_seconds = std::min(2 * p.rest_seconds, most_rest_seconds_);
}

void PeerChoice::Helped(size_t peer) {
  first_ = peer;
  vain_ = std::min(std::max(1.0, vain_per_seconds_), vain_ + 1);
}

}  // namespace oxbow
