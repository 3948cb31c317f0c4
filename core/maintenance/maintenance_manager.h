// The maintenance calendar applied to the cluster: which jobs may start now,
// and what is withdrawn or stopped when a window closes. Owns the calendar.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/leader_context/leader_context.h"
#include "core/maintenance/maintenance_calendar.h"

namespace oxbow {

class CommandDispatcher;
class RolloutManager;

class MaintenanceManager {
 public:
  // The modules that it calls.
  struct Modules {
    CommandDispatcher& dispatcher;
    RolloutManager& rollout_manager;
  };
  MaintenanceManager(LeaderContext& context, const Modules& modules);

  std::string TierOf(const Job& job) const;
  AdmissionDecision AdmissionOf(const Job& job, Time now) const;
  // Whether no window holds the job back at this moment.
  bool MayStartNow(const Job& job, Time now) const {
    return calendar_.empty() || AdmissionOf(job, now).may();
  }
  // A task of the job has been started in this pass.
  void NoteStart(const Job& job);
  const MaintenanceCalendar& calendar() const { return calendar_; }
  // What the windows hold at the beginning of a pass.
  void CountWindows();
  // Room in every window that names the job, for so many of its tasks.
  bool WindowAllows(const Job& job, double tasks) const;
  // A start that goes in the answer to a heartbeat only: those are never late.
  bool SentInHeartbeatResponse(const WorkerCommand& order) const;
  bool HasCalendarStart(const Machine& machine) const;
  // Starts decided before, which may not be any more; they were never sent.
  void DropLateStarts(Machine& machine, Time now);
  void TickCalendar(Time now);
  // A look at the clocks, before every other event and later than the message
  // it brings, and when all live records had last been read.
  void OnClocks(const WallReading& reading, Time confirmed, Time now);
  void OnBooking(const MaintenanceWindow& booking, uint64_t version, Time now);
  void OnBookingWithdrawn(const std::string& id, uint64_t version, Time now);
  // Whether the calendar holds the job back, why and until when; nothing if the
  // job is not known.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const;

 private:
  void WithdrawQueuedStarts(Job& job, Time now);
  void LogAdmissionChange(const Job& job, const AdmissionDecision& verdict,
                          Time now);

  LeaderContext& context_;
  const Settings& settings_;
  ClusterState& cluster_;
  TierPolicy& tiers_;
  RunTimeEstimates& run_times_;
  CommandDispatcher& dispatcher_;
  RolloutManager& rollout_manager_;
  MaintenanceCalendar calendar_;
  CalendarFreshness logged_freshness_ = CalendarFreshness::kNone;
  std::map<std::string, Resources> in_window_;  // by window, in this pass
  Resources fleet_;                             // in this pass
  std::map<std::string, HeldBy> held_;          // by job: as logged
};

}  // namespace oxbow
