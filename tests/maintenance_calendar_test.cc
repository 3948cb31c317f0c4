// The calendar: times out of rules, what may be booked, and what may start.

#include "core/maintenance/maintenance_calendar.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "cli/recurrence.h"
#include "core/maintenance/window_validation.h"
#include "wire/calendar_json.h"

namespace oxbow::test {
namespace {

constexpr double kDay = 86400;
constexpr double kHour = 3600;
// 2026-03-01T00:00:00Z
constexpr double kMarch = 1772323200;

MaintenanceWindow Rule(WindowKind kind, const std::string& zone,
                       const std::string& starts, double length,
                       const std::string& rule) {
  MaintenanceWindow b;
  b.id = "b";
  b.kind = kind;
  b.zone = zone;
  b.starts = starts;
  b.length_seconds = length;
  b.rule = rule;
  return b;
}

std::string Expand(MaintenanceWindow& b, double from = kMarch,
                   double length = 300 * kDay, size_t most = 300) {
  return cli::WorkOutTimes({from, length, most}, &b);
}

TEST(Recurrence, DaysOfTwentyThreeAndTwentyFiveHours) {
  // Berlin: 29 March 2026 has 23 hours, 25 October has 25.
  MaintenanceWindow b = Rule(WindowKind::kWindow, "Europe/Berlin",
                             "2026-03-28T00:00:00", kDay, "FREQ=DAILY;COUNT=3");
  ASSERT_EQ(Expand(b), "");
  // They touch, so they are one: 71 hours.
  ASSERT_EQ(b.times.size(), 1U);
  EXPECT_EQ(b.times[0].length(), 71 * kHour);
  b = Rule(WindowKind::kPeak, "Europe/Berlin", "2026-10-24T22:00:00", 8 * kHour,
           "FREQ=DAILY;COUNT=2");
  ASSERT_EQ(Expand(b), "");
  ASSERT_EQ(b.times.size(), 2U);
  EXPECT_EQ(b.times[0].length(), 9 * kHour);
  EXPECT_EQ(b.times[1].length(), 8 * kHour);
  EXPECT_EQ(b.known_until, 0);
}

TEST(Recurrence, MissingAndDoubledHour) {
  // 02:00 to 03:00 is missing on 29 March: nothing is left of the window.
  MaintenanceWindow b =
      Rule(WindowKind::kWindow, "Europe/Berlin", "2026-03-28T02:00:00", kHour,
           "FREQ=DAILY;COUNT=3");
  ASSERT_EQ(Expand(b), "");
  EXPECT_EQ(b.times.size(), 2U);
  // The doubled one on 25 October: a window is the second, a peak is both.
  b = Rule(WindowKind::kWindow, "Europe/Berlin", "2026-10-25T02:00:00", kHour,
           "");
  ASSERT_EQ(Expand(b), "");
  const double second = b.times.at(0).from;
  EXPECT_EQ(b.times[0].length(), kHour);
  b.kind = WindowKind::kPeak;
  ASSERT_EQ(Expand(b), "");
  EXPECT_EQ(b.times.at(0).from, second - kHour);
  EXPECT_EQ(b.times[0].length(), 2 * kHour);
}

TEST(Recurrence, LeapDayIsFoundYearsAhead) {
  MaintenanceWindow b =
      Rule(WindowKind::kWindow, "America/Jamaica", "2024-02-29T01:00:00", kHour,
           "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29");
  ASSERT_EQ(Expand(b), "");
  ASSERT_EQ(b.times.size(), 1U);
  EXPECT_EQ(b.times[0].from, 1835416800);  // 2028-02-29T06:00:00Z
  EXPECT_GT(b.known_until, b.times[0].to + 3 * 365 * kDay);
}

TEST(Recurrence, ExceptionsAreLeftOut) {
  MaintenanceWindow b = Rule(WindowKind::kWindow, "UTC", "2026-03-02T00:00:00",
                             kHour, "FREQ=DAILY;COUNT=4");
  b.except = {"2026-03-03T00:00:00"};
  ASSERT_EQ(Expand(b), "");
  ASSERT_EQ(b.times.size(), 3U);
  EXPECT_EQ(b.times[1].from - b.times[0].from, 2 * kDay);
}

TEST(Recurrence, WhatCannotBeFollowedIsRefusedByName) {
  const auto wrong = [](const std::string& rule) {
    MaintenanceWindow b =
        Rule(WindowKind::kWindow, "UTC", "2026-03-02T00:00:00", kHour, rule);
    return Expand(b);
  };
  EXPECT_NE(wrong("FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30").find("never matches"),
            std::string::npos);
  EXPECT_NE(wrong("FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30").find("never matches"),
            std::string::npos);
  EXPECT_NE(wrong("FREQ=SECONDLY").find("HOURLY"), std::string::npos);
  EXPECT_NE(wrong("nightly").find("no RRULE"), std::string::npos);
  MaintenanceWindow b = Rule(WindowKind::kWindow, "Mars/Olympus",
                             "2026-03-02T00:00:00", kHour, "");
  EXPECT_EQ(Expand(b), "zone: Mars/Olympus is not known here");
  b = Rule(WindowKind::kWindow, "UTC", "2026-03-02T00:00:00+02", kHour, "");
  EXPECT_NE(Expand(b).find("starts"), std::string::npos);
}

TEST(Recurrence, ARuleWithoutEndIsBounded) {
  MaintenanceWindow b = Rule(WindowKind::kPeak, "UTC", "2020-01-01T00:00:00",
                             kHour / 2, "FREQ=HOURLY");
  ASSERT_EQ(Expand(b, kMarch, 4000 * kDay, 300), "");
  EXPECT_EQ(b.times.size(), 300U);
  EXPECT_EQ(b.known_until, b.times.back().from + kHour);
  // One that leaves no gap is one stretch.
  b.length_seconds = kHour;
  ASSERT_EQ(Expand(b, kMarch, 10 * kDay, 300), "");
  ASSERT_EQ(b.times.size(), 1U);
  EXPECT_EQ(b.times[0].to, b.known_until);
  const std::string text = wire::WriteBooking(b);
  MaintenanceWindow again;
  EXPECT_EQ(wire::ReadMaintenanceWindow("b", text, true, &again), "");
}

class CalendarRules : public testing::Test {
 protected:
  static constexpr double kLease = 10;
  static constexpr double kBound = 0.025;

  CalendarRules() : calendar_(kLease, kBound) {
    spec_.id = "job-000001";
    spec_.job_class = "rebuild";
    spec_.team = "vision";
    spec_.tasks = 10;
    spec_.need = {8, 0, 1};
  }
  void Book(const std::string& id, WindowKind kind,
            std::vector<UtcInterval> times,
            Overrun overrun = Overrun::kHoldBack, double known_until = 0) {
    MaintenanceWindow b;
    b.id = id;
    b.kind = kind;
    b.work.cores_above = 64;
    b.overrun = overrun;
    b.times = std::move(times);
    b.known_until = known_until;
    calendar_.AddWindow(b, ++version_, 0);
  }
  // The wall clock shows so much and is right by its bound.
  AdmissionBlocker At(double wall, double run_seconds = 1) {
    calendar_.OnConfirmed(0, 0);
    calendar_.OnWallReading({wall, 0, 0});
    return calendar_.Admit(spec_, "", run_seconds, 0).blocker;
  }

  MaintenanceCalendar calendar_;
  JobSpec spec_;
  uint64_t version_ = 0;
};

TEST_F(CalendarRules, BothEdgesAreGuarded) {
  Book("night", WindowKind::kWindow, {{1000, 2000}});
  EXPECT_EQ(At(1000), AdmissionBlocker::kNoOpenWindow);  // it may be 999.975
  EXPECT_EQ(At(1000.03), AdmissionBlocker::kNone);
  EXPECT_EQ(At(1995, 0), AdmissionBlocker::kNone);
  // An answer that is carried out 4 s later would be past the end.
  EXPECT_EQ(At(1995.98, 0), AdmissionBlocker::kNoOpenWindow);
  EXPECT_EQ(At(2100), AdmissionBlocker::kNoOpenWindow);
}

TEST_F(CalendarRules, TheSteadyClockDriftsSinceTheLook) {
  Book("noon", WindowKind::kPeak, {{5000, 6000}});
  calendar_.OnConfirmed(3990, 3990);
  calendar_.OnWallReading({1002.5, 0, 0});
  // 3,990 s later by a clock that may be a thousandth off.
  EXPECT_EQ(calendar_.Admit(spec_, "", 0, 3990).blocker,
            AdmissionBlocker::kInPeak);
  calendar_.OnWallReading({4992.5, 3990, 3990});
  EXPECT_EQ(calendar_.Admit(spec_, "", 0, 3990).blocker,
            AdmissionBlocker::kNone);
  // A stall between the looks at the two clocks.
  calendar_.OnWallReading({4992.5, 3980, 3990});
  EXPECT_EQ(calendar_.Admit(spec_, "", 0, 3990).blocker,
            AdmissionBlocker::kInPeak);
}

TEST_F(CalendarRules, OnlyWhatIsNamedIsHeld) {
  Book("night", WindowKind::kWindow, {{1000, 2000}});
  EXPECT_EQ(At(500), AdmissionBlocker::kNoOpenWindow);
  EXPECT_EQ(calendar_.Admit(spec_, "", 1, 0).next_start, 1000);
  spec_.tasks = 8;  // 64 cores, not above
  EXPECT_EQ(At(500), AdmissionBlocker::kNone);
  spec_.tasks = 10;
  spec_.kind = JobKind::kService;
  EXPECT_EQ(At(500), AdmissionBlocker::kNone);
  spec_.kind = JobKind::kArray;
  spec_.priority = Priority::kProduction;
  EXPECT_EQ(At(500), AdmissionBlocker::kNone);
}

TEST_F(CalendarRules, WhatWontFitWaitsForAChanceThatIsLongEnough) {
  Book("night", WindowKind::kWindow, {{1000, 1100}, {3000, 3400}});
  EXPECT_EQ(At(1010, 50), AdmissionBlocker::kNone);  // 75 s with its slack
  EXPECT_EQ(At(1010, 100),
            AdmissionBlocker::kDoesNotFit);  // the next one is longer
  EXPECT_EQ(calendar_.Admit(spec_, "", 100, 0).next_start, 3000);
  // Too long for any: in the first part of the longest.
  EXPECT_EQ(At(1010, 1000), AdmissionBlocker::kDoesNotFit);
  EXPECT_EQ(At(3010, 1000), AdmissionBlocker::kNone);
  EXPECT_EQ(At(3150, 1000), AdmissionBlocker::kDoesNotFit);
}

TEST_F(CalendarRules, OverrunsGoAsTheBookingSays) {
  Book("noon", WindowKind::kPeak, {{1000, 2000}}, Overrun::kRunOn);
  EXPECT_EQ(At(900, 500), AdmissionBlocker::kNone);
  Book("noon", WindowKind::kPeak, {{1000, 2000}}, Overrun::kSaveAndStop);
  EXPECT_EQ(At(900, 500), AdmissionBlocker::kDoesNotFit);  // it can't save
  spec_.checkpoint_seconds = 10;
  EXPECT_EQ(At(900, 500), AdmissionBlocker::kNone);
  EXPECT_EQ(At(1001), AdmissionBlocker::kInPeak);
  EXPECT_EQ(calendar_.OverrunStepFor(spec_, "", 0, 0),
            OverrunStep::kSaveAndStop);
  spec_.checkpoint_seconds = 0;
  EXPECT_EQ(calendar_.OverrunStepFor(spec_, "", 0, 0), OverrunStep::kWithdraw);
  calendar_.OnWallReading({900, 0, 0});
  EXPECT_EQ(calendar_.OverrunStepFor(spec_, "", 0, 0), OverrunStep::kNone);
}

TEST_F(CalendarRules, PastTheKnownTimesNothingIsSurelyAllowed) {
  Book("noon", WindowKind::kPeak, {{1000, 2000}}, Overrun::kRunOn, 5000);
  EXPECT_EQ(At(4000), AdmissionBlocker::kNone);
  EXPECT_EQ(At(5001), AdmissionBlocker::kBeyondKnownTimes);
}

TEST_F(CalendarRules, AnOldCalendarStartsNothingThatItNames) {
  using enum CalendarFreshness;
  EXPECT_EQ(calendar_.FreshnessAt(1e6), kNone);
  Book("noon", WindowKind::kPeak, {{1e6, 2e6}});
  EXPECT_EQ(At(1000), AdmissionBlocker::kNone);
  EXPECT_EQ(calendar_.FreshnessAt(kStaleLeases * kLease), kCurrent);
  EXPECT_EQ(calendar_.FreshnessAt(kTooOldLeases * kLease), kStale);
  const double later = kTooOldLeases * kLease + 1;
  EXPECT_EQ(calendar_.FreshnessAt(later), kTooOld);
  EXPECT_EQ(calendar_.Admit(spec_, "", 1, later).blocker,
            AdmissionBlocker::kCalendarTooOld);
  spec_.tasks = 1;
  EXPECT_EQ(calendar_.Admit(spec_, "", 1, later).blocker,
            AdmissionBlocker::kNone);
}

TEST_F(CalendarRules, AnOlderVersionIsNoNewsAndACancelledOneStaysGone) {
  Book("noon", WindowKind::kPeak, {{1000, 2000}});
  MaintenanceWindow old;
  old.id = "noon";
  calendar_.AddWindow(old, 0, 0);
  EXPECT_EQ(At(1500), AdmissionBlocker::kInPeak);
  calendar_.WithdrawWindow("noon", 2, 0);
  EXPECT_EQ(At(1500), AdmissionBlocker::kNone);
  version_ = 1;
  Book("noon", WindowKind::kPeak, {{1000, 2000}});  // version 2 again
  EXPECT_TRUE(calendar_.empty());
}

class BookingChecks : public testing::Test {
 protected:
  BookingChecks() {
    settings_.workers.lease_seconds = 10;
    settings_.clock_error_ms = 25;
    Objective objective;
    objective.job_class = "rebuild";
    settings_.objectives.push_back(objective);
    settings_.teams.push_back({"vision", 0, 200, 0, 16});
    context_.settings = &settings_;
    context_.wall = 1000;
    context_.fleet = {1000, 100, 1000};
    booking_.id = "night";
    booking_.work.classes = {"rebuild"};
    booking_.capacity_share = 0.5;
    booking_.length_seconds = 1000;
    booking_.times = {{2000, 3000}};
  }
  std::string Why() {
    const std::optional<WindowError> error =
        FindWindowError(booking_, context_);
    return error ? Render(*error) : "";
  }
  void ExpectsWord(const std::string& word) {
    EXPECT_NE(Why().find(word), std::string::npos) << Why();
  }

  Settings settings_;
  WindowValidationContext context_;
  MaintenanceWindow booking_;
};

TEST_F(BookingChecks, NamesTheValueThatIsWrong) {
  EXPECT_EQ(Why(), "");
  MaintenanceWindow other = booking_;
  other.id = "other";
  other.capacity_share = 0.6;
  other.times = {{2500, 2600}};
  context_.others = {other};
  ExpectsWord("together with other");
  other.kind = WindowKind::kPeak;
  other.times = {{1900, 3100}};
  context_.others = {other};
  ExpectsWord("inside the peak other");
  context_.others.clear();
  context_.wall = 3500;
  ExpectsWord("in the past");
  context_.wall = 1930;
  ExpectsWord("notice of 80.05 s");
  context_.replaces = booking_;  // its time was known before
  EXPECT_EQ(Why(), "");
  context_.wall = 1000;
  booking_.work.classes = {"rebuilt"};
  ExpectsWord("class rebuilt is not known");
  booking_.work.classes.clear();
  ExpectsWord("names nothing");
  booking_.work.teams = {"vision"};
  ExpectsWord("over the teams' limit of 200");
  booking_.capacity_share = 0.2;
  EXPECT_EQ(Why(), "");
  booking_.work.cores_above = 200;
  ExpectsWord("not below the teams' limit of 200");
  booking_.work.teams = {"visions"};
  ExpectsWord("team visions is not known");
}

TEST(CalendarJson, ReadsBackWhatItWrote) {
  MaintenanceWindow b = Rule(WindowKind::kPeak, "Europe/Berlin",
                             "2026-03-28T08:00:00", kHour, "FREQ=DAILY");
  b.work.teams = {"vision"};
  b.work.accelerators_above = 8;
  b.overrun = Overrun::kSaveAndStop;
  ASSERT_EQ(Expand(b), "");
  MaintenanceWindow again;
  ASSERT_EQ(
      wire::ReadMaintenanceWindow("b", wire::WriteBooking(b), true, &again),
      "");
  EXPECT_EQ(wire::WriteBooking(again), wire::WriteBooking(b));
  EXPECT_EQ(again.times.size(), b.times.size());
  EXPECT_EQ(wire::ReadMaintenanceWindow("a b", "{}", true, &again),
            "the id a b");
  EXPECT_EQ(
      wire::ReadMaintenanceWindow("b", "{\"kind\":\"hour\"}", true, &again),
      "field kind");
}

}  // namespace
}  // namespace oxbow::test
