#include "core/maintenance/maintenance_manager.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/rollout/rollout_manager.h"

namespace oxbow {
namespace {

// Tolerance for rounding errors when shares of the fleet are compared.
constexpr double kEpsilon = 1e-6;
// Lower bound for the fetch rate, to avoid a division by zero.
constexpr double kMinFetchGbPerSecond = 1e-3;

std::string_view NameOf(AdmissionBlocker blocker) {
  switch (blocker) {
    case AdmissionBlocker::kNone:
      return "none";
    case AdmissionBlocker::kInPeak:
      return "in a peak";
    case AdmissionBlocker::kNoOpenWindow:
      return "no window is open";
    case AdmissionBlocker::kDoesNotFit:
      return "would not end in time";
    case AdmissionBlocker::kWindowFull:
      return "capacity of the window is in use";
    case AdmissionBlocker::kBeyondKnownTimes:
      return "times of the window are not known so far ahead";
    case AdmissionBlocker::kCalendarTooOld:
      return "calendar has not been read for too long";
    case AdmissionBlocker::kClockUnknown:
      return "time of day is not known";
  }
  return {};
}

std::string_view NameOf(CalendarFreshness freshness) {
  switch (freshness) {
    case CalendarFreshness::kNone:
      return "no window in force";
    case CalendarFreshness::kCurrent:
      return "current";
    case CalendarFreshness::kStale:
      return "stale, the windows read last apply";
    case CalendarFreshness::kTooOld:
      return "too old, no work that a window applies to starts";
  }
  return {};
}

bool IsRunningOrSaving(const TaskAttempt& attempt) {
  return attempt.phase == TaskPhase::kRunning ||
         attempt.phase == TaskPhase::kSaving;
}

}  // namespace

MaintenanceManager::MaintenanceManager(LeaderContext& context,
                                       const Modules& modules)
    : context_(context),
      settings_(context.settings),
      cluster_(context.cluster),
      tiers_(context.tiers),
      run_times_(context.run_times),
      dispatcher_(modules.dispatcher),
      rollout_manager_(modules.rollout_manager),
      calendar_(context.settings.workers.lease_seconds,
                context.settings.clock_error_ms / 1000) {}

void MaintenanceManager::OnClockReading(const WallReading& reading,
                                        Time confirmed, Time now) {
  calendar_.OnWallReading(reading);
  calendar_.OnConfirmed(confirmed, now);
}

void MaintenanceManager::OnMaintenanceWindow(const MaintenanceWindow& window,
                                             uint64_t version, Time now) {
  calendar_.AddWindow(window, version, now);
  cluster_.MarkChanged();
}

void MaintenanceManager::OnMaintenanceWindowWithdrawn(const std::string& id,
                                                      uint64_t version,
                                                      Time now) {
  calendar_.WithdrawWindow(id, version, now);
  cluster_.MarkChanged();
}

std::string MaintenanceManager::TierOf(const Job& job) const {
  if (!tiers_.active() || job.tier >= tiers_.set().size()) return {};
  return tiers_.set().at(job.tier).name;
}

AdmissionDecision MaintenanceManager::AdmissionOf(const Job& job,
                                                  Time now) const {
  const JobSpec& spec = job.spec();
  // The image fetch precedes the run. The rate of the first machine type is
  // used, since the machine is not chosen yet.
  double fetch_seconds = 0;
  if (!cluster_.types().empty()) {
    const MachineType& type = cluster_.types().begin()->second;
    fetch_seconds = spec.image_gb /
                    std::max(kMinFetchGbPerSecond, type.fetch_gb_per_second);
  }
  return calendar_.Admit(spec, TierOf(job),
                         run_times_.RunSeconds(spec) + fetch_seconds, now);
}

std::optional<AdmissionDecision> MaintenanceManager::CalendarAdmission(
    const std::string& id, Time now) const {
  const Job* job = cluster_.FindJob(id);
  if (job == nullptr) return std::nullopt;
  if (calendar_.empty() || !job->live()) return AdmissionDecision{};
  AdmissionDecision decision = AdmissionOf(*job, now);
  if (decision.may_start() && job->placed() == 0 && !WindowAllows(*job, 1)) {
    decision.blocker = AdmissionBlocker::kWindowFull;
  }
  return decision;
}

void MaintenanceManager::CountWindowUse() {
  window_use_.clear();
  fleet_ = {};
  if (calendar_.empty()) return;
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kUp) fleet_ += machine->total();
  }
  for (const std::string& id : calendar_.WindowIds()) window_use_[id];
  if (window_use_.empty()) return;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->charged_attempts() == 0) continue;
    const JobSpec& spec = job->spec();
    for (const WindowShare& window : calendar_.SharesFor(spec, TierOf(*job))) {
      window_use_[window.id] += spec.need * job->charged_attempts();
    }
  }
}

bool MaintenanceManager::WindowAllows(const Job& job, double tasks) const {
  if (window_use_.empty()) return true;
  const JobSpec& spec = job.spec();
  for (const WindowShare& window : calendar_.SharesFor(spec, TierOf(job))) {
    const auto it = window_use_.find(window.id);
    if (it == window_use_.end()) continue;
    const Resources& used = it->second;
    // Work that exceeds the share may run while no other work of the window
    // does, because otherwise it would wait forever.
    if (used.cpus <= 0 && used.gpus <= 0) continue;
    const Resources wanted = used + spec.need * tasks;
    const Resources allowed = fleet_ * window.capacity_share;
    if (wanted.cpus > allowed.cpus + kEpsilon ||
        (spec.need.gpus > 0 && wanted.gpus > allowed.gpus + kEpsilon)) {
      return false;
    }
  }
  return true;
}

// A command sent directly to a worker's address may be carried out minutes
// later. A heartbeat response that is more than a few seconds late is dropped
// by the worker, whatever delayed it.
bool MaintenanceManager::RequiresHeartbeatResponse(
    const WorkerCommand& command) const {
  if (command.kind != CommandKind::kStart || calendar_.empty()) return false;
  const Job* job = cluster_.FindJob(command.job_id);
  return job != nullptr && calendar_.AppliesTo(job->spec(), TierOf(*job));
}

bool MaintenanceManager::HasWindowedStart(const Machine& machine) const {
  return !calendar_.empty() &&
         std::any_of(machine.queue.begin(), machine.queue.end(),
                     [&](const WorkerCommand& command) {
                       return RequiresHeartbeatResponse(command);
                     });
}

void MaintenanceManager::RemoveDisallowedStarts(Machine& machine, Time now) {
  if (calendar_.empty()) return;
  std::vector<TaskAttemptKey> late;
  for (const WorkerCommand& command : machine.queue) {
    if (!RequiresHeartbeatResponse(command)) continue;
    if (!AdmissionOf(*cluster_.jobs().at(command.job_id), now).may_start()) {
      late.push_back({command.job_id, command.task, command.attempt});
    }
  }
  for (const TaskAttemptKey& key : late) cluster_.RemoveAttempt(machine, key);
}

void MaintenanceManager::ApplyOverrun(Job& job, Time now) {
  const JobSpec& spec = job.spec();
  const double heartbeat = settings_.workers.heartbeat_interval_seconds;
  const std::string tier = TierOf(job);
  Overruns overruns;
  overruns.grace_seconds = spec.save_seconds + heartbeat;
  overruns.stop_running =
      calendar_.OverrunStepFor(spec, tier, overruns.grace_seconds, now) ==
      OverrunStep::kSaveAndStop;
  overruns.withdraw_starting =
      calendar_.OverrunStepFor(spec, tier, 2 * heartbeat, now) !=
      OverrunStep::kNone;
  if (!overruns.stop_running && !overruns.withdraw_starting) return;
  if (spec.kind == JobKind::kGang) {
    StopGang(job, overruns, now);
  } else {
    StopTasks(job, overruns, now);
  }
}

// A gang is stopped as a whole.
void MaintenanceManager::StopGang(Job& job, const Overruns& overruns,
                                  Time now) {
  bool any_runs = false;
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    any_runs |= IsRunningOrSaving(machine->task_attempts.at(key));
  }
  if (any_runs && overruns.stop_running) {
    dispatcher_.StopTasks(job, overruns.grace_seconds, now);
  }
  if (!any_runs && overruns.withdraw_starting) {
    dispatcher_.StopTasks(job, 0, now);
  }
}

void MaintenanceManager::StopTasks(const Job& job, const Overruns& overruns,
                                   Time now) {
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const auto it = machine->task_attempts.find(key);
    if (it == machine->task_attempts.end() || it->second.stopping ||
        !rollout_manager_.DisruptionAllowed(key, job, now)) {
      continue;
    }
    TaskAttempt& attempt = it->second;
    const bool running = IsRunningOrSaving(attempt);
    if (running && overruns.stop_running) {
      dispatcher_.QueueStop(*machine, attempt, overruns.grace_seconds, now);
    }
    if (!running && overruns.withdraw_starting) {
      dispatcher_.QueueStop(*machine, attempt, 0, now);
    }
  }
}

void MaintenanceManager::LogAdmissionChange(const Job& job,
                                            const AdmissionDecision& decision,
                                            Time now) {
  AdmissionBlocker& logged = logged_blockers_[job.id()];
  if (logged == decision.blocker) return;
  logged = decision.blocker;
  if (decision.may_start()) return;
  LogFields fields = {{"job", job.id()}, {"reason", NameOf(decision.blocker)}};
  if (!decision.window.empty()) fields.emplace_back("window", decision.window);
  if (decision.next_start > 0) {
    const double wait_seconds =
        decision.next_start - calendar_.TrueTimeAt(now).earliest;
    fields.emplace_back("next_start_in_s", std::llround(wait_seconds));
    const auto& deadline = job.spec().deadline_seconds;
    if (deadline && now + wait_seconds > job.submitted() + *deadline) {
      fields.emplace_back("misses_deadline", true);
    }
  }
  context_.Log("job waits for a maintenance window", std::move(fields));
}

void MaintenanceManager::LogFreshnessChange(Time now) {
  const CalendarFreshness freshness = calendar_.FreshnessAt(now);
  if (freshness == std::exchange(logged_freshness_, freshness)) return;
  context_.Log(
      "maintenance calendar changed freshness",
      {{"windows", calendar_.size()}, {"freshness", NameOf(freshness)}});
}

void MaintenanceManager::TickCalendar(Time now) {
  calendar_.Tick(now);
  LogFreshnessChange(now);
  std::erase_if(logged_blockers_, [&](const auto& entry) {
    const Job* job = cluster_.FindJob(entry.first);
    return job == nullptr || !job->live();
  });
  if (calendar_.empty()) return;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (!job->live() || !calendar_.AppliesTo(job->spec(), TierOf(*job))) {
      continue;
    }
    if (job->unplaced() > 0) {
      LogAdmissionChange(*job, AdmissionOf(*job, now), now);
    }
    if (job->charged_attempts() > 0) ApplyOverrun(*job, now);
  }
}

void MaintenanceManager::NoteStart(const Job& job) {
  for (auto& [id, used] : window_use_) {
    if (calendar_.WindowAppliesTo(id, job.spec(), TierOf(job)))
      used += job.spec().need;
  }
}

}  // namespace oxbow
