// A zone that is cut off: a controller inside may keep the workers of its zone
// alive for a while, without orders, and the leader outside does not take for
// over what may be kept. The right is a lease that the leader grants while
// both can still talk. See docs/keepers.md.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/model/settings.h"

namespace oxbow {

// For how long the right lasts, s; 0: there is none. A user who is told that a
// job is cancelled must find its tasks gone within `cancel_s`; behind a cut they
// go when the right has run out and the worker's lease after it.
double ZoneRight(const WorkerSettings& workers);
// How old a cancellation may be whose tasks are still there, for the right to
// be granted anew, s.
double ZoneMargin(const WorkerSettings& workers);
// How long one that stands back does not keep, s.
double StandBackFor(const WorkerSettings& workers);

// The one inside.
class ZoneKeeper {
 public:
  explicit ZoneKeeper(const WorkerSettings& workers)
      : right_s_(ZoneRight(workers)), stand_s_(StandBackFor(workers)) {}

  // The leader has granted the right, asked for at `sent`; or this controller
  // has just led, by a renewal sent then.
  void Granted(Time sent);
  // Whether a report may be answered now; notes that it is.
  bool Keep(Time now);
  // Asked to stand back: not to keep for a moment. False while it keeps.
  bool AskedToStandBack(Time now);
  // s since a report was answered last; negative: none ever was.
  double KeptAgo(Time now) const { return kept_ < 0 ? -1 : now - kept_; }

 private:
  double right_s_;
  double stand_s_;
  Time until_ = -1e9;
  Time stands_back_until_ = -1e9;
  Time kept_ = -1;
};

// The leader's picture of those inside.
class ZoneRights {
 public:
  ZoneRights(const Settings& settings, Time started);

  // The right begins anew now. `life`: the incarnation that asks; another one
  // than before has forgotten that it stood back.
  void Grant(const std::string& peer, const std::string& life, Time now);
  // The answer to a question sent at `sent`. `kept_ago` as of the answer.
  void StoodBack(const std::string& peer, const std::string& life,
                 double kept_ago, Time sent, Time now);
  // Whether a session in the zone may have been kept alive until less than a
  // worker lease ago.
  bool MayBeKept(const std::string& zone, Time now) const;
  // Controllers in the zone whose standing back has to be asked for, each once
  // in a while.
  std::vector<std::string> ToAsk(const std::string& zone, Time now);

 private:
  struct Peer {
    std::string zone;
    std::string life;
    Time right_until = 0;
    Time stands_back_until = -1e9;
    Time kept = -1e18;  // the last moment at which it may have, if it stands
    Time asked = -1e9;
  };

  const double lease_s_;
  const double right_s_;
  const double stand_s_;
  std::map<std::string, Peer> peers_;
};

}  // namespace oxbow
