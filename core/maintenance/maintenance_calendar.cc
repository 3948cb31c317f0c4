#include "core/maintenance/maintenance_calendar.h"

#include <algorithm>

namespace oxbow {
namespace {

// Work that fits into no period may start in this first part of one of the
// longest periods, because otherwise it would wait forever.
constexpr double kFirstPartFraction = 0.25;
// Limits the memory for versions of withdrawn windows.
constexpr size_t kMaxWithdrawn = 1024;
// Limits the cache of start plans, of which there is one for each set of
// windows that apply to some work. There are usually few such sets.
constexpr size_t kMaxPlans = 256;

// Whether the list contains the name; an empty list matches every name.
bool EmptyOrContains(const std::vector<std::string>& names,
                     const std::string& name) {
  return names.empty() ||
         std::find(names.begin(), names.end(), name) != names.end();
}

// Sets the reason why nothing may start now. `latest` is the last period that
// has begun, or null if none has.
void BlockOutsidePeriods(const StartPlan& plan, const StartPeriod* latest,
                         const TrueTime& time, AdmissionDecision& decision) {
  const bool none_follows =
      plan.periods.empty() || latest == &plan.periods.back();
  if (none_follows && plan.horizon != nullptr &&
      time.latest >= plan.horizon->known_until) {
    decision.blocker = AdmissionBlocker::kBeyondKnownTimes;
    decision.window = plan.horizon->id;
    return;
  }
  decision.blocker = AdmissionBlocker::kNoOpenWindow;
  if (latest == nullptr || latest->closed_by == nullptr) return;
  decision.window = latest->closed_by->id;
  if (latest->closed_by->kind == WindowKind::kPeak) {
    decision.blocker = AdmissionBlocker::kInPeak;
  }
}

void AdmitInPeriod(const StartPlan& plan, const StartPeriod& period,
                   double needed_seconds, const TrueTime& time,
                   AdmissionDecision& decision) {
  const bool in_first_part = time.latest - period.from <=
                             kFirstPartFraction * (period.to - period.from);
  const bool fits_nowhere =
      plan.longest_seconds > 0 && plan.IsLongestFor(needed_seconds, period);
  if (time.latest + needed_seconds > period.to &&
      !(fits_nowhere && in_first_part)) {
    decision.blocker = AdmissionBlocker::kDoesNotFit;
    decision.window = period.closed_by->id;
    return;
  }
  if (period.opened_by == nullptr) return;
  decision.window = period.opened_by->id;
  decision.capacity_share = period.opened_by->capacity_share;
}

}  // namespace

bool WorkSelector::Matches(const JobSpec& spec, const std::string& tier) const {
  if (spec.kind == JobKind::kService ||
      spec.priority == Priority::kProduction || !HasCriteria()) {
    return false;
  }
  if (!EmptyOrContains(classes, spec.job_class) ||
      !EmptyOrContains(teams, spec.team) || !EmptyOrContains(tiers, tier)) {
    return false;
  }
  if (!HasSizeCriteria()) return true;
  return (cores_above >= 0 && spec.need.cpus * spec.tasks > cores_above) ||
         (accelerators_above >= 0 &&
          spec.need.gpus * spec.tasks > accelerators_above);
}

CalendarFreshness MaintenanceCalendar::FreshnessByAge(Time now) const {
  const double age = now - confirmed_at_;
  if (age <= kStaleLeases * lease_seconds_) return CalendarFreshness::kCurrent;
  if (age <= kTooOldLeases * lease_seconds_) return CalendarFreshness::kStale;
  return CalendarFreshness::kTooOld;
}

CalendarFreshness MaintenanceCalendar::FreshnessAt(Time now) const {
  return freshness_ == CalendarFreshness::kNone ? freshness_
                                                : FreshnessByAge(now);
}

void MaintenanceCalendar::UpdateFreshness(CalendarEvent event, Time now) {
  switch (event) {
    case CalendarEvent::kWindowAdded:
      break;
    case CalendarEvent::kNoWindowLeft:
      freshness_ = CalendarFreshness::kNone;
      return;
    case CalendarEvent::kConfirmed:
    case CalendarEvent::kTimePassed:
      if (freshness_ == CalendarFreshness::kNone) return;
      break;
  }
  freshness_ = FreshnessByAge(now);
}

void MaintenanceCalendar::OnConfirmed(Time at, Time now) {
  confirmed_at_ = std::max(confirmed_at_, at);
  UpdateFreshness(CalendarEvent::kConfirmed, now);
}

void MaintenanceCalendar::AddWindow(const MaintenanceWindow& window,
                                    uint64_t version, Time now) {
  const auto withdrawn = withdrawn_.find(window.id);
  if (withdrawn != withdrawn_.end() && withdrawn->second >= version) return;
  if (!windows_.contains(window.id) &&
      windows_.size() >= kMaxMaintenanceWindows) {
    // WindowSet has no bit for it. Validation rejects such a window when it is
    // recorded.
    return;
  }
  RecordedWindow& recorded = windows_[window.id];
  if (recorded.version >= version && recorded.version > 0) return;
  recorded = {window, version};
  plans_.clear();
  UpdateFreshness(CalendarEvent::kWindowAdded, now);
}

void MaintenanceCalendar::WithdrawWindow(const std::string& id,
                                         uint64_t version, Time now) {
  const auto it = windows_.find(id);
  if (it != windows_.end()) {
    if (it->second.version > version) return;
    windows_.erase(it);
    plans_.clear();
  }
  if (withdrawn_.size() >= kMaxWithdrawn) withdrawn_.erase(withdrawn_.begin());
  uint64_t& withdrawn_version = withdrawn_[id];
  withdrawn_version = std::max(withdrawn_version, version);
  if (windows_.empty()) UpdateFreshness(CalendarEvent::kNoWindowLeft, now);
}

MaintenanceCalendar::WindowSet MaintenanceCalendar::ApplicableWindows(
    const JobSpec& spec, const std::string& tier) const {
  WindowSet windows = 0;
  size_t bit = 0;
  for (const auto& [id, recorded] : windows_) {
    if (recorded.window.work.Matches(spec, tier)) {
      windows |= WindowSet{1} << bit;
    }
    ++bit;
  }
  return windows;
}

const StartPlan& MaintenanceCalendar::PlanOf(WindowSet windows) const {
  const auto it = plans_.find(windows);
  if (it != plans_.end()) return it->second;
  if (plans_.size() >= kMaxPlans) plans_.clear();
  std::vector<const MaintenanceWindow*> applying;
  size_t bit = 0;
  for (const auto& [id, recorded] : windows_) {
    if ((windows >> bit++ & 1) != 0) applying.push_back(&recorded.window);
  }
  return plans_[windows] = BuildStartPlan(applying);
}

AdmissionDecision MaintenanceCalendar::Admit(const JobSpec& spec,
                                             const std::string& tier,
                                             double run_seconds,
                                             Time now) const {
  const WindowSet windows = ApplicableWindows(spec, tier);
  if (windows == 0) return {};
  AdmissionDecision decision;
  if (!reading_.known()) {
    decision.blocker = AdmissionBlocker::kClockUnknown;
    return decision;
  }
  const TrueTime time = TrueTimeAt(now);
  const StartPlan& plan = PlanOf(windows);
  decision.next_start = plan.NextStart(spec, run_seconds, time.earliest);
  // Otherwise a leader that is partitioned from the key-value store could start
  // work according to windows that were changed long ago.
  if (FreshnessAt(now) == CalendarFreshness::kTooOld) {
    decision.blocker = AdmissionBlocker::kCalendarTooOld;
    return decision;
  }
  // Latest true time at which the worker carries out the start: it drops a
  // heartbeat response that arrives later.
  const double carried_out =
      time.latest + kResponseLifetimeSeconds * (1 + kMaxClockDriftRate);
  const StartPeriod* period = plan.LatestAt(time.earliest);
  if (period == nullptr || carried_out >= period->to) {
    BlockOutsidePeriods(plan, period, time, decision);
  } else {
    AdmitInPeriod(plan, *period, SecondsNeeded(spec, run_seconds, *period),
                  time, decision);
  }
  return decision;
}

OverrunStep MaintenanceCalendar::OverrunStepFor(const JobSpec& spec,
                                                const std::string& tier,
                                                double lead_seconds,
                                                Time now) const {
  const WindowSet windows = ApplicableWindows(spec, tier);
  if (windows == 0 || !reading_.known()) return OverrunStep::kNone;
  const TrueTime time = TrueTimeAt(now);
  // `latest` is null for work that was started before the first period, when
  // other windows were in force.
  const StartPeriod* latest = PlanOf(windows).LatestAt(time.earliest);
  if (latest == nullptr || latest->closed_by == nullptr) {
    return OverrunStep::kNone;
  }
  // The later bound of true time is used, so that work stops in time.
  if (time.latest + lead_seconds < latest->to) return OverrunStep::kNone;
  switch (latest->closed_by->overrun) {
    case Overrun::kRunOn:
      return OverrunStep::kNone;
    case Overrun::kHoldBack:
      return OverrunStep::kWithdraw;
    case Overrun::kSaveAndStop:
      return CanSave(spec) ? OverrunStep::kSaveAndStop : OverrunStep::kWithdraw;
  }
  return OverrunStep::kNone;
}

bool MaintenanceCalendar::WindowAppliesTo(const std::string& window,
                                          const JobSpec& spec,
                                          const std::string& tier) const {
  const auto it = windows_.find(window);
  return it != windows_.end() && it->second.window.work.Matches(spec, tier);
}

std::vector<std::string> MaintenanceCalendar::WindowIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, recorded] : windows_) {
    if (recorded.window.kind == WindowKind::kWindow) ids.push_back(id);
  }
  return ids;
}

std::vector<WindowShare> MaintenanceCalendar::SharesFor(
    const JobSpec& spec, const std::string& tier) const {
  std::vector<WindowShare> shares;
  for (const auto& [id, recorded] : windows_) {
    const MaintenanceWindow& window = recorded.window;
    if (window.kind == WindowKind::kWindow && window.work.Matches(spec, tier)) {
      shares.push_back({id, window.capacity_share});
    }
  }
  return shares;
}

}  // namespace oxbow
