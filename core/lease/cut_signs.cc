#include "core/lease/cut_signs.h"

#include "core/model/timeouts.h"

namespace oxbow {
namespace {

// A worker tries the next controller a second after it has failed with one
// (protocol): whoever is back within less has been nowhere else.
constexpr double kRetryPause_s = 1;
// Of a lease.
constexpr double kHolds = 0.5;
constexpr double kRound = 1;
// Far more machines than a zone has.
constexpr size_t kMost = 20'000;

}  // namespace

CutSigns::CutSigns(const WorkerSettings& workers)
    : next_s_(SilenceTimeouts::kLatest * workers.report_s + kRetryPause_s),
      holds_s_(kHolds * workers.lease_s),
      round_s_(kRound * workers.lease_s) {}

// Only between two reports of which the first was answered here and the second
// came in its time: one that has tried others meanwhile, in vain, has made
// messages for them too.
bool CutSigns::ReachedByOthers(const Seen& before, const WorkerReport& report,
                               Time now) const {
  if (report.session != before.session || report.seq <= before.seq ||
      now - before.kept > next_s_) {
    return false;
  }
  return report.token > before.token || report.seq > before.seq + 1;
}

bool CutSigns::SentOn(const WorkerReport& report, Time now) {
  const auto it = seen_.find(report.host);
  if (it != seen_.end() && ReachedByOthers(it->second, report, now)) {
    reached_until_ = now + holds_s_;
  }
  if (now >= reached_until_) return false;
  if (it != seen_.end() && now - it->second.sent_on < round_s_) return false;
  if (seen_.size() >= kMost) seen_.clear();
  seen_[report.host].sent_on = now;
  return true;
}

void CutSigns::Kept(const WorkerReport& report, Time now) {
  if (seen_.size() >= kMost) seen_.clear();
  Seen& seen = seen_[report.host];
  // A copy of an older report says nothing of the next one.
  if (report.session < seen.session ||
      (report.session == seen.session && report.seq <= seen.seq)) {
    return;
  }
  seen.session = report.session;
  seen.seq = report.seq;
  seen.token = report.token;
  seen.kept = now;
}

void CutSigns::Clear() {
  reached_until_ = -1e9;
  seen_.clear();
}

}  // namespace oxbow
