#include "core/lease/partition_detector.h"

#include "core/model/reachability.h"
#include "core/model/timeouts.h"

namespace oxbow {
namespace {

// In worker leases.
constexpr double kEvidenceLeases = 0.5;
constexpr double kRoundLeases = 1;
// Far more machines than a zone has.
constexpr size_t kMaxWorkers = 20'000;

}  // namespace

// A worker tries the next controller kRetryPauseSeconds after it has failed
// with one: whoever is back in less time has tried no other.
PartitionDetector::PartitionDetector(const WorkerSettings& workers)
    : next_heartbeat_seconds_(SilenceTimeouts::kLatest *
                                  workers.heartbeat_interval_seconds +
                              kRetryPauseSeconds),
      evidence_seconds_(kEvidenceLeases * workers.lease_seconds),
      round_seconds_(kRoundLeases * workers.lease_seconds) {}

// Only between two heartbeats of which the first was answered here and the
// second came in time: a worker that has tried others meanwhile, in vain, has
// made messages for them too.
bool PartitionDetector::ReachedByOthers(const Seen& before,
                                        const Heartbeat& heartbeat,
                                        Time now) const {
  if (heartbeat.incarnation != before.incarnation ||
      heartbeat.seq <= before.seq ||
      now - before.answered_at > next_heartbeat_seconds_) {
    return false;
  }
  return heartbeat.token > before.token || heartbeat.seq > before.seq + 1;
}

bool PartitionDetector::ShouldRedirect(const Heartbeat& heartbeat, Time now) {
  const auto it = seen_.find(heartbeat.host);
  if (it != seen_.end() && ReachedByOthers(it->second, heartbeat, now)) {
    redirects_until_ = now + evidence_seconds_;
  }
  if (now >= redirects_until_) return false;
  if (it != seen_.end() && now - it->second.redirected_at < round_seconds_) {
    return false;
  }
  if (seen_.size() >= kMaxWorkers) seen_.clear();
  seen_[heartbeat.host].redirected_at = now;
  return true;
}

void PartitionDetector::OnAnswered(const Heartbeat& heartbeat, Time now) {
  if (seen_.size() >= kMaxWorkers) seen_.clear();
  Seen& seen = seen_[heartbeat.host];
  // A copy of an older heartbeat is no evidence about the next one.
  if (heartbeat.incarnation < seen.incarnation ||
      (heartbeat.incarnation == seen.incarnation &&
       heartbeat.seq <= seen.seq)) {
    return;
  }
  seen.incarnation = heartbeat.incarnation;
  seen.seq = heartbeat.seq;
  seen.token = heartbeat.token;
  seen.answered_at = now;
}

void PartitionDetector::Clear() {
  redirects_until_ = -1e9;
  seen_.clear();
}

}  // namespace oxbow
