// Delegated leases. A controller whose zone is partitioned off may renew the
// leases of the workers in the zone for a limited time, without sending them
// commands. The leader outside does not treat a worker as expired whose lease
// may have been renewed in this way. The leader grants a delegated lease while
// the two controllers are connected. See docs/delegated-lease.md.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// How long a delegated lease lasts, in seconds; 0: none is granted. A job is
// reported as cancelled once its tasks have ended. In a partition they have
// ended when the delegated lease, and after it the worker's lease, have
// expired. The term is chosen so that this takes less than the setting
// `cancel_s` unless the leader changes.
double DelegatedLeaseTerm(const WorkerSettings& workers);
// The greatest age, in seconds, of a cancellation whose tasks have not ended
// yet at which the leader still renews a delegated lease.
double CancellationMargin(const WorkerSettings& workers);
// The lease, in seconds, of the record of a delegated lease in the key-value
// store: a little longer than the delegated lease, so that it has to be renewed
// less often.
double DelegatedLeaseRecordTerm(const WorkerSettings& workers);
// For how many seconds a delegate that yields renews no worker's lease.
double LeaseYieldSeconds(const WorkerSettings& workers);

// The delegated lease that this controller holds as a delegate. It is valid
// only while both the leader's grant and the record in the key-value store are.
class DelegatedLease {
 public:
  explicit DelegatedLease(const WorkerSettings& workers)
      : term_seconds_(DelegatedLeaseTerm(workers)),
        record_seconds_(DelegatedLeaseRecordTerm(workers)),
        yield_seconds_(LeaseYieldSeconds(workers)) {}

  // The leader has granted the lease in answer to a request sent at `sent`, or
  // this controller was the leader itself at that time.
  void OnGranted(Time sent);
  // The lease of the record was renewed by a request sent at `sent`.
  void OnRecordRenewed(Time sent);
  // The record was written again at `now`, under a lease requested at `sent`.
  // Between the end of the old record and this write a new leader may have
  // found no record, so every earlier grant is void.
  void OnRecordRewritten(Time sent, Time now);
  // Whether a worker's heartbeat may be answered now, which renews the worker's
  // lease. If so, it is counted as answered.
  bool Renew(Time now);
  // The same as Renew, but does not count an answer.
  bool Holds(Time now) const {
    return now < expires_at_ && now < recorded_until_ && now >= yielded_until_;
  }
  // The leader asks this controller to yield, that is, to renew no worker's
  // lease for LeaseYieldSeconds. Returns false if this controller refuses
  // because it has renewed one within that time.
  bool OnYieldRequested(Time now);
  // Seconds since the last heartbeat was answered; negative if none ever was.
  double RenewedAgo(Time now) const {
    return renewed_at_ < 0 ? -1 : now - renewed_at_;
  }

 private:
  double term_seconds_;
  double record_seconds_;
  double yield_seconds_;
  Time expires_at_ = -1e9;
  Time recorded_from_ = 1e18;  // not recorded yet
  Time recorded_until_ = -1e9;
  Time yielded_until_ = -1e9;
  Time renewed_at_ = -1;  // negative: never
};

// The delegated leases of all controllers, as the leader keeps account of them.
class DelegatedLeases {
 public:
  // `started`: when this leadership began. `recorded`: the controllers that had
  // a record of a delegated lease in the key-value store at that time; nullopt
  // if that is not known.
  DelegatedLeases(const Settings& settings, Time started,
                  const std::optional<std::set<std::string>>& recorded);

  // Grants `peer` a delegated lease from now on. `process_incarnation`: of the
  // process that asks; if it differs from the last one, the new process does
  // not know whether the earlier one yielded. `age`: seconds since the process
  // started; until then the earlier process may have renewed workers' leases.
  void Grant(const std::string& peer, const std::string& process_incarnation,
             double age, Time now);
  // A controller agrees to yield, in answer to a request sent at `sent`. `age`
  // and `renewed_ago` are in seconds, as of its answer; `renewed_ago` is
  // negative if its process has never renewed a worker's lease.
  void LeaseYielded(const std::string& peer,
                    const std::string& process_incarnation, double age,
                    double renewed_ago, Time sent, Time now);
  // `recorded`: the controllers that have a record, as read by a request sent
  // at `sent`. A controller without a record has no delegated lease, unless it
  // was granted one after `sent`.
  void OnRecordsRead(const std::set<std::string>& recorded, Time sent,
                     Time now);
  // Whether a delegate may have renewed the lease of a worker in the zone so
  // recently that the worker's tasks may still run.
  bool MayBeRenewed(const std::string& zone, Time now) const;
  // The controllers in the zone to ask to yield now; each is returned again
  // only after a part of the time for which a delegate yields. Counts them as
  // asked.
  std::vector<std::string> PeersToAskToYield(const std::string& zone, Time now);

 private:
  struct Peer {
    std::string zone;
    std::string process_incarnation;
    Time first_contact = -1e18;  // with that process
    Time expires_at = 0;
    Time granted_at = -1e18;
    Time yielded_until = -1e9;
    // The latest time at which the delegate may have renewed a worker's lease
    // before it yielded; meaningful until yielded_until.
    Time may_have_renewed_at = -1e18;
    Time asked_at = -1e9;  // to yield
  };
  // Notes which process of the peer answers. A restarted process does not know
  // that the earlier one yielded, nor until when that one renewed leases.
  static void UpdateProcess(Peer& peer, const std::string& process_incarnation,
                            double age, Time now);

  const double lease_seconds_;
  const double term_seconds_;
  const double yield_seconds_;
  std::map<std::string, Peer> peers_;
};

}  // namespace oxbow
