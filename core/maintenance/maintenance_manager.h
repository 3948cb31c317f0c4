// Applies the maintenance calendar to the cluster: which jobs may start now,
// how much of the fleet each window's work uses, and what is withdrawn or
// stopped when a window closes. Owns the calendar.
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
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
  };
  MaintenanceManager(LeaderContext& context, const Modules& modules);

  // The name of the job's tier; empty where no tiers are in force.
  std::string TierOf(const Job& job) const;
  // By the times of the windows alone; see WindowAllows for their capacity.
  AdmissionDecision AdmissionOf(const Job& job, Time now) const;
  // Whether no window blocks the job at this moment.
  bool MayStartNow(const Job& job, Time now) const {
    return calendar_.empty() || AdmissionOf(job, now).may_start();
  }
  // A task of the job has been started in this scheduling pass.
  void NoteStart(const Job& job);
  const MaintenanceCalendar& calendar() const { return calendar_; }
  // Counts what the work of each window uses; at the beginning of a pass.
  void CountWindowUse();
  // Whether every window that applies to the job has capacity for so many of
  // its tasks.
  bool WindowAllows(const Job& job, double tasks) const;
  // Whether the command is a start that a window applies to. Such starts go in
  // the response to a heartbeat only: these are never carried out late.
  bool RequiresHeartbeatResponse(const WorkerCommand& command) const;
  bool HasWindowedStart(const Machine& machine) const;
  // Removes queued starts that are not allowed any more; they were never sent.
  void RemoveDisallowedStarts(Machine& machine, Time now);
  void TickCalendar(Time now);
  // A reading of the clocks, made before every other event and later than the
  // message that it brings; `confirmed`: when all live records had last been
  // read.
  void OnClockReading(const WallReading& reading, Time confirmed, Time now);
  // The record of a window; see MaintenanceCalendar for versions.
  void OnMaintenanceWindow(const MaintenanceWindow& window, uint64_t version,
                           Time now);
  void OnMaintenanceWindowWithdrawn(const std::string& id, uint64_t version,
                                    Time now);
  // Whether the calendar blocks the job, why and until when; nothing if the job
  // is not known.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const;

 private:
  // What becomes of a job's tasks when its window closes.
  struct Overruns {
    bool stop_running = false;       // after saving
    bool withdraw_starting = false;  // those that do not run yet
    double grace_seconds = 0;        // to save
  };

  // A task that does not run yet loses nothing when it is withdrawn. One that
  // runs is stopped only if its window says so and it can save, as if its
  // machine were drained.
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
  std::map<std::string, Resources> window_use_;  // by window, in this pass
  Resources fleet_;                              // in this pass
  std::map<std::string, AdmissionBlocker> logged_blockers_;  // by job
};

}  // namespace oxbow
