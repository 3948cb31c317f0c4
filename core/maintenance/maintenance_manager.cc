#include "core/maintenance/maintenance_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/rollout/rollout_manager.h"

namespace oxbow {
namespace {

std::string WordOf(HeldBy hold) {
  switch (hold) {
    case HeldBy::kFree:
      return "may start";
    case HeldBy::kInPeak:
      return "a peak";
    case HeldBy::kNoWindow:
      return "no window is open";
    case HeldBy::kWontFit:
      return "it would not end in time";
    case HeldBy::kNoRoom:
      return "the window's room is in use";
    case HeldBy::kHorizon:
      return "the booking's times are not known so far ahead";
    case HeldBy::kTooOld:
      return "the calendar has not been read for too long";
    case HeldBy::kClockUnknown:
      return "the time of day is not known";
  }
  return {};
}

}  // namespace


MaintenanceManager::MaintenanceManager(LeaderContext& context, const Modules& modules) : context_(context), settings_(context.settings), cluster_(context.cluster), tiers_(context.tiers), run_times_(context.run_times), dispatcher_(modules.dispatcher), rollout_manager_(modules.rollout_manager), calendar_(context.settings.workers.lease_seconds, context.settings.clock_off_ms / 1000) {}

void MaintenanceManager::OnClocks(const WallReading& reading, Time confirmed, Time now) {
  calendar_.ReadWall(reading);
  calendar_.Confirmed(confirmed, now);
}

void MaintenanceManager::OnBooking(const MaintenanceWindow& booking, uint64_t version,
                       Time now) {
  calendar_.Take(booking, version, now);
  cluster_.MarkChanged();
}

void MaintenanceManager::OnBookingWithdrawn(const std::string& id, uint64_t version,
                                Time now) {
  calendar_.Withdraw(id, version, now);
  cluster_.MarkChanged();
}

// Empty where no tiers are in force.
std::string MaintenanceManager::TierOf(const Job& job) const {
  if (!tiers_.active() || job.tier >= tiers_.set().size()) return {};
  return tiers_.set().at(job.tier).name;
}

AdmissionDecision MaintenanceManager::AdmissionOf(const Job& job, Time now) const {
  const JobSpec& spec = job.spec();
  // What is fetched first comes on top of the run.
  const double fetch =
      cluster_.types().empty()
          ? 0
          : spec.image_gb /
                std::max(1e-3,
                         cluster_.types().begin()->second.fetch_gb_per_second);
  return calendar_.MayStart(spec, TierOf(job), run_times_.RunSeconds(spec) + fetch, now);
}

std::optional<AdmissionDecision> MaintenanceManager::CalendarAdmission(
    const std::string& id, Time now) const {
  const auto it = cluster_.jobs().find(id);
  if (it == cluster_.jobs().end()) return std::nullopt;
  if (calendar_.empty() || !it->second->live()) return AdmissionDecision{};
  AdmissionDecision verdict = AdmissionOf(*it->second, now);
  if (verdict.may() && it->second->placed() == 0 &&
      !WindowAllows(*it->second, 1)) {
    verdict.hold = HeldBy::kNoRoom;
  }
  return verdict;
}

void MaintenanceManager::CountWindows() {
  in_window_.clear();
  fleet_ = {};
  if (calendar_.empty()) return;
  for (const auto& machine : cluster_.machines()) {
    if (machine->state() == MachineState::kUp) fleet_ += machine->total();
  }
  for (const std::string& id : calendar_.AllWindows()) in_window_[id];
  if (in_window_.empty()) return;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->holding() == 0) continue;
    const JobSpec& spec = job->spec();
    for (const auto& [booking, share] : calendar_.Windows(spec, TierOf(*job))) {
      in_window_[booking] += spec.need * job->holding();
    }
  }
}

// What is too large for the room goes when nothing else of the window is
// there: refused it would wait for ever.
bool MaintenanceManager::WindowAllows(const Job& job, double tasks) const {
  if (in_window_.empty()) return true;
  const JobSpec& spec = job.spec();
  for (const auto& [booking, share] : calendar_.Windows(spec, TierOf(job))) {
    const auto it = in_window_.find(booking);
    if (it == in_window_.end()) continue;
    const Resources& used = it->second;
    if (used.cpus <= 0 && used.gpus <= 0) continue;
    const Resources wanted = used + spec.need * tasks;
    const Resources room = fleet_ * share;
    if (wanted.cpus > room.cpus + 1e-6 ||
        (spec.need.gpus > 0 && wanted.gpus > room.gpus + 1e-6)) {
      return false;
    }
  }
  return true;
}

// A command sent to a worker's address may be carried out minutes later. The
// worker drops the answer to a heartbeat after 4 s, whatever held it up.
bool MaintenanceManager::SentInHeartbeatResponse(const WorkerCommand& command) const {
  if (command.kind != CommandKind::kStart || calendar_.empty()) return false;
  const auto it = cluster_.jobs().find(command.job_id);
  return it != cluster_.jobs().end() &&
         calendar_.Names(it->second->spec(), TierOf(*it->second));
}

bool MaintenanceManager::HasCalendarStart(const Machine& machine) const {
  return !calendar_.empty() &&
         std::any_of(machine.queue.begin(), machine.queue.end(),
                     [&](const WorkerCommand& command) {
                       return SentInHeartbeatResponse(command);
                     });
}

void MaintenanceManager::DropLateStarts(Machine& machine, Time now) {
  if (calendar_.empty()) return;
  std::vector<TaskAttemptKey> late;
  for (const WorkerCommand& command : machine.queue) {
    if (!SentInHeartbeatResponse(command)) continue;
    if (!AdmissionOf(*cluster_.jobs().at(command.job_id), now).may()) {
      late.push_back({command.job_id, command.task, command.attempt});
    }
  }
  for (const TaskAttemptKey& key : late) cluster_.RemoveAttempt(machine, key);
}

// What does not run yet loses nothing when it goes; what runs is stopped only
// if its booking says so and it can save, as if its machine were drained. A
// gang is stopped whole.
void MaintenanceManager::WithdrawQueuedStarts(Job& job, Time now) {
  const JobSpec& spec = job.spec();
  const double heartbeat = settings_.workers.heartbeat_interval_seconds;
  const std::string tier = TierOf(job);
  const double grace = spec.save_seconds + heartbeat;
  const bool save =
      calendar_.Caught(spec, tier, grace, now) == OverrunStep::kSaveAndStop;
  const bool back =
      calendar_.Caught(spec, tier, 2 * heartbeat, now) != OverrunStep::kNone;
  if (!save && !back) return;
  const auto task_attempts = cluster_.AttemptsOf(job);
  const auto runs = [](const TaskAttempt& attempt) {
    return attempt.phase == TaskPhase::kRunning ||
           attempt.phase == TaskPhase::kSaving;
  };
  bool any_runs = false;
  for (const auto& [machine, key] : task_attempts) {
    any_runs |= runs(machine->task_attempts.at(key));
  }
  if (spec.kind == JobKind::kGang) {
    if (any_runs ? save : back) dispatcher_.StopTasks(job, any_runs ? grace : 0, now);
    return;
  }
  for (const auto& [machine, key] : task_attempts) {
    const auto it = machine->task_attempts.find(key);
    if (it == machine->task_attempts.end() || it->second.stopping ||
        !rollout_manager_.DisruptionAllowed(key, job, now)) {
      continue;
    }
    const bool running = runs(it->second);
    if (running ? save : back) {
      dispatcher_.QueueStop(*machine, it->second, running ? grace : 0, now);
    }
  }
}

void MaintenanceManager::LogAdmissionChange(const Job& job,
                                const AdmissionDecision& verdict, Time now) {
  HeldBy& told = held_[job.id()];
  if (told == verdict.hold) return;
  told = verdict.hold;
  if (verdict.may()) return;
  std::string text =
      "calendar: " + job.id() + " waits, " + WordOf(verdict.hold);
  if (!verdict.booking.empty()) text += ", " + verdict.booking;
  if (verdict.until > 0) {
    const double in = verdict.until - calendar_.At(now).earliest;
    text += ", next chance in " + std::to_string(std::llround(in)) + " s";
    const auto& due = job.spec().deadline_seconds;
    if (due && now + in > job.submitted() + *due) {
      text += ", after its deadline";
    }
  } else {
    text += ", no chance is known";
  }
  context_.Log(std::move(text));
}

void MaintenanceManager::TickCalendar(Time now) {
  calendar_.Age(now);
  const CalendarFreshness standing = calendar_.standing(now);
  if (standing != std::exchange(logged_freshness_, standing)) {
    context_.Log("calendar: " + std::to_string(calendar_.size()) + " bookings, " +
        (standing == CalendarFreshness::kNone      ? "none in force"
         : standing == CalendarFreshness::kCurrent ? "current"
         : standing == CalendarFreshness::kStale
             ? "not read lately, the last known hold"
             : "too old, no work that they name starts"));
  }
  std::erase_if(held_, [&](const auto& held) {
    const auto it = cluster_.jobs().find(held.first);
    return it == cluster_.jobs().end() || !it->second->live();
  });
  if (calendar_.empty()) return;
  for (auto& [id, job] : cluster_.jobs()) {
    if (!job->live() || !calendar_.Names(job->spec(), TierOf(*job))) continue;
    if (job->unplaced() > 0)
      LogAdmissionChange(*job, AdmissionOf(*job, now), now);
    if (job->holding() > 0) WithdrawQueuedStarts(*job, now);
  }
}

void MaintenanceManager::NoteStart(const Job& job) {
  for (auto& [id, used] : in_window_) {
    if (calendar_.InWindow(id, job.spec(), TierOf(job))) used += job.spec().need;
  }
}

}  // namespace oxbow
