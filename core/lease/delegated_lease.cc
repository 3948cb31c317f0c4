#include "core/lease/delegated_lease.h"

#include <algorithm>

#include "core/model/worker_incarnation.h"

namespace oxbow {

double CancellationMargin(const WorkerSettings& workers) {
  constexpr double kOfLease = 0.05;
  return kOfLease * workers.lease_seconds;
}

double DelegatedLeaseTerm(const WorkerSettings& workers) {
  return std::max(0.0, workers.cancel_seconds - workers.lease_seconds -
                           CancellationMargin(workers));
}

double DelegatedLeaseRecordTerm(const WorkerSettings& workers) {
  constexpr double kLonger = 0.2;
  return DelegatedLeaseTerm(workers) + kLonger * workers.lease_seconds;
}

double LeaseYieldSeconds(const WorkerSettings& workers) {
  constexpr double kOfLease = 0.1;
  return kOfLease * workers.lease_seconds;
}

void DelegatedLease::Granted(Time sent) {
  if (sent < recorded_from_) return;
  until_ = std::max(until_, sent + right_seconds_ * (1 - kDrift));
}

void DelegatedLease::Recorded(Time sent) {
  recorded_until_ =
      std::max(recorded_until_, sent + record_seconds_ * (1 - kDrift));
}

void DelegatedLease::RecordedAnew(Time sent, Time now) {
  recorded_from_ = now;
  recorded_until_ = sent + record_seconds_ * (1 - kDrift);
  until_ = -1e9;
}

bool DelegatedLease::Renew(Time now) {
  if (!Holds(now)) return false;
  kept_ = now;
  return true;
}

bool DelegatedLease::OnYieldRequested(Time now) {
  // One that kept a moment ago is as likely as not cut off: it goes on.
  if (kept_ >= 0 && now - kept_ < yield_seconds_) return false;
  yielded_until_ =
      std::max(yielded_until_, now + yield_seconds_ * (1 + kDrift));
  return true;
}

DelegatedLeases::DelegatedLeases(
    const Settings& settings, Time started,
    const std::optional<std::set<std::string>>& recorded)
    : lease_seconds_(settings.workers.lease_seconds),
      right_seconds_(DelegatedLeaseTerm(settings.workers)),
      yield_seconds_(LeaseYieldSeconds(settings.workers)) {
  for (const PeerSettings& peer : settings.peers) {
    // What an earlier leader has granted ends by then. One whose record was
    // gone when this leadership had begun has no right any more.
    Peer& the_peer = peers_[peer.name];
    the_peer.zone = peer.zone;
    the_peer.right_until = started;
    if (!recorded || recorded->contains(peer.name)) {
      the_peer.right_until += right_seconds_ * (1 + kDrift);
    }
  }
}

// A life not met before has forgotten what the one before it promised, and
// does not know until when that one kept.
void DelegatedLeases::Meet(Peer& peer, const std::string& process_incarnation,
                           double age, Time now) {
  if (peer.process_incarnation == process_incarnation) return;
  peer.process_incarnation = process_incarnation;
  peer.met = now;
  peer.yielded_until = -1e9;
  peer.kept = std::max(peer.kept, now - age * (1 - kDrift));
}

void DelegatedLeases::Grant(const std::string& peer,
                            const std::string& process_incarnation, double age,
                            Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  Peer& delegate = it->second;
  delegate.right_until =
      std::max(delegate.right_until, now + right_seconds_ * (1 + kDrift));
  delegate.granted = now;
  Meet(delegate, process_incarnation, age, now);
}

void DelegatedLeases::RecordsRead(const std::set<std::string>& recorded,
                                  Time sent, Time now) {
  for (auto& [name, p] : peers_) {
    if (p.granted < sent && !recorded.contains(name)) {
      p.right_until = std::min(p.right_until, now);
    }
  }
}

void DelegatedLeases::LeaseYielded(const std::string& peer,
                                   const std::string& process_incarnation,
                                   double age, double renewed_ago, Time sent,
                                   Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  Peer& delegate = it->second;
  // Of a life that has ended, held back on the way.
  if (delegate.process_incarnation != process_incarnation &&
      sent <= delegate.met)
    return;
  Meet(delegate, process_incarnation, age, now);
  if (renewed_ago >= 0) {
    delegate.kept = std::max(delegate.kept, now - renewed_ago * (1 - kDrift));
  }
  delegate.yielded_until =
      std::max(delegate.yielded_until, sent + yield_seconds_ * (1 - kDrift));
}

bool DelegatedLeases::MayBeRenewed(const std::string& zone, Time now) const {
  if (right_seconds_ <= 0) return false;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    if (peer.zone != zone) return false;
    const Time last = now < peer.yielded_until
                          ? std::min(peer.kept, peer.right_until)
                          : std::min(now, peer.right_until);
    return now <= TasksMayLiveUntil(last, lease_seconds_);
  });
}

std::vector<std::string> DelegatedLeases::PeersToAsk(const std::string& zone,
                                                     Time now) {
  constexpr double kAgain = 0.3;  // of what a standing back lasts
  std::vector<std::string> names;
  for (auto& [name, p] : peers_) {
    if (p.zone != zone || right_seconds_ <= 0 ||
        now - p.asked < kAgain * yield_seconds_) {
      continue;
    }
    p.asked = now;
    names.push_back(name);
  }
  return names;
}

}  // namespace oxbow
