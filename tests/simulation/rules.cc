// Rules of the protocol, checked after every step against the fakes.
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

// A record that moved to the terminal records never becomes live again, and a
// terminal state never changes.
void Sim::CheckChange(const Mutation& change) {
  const bool deletes = std::holds_alternative<std::monostate>(change.record);
  const auto ended = [&](std::string_view live, std::string_view end) {
    return !deletes && change.key.starts_with(live) &&
           store_.contains(keys::Of(end, change.key.substr(live.size())));
  };
  if (ended(keys::kJob, keys::kTerminal) ||
      ended(keys::kWaiting, keys::kTerminal) ||
      ended(keys::kWaiting, keys::kJob) ||
      ended(keys::kRollout, keys::kEndedRollout)) {
    RecordViolation("lives again: " + change.key);
  }
  if (!change.key.starts_with(keys::kTerminal)) return;
  const auto known = store_.find(change.key);
  const auto* next = std::get_if<TerminalRecord>(&change.record);
  if (known != store_.end() &&
      (next == nullptr ||
       std::get<TerminalRecord>(known->second.first).state != next->state)) {
    RecordViolation("went_back: " + change.key);
  }
}

// The next leader finds the machines of a scale-out by the record of the
// scale-out or by the records of the machines.
void Sim::CheckScaleOutRecorded(const CompareAndSwap& txn) {
  for (const Mutation& change : txn.mutations) {
    if (!std::holds_alternative<std::monostate>(change.record) ||
        !change.key.starts_with(keys::kScaleOut)) {
      continue;
    }
    for (const std::string& host :
         scaled_out_hosts_[change.key.substr(keys::kScaleOut.size())]) {
      if (workers_.contains(host) &&
          !store_.contains(keys::Of(keys::kMachine, host))) {
        RecordViolation("rented and not recorded: " + host);
      }
    }
  }
}

void Sim::CheckChainStart(const JobSpec& spec) {
  for (const std::string& need : spec.dependencies) {
    if (completed_[need].size() != jobs_.at(need).spec.tasks ||
        RecordedAs(need) != "done") {
      RecordViolation("too_early: " + spec.id + " before " + need);
    }
  }
}

// Once a user has seen a job as cancelled, its dependents end as well.
void Sim::CheckOrphanedTasks() {
  for (const auto& [id, job] : jobs_) {
    if (job.spec.dependencies.empty()) continue;
    for (const std::string& need : job.spec.dependencies) {
      StoredJob& before = jobs_.at(need);
      StoredJob& after = jobs_.at(id);
      if (before.cancelled_seen_at &&
          (!after.dependency_cancelled_at ||
           *before.cancelled_seen_at < *after.dependency_cancelled_at)) {
        after.dependency_cancelled_at = before.cancelled_seen_at;
      }
      if (before.dependency_cancelled_at && !after.dependency_cancelled_at) {
        after.dependency_cancelled_at = before.dependency_cancelled_at;
      }
    }
    const bool over =
        job.dependency_cancelled_at &&
        now_ > *job.dependency_cancelled_at + settings.workers.cancel_seconds &&
        now_ > job.submitted + settings.workers.cancel_seconds;
    if (over && RecordedAs(id) != "aborted") RecordViolation("orphaned: " + id);
  }
}

void Sim::CheckRules() {
  CheckOrphanedTasks();
  if (leader_ && leader_->command_counters().unexpected_attempts > 0) {
    RecordViolation("a worker shows an attempt that its leader knows as ended");
  }
  std::map<std::string, Resources> teams;
  for (const auto& [host, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [name, status] : worker.tasks) {
      if (status.phase == TaskPhase::kExited) continue;
      const StoredJob& job = jobs_.at(status.job);
      if (IsPresent(status)) teams[job.spec.team] += job.spec.need;
      if (job.cancelled_seen_at &&
          now_ > *job.cancelled_seen_at + settings.workers.cancel_seconds) {
        RecordViolation("ran_cancelled: " + name);
      }
      // Every controller answers "aborted" by this record.
      if (job.recorded_as_aborted)
        RecordViolation("retired too early: " + name);
    }
  }
  // The floor holds from the declaration of a rollout to its terminal record.
  const auto live = store_.lower_bound(std::string(keys::kRollout));
  const bool watched =
      live != store_.end() && live->first.starts_with(keys::kRollout);
  if (watched && floor > 0 && CountWell() < floor) {
    RecordViolation("floor: " + std::to_string(CountWell()) + " are well at " +
                    std::to_string(now_));
  }
  for (const TeamQuota& team : settings.teams) {
    const Resources used = teams[team.name];
    if ((team.cpus_max > 0 && used.cpus > team.cpus_max + 1e-6) ||
        (team.gpus_max > 0 && used.gpus > team.gpus_max + 1e-6)) {
      RecordViolation("quota: " + team.name);
    }
  }
}

void Sim::RecordViolation(const std::string& what) { broken_.push_back(what); }

// Any controller answers with a terminal state as soon as it is recorded; from
// then on the leader must not answer with an older state.
void Sim::CheckAnswers() {
  if (!leader_ || now_ < stalled_until_) return;
  for (auto it = ends_elsewhere_.begin(); it != ends_elsewhere_.end();) {
    const std::string status = JobStatus(*it);
    if (status == "pending" || status == "running") {
      RecordViolation("went_back: " + *it + " is " + status + " to the leader");
    }
    const bool told = status == "done" || status == "aborted";
    it = told ? ends_elsewhere_.erase(it) : std::next(it);
  }
}

}  // namespace oxbow::test
