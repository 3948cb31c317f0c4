// Whether a zone is cut off, or only the controller inside it: read off the
// reports of the workers that it keeps. See docs/delegated-lease.md.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/model/fencing_token.h"
#include "core/model/heartbeat.h"
#include "core/model/settings.h"

namespace oxbow {

// A controller that reaches neither the key-value store nor the leader can't
// tell by itself whether its zone is cut off, with all workers in it, or
// whether it alone is out of reach, while a leader waits for those workers'
// reports. They can: a leader asks a machine that it doesn't hear, and a new
// one raises its token. Each such answer counts in `tally`. So a worker that
// was kept here, and whose next heartbeat shows a token raised or a message
// made for somebody else, is reached from outside the zone's delegates: it is
// sent on to find the leader, and with it those that come in the next moments.
//
// One that was sent on and comes back has been to all others. It is kept.
//
// A sign that is missed keeps workers back for as long as the right lasts; a
// false one costs a worker behind a cut a round. Neither touches safety.
class PartitionDetector {
 public:
  explicit PartitionDetector(const WorkerSettings& workers);

  // Whether the worker is to be sent on rather than kept.
  bool Redirected(const Heartbeat& heartbeat, Time now);
  // Its report has been answered here.
  void Kept(const Heartbeat& heartbeat, Time now);
  // The leader or the key-value store is reached again.
  void Clear();

 private:
  struct Seen {
    uint64_t incarnation = 0;
    uint64_t seq = 0;
    FencingToken token = 0;
    Time kept = -1e9;
    Time sent_on = -1e9;
  };
  bool ReachedByOthers(const Seen& before, const Heartbeat& heartbeat,
                       Time now) const;

  const double next_seconds_;   // the latest that the next heartbeat comes, s
  const double holds_seconds_;  // how long one worker's sign holds for all, s
  const double
      round_seconds_;  // within which one that was sent on comes back, s
  Time reached_until_ = -1e9;
  std::unordered_map<std::string, Seen> seen_;  // by host
};

}  // namespace oxbow
