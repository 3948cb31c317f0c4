#include "core/maintenance/window_validation.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "core/maintenance/maintenance_calendar.h"

namespace oxbow {
namespace {

template <typename... Parts>
std::string Line(const Parts&... parts) {
  std::ostringstream out;
  out.precision(10);
  (out << ... << parts);
  return out.str();
}

bool Overlap(const UtcInterval& a, const UtcInterval& b) {
  return a.from < b.to && b.from < a.to;
}

bool ListsMeet(const std::vector<std::string>& a,
               const std::vector<std::string>& b) {
  if (a.empty() || b.empty()) return true;
  return std::any_of(a.begin(), a.end(), [&](const std::string& word) {
    return std::find(b.begin(), b.end(), word) != b.end();
  });
}

// Whether some work can be named by both.
bool MayMeet(const WorkRule& a, const WorkRule& b) {
  return ListsMeet(a.classes, b.classes) && ListsMeet(a.teams, b.teams) &&
         ListsMeet(a.tiers, b.tiers);
}

std::string WrongWork(const WorkRule& work, const BookingContext& context) {
  if (!work.Asks()) return "work: names nothing, so it would mean all work";
  const Settings& settings = *context.settings;
  for (const std::string& name : work.classes) {
    if (std::none_of(settings.objectives.begin(), settings.objectives.end(),
                     [&](const Objective& o) { return o.job_class == name; })) {
      return Line("work.classes: class ", name, " is not known");
    }
  }
  double most_cores = 0;
  double most_accelerators = 0;
  for (const std::string& name : work.teams) {
    const auto team =
        std::find_if(settings.teams.begin(), settings.teams.end(),
                     [&](const TeamQuota& team) { return team.name == name; });
    if (team == settings.teams.end()) {
      return Line("work.teams: team ", name, " is not known");
    }
    const double cores = team->cpus_max > 0 ? team->cpus_max : 1e18;
    const double accelerators = team->gpus_max > 0 ? team->gpus_max : 1e18;
    most_cores = std::max(most_cores, cores);
    most_accelerators = std::max(most_accelerators, accelerators);
  }
  if (context.tiers) {
    for (const std::string& name : work.tiers) {
      if (std::find(context.tiers->begin(), context.tiers->end(), name) ==
          context.tiers->end()) {
        return Line("work.tiers: tier ", name, " is not known");
      }
    }
  }
  if (work.teams.empty() || !work.AsksForSize()) return {};
  const bool cores = work.cores_above >= 0 && work.cores_above < most_cores;
  const bool accelerators = work.accelerators_above >= 0 &&
                            work.accelerators_above < most_accelerators;
  if (!cores && !accelerators) {
    return work.cores_above >= 0
               ? Line("work.cores_above: ", work.cores_above,
                      " is not below the teams' limit of ", most_cores)
               : Line("work.accelerators_above: ", work.accelerators_above,
                      " is not below the teams' limit of ", most_accelerators);
  }
  return {};
}

std::string WrongRoom(const MaintenanceWindow& booking,
                      const BookingContext& context) {
  if (!(booking.room_share > 0 && booking.room_share <= 1)) {
    return Line("room: ", booking.room_share, " is not above 0 and at most 1");
  }
  if (booking.kind == BookingKind::kPeak) return {};
  double limit = 0;
  for (const std::string& name : booking.work.teams) {
    for (const TeamQuota& team : context.settings->teams) {
      if (team.name == name) limit += team.cpus_max > 0 ? team.cpus_max : 1e18;
    }
  }
  const double cores = booking.room_share * context.fleet.cpus;
  if (limit > 0 && cores > limit) {
    return Line("room: ", booking.room_share, " of the fleet is ", cores,
                " cores, over the teams' limit of ", limit);
  }
  // What overlaps shares the fleet: the most at any one moment is reached where
  // one of them begins.
  for (const UtcInterval& t : booking.times) {
    std::vector<double> moments = {t.from};
    for (const MaintenanceWindow& other : context.others) {
      if (other.kind == BookingKind::kPeak) continue;
      for (const UtcInterval& o : other.times) {
        if (o.from > t.from && o.from < t.to) moments.push_back(o.from);
      }
    }
    for (const double at : moments) {
      double share = booking.room_share;
      std::string with;
      for (const MaintenanceWindow& other : context.others) {
        if (other.kind == BookingKind::kPeak) continue;
        for (const UtcInterval& o : other.times) {
          if (at < o.from || at >= o.to) continue;
          share += other.room_share;
          with = other.id;
        }
      }
      if (share > 1 + 1e-9) {
        return Line("room: ", booking.room_share, " makes ", share,
                    " of the fleet together with ", with);
      }
    }
  }
  return {};
}

std::string WrongTimes(const MaintenanceWindow& booking,
                       const BookingContext& context) {
  if (!(booking.length_seconds > 0)) {
    return Line("length_s: ", booking.length_seconds, " is not above 0");
  }
  if (booking.times.empty()) return "rule: it never matches";
  if (booking.times.size() > kMostTimes) {
    return Line("times: ", booking.times.size(), " are more than ", kMostTimes);
  }
  for (size_t i = 0; i < booking.times.size(); ++i) {
    const UtcInterval& t = booking.times[i];
    if (!(t.from < t.to) || (i > 0 && t.from < booking.times[i - 1].to)) {
      return Line("times: the one at ", t.from, " is empty or out of order");
    }
  }
  if (booking.times.back().to <= context.wall) {
    return Line("starts: ", booking.starts, " is in the past");
  }
  const double notice = context.wall + BookingNotice(*context.settings);
  for (const UtcInterval& t : booking.times) {
    if (t.from >= notice) break;
    const auto same = [&](const UtcInterval& o) { return o.from == t.from; };
    const bool held =
        context.replaces && std::any_of(context.replaces->times.begin(),
                                        context.replaces->times.end(), same);
    if (!held) {
      return Line("starts: the time at ", t.from, " begins in ",
                  std::floor(t.from - context.wall),
                  " s; a booking needs a notice of ",
                  BookingNotice(*context.settings), " s");
    }
  }
  return {};
}

std::string InsidePeak(const MaintenanceWindow& booking,
                       const BookingContext& context) {
  for (const MaintenanceWindow& other : context.others) {
    if (other.kind == booking.kind || !MayMeet(other.work, booking.work)) {
      continue;
    }
    const bool window = booking.kind == BookingKind::kWindow;
    const MaintenanceWindow& quiet = window ? booking : other;
    const MaintenanceWindow& peak = window ? other : booking;
    for (const UtcInterval& q : quiet.times) {
      for (const UtcInterval& p : peak.times) {
        if (!Overlap(q, p) || q.from < p.from || q.to > p.to) continue;
        return window ? Line("times: the one at ", q.from,
                             " lies inside the peak ", peak.id)
                      : Line("times: the one at ", p.from,
                             " covers the window ", quiet.id);
      }
    }
  }
  return {};
}

}  // namespace

double BookingNotice(const Settings& settings) {
  return kNoticeLeases * settings.workers.lease_seconds +
         2 * settings.clock_off_ms / 1000;
}

std::string WhyNoBooking(const MaintenanceWindow& booking,
                         const BookingContext& context) {
  if (context.others.size() >= kMostBookings) {
    return Line("id: ", kMostBookings, " bookings are in force already");
  }
  std::string wrong = WrongWork(booking.work, context);
  if (wrong.empty()) wrong = WrongTimes(booking, context);
  if (wrong.empty()) wrong = InsidePeak(booking, context);
  if (wrong.empty()) wrong = WrongRoom(booking, context);
  return wrong;
}

}  // namespace oxbow
