// Rules of the protocol, checked after every step against the fakes.
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

// What has moved to the ended ones never lives again, and an end never changes.
void Sim::CheckChange(const Mutation& change) {
  const bool deletes = std::holds_alternative<std::monostate>(change.record);
  const auto ended = [&](std::string_view live, std::string_view end) {
    return !deletes && change.key.starts_with(live) &&
           store_.contains(keys::Of(end, change.key.substr(live.size())));
  };
  if (ended(keys::kJob, keys::kTerminal) ||
      ended(keys::kWaiting, keys::kTerminal) ||
      ended(keys::kWaiting, keys::kJob) ||
      ended(keys::kRollout, keys::kRolloutEnd)) {
    Break("lives again: " + change.key);
  }
  if (!change.key.starts_with(keys::kTerminal)) return;
  const auto known = store_.find(change.key);
  const auto* next = std::get_if<TerminalRecord>(&change.record);
  if (known != store_.end() &&
      (next == nullptr ||
       std::get<TerminalRecord>(known->second.first).state != next->state)) {
    Break("went_back: " + change.key);
  }
}

// Who leads next knows of a rental's machines by its record, or by theirs.
void Sim::CheckSettled(const CompareAndSwap& txn) {
  for (const Mutation& change : txn.mutations) {
    if (!std::holds_alternative<std::monostate>(change.record) ||
        !change.key.starts_with(keys::kScaleOut)) {
      continue;
    }
    for (const std::string& host :
         rented_[change.key.substr(keys::kScaleOut.size())]) {
      if (workers_.contains(host) &&
          !store_.contains(keys::Of(keys::kMachine, host))) {
        Break("rented and not recorded: " + host);
      }
    }
  }
}

void Sim::CheckChainStart(const JobSpec& spec) {
  for (const std::string& need : spec.dependencies) {
    if (completed_[need].size() != jobs_.at(need).spec.tasks ||
        RecordedAs(need) != "done") {
      Break("too_early: " + spec.id + " before " + need);
    }
  }
}

// Whom its user was told to be cancelled takes all along that need it.
void Sim::CheckOrphanedTasks() {
  for (const auto& [id, job] : jobs_) {
    if (job.spec.dependencies.empty()) continue;
    for (const std::string& need : job.spec.dependencies) {
      StoredJob& before = jobs_.at(need);
      StoredJob& after = jobs_.at(id);
      if (before.told &&
          (!after.told_before || *before.told < *after.told_before)) {
        after.told_before = before.told;
      }
      if (before.told_before && !after.told_before) {
        after.told_before = before.told_before;
      }
    }
    const bool over =
        job.told_before &&
        now_ > *job.told_before + settings.workers.cancel_seconds &&
        now_ > job.submitted + settings.workers.cancel_seconds;
    if (over && RecordedAs(id) != "aborted") Break("orphaned: " + id);
  }
}

void Sim::CheckRules() {
  CheckOrphanedTasks();
  std::map<std::string, Resources> teams;
  for (const auto& [host, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [name, status] : worker.tasks) {
      if (status.phase == TaskPhase::kExited) continue;
      const StoredJob& job = jobs_.at(status.job);
      if (IsPresent(status)) teams[job.spec.team] += job.spec.need;
      if (job.told && now_ > *job.told + settings.workers.cancel_seconds) {
        Break("ran_cancelled: " + name);
      }
      // What any controller takes for the proof that it may tell.
      if (job.nothing_left) Break("retired too early: " + name);
    }
  }
  // Held from the declaration to the recorded end.
  const auto live = store_.lower_bound(std::string(keys::kRollout));
  const bool watched =
      live != store_.end() && live->first.starts_with(keys::kRollout);
  if (watched && floor > 0 && CountWell() < floor) {
    Break("floor: " + std::to_string(CountWell()) + " are well at " +
          std::to_string(now_));
  }
  for (const TeamQuota& team : settings.teams) {
    const Resources used = teams[team.name];
    if ((team.cpus_max > 0 && used.cpus > team.cpus_max + 1e-6) ||
        (team.gpus_max > 0 && used.gpus > team.gpus_max + 1e-6)) {
      Break("quota: " + team.name);
    }
  }
}

void Sim::Break(const std::string& what) { broken_.push_back(what); }

// Whoever reads the key-value store tells an end as soon as it stands there;
// from then on the leader must not tell anything older by its own picture.
void Sim::CheckAnswers() {
  if (!leader_ || now_ < stalled_until_) return;
  for (auto it = ends_elsewhere_.begin(); it != ends_elsewhere_.end();) {
    const std::string status = JobStatus(*it);
    if (status == "pending" || status == "running") {
      Break("went_back: " + *it + " is " + status + " to the leader");
    }
    const bool told = status == "done" || status == "aborted";
    it = told ? ends_elsewhere_.erase(it) : std::next(it);
  }
}

}  // namespace oxbow::test
