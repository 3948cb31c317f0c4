#include "core/lease/partition_detector.h"

#include "core/model/reachability.h"
#include "core/model/timeouts.h"

namespace oxbow {
namespace {

// Of a lease.
constexpr double kHolds = 0.5;
constexpr double kRound = 1;
// Far more machines than a zone has.
constexpr size_t kMost = 20'000;

}  // namespace

// A worker tries the next controller kRetryPause_s after it has failed with
// one: whoever is back within less has been nowhere else.
PartitionDetector::PartitionDetector(const WorkerSettings& workers)
    : next_seconds_(SilenceTimeouts::kLatest *
                        workers.heartbeat_interval_seconds +
                    kRetryPauseSeconds),
      holds_seconds_(kHolds * workers.lease_seconds),
      round_seconds_(kRound * workers.lease_seconds) {}

// Only between two heartbeats of which the first was answered here and the
// second came in its time: one that has tried others meanwhile, in vain, has
// made messages for them too.
bool PartitionDetector::ReachedByOthers(const Seen& before,
                                        const Heartbeat& heartbeat,
                                        Time now) const {
  if (heartbeat.incarnation != before.incarnation ||
      heartbeat.seq <= before.seq || now - before.kept > next_seconds_) {
    return false;
  }
  return heartbeat.token > before.token || heartbeat.seq > before.seq + 1;
}

bool PartitionDetector::Redirected(const Heartbeat& heartbeat, Time now) {
  const auto it = seen_.find(heartbeat.host);
  if (it != seen_.end() && ReachedByOthers(it->second, heartbeat, now)) {
    reached_until_ = now + holds_seconds_;
  }
  if (now >= reached_until_) return false;
  if (it != seen_.end() && now - it->second.sent_on < round_seconds_)
    return false;
  if (seen_.size() >= kMost) seen_.clear();
  seen_[heartbeat.host].sent_on = now;
  return true;
}

void PartitionDetector::Kept(const Heartbeat& heartbeat, Time now) {
  if (seen_.size() >= kMost) seen_.clear();
  Seen& seen = seen_[heartbeat.host];
  // A copy of an older heartbeat says nothing of the next one.
  if (heartbeat.incarnation < seen.incarnation ||
      (heartbeat.incarnation == seen.incarnation &&
       heartbeat.seq <= seen.seq)) {
    return;
  }
  seen.incarnation = heartbeat.incarnation;
  seen.seq = heartbeat.seq;
  seen.token = heartbeat.token;
  seen.kept = now;
}

void PartitionDetector::Clear() {
  reached_until_ = -1e9;
  seen_.clear();
}

}  // namespace oxbow
