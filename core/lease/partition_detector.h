// Detects, for a controller that renews workers' leases as a delegate, whether
// its whole zone is partitioned off or only the controller itself. It concludes
// this from the heartbeats of those workers. See docs/delegated-lease.md.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/model/fencing_token.h"
#include "core/model/heartbeat.h"
#include "core/model/settings.h"

namespace oxbow {

// A controller that reaches neither the key-value store nor the leader cannot
// know by itself whether its zone is partitioned off together with all workers
// in it, or whether it alone is unreachable while a leader waits for those
// workers' heartbeats. The workers' heartbeats show the difference. A leader
// probes a machine that has fallen silent, and a new leader raises its fencing
// token. Each message that a worker makes, also as a response to a probe,
// increments its sequence number. So a worker is reached from outside the zone
// if this controller answered its last heartbeat and the next one shows a
// higher token or skips a sequence number. Such a worker is redirected to
// another controller so that it finds the leader, and so are the workers whose
// heartbeats arrive shortly afterwards.
//
// A worker that comes back after it was redirected has tried all other
// controllers in vain; its heartbeat is answered here.
//
// If the detector misses the evidence, workers are kept from the leader for as
// long as the delegated lease lasts. If it sees evidence where there is none, a
// worker in a partition tries all controllers once without need. Neither
// affects safety.
class PartitionDetector {
 public:
  explicit PartitionDetector(const WorkerSettings& workers);

  // Whether the worker is to be redirected to another controller rather than
  // answered here. If so, it is noted as redirected.
  bool ShouldRedirect(const Heartbeat& heartbeat, Time now);
  // This controller has answered the heartbeat.
  void OnAnswered(const Heartbeat& heartbeat, Time now);
  // Discards all evidence: the leader or the key-value store is reached again.
  void Clear();

 private:
  // The last heartbeat of a worker that was answered here.
  struct Seen {
    uint64_t incarnation = 0;
    uint64_t seq = 0;
    FencingToken token = 0;
    Time answered_at = -1e9;
    Time redirected_at = -1e9;
  };
  bool ReachedByOthers(const Seen& before, const Heartbeat& heartbeat,
                       Time now) const;

  // The longest time from an answered heartbeat to the worker's next one, if it
  // has tried no other controller in between.
  const double next_heartbeat_seconds_;
  // For how long evidence from one worker redirects all workers of the zone.
  const double evidence_seconds_;
  // For how long a worker that was redirected is not redirected again.
  const double round_seconds_;
  Time redirects_until_ = -1e9;
  std::unordered_map<std::string, Seen> seen_;  // by host
};

}  // namespace oxbow
