// The maintenance calendar: decides by the maintenance windows that operators
// have recorded whether work may start now. It reads no clock: it is given
// readings of the wall clock and treats true time as an interval. Owns the
// windows that are in force.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/maintenance/maintenance_window.h"
#include "core/maintenance/start_plan.h"
#include "core/maintenance/true_time.h"
#include "core/model/settings.h"

namespace oxbow {

// How recently the windows have been confirmed by a read of the store.
enum class CalendarFreshness : uint8_t {
  kNone,     // no window is in force: nothing is restricted
  kCurrent,  // confirmed recently
  kStale,    // not confirmed for a while; the windows read last still apply
  kTooOld,   // a window may have been recorded that is unknown here: work that
             // any known window applies to does not start
};

// Events that may change the freshness.
enum class CalendarEvent : uint8_t {
  kWindowAdded,   // a window is in force
  kNoWindowLeft,  // none is in force any more
  kConfirmed,     // all records of the key-value store have been read
  kTimePassed,
};

// In worker leases. A window takes effect no sooner than the notice time after
// it was recorded. The notice time is longer than the age at which a calendar
// is too old, so a leader that has not read the window has stopped starting
// work by then. A new leader also waits for its first confirmation.
inline constexpr double kStaleLeases = 3;
inline constexpr double kTooOldLeases = 6;
inline constexpr double kNoticeLeases = 8;
// By the worker protocol, a worker drops a heartbeat response that arrives
// later than this, in seconds, after it sent the heartbeat. A start in a
// heartbeat response is therefore never carried out later.
inline constexpr double kResponseLifetimeSeconds = 4;

inline constexpr size_t kMaxMaintenanceWindows = 64;
inline constexpr size_t kMaxWindowTimes = 300;  // of one window

// Why work may not start.
enum class AdmissionBlocker : uint8_t {
  kNone,              // the work may start
  kInPeak,            // a peak has begun or may have begun
  kNoOpenWindow,      // no window is certain to be open
  kDoesNotFit,        // the work is not expected to end in time
  kWindowFull,        // the window's share of the fleet is in use
  kBeyondKnownTimes,  // the window's times are not known so far ahead
  kCalendarTooOld,    // see CalendarFreshness::kTooOld
  kClockUnknown,      // the time of day has not been read
};

// Whether work may start, and if not, why and until when.
struct AdmissionDecision {
  AdmissionBlocker blocker = AdmissionBlocker::kNone;
  // Id of the window that blocks the start, or of the one in which the work may
  // start.
  std::string window;
  double next_start = 0;  // s since 1970; 0: none is known
  double capacity_share = 1;
  bool may_start() const { return blocker == AdmissionBlocker::kNone; }
};

// What must be done about placed tasks past the end of the period in which they
// could start.
enum class OverrunStep : uint8_t {
  kNone,
  kWithdraw,    // withdraw tasks that do not run yet: no work is lost by that
  kSaveAndStop  // as kWithdraw, and save and stop tasks that run
};

// A window and the share of the fleet that its work may use.
struct WindowShare {
  std::string id;
  double capacity_share = 1;
};

// The windows in force and the decisions that follow from them. The
// command-line client also uses this class, to show what the recorded windows
// would decide.
class MaintenanceCalendar {
 public:
  // `lease_seconds`: of the workers. `clock_bound_seconds`: how far the wall
  // clock may be off.
  MaintenanceCalendar(double lease_seconds, double clock_bound_seconds)
      : lease_seconds_(lease_seconds),
        clock_bound_seconds_(clock_bound_seconds) {}

  // --- events
  // Adds or replaces a window as recorded. Versions that are not newer than the
  // known one are ignored. A missing record proves nothing: only WithdrawWindow
  // removes a window.
  void AddWindow(const MaintenanceWindow& window, uint64_t version, Time now);
  void WithdrawWindow(const std::string& id, uint64_t version, Time now);
  // All records that the key-value store held at the time `at` have been read.
  void OnConfirmed(Time at, Time now);
  // To be called regularly, so that the freshness follows the passing of time.
  void Tick(Time now) { UpdateFreshness(CalendarEvent::kTimePassed, now); }
  void OnWallReading(const WallReading& reading) { reading_ = reading; }

  // --- questions
  CalendarFreshness FreshnessAt(Time now) const;
  bool empty() const { return windows_.empty(); }
  size_t size() const { return windows_.size(); }
  TrueTime TrueTimeAt(Time now) const {
    return reading_.At(now, clock_bound_seconds_);
  }
  // Whether any window applies to the work.
  bool AppliesTo(const JobSpec& spec, const std::string& tier) const {
    return ApplicableWindows(spec, tier) != 0;
  }
  // Whether one task may start now. `run_seconds`: its expected duration,
  // including the image fetch; estimates are often wrong by half.
  AdmissionDecision Admit(const JobSpec& spec, const std::string& tier,
                          double run_seconds, Time now) const;
  // What must be done about the job's placed tasks, from `lead_seconds` before
  // the end of the period in which they could start.
  OverrunStep OverrunStepFor(const JobSpec& spec, const std::string& tier,
                             double lead_seconds, Time now) const;
  // Whether the window with the id `window` applies to the work.
  bool WindowAppliesTo(const std::string& window, const JobSpec& spec,
                       const std::string& tier) const;
  // Ids of the windows, without the peaks.
  std::vector<std::string> WindowIds() const;
  // The windows, without the peaks, that apply to the work.
  std::vector<WindowShare> SharesFor(const JobSpec& spec,
                                     const std::string& tier) const;

 private:
  // A set of windows: one bit for each window, in the order of their ids.
  using WindowSet = uint64_t;
  struct RecordedWindow {
    MaintenanceWindow window;
    uint64_t version = 0;
  };

  // Updates `freshness_` for the event; all changes of it go through here.
  void UpdateFreshness(CalendarEvent event, Time now);
  CalendarFreshness FreshnessByAge(Time now) const;
  // The windows that apply to the work.
  WindowSet ApplicableWindows(const JobSpec& spec,
                              const std::string& tier) const;
  const StartPlan& PlanOf(WindowSet windows) const;

  double lease_seconds_;
  double clock_bound_seconds_;
  WallReading reading_;
  std::map<std::string, RecordedWindow> windows_;  // by id
  // Versions of withdrawn windows by id; at most kMaxWithdrawn entries.
  std::map<std::string, uint64_t> withdrawn_;
  CalendarFreshness freshness_ = CalendarFreshness::kNone;
  Time confirmed_at_ = -1e9;  // never
  // Cache of PlanOf; cleared when a window changes.
  mutable std::map<WindowSet, StartPlan> plans_;
};

}  // namespace oxbow
