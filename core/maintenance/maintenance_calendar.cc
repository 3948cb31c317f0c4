#include "core/maintenance/maintenance_calendar.h"

#include <algorithm>
#include <limits>

namespace oxbow {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// Estimates are often wrong by half, sometimes by more.
constexpr double kEstimateSlack = 1.5;
// Work that fits into no chance begins in the first part of one of the longest:
// held back it would wait for ever.
constexpr double kFirstPart = 0.25;
constexpr double kLong = 0.9;
// Work that can save begins when so many of its save intervals are left.
constexpr double kWorthSaves = 2;
constexpr size_t kMostWithdrawn = 1024;

bool Holds(const std::vector<std::string>& list, const std::string& word) {
  return list.empty() ||
         std::find(list.begin(), list.end(), word) != list.end();
}

}  // namespace

bool WorkRule::Matches(const JobSpec& spec, const std::string& tier) const {
  if (spec.kind == JobKind::kService ||
      spec.priority == Priority::kProduction || !Asks()) {
    return false;
  }
  if (!Holds(classes, spec.job_class) || !Holds(teams, spec.team) ||
      !Holds(tiers, tier)) {
    return false;
  }
  if (!AsksForSize()) return true;
  return (cores_above >= 0 && spec.need.cpus * spec.tasks > cores_above) ||
         (accelerators_above >= 0 &&
          spec.need.gpus * spec.tasks > accelerators_above);
}

CalendarFreshness MaintenanceCalendar::ByAge(Time now) const {
  const double age = now - confirmed_;
  return age <= kStaleLeases * lease_seconds_    ? CalendarFreshness::kCurrent
         : age <= kTooOldLeases * lease_seconds_ ? CalendarFreshness::kStale
                                                 : CalendarFreshness::kTooOld;
}

void MaintenanceCalendar::Change(CalendarEvent event, Time now) {
  switch (event) {
    case CalendarEvent::kBooked:
      break;
    case CalendarEvent::kCancelled:
      standing_ = CalendarFreshness::kNone;
      return;
    case CalendarEvent::kConfirmed:
    case CalendarEvent::kAged:
      if (standing_ == CalendarFreshness::kNone) return;
      break;
  }
  standing_ = ByAge(now);
}

void MaintenanceCalendar::Take(const MaintenanceWindow& booking,
                               uint64_t version, Time now) {
  const auto gone = withdrawn_.find(booking.id);
  if (gone != withdrawn_.end() && gone->second >= version) return;
  if (!bookings_.contains(booking.id) && bookings_.size() >= kMostBookings) {
    return;  // refused when booked; the mask holds no more
  }
  Known& known = bookings_[booking.id];
  if (known.version >= version && known.version > 0) return;
  known = {booking, version};
  plans_.clear();
  Change(CalendarEvent::kBooked, now);
}

void MaintenanceCalendar::Withdraw(const std::string& id, uint64_t version,
                                   Time now) {
  const auto it = bookings_.find(id);
  if (it != bookings_.end()) {
    if (it->second.version > version) return;
    bookings_.erase(it);
    plans_.clear();
  }
  if (withdrawn_.size() >= kMostWithdrawn) withdrawn_.erase(withdrawn_.begin());
  uint64_t& known = withdrawn_[id];
  known = std::max(known, version);
  if (bookings_.empty()) Change(CalendarEvent::kCancelled, now);
}

MaintenanceCalendar::Mask MaintenanceCalendar::MaskOf(
    const JobSpec& spec, const std::string& tier) const {
  Mask mask = 0;
  size_t bit = 0;
  for (const auto& [id, known] : bookings_) {
    if (known.booking.work.Matches(spec, tier)) mask |= Mask{1} << bit;
    ++bit;
  }
  return mask;
}

const MaintenanceCalendar::Plan& MaintenanceCalendar::PlanOf(Mask mask) const {
  const auto it = plans_.find(mask);
  if (it != plans_.end()) return it->second;
  // Each set of bookings that some work matches: few, yet nothing forbids many.
  constexpr size_t kMostPlans = 256;
  if (plans_.size() >= kMostPlans) plans_.clear();
  return plans_[mask] = Build(mask);
}

MaintenanceCalendar::Plan MaintenanceCalendar::Build(Mask mask) const {
  std::vector<const MaintenanceWindow*> windows;
  std::vector<const MaintenanceWindow*> peaks;
  size_t bit = 0;
  for (const auto& [id, known] : bookings_) {
    if ((mask >> bit++ & 1) == 0) continue;
    const MaintenanceWindow& b = known.booking;
    (b.kind == BookingKind::kWindow ? windows : peaks).push_back(&b);
  }
  Plan plan;
  std::vector<Chance> open;
  for (const MaintenanceWindow* window : windows) {
    for (const UtcInterval& t : window->times)
      open.push_back({t.from, t.to, window, window});
    if (window->known_until > 0) plan.horizon = window;
  }
  if (windows.empty()) open.push_back({-kNever, kNever, nullptr, nullptr});
  std::sort(open.begin(), open.end(),
            [](const Chance& a, const Chance& b) { return a.from < b.from; });
  // Windows that touch are one.
  for (const Chance& c : open) {
    if (!plan.chances.empty() && c.from <= plan.chances.back().to) {
      Chance& last = plan.chances.back();
      if (c.to > last.to) last.to = c.to, last.closes = c.closes;
    } else {
      plan.chances.push_back(c);
    }
  }
  for (const MaintenanceWindow* window : peaks) {
    std::vector<UtcInterval> shut = window->times;
    if (window->known_until > 0) {
      shut.push_back({window->known_until, kNever});
      plan.horizon = window;
    }
    for (const UtcInterval& s : shut) {
      std::vector<Chance> rest;
      for (const Chance& c : plan.chances) {
        if (s.to <= c.from || s.from >= c.to) {
          rest.push_back(c);
          continue;
        }
        if (c.from < s.from) rest.push_back({c.from, s.from, c.opens, window});
        if (s.to < c.to) rest.push_back({s.to, c.to, c.opens, c.closes});
      }
      plan.chances = std::move(rest);
    }
  }
  for (const Chance& c : plan.chances) {
    // What has been open for ever says nothing of what is to come.
    if (c.from > -kNever) plan.longest = std::max(plan.longest, c.to - c.from);
  }
  return plan;
}

double MaintenanceCalendar::Needs(const JobSpec& spec, double run_seconds,
                                  const Chance& chance) {
  if (chance.closes == nullptr) return 0;
  switch (chance.closes->overrun) {
    case Overrun::kRunOn:
      return 0;
    case Overrun::kSaveAndStop:
      if (Saves(spec)) {
        return std::min(
            kEstimateSlack * run_seconds,
            kWorthSaves * (spec.checkpoint_seconds + spec.save_seconds));
      }
      [[fallthrough]];
    case Overrun::kHoldBack:
      return kEstimateSlack * run_seconds;
  }
  return 0;
}

double MaintenanceCalendar::NextChance(const Plan& plan, const JobSpec& spec,
                                       double run_seconds, double after) {
  for (const Chance& c : plan.chances) {
    if (c.from <= after) continue;
    const double needs = Needs(spec, run_seconds, c);
    if (needs <= c.to - c.from ||
        (needs > plan.longest && c.to - c.from >= kLong * plan.longest)) {
      return c.from;
    }
  }
  return 0;
}

AdmissionDecision MaintenanceCalendar::MayStart(const JobSpec& spec,
                                                const std::string& tier,
                                                double run_seconds,
                                                Time now) const {
  const Mask mask = MaskOf(spec, tier);
  if (mask == 0) return {};
  AdmissionDecision verdict;
  if (!reading_.known()) {
    verdict.hold = HeldBy::kClockUnknown;
    return verdict;
  }
  const TrueTime t = At(now);
  const Plan& plan = PlanOf(mask);
  verdict.until = NextChance(plan, spec, run_seconds, t.earliest);
  // A leader cut from the key-value store across an edge would start by a
  // calendar that others have long changed.
  if (standing(now) == CalendarFreshness::kTooOld) {
    verdict.hold = HeldBy::kTooOld;
    return verdict;
  }
  // Whatever delays the answer that carries the start, the worker drops it
  // past this.
  const double carried_out = t.latest + kAnswerLifetimeSeconds * (1 + kDrift);
  const auto next =
      std::upper_bound(plan.chances.begin(), plan.chances.end(), t.earliest,
                       [](double at, const Chance& c) { return at < c.from; });
  const Chance* here =
      next == plan.chances.begin() ? nullptr : &*std::prev(next);
  if (here == nullptr || carried_out >= here->to) {
    const MaintenanceWindow* shuts = here != nullptr ? here->closes : nullptr;
    verdict.hold = next == plan.chances.end() && plan.horizon != nullptr &&
                           t.latest >= plan.horizon->known_until
                       ? HeldBy::kHorizon
                   : shuts != nullptr && shuts->kind == BookingKind::kPeak
                       ? HeldBy::kInPeak
                       : HeldBy::kNoWindow;
    if (verdict.hold == HeldBy::kHorizon) shuts = plan.horizon;
    if (shuts != nullptr) verdict.booking = shuts->id;
    return verdict;
  }
  const double needs = Needs(spec, run_seconds, *here);
  const double length = here->to - here->from;
  const bool too_long = plan.longest > 0 && needs > plan.longest &&
                        length >= kLong * plan.longest &&
                        t.latest - here->from <= kFirstPart * length;
  if (t.latest + needs > here->to && !too_long) {
    verdict.hold = HeldBy::kWontFit;
    verdict.booking = here->closes->id;
    return verdict;
  }
  if (here->opens != nullptr) {
    verdict.booking = here->opens->id;
    verdict.room_share = here->opens->room_share;
  }
  return verdict;
}

OverrunStep MaintenanceCalendar::Caught(const JobSpec& spec,
                                        const std::string& tier,
                                        double lead_seconds, Time now) const {
  const Mask mask = MaskOf(spec, tier);
  if (mask == 0 || !reading_.known()) return OverrunStep::kNone;
  const TrueTime t = At(now);
  const Plan& plan = PlanOf(mask);
  const auto next =
      std::upper_bound(plan.chances.begin(), plan.chances.end(), t.earliest,
                       [](double at, const Chance& c) { return at < c.from; });
  // Before the first chance it was started by another calendar.
  if (next == plan.chances.begin()) return OverrunStep::kNone;
  const Chance& last = *std::prev(next);
  // The edge may have passed, by the later bound: what goes, goes in time.
  if (t.latest + lead_seconds < last.to || last.closes == nullptr) {
    return OverrunStep::kNone;
  }
  switch (last.closes->overrun) {
    case Overrun::kRunOn:
      return OverrunStep::kNone;
    case Overrun::kHoldBack:
      return OverrunStep::kTakeBack;
    case Overrun::kSaveAndStop:
      return Saves(spec) ? OverrunStep::kSaveAndStop : OverrunStep::kTakeBack;
  }
  return OverrunStep::kNone;
}

bool MaintenanceCalendar::InWindow(const std::string& booking,
                                   const JobSpec& spec,
                                   const std::string& tier) const {
  const auto it = bookings_.find(booking);
  return it != bookings_.end() && it->second.booking.work.Matches(spec, tier);
}

std::vector<std::string> MaintenanceCalendar::AllWindows() const {
  std::vector<std::string> out;
  for (const auto& [id, known] : bookings_) {
    if (known.booking.kind == BookingKind::kWindow) out.push_back(id);
  }
  return out;
}

std::vector<std::pair<std::string, double>> MaintenanceCalendar::Windows(
    const JobSpec& spec, const std::string& tier) const {
  std::vector<std::pair<std::string, double>> out;
  for (const auto& [id, known] : bookings_) {
    const MaintenanceWindow& b = known.booking;
    if (b.kind == BookingKind::kWindow && b.work.Matches(spec, tier)) {
      out.emplace_back(id, b.room_share);
    }
  }
  return out;
}

}  // namespace oxbow
