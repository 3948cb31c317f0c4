#include "app/election/peer_role_survey.h"

#include "clients/peer.h"

namespace oxbow::app {
namespace {

using clients::PeerKind;
using clients::PeerMessage;

// Between two rounds, and for each answer, in heartbeat intervals.
constexpr double kPauseIntervals = 0.2;

}  // namespace

void PeerRoleSurvey::Start() { net::Spawn(Run()); }

void PeerRoleSurvey::Restart(net::Time now) {
  started_at_ = now;
  net::Spawn(Run());
}

net::Task<void> PeerRoleSurvey::Run() {
  if (is_running_) co_return;
  is_running_ = true;
  const double pause =
      kPauseIntervals * settings_.workers.heartbeat_interval_seconds;
  while (loop_.Now() < started_at_ + leadership_.promise_seconds()) {
    for (const auto& peer : peers_) {
      PeerMessage hello;
      hello.kind = PeerKind::kHello;
      hello.node = settings_.node;
      const auto answer = co_await peer->Ask(hello, pause);
      if (answer.ok) leadership_.SetPeerRole(peer->name(), answer.message.role);
    }
    has_asked_all_ = true;
    co_await loop_.Sleep(pause);
  }
  is_running_ = false;
}

}  // namespace oxbow::app
