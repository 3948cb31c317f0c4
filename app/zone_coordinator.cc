#include "app/zone_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// Shares of the workers' lease. A worker behind a cut has few tries before its
// lease ends: it must find those inside ready by the first.
constexpr double kAskEvery = 0.03;
constexpr double kWait = 0.06;
constexpr double kNeighbourEvery = 0.05;
constexpr double kNeighbourHolds = 0.15;
constexpr double kApartAfter = 0.2;
constexpr double kRecordEvery = 0.1;
constexpr double kRecordWait = 0.1;
constexpr double kUnheard = 0.25;  // since a controller has asked the leader
constexpr double kAgain = 4;       // until a worker is sent to its zone again
// Of the 4 s that a worker waits for its answer (protocol, "Workers ->
// controller nodes"): for the leader, and then for the key-value store.
constexpr double kRelayWaitSeconds = 1.2;
constexpr double kRelayLongestSeconds = 3.4;
constexpr double kProbeWaitSeconds = 1.6;
constexpr double kLookSeconds = 0.1;
constexpr int kStays = 2;  // reports answered here first

uint32_t Milliseconds(double seconds) {
  constexpr double kMost = 4e9;
  return static_cast<uint32_t>(std::clamp(seconds * 1000, 0.0, kMost));
}

double Seconds(uint32_t milliseconds) { return milliseconds / 1000.0; }

}  // namespace

ZoneCoordinator::ZoneCoordinator(net::Loop& loop, const Settings& settings,
                                 const Tuning& tuning,
                                 clients::KeyValueStoreClient& state,
                                 const LeaderHealthCoordinator::Peers& peers,
                                 std::string process_incarnation,
                                 Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      on_(tuning.delegate_to_zones > 0),
      store_(state),
      peers_(peers),
      process_incarnation_(std::move(process_incarnation)),
      started_(loop.Now()),
      callbacks_(std::move(callbacks)),
      delegated_lease_(settings.workers),
      record_(delegated_lease_),
      partition_detector_(settings.workers) {}

void ZoneCoordinator::Start() {
  if (!on_ || DelegatedLeaseTerm(settings_.workers) <= 0) return;
  net::Spawn(AskLoop());
  net::Spawn(RecordLoop());
  net::Spawn(NeighbourLoop());
}

PeerMessage ZoneCoordinator::Message(PeerKind kind) const {
  PeerMessage message;
  message.kind = kind;
  message.node = settings_.node;
  message.text = process_incarnation_;
  message.running = Milliseconds(loop_.Now() - started_);
  return message;
}

net::Task<void> ZoneCoordinator::AskLoop() {
  const double lease = settings_.workers.lease_seconds;
  for (;;) {
    const net::Time sent = loop_.Refresh();
    if (const Leader* core = callbacks_.leading()) {
      // Whoever leads next takes office after the lease has ended, and counts
      // what this one may do from then, as if it had been granted.
      leader_met_ = sent;
      if (core->ZoneSettled(settings_.zone, sent)) {
        delegated_lease_.Granted(sent);
      }
    } else if (clients::PeerClient* leader = callbacks_.leader()) {
      const auto answer =
          co_await leader->Ask(Message(PeerKind::kDelegateZone), kWait * lease);
      if (answer.ok && answer.message.role == LeaderRole::kLeads) {
        leader_met_ = sent;
        if (answer.message.answer == PeerAnswer::kYes) {
          delegated_lease_.Granted(sent);
        }
      } else if (!answer.ok) {
        leader_missed_ = sent;
      }
    }
    co_await loop_.Sleep(kAskEvery * lease);
  }
}

net::Task<void> ZoneCoordinator::NeighbourLoop() {
  const double lease = settings_.workers.lease_seconds;
  for (;;) {
    cut_since_ =
        CutOff() ? std::min(cut_since_, loop_.Refresh()) : net::Time{1e18};
    if (CutOff() || LeaderUnknown()) {
      for (const auto& peer : peers_) net::Spawn(AskNeighbour(peer.get()));
    }
    co_await loop_.Sleep(kNeighbourEvery * lease);
  }
}

// The question is the one for the right: from a leader its answer does no harm.
net::Task<void> ZoneCoordinator::AskNeighbour(clients::PeerClient* peer) {
  const double lease = settings_.workers.lease_seconds;
  const net::Time sent = loop_.Refresh();
  const auto answer =
      co_await peer->Ask(Message(PeerKind::kDelegateZone), kWait * lease);
  if (!answer.ok) co_return;
  peer_heard_ = loop_.Now();
  const bool near = std::any_of(
      settings_.peers.begin(), settings_.peers.end(), [&](const auto& p) {
        return p.name == peer->name() && p.zone == settings_.zone;
      });
  if (near && answer.message.done > 0) {
    neighbour_ = peer->name();
    neighbour_until_ = sent + kNeighbourHolds * lease;
  }
}

std::string ZoneCoordinator::Neighbour() const {
  const bool wanted = CutOff() || LeaderUnknown();
  return wanted && loop_.Now() < neighbour_until_ ? neighbour_ : std::string();
}

// One that has just started inside a cut waits in vain for the key-value store:
// its neighbour knows sooner than it does.
bool ZoneCoordinator::LeaderUnknown() const {
  return callbacks_.leader() == nullptr && callbacks_.leading() == nullptr;
}

bool ZoneCoordinator::Apart() const {
  return !peers_.empty() && CutOff() &&
         loop_.Now() - std::max(cut_since_, peer_heard_) >
             kApartAfter * settings_.workers.lease_seconds;
}

net::Task<void> ZoneCoordinator::Probe() {
  if (!probing_) {
    probing_ = true;
    net::Spawn([](ZoneCoordinator* self) -> net::Task<void> {
      co_await self->store_.Get(std::string(keys::kLeader),
                                clients::Urgency::kLease);
      self->probing_ = false;
    }(this));
  }
  // Several may wait for it.
  const net::Time until = loop_.Now() + kProbeWaitSeconds;
  while (probing_ && loop_.Now() < until) co_await loop_.Sleep(kLookSeconds);
  if (probing_) state_missed_ = loop_.Now();
}

net::Task<void> ZoneCoordinator::RecordLoop() {
  for (;;) {
    const RecordStep before = record_.step();
    co_await RecordOnce();
    // One step leads to the next; what fails, and what stands, waits a while.
    const bool on = record_.step() != before && before != RecordStep::kWrite &&
                    record_.step() != RecordStep::kRenew;
    if (!on) {
      co_await loop_.Sleep(kRecordEvery * settings_.workers.lease_seconds);
    }
  }
}

net::Task<void> ZoneCoordinator::RecordOnce() {
  using clients::StoreResult;
  using clients::StoreStatus;
  const net::Time sent = loop_.Refresh();
  const std::string key = keys::Of(keys::kZone, settings_.node);
  switch (record_.step()) {
    case RecordStep::kRead: {
      const StoreResult read =
          co_await store_.Get(key, clients::Urgency::kLease);
      if (read.ok()) record_.WasRead(read.items[0].mod_revision);
      if (read.status == StoreStatus::kNotFound) record_.WasRead(0);
      break;
    }
    case RecordStep::kLease: {
      const StoreResult granted = co_await store_.CreateLease(
          DelegatedLeaseRecordTerm(settings_.workers));
      if (granted.ok()) record_.LeaseGranted(granted.lease_id, sent);
      break;
    }
    case RecordStep::kWrite: {
      std::vector<Precondition> preconditions{{key, record_.mod_revision()}};
      std::vector<Mutation> mutations{
          {key, LeaderRecord{settings_.node, process_incarnation_, 0, false}}};
      const StoreResult written =
          co_await store_.Write(std::move(preconditions), std::move(mutations),
                                clients::Urgency::kLease, record_.lease_id());
      if (written.ok()) {
        record_.Written(loop_.Refresh());
      } else {
        record_.NotWritten();
      }
      break;
    }
    case RecordStep::kRenew: {
      const StoreResult renewed = co_await store_.Renew(
          record_.lease_id(), kRecordWait * settings_.workers.lease_seconds);
      if (renewed.ok()) record_.Renewed(sent);
      if (renewed.status == StoreStatus::kNotFound) record_.LeaseEnded();
      break;
    }
  }
}

bool ZoneCoordinator::MayForward(const Heartbeat& heartbeat,
                                 size_t bytes) const {
  if (!on_ || heartbeat.zone != settings_.zone || bytes > kMostBytes)
    return false;
  const clients::PeerClient* leader = callbacks_.leader();
  if (leader == nullptr) return false;
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& peer) {
                       return peer.name == leader->name() &&
                              peer.zone != settings_.zone;
                     });
}

net::Task<ZoneCoordinator::Relayed> ZoneCoordinator::Relay(std::string body) {
  Relayed out;
  clients::PeerClient* leader = callbacks_.leader();
  if (leader == nullptr || CutOff()) co_return out;
  PeerMessage message;
  message.kind = PeerKind::kReport;
  message.node = settings_.node;
  message.text = std::move(body);
  const net::Time sent = loop_.Refresh();
  const auto asked = std::make_shared<Handing>(loop_);
  net::Spawn([](clients::PeerClient* to, PeerMessage what,
                std::shared_ptr<Handing> handing) -> net::Task<void> {
    handing->answer = co_await to->Ask(std::move(what), kRelayLongestSeconds);
    handing->done.Set();
  }(leader, std::move(message), asked));
  const bool soon = co_await asked->done.Wait(kRelayWaitSeconds);
  if (!soon) {
    // Silence may be a cut round both, or a leader that has much to do: then
    // the worker is better off waiting than starting anew with it.
    leader_missed_ = std::max(leader_missed_, sent);
    co_await Probe();
    if (CutOff()) co_return out;
    co_await asked->done.Wait(
        std::max(0.0, sent + kRelayLongestSeconds - loop_.Refresh()));
  }
  if (asked->answer.ok) {
    leader_met_ = loop_.Now();
    out.answered = asked->answer.message.answer == PeerAnswer::kYes;
    out.text = std::move(asked->answer.message.text);
    co_return out;
  }
  // A link that is refused says so at once: the worker reaches the leader by
  // itself, or finds another.
  leader_missed_ = std::max(leader_missed_, sent);
  co_return out;
}

std::string ZoneCoordinator::BetterPlaceFor(const Heartbeat& heartbeat,
                                            uint64_t revision) {
  if (!on_ || heartbeat.zone == settings_.zone) return {};
  if (visited_ != revision) {
    visited_ = revision;
    visitors_.clear();
  }
  const double lease = settings_.workers.lease_seconds;
  const net::Time now = loop_.Now();
  Visitor& visitor = visitors_[heartbeat.host];
  // Not before it has been answered here, and not soon again: those in its zone
  // may have sent it back.
  if (++visitor.reports < kStays || now - visitor.sent_away < kAgain * lease) {
    return {};
  }
  std::vector<const std::string*> there;
  for (const PeerSettings& peer : settings_.peers) {
    const auto met = peer_met_.find(peer.name);
    if (peer.zone == heartbeat.zone && met != peer_met_.end() &&
        now - met->second < kUnheard * lease) {
      there.push_back(&peer.name);
    }
  }
  if (there.empty()) return {};
  visitor.sent_away = now;
  return *there[std::hash<std::string>{}(heartbeat.host) % there.size()];
}

bool ZoneCoordinator::CutOff() const {
  const bool state_out = store_.Failing() || state_missed_ > store_.last_good();
  if (!on_ || !state_out) return false;
  // Its own name in the key is that of a former life, or of a right that it
  // could not renew.
  if (callbacks_.leader() == nullptr) return callbacks_.leading() == nullptr;
  return leader_missed_ > leader_met_;
}

ZoneCoordinator::Renewal ZoneCoordinator::MayRenew(const Heartbeat& heartbeat) {
  if (!CutOff()) {
    partition_detector_.Clear();
    return Renewal::kNo;
  }
  if (heartbeat.token == 0 || heartbeat.zone != settings_.zone)
    return Renewal::kNo;
  const net::Time now = loop_.Refresh();
  if (partition_detector_.Redirected(heartbeat, now))
    return Renewal::kRedirected;
  if (!delegated_lease_.Renew(now)) return Renewal::kNo;
  partition_detector_.OnAnswered(heartbeat, now);
  return Renewal::kYes;
}

void ZoneCoordinator::RequestYields(const RequestLeaseYield& ask,
                                    uint64_t revision) {
  for (const auto& peer : peers_) {
    if (std::find(ask.peers.begin(), ask.peers.end(), peer->name()) !=
        ask.peers.end()) {
      net::Spawn(AskOne(peer.get(), revision));
    }
  }
}

net::Task<void> ZoneCoordinator::AskOne(clients::PeerClient* peer,
                                        uint64_t revision) {
  const net::Time sent = loop_.Refresh();
  const auto answer =
      co_await peer->Ask(Message(PeerKind::kRequestLeaseYield),
                         kWait * settings_.workers.lease_seconds);
  const PeerMessage& said = answer.message;
  if (!answer.ok || said.answer != PeerAnswer::kYes) co_return;
  // One more than the time, 0 for never.
  const double renewed_ago = said.done == 0 ? -1 : Seconds(said.done - 1);
  callbacks_.tell(revision, [&](Leader& leader) {
    leader.OnLeaseYielded(peer->name(), said.text, Seconds(said.running),
                          renewed_ago, sent, loop_.Now());
  });
}

void ZoneCoordinator::OnPeer(const PeerMessage& message, PeerMessage* reply) {
  const net::Time now = loop_.Refresh();
  if (message.kind == PeerKind::kRequestLeaseYield) {
    leader_met_ = now;
    if (!delegated_lease_.OnYieldRequested(now)) return;
    const double renewed_ago = delegated_lease_.RenewedAgo(now);
    reply->done = renewed_ago < 0 ? 0 : Milliseconds(renewed_ago) + 1;
    reply->running = Milliseconds(now - started_);
    reply->text = process_incarnation_;
    reply->answer = PeerAnswer::kYes;
    return;
  }
  Leader* core = callbacks_.leading();
  // One that has forgotten its right sends its workers here.
  if (core == nullptr) {
    reply->done = CutOff() && delegated_lease_.Holds(now) ? 1 : 0;
  }
  if (core != nullptr) peer_met_[message.node] = now;
  if (core != nullptr &&
      core->OnDelegationAsked(message.node, message.text,
                              Seconds(message.running), now)) {
    reply->answer = PeerAnswer::kYes;
  }
}

}  // namespace oxbow::app
