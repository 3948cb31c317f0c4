#include "app/zone_coordinator.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// Intervals and timeouts as fractions of the workers' lease. A worker behind a
// partition has few attempts before its lease expires, so the controllers on
// its side must be able to renew the lease at the first one.
constexpr double kDelegationIntervalRatio = 0.03;
constexpr double kPeerTimeoutRatio = 0.06;
constexpr double kPeerProbeIntervalRatio = 0.05;
constexpr double kZoneDelegateValidityRatio = 0.15;
constexpr double kIsolationRatio = 0.2;
// How long a controller counts as active after it has asked the leader for a
// delegated lease.
constexpr double kPeerActivityRatio = 0.25;
// The shortest time between two redirections of one worker.
constexpr double kRedirectIntervalRatio = 4;
// Parts of the 4 s that a worker waits for its answer (protocol, "Workers ->
// controller nodes"): the first wait for the leader, the total wait for the
// leader, and the wait for a probe of the key-value store in between.
constexpr double kFirstWaitSeconds = 1.2;
constexpr double kForwardTimeoutSeconds = 3.4;
constexpr double kStoreProbeTimeoutSeconds = 1.6;
// How often a coroutine checks whether the probe has ended.
constexpr double kProbePollSeconds = 0.1;
// How many heartbeats a worker must have sent here before it may be redirected,
// including the current one.
constexpr int kMinHeartbeatsForRedirect = 2;

uint32_t Milliseconds(double seconds) {
  constexpr double kMaxMilliseconds = 4e9;  // fits into 32 bits
  return static_cast<uint32_t>(
      std::clamp(seconds * 1000, 0.0, kMaxMilliseconds));
}

double Seconds(uint32_t milliseconds) { return milliseconds / 1000.0; }

}  // namespace

ZoneCoordinator::ZoneCoordinator(net::Loop& loop, const Settings& settings,
                                 const Tuning& tuning,
                                 clients::KeyValueStoreClient& store,
                                 const LeaderHealthCoordinator::Peers& peers,
                                 std::string process_incarnation,
                                 Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      enabled_(tuning.delegate_to_zones > 0),
      store_(store),
      peers_(peers),
      process_incarnation_(std::move(process_incarnation)),
      started_(loop.Now()),
      callbacks_(std::move(callbacks)),
      delegated_lease_(settings.workers),
      lease_record_writer_(loop, settings, store, process_incarnation_,
                           delegated_lease_),
      partition_detector_(settings.workers) {}

void ZoneCoordinator::Start() {
  if (!enabled_ || DelegatedLeaseTerm(settings_.workers) <= 0) return;
  net::Spawn(RequestDelegationLoop());
  net::Spawn(lease_record_writer_.Run());
  net::Spawn(ProbePeersLoop());
}

PeerMessage ZoneCoordinator::MakeMessage(PeerKind kind) const {
  PeerMessage message;
  message.kind = kind;
  message.node = settings_.node;
  message.text = process_incarnation_;
  message.running = Milliseconds(loop_.Now() - started_);
  return message;
}

net::Task<void> ZoneCoordinator::RequestDelegationLoop() {
  const double lease_seconds = settings_.workers.lease_seconds;
  for (;;) {
    const net::Time now = loop_.Refresh();
    if (const Leader* leader = callbacks_.active_leader()) {
      // The leader grants itself a delegated lease. The next leader starts
      // after the leader lease has expired, and allows for renewals by this
      // controller from then on as if the lease had been granted to it.
      leader_answered_at_ = now;
      if (leader->ZoneMayBeDelegated(settings_.zone, now)) {
        delegated_lease_.OnGranted(now);
      }
    } else if (clients::PeerClient* peer = callbacks_.leader_peer()) {
      co_await RequestDelegation(peer, now);
    }
    co_await loop_.Sleep(kDelegationIntervalRatio * lease_seconds);
  }
}

net::Task<void> ZoneCoordinator::RequestDelegation(clients::PeerClient* leader,
                                                   net::Time sent) {
  const auto answer =
      co_await leader->Ask(MakeMessage(PeerKind::kDelegateZone),
                           kPeerTimeoutRatio * settings_.workers.lease_seconds);
  if (!answer.ok) {
    leader_failed_at_ = sent;
    co_return;
  }
  if (answer.message.role != LeaderRole::kLeads) co_return;
  leader_answered_at_ = sent;
  if (answer.message.answer == PeerAnswer::kYes)
    delegated_lease_.OnGranted(sent);
}

net::Task<void> ZoneCoordinator::ProbePeersLoop() {
  const double lease_seconds = settings_.workers.lease_seconds;
  for (;;) {
    if (!IsCutOff()) {
      cut_off_since_.reset();
    } else if (!cut_off_since_) {
      cut_off_since_ = loop_.Refresh();
    }
    if (IsCutOff() || LeaderUnknown()) {
      for (const auto& peer : peers_) net::Spawn(ProbeOnePeer(peer.get()));
    }
    co_await loop_.Sleep(kPeerProbeIntervalRatio * lease_seconds);
  }
}

// The probe is a request for a delegated lease. If the peer leads and grants
// it, that does no harm.
net::Task<void> ZoneCoordinator::ProbeOnePeer(clients::PeerClient* peer) {
  const double lease_seconds = settings_.workers.lease_seconds;
  const net::Time sent = loop_.Refresh();
  const auto answer = co_await peer->Ask(MakeMessage(PeerKind::kDelegateZone),
                                         kPeerTimeoutRatio * lease_seconds);
  if (!answer.ok) co_return;
  peer_answered_at_ = loop_.Now();
  const bool may_renew = answer.message.done > 0;
  if (may_renew && IsInZone(peer->name(), settings_.zone)) {
    zone_delegate_ = peer->name();
    zone_delegate_valid_until_ =
        sent + kZoneDelegateValidityRatio * lease_seconds;
  }
}

bool ZoneCoordinator::IsInZone(const std::string& peer,
                               const std::string& zone) const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& settings) {
                       return settings.name == peer && settings.zone == zone;
                     });
}

std::string ZoneCoordinator::DelegateInZone() const {
  const bool needed = IsCutOff() || LeaderUnknown();
  return needed && loop_.Now() < zone_delegate_valid_until_ ? zone_delegate_
                                                            : std::string();
}

// A controller that has just started behind a partition cannot reach the
// key-value store and so learns of no leader; another controller of its zone
// knows of the partition sooner.
bool ZoneCoordinator::LeaderUnknown() const {
  return callbacks_.leader_peer() == nullptr &&
         callbacks_.active_leader() == nullptr;
}

bool ZoneCoordinator::IsIsolated() const {
  return !peers_.empty() && IsCutOff() && cut_off_since_ &&
         loop_.Now() - std::max(*cut_off_since_, peer_answered_at_) >
             kIsolationRatio * settings_.workers.lease_seconds;
}

net::Task<void> ZoneCoordinator::SendStoreProbe() {
  co_await store_.Get(std::string(keys::kLeader), clients::Urgency::kLease);
  probing_ = false;
}

net::Task<void> ZoneCoordinator::ProbeStore() {
  if (!probing_) {
    probing_ = true;
    net::Spawn(SendStoreProbe());
  }
  // Several coroutines may wait for the same probe.
  const net::Time deadline = loop_.Now() + kStoreProbeTimeoutSeconds;
  while (probing_ && loop_.Now() < deadline) {
    co_await loop_.Sleep(kProbePollSeconds);
  }
  if (probing_) store_failed_at_ = loop_.Now();
}

bool ZoneCoordinator::MayForward(const Heartbeat& heartbeat,
                                 size_t bytes) const {
  if (!enabled_ || heartbeat.zone != settings_.zone ||
      bytes > kMaxForwardedBytes) {
    return false;
  }
  const clients::PeerClient* leader = callbacks_.leader_peer();
  if (leader == nullptr) return false;
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& peer) {
                       return peer.name == leader->name() &&
                              peer.zone != settings_.zone;
                     });
}

net::Task<void> ZoneCoordinator::AskLeader(
    clients::PeerClient* leader, PeerMessage message,
    std::shared_ptr<PendingAnswer> pending) {
  pending->answer =
      co_await leader->Ask(std::move(message), kForwardTimeoutSeconds);
  pending->done.Set();
}

net::Task<ZoneCoordinator::ForwardedAnswer> ZoneCoordinator::ForwardToLeader(
    std::string body) {
  ForwardedAnswer forwarded;
  clients::PeerClient* leader = callbacks_.leader_peer();
  if (leader == nullptr || IsCutOff()) co_return forwarded;
  PeerMessage message;
  message.kind = PeerKind::kReport;
  message.node = settings_.node;
  message.text = std::move(body);
  const net::Time sent = loop_.Refresh();
  const auto pending = std::make_shared<PendingAnswer>(loop_);
  net::Spawn(AskLeader(leader, std::move(message), pending));
  if (!co_await pending->done.Wait(kFirstWaitSeconds)) {
    // The cause may be a partition around both zones, or a busy leader. If the
    // leader is busy, it is better for the worker to wait here than to send its
    // heartbeat again to the leader itself.
    leader_failed_at_ = std::max(leader_failed_at_, sent);
    co_await ProbeStore();
    if (IsCutOff()) co_return forwarded;
    co_await pending->done.Wait(
        std::max(0.0, sent + kForwardTimeoutSeconds - loop_.Refresh()));
  }
  if (!pending->answer.ok) {
    // A refused connection is noticed at once, so there is time for the worker
    // to reach the leader itself or another controller.
    leader_failed_at_ = std::max(leader_failed_at_, sent);
    co_return forwarded;
  }
  leader_answered_at_ = loop_.Now();
  forwarded.answered = pending->answer.message.answer == PeerAnswer::kYes;
  forwarded.text = std::move(pending->answer.message.text);
  co_return forwarded;
}

std::vector<std::string> ZoneCoordinator::ActiveControllersIn(
    const std::string& zone) const {
  const double lease_seconds = settings_.workers.lease_seconds;
  const net::Time now = loop_.Now();
  std::vector<std::string> active;
  for (const PeerSettings& peer : settings_.peers) {
    const auto asked = peer_asked_at_.find(peer.name);
    if (peer.zone == zone && asked != peer_asked_at_.end() &&
        now - asked->second < kPeerActivityRatio * lease_seconds) {
      active.push_back(peer.name);
    }
  }
  return active;
}

std::string ZoneCoordinator::RedirectTargetFor(const Heartbeat& heartbeat,
                                               uint64_t revision) {
  if (!enabled_ || heartbeat.zone == settings_.zone) return {};
  if (remote_workers_revision_ != revision) {
    remote_workers_revision_ = revision;
    remote_workers_.clear();
  }
  const net::Time now = loop_.Now();
  RemoteWorker& remote_worker = remote_workers_[heartbeat.host];
  // A worker is redirected only after it has been answered here, and not again
  // soon: the controllers of its zone may have sent it back.
  if (++remote_worker.heartbeats < kMinHeartbeatsForRedirect ||
      now - remote_worker.redirected_at <
          kRedirectIntervalRatio * settings_.workers.lease_seconds) {
    return {};
  }
  const std::vector<std::string> active = ActiveControllersIn(heartbeat.zone);
  if (active.empty()) return {};
  remote_worker.redirected_at = now;
  return active[std::hash<std::string>{}(heartbeat.host) % active.size()];
}

bool ZoneCoordinator::IsCutOff() const {
  const bool store_unreachable =
      store_.Failing() || store_failed_at_ > store_.last_good();
  if (!enabled_ || !store_unreachable) return false;
  // If the leader key names this controller although it does not lead, the key
  // is that of an earlier incarnation or of a leadership that could not be
  // renewed.
  if (callbacks_.leader_peer() == nullptr) {
    return callbacks_.active_leader() == nullptr;
  }
  return leader_failed_at_ > leader_answered_at_;
}

ZoneCoordinator::Renewal ZoneCoordinator::MayRenewWorkerLeases(
    const Heartbeat& heartbeat) {
  if (!IsCutOff()) {
    partition_detector_.Clear();
    return Renewal::kNo;
  }
  if (heartbeat.token == 0 || heartbeat.zone != settings_.zone) {
    return Renewal::kNo;
  }
  const net::Time now = loop_.Refresh();
  if (partition_detector_.ShouldRedirect(heartbeat, now)) {
    return Renewal::kRedirected;
  }
  if (!delegated_lease_.Renew(now)) return Renewal::kNo;
  partition_detector_.OnAnswered(heartbeat, now);
  return Renewal::kYes;
}

void ZoneCoordinator::RequestYields(const RequestLeaseYield& request,
                                    uint64_t revision) {
  for (const auto& peer : peers_) {
    if (std::find(request.peers.begin(), request.peers.end(), peer->name()) !=
        request.peers.end()) {
      net::Spawn(RequestYield(peer.get(), revision));
    }
  }
}

net::Task<void> ZoneCoordinator::RequestYield(clients::PeerClient* peer,
                                              uint64_t revision) {
  const net::Time sent = loop_.Refresh();
  const auto answer =
      co_await peer->Ask(MakeMessage(PeerKind::kRequestLeaseYield),
                         kPeerTimeoutRatio * settings_.workers.lease_seconds);
  const PeerMessage& message = answer.message;
  if (!answer.ok || message.answer != PeerAnswer::kYes) co_return;
  // `done` is the time in ms plus 1, or 0 for never; Leader takes -1 for never.
  const double renewed_ago_seconds =
      message.done == 0 ? -1 : Seconds(message.done - 1);
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnLeaseYielded(peer->name(), message.text, Seconds(message.running),
                          renewed_ago_seconds, sent, loop_.Now());
  });
}

void ZoneCoordinator::OnPeer(const PeerMessage& message, PeerMessage* reply) {
  if (message.kind == PeerKind::kRequestLeaseYield) {
    OnYieldRequest(reply);
  } else {
    OnDelegationRequest(message, reply);
  }
}

void ZoneCoordinator::OnYieldRequest(PeerMessage* reply) {
  const net::Time now = loop_.Refresh();
  leader_answered_at_ = now;
  if (!delegated_lease_.OnYieldRequested(now)) return;
  const double renewed_ago_seconds = delegated_lease_.RenewedAgo(now);
  reply->done =
      renewed_ago_seconds < 0 ? 0 : Milliseconds(renewed_ago_seconds) + 1;
  reply->running = Milliseconds(now - started_);
  reply->text = process_incarnation_;
  reply->answer = PeerAnswer::kYes;
}

void ZoneCoordinator::OnDelegationRequest(const PeerMessage& message,
                                          PeerMessage* reply) {
  const net::Time now = loop_.Refresh();
  Leader* leader = callbacks_.active_leader();
  if (leader == nullptr) {
    // A controller of this zone that has restarted may send its workers here.
    reply->done = IsCutOff() && delegated_lease_.Holds(now) ? 1 : 0;
    return;
  }
  peer_asked_at_[message.node] = now;
  if (leader->OnDelegationRequested(message.node, message.text,
                                    Seconds(message.running), now)) {
    reply->answer = PeerAnswer::kYes;
  }
}

}  // namespace oxbow::app
