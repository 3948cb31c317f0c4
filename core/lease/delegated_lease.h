// Delegated leases: a controller in a zone that is partitioned off may renew
// the leases of the workers there for a while, without commands, and the leader
// outside does not treat as expired what may have been renewed. The leader
// grants the delegated lease while both are connected. See
// docs/delegated-lease.md.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// How long a delegated lease lasts, s; 0: none is granted. A job is reported as
// cancelled once its tasks are gone; in a partition they are gone when the
// delegated lease has expired and the worker's lease after it. Under one leader
// that takes less than `cancel_s`.
double DelegatedLeaseTerm(const WorkerSettings& workers);
// How old a cancellation may be whose tasks are still there, for a delegated
// lease to be granted anew, s.
double CancellationMargin(const WorkerSettings& workers);
// The lease of the record of a delegated lease: a little longer, so that it
// need not be renewed as often, s.
double DelegatedLeaseRecordTerm(const WorkerSettings& workers);
// How long a delegate that yields renews nothing, s.
double LeaseYieldSeconds(const WorkerSettings& workers);

// The delegated lease of this controller, as its holder sees it.
class DelegatedLease {
 public:
  explicit DelegatedLease(const WorkerSettings& workers)
      : term_seconds_(DelegatedLeaseTerm(workers)),
        record_seconds_(DelegatedLeaseRecordTerm(workers)),
        yield_seconds_(LeaseYieldSeconds(workers)) {}

  // The leader has granted the lease, which was asked for at `sent`; or this
  // controller led at that moment.
  void OnGranted(Time sent);
  // The lease of the record was renewed by a request sent at `sent`.
  void OnRecordRenewed(Time sent);
  // The record was written anew at `now`, with a lease asked for at `sent`.
  // Since the old record ended a new leader may have found none: what was
  // granted before is void.
  void OnRecordRewritten(Time sent, Time now);
  // Whether a heartbeat may be answered now; if so, it counts as answered.
  bool Renew(Time now);
  // The same, without a change.
  bool Holds(Time now) const {
    return now < expires_at_ && now < recorded_until_ && now >= yielded_until_;
  }
  // The leader asks this controller to yield: to renew nothing for a moment.
  // False: refused, since it has just renewed a lease.
  bool OnYieldRequested(Time now);
  // Seconds since a heartbeat was answered last; negative: none ever was.
  double RenewedAgo(Time now) const {
    return renewed_at_ < 0 ? -1 : now - renewed_at_;
  }

 private:
  double term_seconds_;
  double record_seconds_;
  double yield_seconds_;
  Time expires_at_ = -1e9;
  Time recorded_from_ = 1e18;  // never recorded
  Time recorded_until_ = -1e9;
  Time yielded_until_ = -1e9;
  Time renewed_at_ = -1;  // negative: never
};

// The delegated leases of all controllers, as the leader sees them.
class DelegatedLeases {
 public:
  // `recorded`: the controllers with a record in the key-value store as of this
  // leadership's beginning; nothing: that is not known.
  DelegatedLeases(const Settings& settings, Time started,
                  const std::optional<std::set<std::string>>& recorded);

  // The lease of `peer` begins anew now. `process_incarnation`: of the process
  // that asks; another one than before has forgotten that it yielded. `age`:
  // seconds since that process started; the one before it may have renewed
  // workers' leases until then.
  void Grant(const std::string& peer, const std::string& process_incarnation,
             double age, Time now);
  // A controller agrees to yield, asked at `sent`. Ages as of its answer;
  // `renewed_ago` is negative if it has never renewed a worker's lease.
  void LeaseYielded(const std::string& peer,
                    const std::string& process_incarnation, double age,
                    double renewed_ago, Time sent, Time now);
  // The records as read by a request sent at `sent`: a controller without one
  // has no lease, unless it was granted one since.
  void OnRecordsRead(const std::set<std::string>& recorded, Time sent,
                     Time now);
  // Whether a delegate may have renewed the lease of a worker in the zone less
  // than a worker lease ago.
  bool MayBeRenewed(const std::string& zone, Time now) const;
  // Controllers in the zone that have to be asked to yield, each once in a
  // while. Counts them as asked.
  std::vector<std::string> PeersToAskToYield(const std::string& zone, Time now);

 private:
  struct Peer {
    std::string zone;
    std::string process_incarnation;
    Time first_contact = -1e18;  // of that process
    Time expires_at = 0;
    Time granted_at = -1e18;
    Time yielded_until = -1e9;
    // The last moment at which it may have renewed a worker's lease, if it
    // yields.
    Time may_have_renewed_at = -1e18;
    Time asked_at = -1e9;
  };
  static void NoteProcess(Peer& peer, const std::string& process_incarnation,
                          double age, Time now);

  const double lease_seconds_;
  const double term_seconds_;
  const double yield_seconds_;
  std::map<std::string, Peer> peers_;
};

}  // namespace oxbow
