// Tests of the maintenance calendar: the expansion of recurrence rules, the
// validation of windows, and the decisions whether work may start.

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
  MaintenanceWindow window;
  window.id = "b";
  window.kind = kind;
  window.zone = zone;
  window.starts = starts;
  window.length_seconds = length;
  window.rule = rule;
  return window;
}

std::string Expand(MaintenanceWindow& window, double from = kMarch,
                   double length = 300 * kDay, size_t most = 300) {
  return cli::WorkOutTimes({from, length, most}, &window);
}

TEST(Recurrence, DaysOfTwentyThreeAndTwentyFiveHours) {
  // Berlin: 29 March 2026 has 23 hours, 25 October has 25.
  MaintenanceWindow window =
      Rule(WindowKind::kWindow, "Europe/Berlin", "2026-03-28T00:00:00", kDay,
           "FREQ=DAILY;COUNT=3");
  ASSERT_EQ(Expand(window), "");
  // The three days touch, so they become one interval of 71 hours.
  ASSERT_EQ(window.times.size(), 1U);
  EXPECT_EQ(window.times[0].length(), 71 * kHour);
  window = Rule(WindowKind::kPeak, "Europe/Berlin", "2026-10-24T22:00:00",
                8 * kHour, "FREQ=DAILY;COUNT=2");
  ASSERT_EQ(Expand(window), "");
  ASSERT_EQ(window.times.size(), 2U);
  EXPECT_EQ(window.times[0].length(), 9 * kHour);
  EXPECT_EQ(window.times[1].length(), 8 * kHour);
  EXPECT_EQ(window.known_until, 0);
}

TEST(Recurrence, MissingAndDoubledHour) {
  // 02:00 to 03:00 does not exist on 29 March, so that day has no window.
  MaintenanceWindow window =
      Rule(WindowKind::kWindow, "Europe/Berlin", "2026-03-28T02:00:00", kHour,
           "FREQ=DAILY;COUNT=3");
  ASSERT_EQ(Expand(window), "");
  EXPECT_EQ(window.times.size(), 2U);
  // That hour occurs twice on 25 October: a window takes the second one only, a
  // peak takes both.
  window = Rule(WindowKind::kWindow, "Europe/Berlin", "2026-10-25T02:00:00",
                kHour, "");
  ASSERT_EQ(Expand(window), "");
  const double second = window.times.at(0).from;
  EXPECT_EQ(window.times[0].length(), kHour);
  window.kind = WindowKind::kPeak;
  ASSERT_EQ(Expand(window), "");
  EXPECT_EQ(window.times.at(0).from, second - kHour);
  EXPECT_EQ(window.times[0].length(), 2 * kHour);
}

TEST(Recurrence, LeapDayIsFoundYearsAhead) {
  MaintenanceWindow window =
      Rule(WindowKind::kWindow, "America/Jamaica", "2024-02-29T01:00:00", kHour,
           "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29");
  ASSERT_EQ(Expand(window), "");
  ASSERT_EQ(window.times.size(), 1U);
  EXPECT_EQ(window.times[0].from, 1835416800);  // 2028-02-29T06:00:00Z
  EXPECT_GT(window.known_until, window.times[0].to + 3 * 365 * kDay);
}

TEST(Recurrence, ExceptionsAreLeftOut) {
  MaintenanceWindow window =
      Rule(WindowKind::kWindow, "UTC", "2026-03-02T00:00:00", kHour,
           "FREQ=DAILY;COUNT=4");
  window.except = {"2026-03-03T00:00:00"};
  ASSERT_EQ(Expand(window), "");
  ASSERT_EQ(window.times.size(), 3U);
  EXPECT_EQ(window.times[1].from - window.times[0].from, 2 * kDay);
}

TEST(Recurrence, WhatCannotBeFollowedIsRefusedByName) {
  const auto wrong = [](const std::string& rule) {
    MaintenanceWindow window =
        Rule(WindowKind::kWindow, "UTC", "2026-03-02T00:00:00", kHour, rule);
    return Expand(window);
  };
  EXPECT_NE(wrong("FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30").find("never matches"),
            std::string::npos);
  EXPECT_NE(wrong("FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30").find("never matches"),
            std::string::npos);
  EXPECT_NE(wrong("FREQ=SECONDLY").find("HOURLY"), std::string::npos);
  EXPECT_NE(wrong("nightly").find("no RRULE"), std::string::npos);
  MaintenanceWindow window = Rule(WindowKind::kWindow, "Mars/Olympus",
                                  "2026-03-02T00:00:00", kHour, "");
  EXPECT_EQ(Expand(window), "zone: Mars/Olympus is not known here");
  window =
      Rule(WindowKind::kWindow, "UTC", "2026-03-02T00:00:00+02", kHour, "");
  EXPECT_NE(Expand(window).find("starts"), std::string::npos);
}

TEST(Recurrence, ARuleWithoutEndIsBounded) {
  MaintenanceWindow window =
      Rule(WindowKind::kPeak, "UTC", "2020-01-01T00:00:00", kHour / 2,
           "FREQ=HOURLY");
  ASSERT_EQ(Expand(window, kMarch, 4000 * kDay, 300), "");
  EXPECT_EQ(window.times.size(), 300U);
  EXPECT_EQ(window.known_until, window.times.back().from + kHour);
  // A rule whose times leave no gaps becomes one interval.
  window.length_seconds = kHour;
  ASSERT_EQ(Expand(window, kMarch, 10 * kDay, 300), "");
  ASSERT_EQ(window.times.size(), 1U);
  EXPECT_EQ(window.times[0].to, window.known_until);
  const std::string text = wire::WriteBooking(window);
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
  void RecordWindow(const std::string& id, WindowKind kind,
                    std::vector<UtcInterval> times,
                    Overrun overrun = Overrun::kHoldBack,
                    double known_until = 0) {
    MaintenanceWindow window;
    window.id = id;
    window.kind = kind;
    window.work.cores_above = 64;
    window.overrun = overrun;
    window.times = std::move(times);
    window.known_until = known_until;
    calendar_.AddWindow(window, ++version_, 0);
  }
  // Decides at a reading `wall` of the wall clock, which may be wrong by
  // kBound.
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
  RecordWindow("night", WindowKind::kWindow, {{1000, 2000}});
  EXPECT_EQ(At(1000), AdmissionBlocker::kNoOpenWindow);  // it may be 999.975
  EXPECT_EQ(At(1000.03), AdmissionBlocker::kNone);
  EXPECT_EQ(At(1995, 0), AdmissionBlocker::kNone);
  // A start that is carried out 4 s later would be after the end.
  EXPECT_EQ(At(1995.98, 0), AdmissionBlocker::kNoOpenWindow);
  EXPECT_EQ(At(2100), AdmissionBlocker::kNoOpenWindow);
}

TEST_F(CalendarRules, TheSteadyClockDriftsSinceTheLook) {
  RecordWindow("noon", WindowKind::kPeak, {{5000, 6000}});
  calendar_.OnConfirmed(3990, 3990);
  calendar_.OnWallReading({1002.5, 0, 0});
  // 3,990 s later by a steady clock that may drift by a thousandth.
  EXPECT_EQ(calendar_.Admit(spec_, "", 0, 3990).blocker,
            AdmissionBlocker::kInPeak);
  calendar_.OnWallReading({4992.5, 3990, 3990});
  EXPECT_EQ(calendar_.Admit(spec_, "", 0, 3990).blocker,
            AdmissionBlocker::kNone);
  // The process stalled between the readings of the two clocks.
  calendar_.OnWallReading({4992.5, 3980, 3990});
  EXPECT_EQ(calendar_.Admit(spec_, "", 0, 3990).blocker,
            AdmissionBlocker::kInPeak);
}

TEST_F(CalendarRules, OnlyWhatIsNamedIsHeld) {
  RecordWindow("night", WindowKind::kWindow, {{1000, 2000}});
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
  RecordWindow("night", WindowKind::kWindow, {{1000, 1100}, {3000, 3400}});
  EXPECT_EQ(At(1010, 50), AdmissionBlocker::kNone);  // 75 s with its slack
  EXPECT_EQ(At(1010, 100),
            AdmissionBlocker::kDoesNotFit);  // the next one is longer
  EXPECT_EQ(calendar_.Admit(spec_, "", 100, 0).next_start, 3000);
  // Work too long for any period starts in the first part of the longest.
  EXPECT_EQ(At(1010, 1000), AdmissionBlocker::kDoesNotFit);
  EXPECT_EQ(At(3010, 1000), AdmissionBlocker::kNone);
  EXPECT_EQ(At(3150, 1000), AdmissionBlocker::kDoesNotFit);
}

TEST_F(CalendarRules, OverrunsGoAsTheBookingSays) {
  RecordWindow("noon", WindowKind::kPeak, {{1000, 2000}}, Overrun::kRunOn);
  EXPECT_EQ(At(900, 500), AdmissionBlocker::kNone);
  RecordWindow("noon", WindowKind::kPeak, {{1000, 2000}},
               Overrun::kSaveAndStop);
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
  RecordWindow("noon", WindowKind::kPeak, {{1000, 2000}}, Overrun::kRunOn,
               5000);
  EXPECT_EQ(At(4000), AdmissionBlocker::kNone);
  EXPECT_EQ(At(5001), AdmissionBlocker::kBeyondKnownTimes);
}

TEST_F(CalendarRules, AnOldCalendarStartsNothingThatItNames) {
  using enum CalendarFreshness;
  EXPECT_EQ(calendar_.FreshnessAt(1e6), kNone);
  RecordWindow("noon", WindowKind::kPeak, {{1e6, 2e6}});
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
  RecordWindow("noon", WindowKind::kPeak, {{1000, 2000}});
  MaintenanceWindow old;
  old.id = "noon";
  calendar_.AddWindow(old, 0, 0);
  EXPECT_EQ(At(1500), AdmissionBlocker::kInPeak);
  calendar_.WithdrawWindow("noon", 2, 0);
  EXPECT_EQ(At(1500), AdmissionBlocker::kNone);
  version_ = 1;
  RecordWindow("noon", WindowKind::kPeak, {{1000, 2000}});  // version 2 again
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
    window_.id = "night";
    window_.work.classes = {"rebuild"};
    window_.capacity_share = 0.5;
    window_.length_seconds = 1000;
    window_.times = {{2000, 3000}};
  }
  std::string ErrorText() {
    const std::optional<WindowError> error = FindWindowError(window_, context_);
    return error ? Render(*error) : "";
  }
  void ExpectErrorContains(const std::string& word) {
    EXPECT_NE(ErrorText().find(word), std::string::npos) << ErrorText();
  }

  Settings settings_;
  WindowValidationContext context_;
  MaintenanceWindow window_;
};

TEST_F(BookingChecks, NamesTheValueThatIsWrong) {
  EXPECT_EQ(ErrorText(), "");
  MaintenanceWindow other = window_;
  other.id = "other";
  other.capacity_share = 0.6;
  other.times = {{2500, 2600}};
  context_.others = {other};
  ExpectErrorContains("together with other");
  other.kind = WindowKind::kPeak;
  other.times = {{1900, 3100}};
  context_.others = {other};
  ExpectErrorContains("inside the peak other");
  context_.others.clear();
  context_.wall = 3500;
  ExpectErrorContains("in the past");
  context_.wall = 1930;
  ExpectErrorContains("notice of 80.05 s");
  context_.replaces = window_;  // its time was known before
  EXPECT_EQ(ErrorText(), "");
  context_.wall = 1000;
  window_.work.classes = {"rebuilt"};
  ExpectErrorContains("class rebuilt is not known");
  window_.work.classes.clear();
  ExpectErrorContains("names nothing");
  window_.work.teams = {"vision"};
  ExpectErrorContains("over the teams' limit of 200");
  window_.capacity_share = 0.2;
  EXPECT_EQ(ErrorText(), "");
  window_.work.cores_above = 200;
  ExpectErrorContains("not below the teams' limit of 200");
  window_.work.teams = {"visions"};
  ExpectErrorContains("team visions is not known");
}

TEST(CalendarJson, ReadsBackWhatItWrote) {
  MaintenanceWindow window = Rule(WindowKind::kPeak, "Europe/Berlin",
                                  "2026-03-28T08:00:00", kHour, "FREQ=DAILY");
  window.work.teams = {"vision"};
  window.work.accelerators_above = 8;
  window.overrun = Overrun::kSaveAndStop;
  ASSERT_EQ(Expand(window), "");
  MaintenanceWindow again;
  ASSERT_EQ(wire::ReadMaintenanceWindow("b", wire::WriteBooking(window), true,
                                        &again),
            "");
  EXPECT_EQ(wire::WriteBooking(again), wire::WriteBooking(window));
  EXPECT_EQ(again.times.size(), window.times.size());
  EXPECT_EQ(wire::ReadMaintenanceWindow("a b", "{}", true, &again),
            "the id a b");
  EXPECT_EQ(
      wire::ReadMaintenanceWindow("b", "{\"kind\":\"hour\"}", true, &again),
      "field kind");
}

}  // namespace
}  // namespace oxbow::test
