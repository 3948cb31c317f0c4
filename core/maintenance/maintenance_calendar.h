// The maintenance calendar: whether work may start now, by the maintenance
// windows that operators have recorded. Has no clock: it is given readings of
// the wall clock, and treats true time as an interval. Owns the windows that
// are in force.
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

// How far the windows as read from the store can be relied on.
enum class CalendarFreshness : uint8_t {
  kNone,     // no window is in force: nothing is restricted
  kCurrent,  // as the key-value store had them lately
  kStale,    // not confirmed for a while; the last ones read apply
  kTooOld,   // another window may have been recorded meanwhile: work that any
             // window applies to does not start
};

// What may change the freshness.
enum class CalendarEvent : uint8_t {
  kWindowAdded,   // a window is in force
  kNoWindowLeft,  // none is in force any more
  kConfirmed,     // what the key-value store holds has been read
  kTimePassed,
};

// In worker leases. A window has no effect sooner than the notice after it was
// recorded, so a leader that does not know of it has stopped starting work by
// then. A new leader waits for its first confirmation like any other.
inline constexpr double kStaleLeases = 3;
inline constexpr double kTooOldLeases = 6;
inline constexpr double kNoticeLeases = 8;
// A worker drops the response to a heartbeat that is older, s (protocol): a
// start in such a response is carried out no later than this after the
// heartbeat was sent.
inline constexpr double kResponseLifetimeSeconds = 4;

inline constexpr size_t kMaxMaintenanceWindows = 64;
inline constexpr size_t kMaxWindowTimes = 300;  // of one window

// Why work may not start.
enum class AdmissionBlocker : uint8_t {
  kNone,  // it may
  kInPeak,
  kNoOpenWindow,      // none is surely open
  kDoesNotFit,        // it is not expected to end in time
  kWindowFull,        // the window's share of the fleet is in use
  kBeyondKnownTimes,  // later than the last known time of the window
  kCalendarTooOld,    // the calendar can't be relied on any more
  kClockUnknown,      // the time of day has not been read
};

// Whether work may start, and if not, why and until when.
struct AdmissionDecision {
  AdmissionBlocker blocker = AdmissionBlocker::kNone;
  // Id of the window that blocks the start, or in which it starts.
  std::string window;
  double next_start = 0;  // s since 1970; 0: none is known
  double capacity_share = 1;
  bool may_start() const { return blocker == AdmissionBlocker::kNone; }
};

// What is to become of work past the end of the period in which it may start.
enum class OverrunStep : uint8_t {
  kNone,
  kWithdraw,    // what does not run yet is withdrawn: nothing is lost by it
  kSaveAndStop  // that, and what runs is saved and stopped
};

// A window and the share of the fleet that it allows.
struct WindowShare {
  std::string id;
  double capacity_share = 1;
};

// The windows in force and what follows from them. Also used by the
// command-line client, to show what the recorded windows would decide.
class MaintenanceCalendar {
 public:
  // `lease_seconds`: of the workers. `clock_bound_seconds`: how far the wall
  // clock may be off.
  MaintenanceCalendar(double lease_seconds, double clock_bound_seconds)
      : lease_seconds_(lease_seconds),
        clock_bound_seconds_(clock_bound_seconds) {}

  // --- events
  // A window as recorded; one of an older version than the known one is
  // ignored. A record that is missing proves nothing: only WithdrawWindow
  // removes a window.
  void AddWindow(const MaintenanceWindow& window, uint64_t version, Time now);
  void WithdrawWindow(const std::string& id, uint64_t version, Time now);
  // All that the key-value store held at the time `at` has been read.
  void OnConfirmed(Time at, Time now);
  // To be called now and then, so that FreshnessAt follows time.
  void Tick(Time now) { Change(CalendarEvent::kTimePassed, now); }
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
    return WindowsOf(spec, tier) != 0;
  }
  // Whether one task may start now. `run_seconds`: how long it is expected to
  // take, fetch included; estimates are often wrong by half.
  AdmissionDecision Admit(const JobSpec& spec, const std::string& tier,
                          double run_seconds, Time now) const;
  // What is to become of its tasks that are placed, `lead_seconds` before the
  // end of the period in which they could start.
  OverrunStep OverrunStepFor(const JobSpec& spec, const std::string& tier,
                             double lead_seconds, Time now) const;
  // Whether that window applies to the work.
  bool Covers(const std::string& window, const JobSpec& spec,
              const std::string& tier) const;
  // Without the peaks.
  std::vector<std::string> WindowIds() const;
  // Windows, not peaks, that apply to the work.
  std::vector<WindowShare> SharesFor(const JobSpec& spec,
                                     const std::string& tier) const;

 private:
  // A set of windows: a bit for each, in the order of their ids.
  using WindowSet = uint64_t;
  struct RecordedWindow {
    MaintenanceWindow window;
    uint64_t version = 0;
  };

  // The one function for changes of the freshness.
  void Change(CalendarEvent event, Time now);
  CalendarFreshness FreshnessByAge(Time now) const;
  // Those that apply to the work.
  WindowSet WindowsOf(const JobSpec& spec, const std::string& tier) const;
  const StartPlan& PlanOf(WindowSet windows) const;

  double lease_seconds_;
  double clock_bound_seconds_;
  WallReading reading_;
  std::map<std::string, RecordedWindow> windows_;  // by id
  std::map<std::string, uint64_t> withdrawn_;      // versions by id, bounded
  CalendarFreshness freshness_ = CalendarFreshness::kNone;
  Time confirmed_at_ = -1e9;  // never
  // Cache, valid until a window changes.
  mutable std::map<WindowSet, StartPlan> plans_;
};

}  // namespace oxbow
