// Users: they submit and cancel jobs and read their status.
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {

void Sim::Submit(const JobSpec& spec) {
  StoredJob submitted;
  submitted.spec = spec;
  submitted.submitted = now_;
  jobs_[spec.id] = std::move(submitted);
  if (!spec.dependencies.empty()) {
    const std::string waiting = keys::Of(keys::kWaiting, spec.id);
    const WaitingRecord record{std::make_shared<JobSpec>(spec),
                               now_ + kEpochOffset, 0};
    store_[waiting] = {record, ++revision_};
    unwatched_changes_.emplace_back(waiting, revision_);
    if (old_version) return;
    catalog_.Put(waiting, record, revision_);
    if (leader_) {
      leader_->OnWaitingRecord(spec.id, now_);
      ExecuteActions();
    }
    return;
  }
  const std::string key = keys::Of(keys::kJob, spec.id);
  const JobRecord record{std::make_shared<JobSpec>(spec), now_ + kEpochOffset,
                         TerminalState::kNone, 0};
  store_[key] = {record, ++revision_};
  unwatched_changes_.emplace_back(key, revision_);
  catalog_.Put(key, record, revision_);
  if (leader_) {
    leader_->OnJobRecord(spec.id, now_);
    ExecuteActions();
  }
}

void Sim::CancelJob(const std::string& id) {
  if (!leader_) return;
  cancel_asked_.insert(id);
  const bool known = leader_->Cancel(id, now_);
  TrailEvent(now_, known ? "cancel" : "cancel-of-unknown", id);
  ExecuteActions();
}

void Sim::CancelBurst(int count, double hang_seconds) {
  constexpr double kWithin = 0.2;
  constexpr size_t kMostHang = 8;
  std::set<std::string> chosen;
  std::set<std::string> hosts;
  for (auto& [host, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [name, status] : worker.tasks) {
      const bool known = chosen.contains(status.job);
      if (status.phase != TaskPhase::kRunning ||
          cancel_asked_.contains(status.job) ||
          (!known && chosen.size() >= static_cast<size_t>(count))) {
        continue;
      }
      chosen.insert(status.job);
      if (hosts.size() < kMostHang) hosts.insert(host);
    }
  }
  int nth = 0;
  for (const std::string& id : chosen) {
    After(kWithin * nth++ / count, [this, id] { CancelJob(id); });
  }
  if (hang_seconds <= 0) return;
  for (const std::string& host : hosts) {
    workers_.at(host).hangs_until = now_ + hang_seconds;
  }
}

void Sim::RequestOddly() {
  if (!leader_ || now_ < stalled_until_) return;
  for (const auto& [id, job] : jobs_) {
    if (!job.end.empty()) {
      CancelJob(id);
    } else if (store_.contains(keys::Of(keys::kJob, id))) {
      leader_->OnJobRecord(id, now_);
      ExecuteActions();
    }
    if (!leader_) return;
  }
}

void Sim::RecordCancellations() {
  for (const std::string& id : cancel_asked_) {
    StoredJob& job = jobs_.at(id);
    if (!job.cancelled_seen_at && JobStatus(id) == "aborted")
      job.cancelled_seen_at = now_;
  }
}

// Not checked: that a leader's answer is as new as its own write whose answer
// was lost. The core does not decide that.
void Sim::CheckStatusNeverGoesBack() {
  for (auto& [id, job] : jobs_) {
    std::vector<std::string> answers;
    const bool leader_answers = leader_ && now_ >= stalled_until_;
    // A leader without an observation of a job reads the records.
    std::string told = leader_answers ? JobStatus(id) : "unknown";
    TrailStatus(now_, id, told);
    if (told != "unknown") answers.push_back(told);
    if (!state_down && !records_lost_) answers.push_back(RecordedStatus(id));
    for (const std::string& status : answers) {
      if (!job.end.empty() && status != job.end) {
        RecordViolation("went_back: " + id + " was " + job.end + ", then " +
                        status);
      }
      if (status == "unknown" && !records_lost_)
        RecordViolation("forgotten: " + id);
    }
    if (told == "done" || told == "aborted") job.end = std::move(told);
  }
}

std::string Sim::JobStatus(const std::string& id) {
  const TerminalState state = catalog_.FindTerminalState(id);
  if (state == TerminalState::kDone) return "done";
  if (state == TerminalState::kAborted) return "aborted";
  JobView view;
  const JobObservation observation =
      leader_ ? leader_->View(id, &view) : JobObservation::kUnseen;
  if (observation == JobObservation::kUnseen) return "unknown";
  if (observation == JobObservation::kInDoubt) return "in-doubt";
  TrailTasks(now_, id, view);
  return std::string(view.status);
}

}  // namespace oxbow::test
