// The calendar on the leader: what waits for its window, and how its starts
// go out.

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/leader/leader.h"

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

void Leader::OnClocks(const WallReading& reading, Time confirmed, Time now) {
  calendar_.ReadWall(reading);
  calendar_.Confirmed(confirmed, now);
}

void Leader::OnBooking(const MaintenanceWindow& booking, uint64_t version,
                       Time now) {
  calendar_.Take(booking, version, now);
  dirty_ = true;
}

void Leader::OnBookingWithdrawn(const std::string& id, uint64_t version,
                                Time now) {
  calendar_.Withdraw(id, version, now);
  dirty_ = true;
}

// Empty where no tiers are in force.
std::string Leader::TierOf(const Job& job) const {
  if (!tiers_.active() || job.tier >= tiers_.set().size()) return {};
  return tiers_.set().at(job.tier).name;
}

AdmissionDecision Leader::AdmissionOf(const Job& job, Time now) const {
  const JobSpec& spec = job.spec();
  // What is fetched first comes on top of the run.
  const double fetch =
      types_.empty()
          ? 0
          : spec.image_gb /
                std::max(1e-3, types_.begin()->second.fetch_gb_per_second);
  return calendar_.MayStart(spec, TierOf(job), RunSeconds(spec) + fetch, now);
}

std::optional<AdmissionDecision> Leader::CalendarAdmission(
    const std::string& id, Time now) const {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  if (calendar_.empty() || !it->second->live()) return AdmissionDecision{};
  AdmissionDecision verdict = AdmissionOf(*it->second, now);
  if (verdict.may() && it->second->placed() == 0 &&
      !WindowAllows(*it->second, 1)) {
    verdict.hold = HeldBy::kNoRoom;
  }
  return verdict;
}

void Leader::CountWindows() {
  in_window_.clear();
  fleet_ = {};
  if (calendar_.empty()) return;
  for (const auto& machine : machines_) {
    if (machine->state() == MachineState::kUp) fleet_ += machine->total();
  }
  for (const std::string& id : calendar_.AllWindows()) in_window_[id];
  if (in_window_.empty()) return;
  for (const auto& [id, job] : jobs_) {
    if (job->holding() == 0) continue;
    const JobSpec& spec = job->spec();
    for (const auto& [booking, share] : calendar_.Windows(spec, TierOf(*job))) {
      in_window_[booking] += spec.need * job->holding();
    }
  }
}

// What is too large for the room goes when nothing else of the window is
// there: refused it would wait for ever.
bool Leader::WindowAllows(const Job& job, double tasks) const {
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
bool Leader::SentInHeartbeatResponse(const WorkerCommand& command) const {
  if (command.kind != CommandKind::kStart || calendar_.empty()) return false;
  const auto it = jobs_.find(command.job_id);
  return it != jobs_.end() &&
         calendar_.Names(it->second->spec(), TierOf(*it->second));
}

bool Leader::HasCalendarStart(const Machine& machine) const {
  return !calendar_.empty() &&
         std::any_of(machine.queue.begin(), machine.queue.end(),
                     [&](const WorkerCommand& command) {
                       return SentInHeartbeatResponse(command);
                     });
}

void Leader::DropLateStarts(Machine& machine, Time now) {
  if (calendar_.empty()) return;
  std::vector<TaskAttemptKey> late;
  for (const WorkerCommand& command : machine.queue) {
    if (!SentInHeartbeatResponse(command)) continue;
    if (!AdmissionOf(*jobs_.at(command.job_id), now).may()) {
      late.push_back({command.job_id, command.task, command.attempt});
    }
  }
  for (const TaskAttemptKey& key : late) RemoveAttempt(machine, key);
}

// What does not run yet loses nothing when it goes; what runs is stopped only
// if its booking says so and it can save, as if its machine were drained. A
// gang is stopped whole.
void Leader::WithdrawQueuedStarts(Job& job, Time now) {
  const JobSpec& spec = job.spec();
  const double heartbeat = settings_.workers.heartbeat_interval_seconds;
  const std::string tier = TierOf(job);
  const double grace = spec.save_seconds + heartbeat;
  const bool save =
      calendar_.Caught(spec, tier, grace, now) == OverrunStep::kSaveAndStop;
  const bool back =
      calendar_.Caught(spec, tier, 2 * heartbeat, now) != OverrunStep::kNone;
  if (!save && !back) return;
  const auto task_attempts = AttemptsOf(job);
  const auto runs = [](const TaskAttempt& attempt) {
    return attempt.phase == TaskPhase::kRunning ||
           attempt.phase == TaskPhase::kSaving;
  };
  bool any_runs = false;
  for (const auto& [machine, key] : task_attempts) {
    any_runs |= runs(machine->task_attempts.at(key));
  }
  if (spec.kind == JobKind::kGang) {
    if (any_runs ? save : back) StopTasks(job, any_runs ? grace : 0, now);
    return;
  }
  for (const auto& [machine, key] : task_attempts) {
    const auto it = machine->task_attempts.find(key);
    if (it == machine->task_attempts.end() || it->second.stopping ||
        !DisruptionAllowed(key, job, now)) {
      continue;
    }
    const bool running = runs(it->second);
    if (running ? save : back) {
      QueueStop(*machine, it->second, running ? grace : 0, now);
    }
  }
}

void Leader::LogAdmissionChange(const Job& job,
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
  Log(std::move(text));
}

void Leader::TickCalendar(Time now) {
  calendar_.Age(now);
  const CalendarFreshness standing = calendar_.standing(now);
  if (standing != std::exchange(logged_freshness_, standing)) {
    Log("calendar: " + std::to_string(calendar_.size()) + " bookings, " +
        (standing == CalendarFreshness::kNone      ? "none in force"
         : standing == CalendarFreshness::kCurrent ? "current"
         : standing == CalendarFreshness::kStale
             ? "not read lately, the last known hold"
             : "too old, no work that they name starts"));
  }
  std::erase_if(held_, [&](const auto& held) {
    const auto it = jobs_.find(held.first);
    return it == jobs_.end() || !it->second->live();
  });
  if (calendar_.empty()) return;
  for (auto& [id, job] : jobs_) {
    if (!job->live() || !calendar_.Names(job->spec(), TierOf(*job))) continue;
    if (job->unplaced() > 0)
      LogAdmissionChange(*job, AdmissionOf(*job, now), now);
    if (job->holding() > 0) WithdrawQueuedStarts(*job, now);
  }
}

}  // namespace oxbow
