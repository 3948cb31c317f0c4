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
    Peer& p = peers_[peer.name];
    p.zone = peer.zone;
    p.right_until = started;
    if (!recorded || recorded->contains(peer.name)) {
      p.right_until += right_seconds_ * (1 + kDrift);
    }
  }
}

// A life not met before has forgotten what the one before it promised, and
// does not know until when that one kept.
void DelegatedLeases::Meet(Peer& p, const std::string& process_incarnation,
                           double age, Time now) {
  if (p.process_incarnation == process_incarnation) return;
  p.process_incarnation = process_incarnation;
  p.met = now;
  p.yielded_until = -1e9;
  p.kept = std::max(p.kept, now - age * (1 - kDrift));
}

void DelegatedLeases::Grant(const std::string& peer,
                            const std::string& process_incarnation, double age,
                            Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  Peer& p = it->second;
  p.right_until = std::max(p.right_until, now + right_seconds_ * (1 + kDrift));
  p.granted = now;
  Meet(p, process_incarnation, age, now);
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
  Peer& p = it->second;
  // Of a life that has ended, held back on the way.
  if (p.process_incarnation != process_incarnation && sent <= p.met) return;
  Meet(p, process_incarnation, age, now);
  if (renewed_ago >= 0) {
    p.kept = std::max(p.kept, now - renewed_ago * (1 - kDrift));
  }
  p.yielded_until =
      std::max(p.yielded_until, sent + yield_seconds_ * (1 - kDrift));
}

bool DelegatedLeases::MayBeRenewed(const std::string& zone, Time now) const {
  if (right_seconds_ <= 0) return false;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& p = entry.second;
    if (p.zone != zone) return false;
    const Time last = now < p.yielded_until ? std::min(p.kept, p.right_until)
                                            : std::min(now, p.right_until);
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
