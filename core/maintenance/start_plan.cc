#include "core/maintenance/start_plan.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace oxbow {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
// Factor on estimated run times, which are often wrong by half, sometimes by
// more.
constexpr double kEstimateSlack = 1.5;
// A period of at least this share of the longest counts as one of the longest.
constexpr double kLongShare = 0.9;
// Work that can save may start if this many of its save intervals are left.
constexpr double kMinSaves = 2;

// The periods in which the windows are open, ascending by their beginnings. If
// there are no windows, all time is open.
std::vector<StartPeriod> OpenPeriods(
    const std::vector<const MaintenanceWindow*>& windows) {
  if (windows.empty()) return {{-kForever, kForever, nullptr, nullptr}};
  std::vector<StartPeriod> open;
  for (const MaintenanceWindow* window : windows) {
    for (const UtcInterval& time : window->times) {
      open.push_back({time.from, time.to, window, window});
    }
  }
  std::sort(open.begin(), open.end(),
            [](const StartPeriod& first, const StartPeriod& second) {
              return first.from < second.from;
            });
  return open;
}

// Merges periods that overlap or touch. `periods` must be ascending by their
// beginnings.
std::vector<StartPeriod> Merge(const std::vector<StartPeriod>& periods) {
  std::vector<StartPeriod> merged;
  for (const StartPeriod& period : periods) {
    if (merged.empty() || period.from > merged.back().to) {
      merged.push_back(period);
      continue;
    }
    StartPeriod& last = merged.back();
    if (period.to > last.to) {
      last.to = period.to;
      last.closed_by = period.closed_by;
    }
  }
  return merged;
}

// Removes the time `closed` of the peak from the periods.
std::vector<StartPeriod> SubtractInterval(
    const std::vector<StartPeriod>& periods, const UtcInterval& closed,
    const MaintenanceWindow* peak) {
  std::vector<StartPeriod> rest;
  for (const StartPeriod& period : periods) {
    if (closed.to <= period.from || closed.from >= period.to) {
      rest.push_back(period);
      continue;
    }
    if (period.from < closed.from) {
      rest.push_back({period.from, closed.from, period.opened_by, peak});
    }
    if (closed.to < period.to) {
      rest.push_back(
          {closed.to, period.to, period.opened_by, period.closed_by});
    }
  }
  return rest;
}

void SubtractPeak(StartPlan& plan, const MaintenanceWindow* peak) {
  std::vector<UtcInterval> closed_times = peak->times;
  if (peak->known_until > 0) {
    closed_times.push_back({peak->known_until, kForever});
    plan.horizon = peak;
  }
  for (const UtcInterval& closed : closed_times) {
    plan.periods = SubtractInterval(plan.periods, closed, peak);
  }
}

}  // namespace

StartPlan BuildStartPlan(const std::vector<const MaintenanceWindow*>& windows) {
  std::vector<const MaintenanceWindow*> opening;
  std::vector<const MaintenanceWindow*> peaks;
  for (const MaintenanceWindow* window : windows) {
    (window->kind == WindowKind::kWindow ? opening : peaks).push_back(window);
  }
  StartPlan plan;
  plan.periods = Merge(OpenPeriods(opening));
  for (const MaintenanceWindow* window : opening) {
    if (window->known_until > 0) plan.horizon = window;
  }
  for (const MaintenanceWindow* peak : peaks) SubtractPeak(plan, peak);
  for (const StartPeriod& period : plan.periods) {
    // The period without a beginning does not tell how long later periods are.
    if (period.from == -kForever) continue;
    plan.longest_seconds =
        std::max(plan.longest_seconds, period.to - period.from);
  }
  return plan;
}

double SecondsNeeded(const JobSpec& spec, double run_seconds,
                     const StartPeriod& period) {
  if (period.closed_by == nullptr) return 0;
  const double whole_run = kEstimateSlack * run_seconds;
  switch (period.closed_by->overrun) {
    case Overrun::kRunOn:
      return 0;
    case Overrun::kSaveAndStop:
      if (!CanSave(spec)) return whole_run;
      return std::min(
          whole_run, kMinSaves * (spec.checkpoint_seconds + spec.save_seconds));
    case Overrun::kHoldBack:
      return whole_run;
  }
  return 0;
}

const StartPeriod* StartPlan::LatestAt(double time) const {
  const auto next = std::upper_bound(
      periods.begin(), periods.end(), time,
      [](double at, const StartPeriod& period) { return at < period.from; });
  return next == periods.begin() ? nullptr : &*std::prev(next);
}

bool StartPlan::IsLongestFor(double needed_seconds,
                             const StartPeriod& period) const {
  return needed_seconds > longest_seconds &&
         period.to - period.from >= kLongShare * longest_seconds;
}

double StartPlan::NextStart(const JobSpec& spec, double run_seconds,
                            double time) const {
  for (const StartPeriod& period : periods) {
    if (period.from <= time) continue;
    const double needed = SecondsNeeded(spec, run_seconds, period);
    if (needed <= period.to - period.from || IsLongestFor(needed, period)) {
      return period.from;
    }
  }
  return 0;
}

}  // namespace oxbow
