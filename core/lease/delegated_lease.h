// A delegated lease: a controller in a zone that is cut off may renew the
// leases of the workers there for a while, without commands, and the leader
// outside does not take for over what may have been renewed. The right is a
// lease that the leader grants while both can still talk. See
// docs/delegated-lease.md.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// For how long the right lasts, s; 0: there is none. A user is told that a job
// is cancelled once its tasks are gone; behind a cut they go when the right has
// run out and the worker's lease after it. Under one leader a user waits for
// less than `cancel_s` for that.
double DelegatedLeaseTerm(const WorkerSettings& workers);
// How old a cancellation may be whose tasks are still there, for the right to
// be granted anew, s.
double CancellationMargin(const WorkerSettings& workers);
// Of the record of the right: a little longer, so that it need not be renewed
// as often as the right, s.
double DelegatedLeaseRecordTerm(const WorkerSettings& workers);
// How long one that stands back does not keep, s.
double LeaseYieldSeconds(const WorkerSettings& workers);

// The one inside.
class DelegatedLease {
 public:
  explicit DelegatedLease(const WorkerSettings& workers)
      : right_seconds_(DelegatedLeaseTerm(workers)),
        record_seconds_(DelegatedLeaseRecordTerm(workers)),
        yield_seconds_(LeaseYieldSeconds(workers)) {}

  // The leader has granted the right, asked for at `sent`; or this controller
  // leads at that moment.
  void Granted(Time sent);
  // The lease of the record of the right counts from `sent` on.
  void Recorded(Time sent);
  // The record was written anew at `now`. Between the old one's end and that a
  // new leader may have found none: what was granted before is void.
  void RecordedAnew(Time sent, Time now);
  // Whether a heartbeat may be answered now; notes that it is.
  bool Renew(Time now);
  // The same, without noting anything.
  bool Holds(Time now) const {
    return now < until_ && now < recorded_until_ && now >= yielded_until_;
  }
  // Asked to stand back: not to keep for a moment. False while it keeps.
  bool OnYieldRequested(Time now);
  // s since a heartbeat was answered last; negative: none ever was.
  double RenewedAgo(Time now) const { return kept_ < 0 ? -1 : now - kept_; }

 private:
  double right_seconds_;
  double record_seconds_;
  double yield_seconds_;
  Time until_ = -1e9;
  Time recorded_from_ = 1e18;
  Time recorded_until_ = -1e9;
  Time yielded_until_ = -1e9;
  Time kept_ = -1;
};

// The leader's picture of those inside.
class DelegatedLeases {
 public:
  // `recorded`: whose right is, or may be, recorded in the key-value store as
  // of this leadership's beginning; nothing: that is not known.
  DelegatedLeases(const Settings& settings, Time started,
                  const std::optional<std::set<std::string>>& recorded);

  // The right begins anew now. `life`: the incarnation that asks; another one
  // than before has forgotten that it stood back.
  // `age`: s that it has been there; a life before it has kept until then at
  // the latest.
  void Grant(const std::string& peer, const std::string& process_incarnation,
             double age, Time now);
  // The answer to a question sent at `sent`. Ages as of the answer;
  // `renewed_ago` is negative if it has never kept.
  void LeaseYielded(const std::string& peer,
                    const std::string& process_incarnation, double age,
                    double renewed_ago, Time sent, Time now);
  // The records as read by a question sent at `sent`: one whose record is gone
  // has no right, unless it was granted since.
  void RecordsRead(const std::set<std::string>& recorded, Time sent, Time now);
  // Whether an incarnation in the zone may have been kept alive until less than
  // a worker lease ago.
  bool MayBeRenewed(const std::string& zone, Time now) const;
  // Controllers in the zone whose standing back has to be asked for, each once
  // in a while.
  std::vector<std::string> PeersToAsk(const std::string& zone, Time now);

 private:
  struct Peer;
  static void Meet(Peer& peer, const std::string& process_incarnation,
                   double age, Time now);

  struct Peer {
    std::string zone;
    std::string process_incarnation;
    Time met = -1e18;  // when that life was first heard of
    Time right_until = 0;
    Time granted = -1e18;
    Time yielded_until = -1e9;
    Time kept = -1e18;  // the last moment at which it may have, if it stands
    Time asked = -1e9;
  };

  const double lease_seconds_;
  const double right_seconds_;
  const double yield_seconds_;
  std::map<std::string, Peer> peers_;
};

}  // namespace oxbow
