#include "app/recovery/leader_key_monitor.h"

#include <string>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerKind;
using clients::PeerMessage;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

}  // namespace

LeaderKeyMonitor::LeaderKeyMonitor(const RecoveryContext& context,
                                   OrphanedKeyHandler on_orphaned_key)
    : context_(context), on_orphaned_key_(std::move(on_orphaned_key)) {}

double LeaderKeyMonitor::LeaderLeaseSeconds() const {
  return context_.tuning.leader_lease_ratio *
         context_.settings.workers.lease_seconds;
}

clients::PeerClient* LeaderKeyMonitor::NamedPeer() const {
  clients::PeerClient* named = nullptr;
  for (const auto& peer : context_.peers) {
    if (peer->name() == context_.catalog.leader().node) named = peer.get();
  }
  return named;
}

net::Task<void> LeaderKeyMonitor::CheckLeader() {
  const LeaderRecord leader = context_.catalog.leader();
  clients::PeerClient* named = NamedPeer();
  if (named == nullptr || leader.mod_revision == 0) {
    leader_confirmed_at_ = context_.loop.Now();
    co_return;
  }
  PeerMessage hello;
  hello.kind = PeerKind::kHello;
  hello.node = context_.settings.node;
  const double lease_seconds = LeaderLeaseSeconds();
  const auto answer = co_await named->Ask(std::move(hello), lease_seconds / 3);
  const LeaderRole role = answer.message.role;
  if (answer.ok &&
      (role == LeaderRole::kLeads || role == LeaderRole::kRenewsByKey)) {
    leader_confirmed_at_ = context_.loop.Now();
  }
  if (context_.loop.Now() < leader_confirmed_at_ + lease_seconds) co_return;
  const StoreResult key =
      co_await context_.store.Get(std::string(keys::kLeader), Urgency::kLease);
  if (!key.ok() || key.items[0].mod_revision != leader.mod_revision) co_return;
  const bool is_orphaned = co_await IsOrphaned(key.items[0]);
  if (is_orphaned) on_orphaned_key_(leader.mod_revision);
}

bool LeaderKeyMonitor::IsProbeDue(uint64_t mod_revision) {
  constexpr double kLeaseMargin = 1.2;
  constexpr double kProbeAgainWorkerLeases = 10;
  const net::Time now = context_.loop.Now();
  const double probe_again_seconds =
      kProbeAgainWorkerLeases * context_.settings.workers.lease_seconds;
  if (mod_revision != observed_revision_ ||
      now > observed_since_ + probe_again_seconds) {
    observed_revision_ = mod_revision;
    observed_since_ = now;
    is_lease_probed_ = false;
  }
  return !is_lease_probed_ &&
         now >= observed_since_ + kLeaseMargin * LeaderLeaseSeconds();
}

net::Task<bool> LeaderKeyMonitor::IsOrphaned(clients::KeyValue leader_key) {
  // The probe is a renewal, so it extends the lease if that still exists.
  // Therefore each controller probes only once, at a time when the lease must
  // have expired if its owner has ended.
  if (!IsProbeDue(leader_key.mod_revision)) co_return false;
  is_lease_probed_ = true;
  const StoreResult renewed =
      co_await context_.store.Renew(leader_key.lease, LeaderLeaseSeconds() / 3);
  if (renewed.status == StoreStatus::kNotFound) {
    is_lease_probed_ = false;  // the lease is gone: probing again is harmless
    co_return true;
  }
  if (!renewed.ok()) is_lease_probed_ = false;
  co_return false;
}

}  // namespace oxbow::app
