// Applies the maintenance calendar to the cluster: decides which jobs may start
// now, accounts for the share of the fleet that each window's work uses, and
// withdraws or stops tasks when a window closes. Owns the calendar.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/leader_context/leader_context.h"
#include "core/maintenance/maintenance_calendar.h"

namespace oxbow {

class CommandDispatcher;
class RolloutManager;

// One per leadership. The scheduler asks it before it starts a task.
class MaintenanceManager {
 public:
  // The modules that the manager calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
  };
  MaintenanceManager(LeaderContext& context, const Modules& modules);

  // The name of the job's tier; empty if no tiers are in force.
  std::string TierOf(const Job& job) const;
  // Whether the times of the windows allow the job to start; WindowAllows
  // checks their capacity.
  AdmissionDecision AdmissionOf(const Job& job, Time now) const;
  // Whether the times of the windows allow the job to start at `now`.
  bool MayStartNow(const Job& job, Time now) const {
    return calendar_.empty() || AdmissionOf(job, now).may_start();
  }
  // Counts a task of the job that was started in this scheduling pass.
  void NoteStart(const Job& job);
  const MaintenanceCalendar& calendar() const { return calendar_; }
  // Counts the resources that the work of each window uses. To be called at the
  // beginning of each scheduling pass.
  void CountWindowUse();
  // Whether every window that applies to the job has capacity for `tasks` more
  // of its tasks.
  bool WindowAllows(const Job& job, double tasks) const;
  // Whether the command is a start that a window applies to. Such starts are
  // sent only in heartbeat responses, because these are never carried out late.
  bool RequiresHeartbeatResponse(const WorkerCommand& command) const;
  // Whether the machine's command queue holds such a start.
  bool HasWindowedStart(const Machine& machine) const;
  // Removes queued starts that no window allows any more. They have not been
  // sent yet.
  void RemoveDisallowedStarts(Machine& machine, Time now);
  void TickCalendar(Time now);
  // Takes a reading of the clocks. Called before every other event, with a
  // reading made after the arrival of the message that causes the event.
  // `confirmed`: when all live records were last read.
  void OnClockReading(const WallReading& reading, Time confirmed, Time now);
  // A window has been recorded; see MaintenanceCalendar::AddWindow for
  // versions.
  void OnMaintenanceWindow(const MaintenanceWindow& window, uint64_t version,
                           Time now);
  void OnMaintenanceWindowWithdrawn(const std::string& id, uint64_t version,
                                    Time now);
  // Whether the calendar blocks the job, why and until when; nothing if there
  // is no such job.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const;

 private:
  // What must be done about a job's tasks when its window closes.
  struct Overruns {
    bool stop_running = false;       // stop running tasks after saving
    bool withdraw_starting = false;  // withdraw tasks that do not run yet
    double grace_seconds = 0;        // time for a running task to save
  };

  // Withdraws or stops tasks of the job when its window closes. Withdrawing a
  // task that does not run yet loses no work. A running task is stopped only if
  // its window says so and it can save, as when its machine is drained.
  void ApplyOverrun(Job& job, Time now);
  void StopGang(Job& job, const Overruns& overruns, Time now);
  void StopTasks(const Job& job, const Overruns& overruns, Time now);
  void LogAdmissionChange(const Job& job, const AdmissionDecision& decision,
                          Time now);
  void LogFreshnessChange(Time now);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  RunTimeEstimates& run_times_;
  CommandDispatcher& dispatcher_;
  RolloutManager& rollout_manager_;
  MaintenanceCalendar calendar_;
  CalendarFreshness logged_freshness_ = CalendarFreshness::kNone;
  // Resources in use by the id of the window, in this scheduling pass.
  std::map<std::string, Resources> window_use_;
  // Total resources of all machines that are up, in this scheduling pass.
  Resources fleet_;
  std::map<std::string, AdmissionBlocker> logged_blockers_;  // by job
};

}  // namespace oxbow
