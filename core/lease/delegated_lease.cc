#include "core/lease/delegated_lease.h"

#include <algorithm>

#include "core/model/worker_incarnation.h"

namespace oxbow {

double CancellationMargin(const WorkerSettings& workers) {
  constexpr double kShareOfLease = 0.05;
  return kShareOfLease * workers.lease_seconds;
}

double DelegatedLeaseTerm(const WorkerSettings& workers) {
  return std::max(0.0, workers.cancel_seconds - workers.lease_seconds -
                           CancellationMargin(workers));
}

double DelegatedLeaseRecordTerm(const WorkerSettings& workers) {
  constexpr double kLongerLeases = 0.2;
  return DelegatedLeaseTerm(workers) + kLongerLeases * workers.lease_seconds;
}

double LeaseYieldSeconds(const WorkerSettings& workers) {
  constexpr double kShareOfLease = 0.1;
  return kShareOfLease * workers.lease_seconds;
}

void DelegatedLease::OnGranted(Time sent) {
  if (sent < recorded_from_) return;
  expires_at_ =
      std::max(expires_at_, sent + term_seconds_ * (1 - kMaxClockDriftRate));
}

void DelegatedLease::OnRecordRenewed(Time sent) {
  recorded_until_ = std::max(recorded_until_,
                             sent + record_seconds_ * (1 - kMaxClockDriftRate));
}

void DelegatedLease::OnRecordRewritten(Time sent, Time now) {
  recorded_from_ = now;
  recorded_until_ = sent + record_seconds_ * (1 - kMaxClockDriftRate);
  expires_at_ = -1e9;
}

bool DelegatedLease::Renew(Time now) {
  if (!Holds(now)) return false;
  renewed_at_ = now;
  return true;
}

bool DelegatedLease::OnYieldRequested(Time now) {
  // A delegate that renewed a lease a moment ago may well be in a partition: it
  // continues.
  if (renewed_at_ >= 0 && now - renewed_at_ < yield_seconds_) return false;
  yielded_until_ =
      std::max(yielded_until_, now + yield_seconds_ * (1 + kMaxClockDriftRate));
  return true;
}

DelegatedLeases::DelegatedLeases(
    const Settings& settings, Time started,
    const std::optional<std::set<std::string>>& recorded)
    : lease_seconds_(settings.workers.lease_seconds),
      term_seconds_(DelegatedLeaseTerm(settings.workers)),
      yield_seconds_(LeaseYieldSeconds(settings.workers)) {
  for (const PeerSettings& peer : settings.peers) {
    // What an earlier leader granted expires by then. A controller without a
    // record when this leadership began has no lease any more.
    Peer& delegate = peers_[peer.name];
    delegate.zone = peer.zone;
    delegate.expires_at = started;
    if (!recorded || recorded->contains(peer.name)) {
      delegate.expires_at += term_seconds_ * (1 + kMaxClockDriftRate);
    }
  }
}

// A process that was restarted has forgotten that the one before it yielded,
// and until when that one renewed leases.
void DelegatedLeases::NoteProcess(Peer& peer,
                                  const std::string& process_incarnation,
                                  double age, Time now) {
  if (peer.process_incarnation == process_incarnation) return;
  peer.process_incarnation = process_incarnation;
  peer.first_contact = now;
  peer.yielded_until = -1e9;
  peer.may_have_renewed_at =
      std::max(peer.may_have_renewed_at, now - age * (1 - kMaxClockDriftRate));
}

void DelegatedLeases::Grant(const std::string& peer,
                            const std::string& process_incarnation, double age,
                            Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  Peer& delegate = it->second;
  delegate.expires_at = std::max(
      delegate.expires_at, now + term_seconds_ * (1 + kMaxClockDriftRate));
  delegate.granted_at = now;
  NoteProcess(delegate, process_incarnation, age, now);
}

void DelegatedLeases::OnRecordsRead(const std::set<std::string>& recorded,
                                    Time sent, Time now) {
  for (auto& [name, peer] : peers_) {
    if (peer.granted_at < sent && !recorded.contains(name)) {
      peer.expires_at = std::min(peer.expires_at, now);
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
  // Delayed, of a process that has ended since.
  if (delegate.process_incarnation != process_incarnation &&
      sent <= delegate.first_contact) {
    return;
  }
  NoteProcess(delegate, process_incarnation, age, now);
  if (renewed_ago >= 0) {
    delegate.may_have_renewed_at =
        std::max(delegate.may_have_renewed_at,
                 now - renewed_ago * (1 - kMaxClockDriftRate));
  }
  delegate.yielded_until = std::max(
      delegate.yielded_until, sent + yield_seconds_ * (1 - kMaxClockDriftRate));
}

bool DelegatedLeases::MayBeRenewed(const std::string& zone, Time now) const {
  if (term_seconds_ <= 0) return false;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    if (peer.zone != zone) return false;
    const Time last_renewal =
        now < peer.yielded_until
            ? std::min(peer.may_have_renewed_at, peer.expires_at)
            : std::min(now, peer.expires_at);
    return now <= TasksMayLiveUntil(last_renewal, lease_seconds_);
  });
}

std::vector<std::string> DelegatedLeases::PeersToAskToYield(
    const std::string& zone, Time now) {
  constexpr double kRepeatAfter =
      0.3;  // of the time for which a delegate yields
  std::vector<std::string> names;
  for (auto& [name, peer] : peers_) {
    if (peer.zone != zone || term_seconds_ <= 0 ||
        now - peer.asked_at < kRepeatAfter * yield_seconds_) {
      continue;
    }
    peer.asked_at = now;
    names.push_back(name);
  }
  return names;
}

}  // namespace oxbow
