// Whether work may start now, by what operators have booked. Knows true time
// as an interval, and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/maintenance/maintenance_window.h"
#include "core/maintenance/true_time.h"
#include "core/model/settings.h"

namespace oxbow {

// How far what is known of the bookings can be relied on.
enum class CalendarFreshness : uint8_t {
  kNone,     // no booking is known: nothing is restricted
  kCurrent,  // as the key-value store had it lately
  kStale,    // not confirmed for a while; the last known hold
  kTooOld,   // another may have been made meanwhile: work that any booking
             // names does not start
};
inline constexpr size_t kCalendarStandings = 4;

enum class CalendarEvent : uint8_t {
  kBooked,     // there is a booking
  kCancelled,  // there is none any more
  kConfirmed,  // what the key-value store holds has been read
  kAged,       // time has gone by since
};

// In worker leases. A booking binds nobody sooner than the notice after it was
// recorded, so a leader that does not know of it has stopped starting by then.
// A new leader waits for its first confirmation like any other.
inline constexpr double kStaleLeases = 3;
inline constexpr double kTooOldLeases = 6;
inline constexpr double kNoticeLeases = 8;
// A worker drops the answer to a heartbeat that is older, s (protocol): a start
// in such an answer is carried out no later than this after the heartbeat was
// sent.
inline constexpr double kAnswerLifetimeSeconds = 4;

inline constexpr size_t kMostBookings = 64;
inline constexpr size_t kMostTimes = 300;  // of one booking

enum class HeldBy : uint8_t {
  kFree,
  kInPeak,
  kNoWindow,      // none is surely open
  kWontFit,       // it is not expected to end in time
  kNoRoom,        // the window's room is in use
  kHorizon,       // past what is known of the booking's times
  kTooOld,        // the calendar can't be relied on any more
  kClockUnknown,  // the time of day has not been read
};

struct AdmissionDecision {
  HeldBy hold = HeldBy::kFree;
  std::string booking;  // that holds it back, or whose window it starts in
  double until = 0;     // true time of the next chance, s; 0: none is known
  double room_share = 1;
  bool may() const { return hold == HeldBy::kFree; }
};

// What is to become of work that is there.
enum class OverrunStep : uint8_t {
  kNone,        // let it be
  kTakeBack,    // what does not run yet, goes: nothing is lost by it
  kSaveAndStop  // that, and what runs is saved and stopped
};

class MaintenanceCalendar {
 public:
  // `lease_s`: of the workers. `bound_s`: how far the wall clock may be off.
  MaintenanceCalendar(double lease_seconds, double bound_seconds)
      : lease_seconds_(lease_seconds), bound_seconds_(bound_seconds) {}

  // --- events
  // A booking as recorded; an older version than the known one is no news.
  // Nothing else removes one: a record that is missing proves nothing.
  void Take(const MaintenanceWindow& booking, uint64_t version, Time now);
  void Withdraw(const std::string& id, uint64_t version, Time now);
  // All that the key-value store held at this moment has been read.
  void Confirmed(Time at, Time now) {
    confirmed_ = std::max(confirmed_, at);
    Change(CalendarEvent::kConfirmed, now);
  }
  void Age(Time now) { Change(CalendarEvent::kAged, now); }
  void ReadWall(const WallReading& reading) { reading_ = reading; }

  // --- questions
  CalendarFreshness standing(Time now) const {
    return standing_ == CalendarFreshness::kNone ? standing_ : ByAge(now);
  }
  bool empty() const { return bookings_.empty(); }
  size_t size() const { return bookings_.size(); }
  TrueTime At(Time now) const { return reading_.At(now, bound_seconds_); }
  // Whether any booking names the work.
  bool Names(const JobSpec& spec, const std::string& tier) const {
    return MaskOf(spec, tier) != 0;
  }
  // `run_s`: how long one task is expected to take from its start, fetch
  // included, estimates being wrong by half.
  AdmissionDecision MayStart(const JobSpec& spec, const std::string& tier,
                             double run_seconds, Time now) const;
  // What is to become of its tasks that are there, so long before the end of
  // their chance, s.
  OverrunStep Caught(const JobSpec& spec, const std::string& tier,
                     double lead_seconds, Time now) const;
  bool InWindow(const std::string& booking, const JobSpec& spec,
                const std::string& tier) const;
  std::vector<std::string> AllWindows() const;
  // Windows that name the work, with the share of the fleet that each allows.
  std::vector<std::pair<std::string, double>> Windows(
      const JobSpec& spec, const std::string& tier) const;

 private:
  using Mask = uint64_t;
  struct Known {
    MaintenanceWindow booking;
    uint64_t version = 0;
  };
  // A stretch in which work of one mask may start.
  struct Chance {
    double from;
    double to;
    // Whose window opened it, and who ends it; null: nobody, the horizon.
    const MaintenanceWindow* opens = nullptr;
    const MaintenanceWindow* closes = nullptr;
  };
  struct Plan {
    std::vector<Chance> chances;  // ascending
    double longest = 0;
    const MaintenanceWindow* horizon =
        nullptr;  // beyond whose known times it ends
  };

  // The one function for a change of the standing.
  void Change(CalendarEvent event, Time now);
  CalendarFreshness ByAge(Time now) const;
  Mask MaskOf(const JobSpec& spec, const std::string& tier) const;
  const Plan& PlanOf(Mask mask) const;
  Plan Build(Mask mask) const;
  static bool Saves(const JobSpec& spec) { return spec.checkpoint_seconds > 0; }
  // What must be left of a chance for the work to start in it, s.
  static double Needs(const JobSpec& spec, double run_seconds,
                      const Chance& chance);
  static double NextChance(const Plan& plan, const JobSpec& spec,
                           double run_seconds, double after);

  double lease_seconds_;
  double bound_seconds_;
  WallReading reading_;
  std::map<std::string, Known> bookings_;
  std::map<std::string, uint64_t> withdrawn_;  // versions, bounded
  CalendarFreshness standing_ = CalendarFreshness::kNone;
  Time confirmed_ = -1e9;
  mutable std::map<Mask, Plan> plans_;  // worked out, until a booking changes
};

}  // namespace oxbow
