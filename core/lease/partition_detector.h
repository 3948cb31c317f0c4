// Whether a zone is partitioned off, or only the controller inside it:
// concluded from the heartbeats of the workers whose leases it renews. See
// docs/delegated-lease.md.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/model/fencing_token.h"
#include "core/model/heartbeat.h"
#include "core/model/settings.h"

namespace oxbow {

// A controller that reaches neither the key-value store nor the leader can't
// know by itself whether its zone is partitioned off, with all workers in it,
// or whether it alone is unreachable, while a leader waits for those workers'
// heartbeats. The workers' messages show it: a leader probes a silent machine,
// and a new one raises its fencing token; each response increments the sequence
// number of the worker's messages. So a worker that was answered here, and
// whose next heartbeat shows a raised token or that it made a message for
// somebody else, is reached from outside the zone: it is redirected to find the
// leader, and with it those whose heartbeats arrive in the next moments.
//
// One that was redirected and comes back has tried all others. It is answered.
//
// Evidence that is missed keeps workers from the leader for as long as the
// delegated lease lasts; false evidence costs a worker in a partition one round
// over the controllers. Neither touches safety.
class PartitionDetector {
 public:
  explicit PartitionDetector(const WorkerSettings& workers);

  // Whether the worker is to be redirected rather than answered.
  bool ShouldRedirect(const Heartbeat& heartbeat, Time now);
  // The heartbeat has been answered here.
  void OnAnswered(const Heartbeat& heartbeat, Time now);
  // The leader or the key-value store is reached again.
  void Clear();

 private:
  struct Seen {
    uint64_t incarnation = 0;
    uint64_t seq = 0;
    FencingToken token = 0;
    Time answered_at = -1e9;
    Time redirected_at = -1e9;
  };
  bool ReachedByOthers(const Seen& before, const Heartbeat& heartbeat,
                       Time now) const;

  // The longest time to a worker's next heartbeat.
  const double next_heartbeat_seconds_;
  // How long the evidence of one worker counts for all.
  const double evidence_seconds_;
  // Within which a redirected worker comes back.
  const double round_seconds_;
  Time redirects_until_ = -1e9;
  std::unordered_map<std::string, Seen> seen_;  // by host
};

}  // namespace oxbow
