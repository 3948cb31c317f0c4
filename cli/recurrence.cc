#include "cli/recurrence.h"

#include <date/date.h>
#include <date/tz.h>
#include <libical/ical.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

namespace oxbow::cli {
namespace {

using Local = date::local_seconds;

// Maximum steps of the iterator, including those before the horizon.
constexpr int kMaxSteps = 20'000;

std::optional<Local> ParseLocal(const std::string& text) {
  std::istringstream in(text);
  Local out;
  in >> date::parse("%Y-%m-%dT%H:%M:%S", out);
  // Trailing text, such as a UTC offset, would change the meaning; reject it.
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof()) {
    return std::nullopt;
  }
  return out;
}

icaltimetype ToIcal(Local at) {
  const auto day = date::floor<date::days>(at);
  const date::year_month_day date(day);
  const date::hh_mm_ss time(at - day);
  icaltimetype out = icaltime_null_time();
  out.year = static_cast<int>(date.year());
  out.month = static_cast<int>(static_cast<unsigned>(date.month()));
  out.day = static_cast<int>(static_cast<unsigned>(date.day()));
  out.hour = static_cast<int>(time.hours().count());
  out.minute = static_cast<int>(time.minutes().count());
  out.second = static_cast<int>(time.seconds().count());
  return out;
}

Local FromIcal(const icaltimetype& t) {
  const date::year_month_day date(date::year(t.year),
                                  date::month(static_cast<unsigned>(t.month)),
                                  date::day(static_cast<unsigned>(t.day)));
  return date::local_days(date) + std::chrono::hours(t.hour) +
         std::chrono::minutes(t.minute) + std::chrono::seconds(t.second);
}

double ToUtc(const date::time_zone& zone, Local at, date::choose choice) {
  // A local time that a clock change skips maps to the moment of the change.
  return static_cast<double>(
      zone.to_sys(at, choice).time_since_epoch().count());
}

struct FreeIterator {
  void operator()(icalrecur_iterator* i) const { icalrecur_iterator_free(i); }
};

using Iterator = std::unique_ptr<icalrecur_iterator, FreeIterator>;

// Whether the rule ever matches a day. An hourly rule is checked as a daily
// one, since the library takes twenty times as long to search hour by hour.
bool MayMatch(icalrecurrencetype rule, Local first) {
  if (rule.freq == ICAL_HOURLY_RECURRENCE) {
    rule.freq = ICAL_DAILY_RECURRENCE;
    rule.count = 0;
    rule.interval = 1;
    rule.by_hour[0] = rule.by_minute[0] = rule.by_second[0] =
        rule.by_set_pos[0] = ICAL_RECURRENCE_ARRAY_MAX;
  }
  // The library fails to create an iterator only for some rules that never
  // match.
  const Iterator days(icalrecur_iterator_new(rule, ToIcal(first)));
  return days && !icaltime_is_null_time(icalrecur_iterator_next(days.get()));
}

// The times of one maintenance window, computed once.
class Expansion {
 public:
  Expansion(const Horizon& horizon, MaintenanceWindow* booking)
      : horizon_(horizon), booking_(*booking) {}

  // Returns a one-line error, or an empty string.
  std::string Run();

 private:
  // The interval that begins at that local time. If a clock change makes it
  // ambiguous, a window gets the shorter interval and a peak the longer one.
  UtcInterval Of(Local from) const;
  void Add(Local from);
  std::string Recur(Local first);
  std::string CheckRule(const icalrecurrencetype& rule, Local first) const;
  // Adds the times from the iterator up to the horizon.
  std::string AddAll(icalrecur_iterator* next, Local first);

  const Horizon& horizon_;
  MaintenanceWindow& booking_;
  const date::time_zone* zone_ = nullptr;
  std::set<Local> except_;
  bool past_ = false;  // a time was left out because it is already over
};

std::string Expansion::Run() {
  booking_.times.clear();
  booking_.known_until = 0;
  try {
    zone_ = date::locate_zone(booking_.zone);
  } catch (const std::exception&) {
    return "zone: " + booking_.zone + " is not known here";
  }
  const auto first = ParseLocal(booking_.starts);
  if (!first) {
    return "starts: " + booking_.starts +
           " is not like 2026-12-02T01:00:00, local time";
  }
  for (const std::string& text : booking_.except) {
    const auto at = ParseLocal(text);
    if (!at) return "except: " + text + " is not like 2026-12-02T01:00:00";
    except_.insert(*at);
  }
  if (booking_.rule.empty()) {
    Add(*first);
    return booking_.times.empty() && !past_
               ? "starts: " + booking_.starts + " does not exist in " +
                     booking_.zone
               : std::string();
  }
  return Recur(*first);
}

UtcInterval Expansion::Of(Local from) const {
  const bool window = booking_.kind == WindowKind::kWindow;
  const auto length =
      std::chrono::seconds(static_cast<int64_t>(booking_.length_seconds));
  return {ToUtc(*zone_, from,
                window ? date::choose::latest : date::choose::earliest),
          ToUtc(*zone_, from + length,
                window ? date::choose::earliest : date::choose::latest)};
}

void Expansion::Add(Local from) {
  const UtcInterval t = Of(from);
  if (!(t.from < t.to))
    return;  // entirely within an hour skipped by a clock change
  if (t.to <= horizon_.from) {
    past_ = true;
    return;
  }
  std::vector<UtcInterval>& times = booking_.times;
  if (!times.empty() && t.from <= times.back().to) {
    times.back().to = std::max(times.back().to, t.to);
  } else {
    times.push_back(t);
  }
}

std::string Expansion::CheckRule(const icalrecurrencetype& rule,
                                 Local first) const {
  if (rule.freq == ICAL_NO_RECURRENCE) {
    return "rule: " + booking_.rule + " is no RRULE";
  }
  // A more frequent rule would give millions of times, and the library would
  // search second by second for a time that never comes.
  if (rule.freq == ICAL_SECONDLY_RECURRENCE ||
      rule.freq == ICAL_MINUTELY_RECURRENCE) {
    return "rule: " + booking_.rule + " repeats more often than HOURLY";
  }
  if (!MayMatch(rule, first)) {
    return "rule: " + booking_.rule + " never matches";
  }
  return {};
}

std::string Expansion::Recur(Local first) {
  const icalrecurrencetype rule =
      icalrecurrencetype_from_string(booking_.rule.c_str());
  std::string wrong = CheckRule(rule, first);
  if (!wrong.empty()) return wrong;
  const Iterator next(icalrecur_iterator_new(rule, ToIcal(first)));
  if (!next) return "rule: " + booking_.rule + " can't be followed";
  // If the rule began long ago, the steps up to now are skipped, unless the
  // rule has a COUNT, for which every step must be counted.
  const Local now{std::chrono::seconds(static_cast<int64_t>(horizon_.from))};
  const auto back =
      std::chrono::seconds(static_cast<int64_t>(booking_.length_seconds)) +
      date::days(2);
  if (rule.count == 0 && first < now - back) {
    icalrecur_iterator_set_start(next.get(), ToIcal(now - back));
  }
  return AddAll(next.get(), first);
}

std::string Expansion::AddAll(icalrecur_iterator* next, Local first) {
  const double end = horizon_.from + horizon_.length;
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    const icaltimetype t = icalrecur_iterator_next(next);
    if (icaltime_is_null_time(t)) {
      return booking_.times.empty() && !past_
                 ? "rule: " + booking_.rule + " never matches"
                 : std::string();
    }
    const Local at = FromIcal(t);
    if (at < first || except_.contains(at)) continue;
    const double from = Of(at).from;
    std::vector<UtcInterval>& times = booking_.times;
    const bool past_end = from > end && !times.empty();
    const bool touches = !times.empty() && from <= times.back().to;
    if (past_end || (times.size() >= horizon_.most && !touches)) {
      times.back().to = std::min(times.back().to, from);
      booking_.known_until = from;
      return {};
    }
    Add(at);
  }
  return "rule: " + booking_.rule + " does not come to an end within " +
         std::to_string(kMaxSteps) + " steps";
}

}  // namespace

std::string WorkOutTimes(const Horizon& horizon, MaintenanceWindow* booking) {
  return Expansion(horizon, booking).Run();
}

// Exported with C linkage: calendar_command.cc looks it up by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" __attribute__((visibility("default"))) void oxbow_work_out_times(
    const Horizon* horizon, MaintenanceWindow* booking, std::string* wrong) {
  *wrong = WorkOutTimes(*horizon, booking);
}

}  // namespace oxbow::cli
