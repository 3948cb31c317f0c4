#include "core/maintenance/window_validation.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "core/maintenance/maintenance_calendar.h"

namespace oxbow {
namespace {

using MaybeError = std::optional<WindowError>;

// Tolerance for rounding errors when shares of the fleet that add up to 1 are
// compared with 1.
constexpr double kShareEpsilon = 1e-9;
// Stands for "unlimited" if a team has no maximum.
constexpr double kNoMaximum = 1e18;

template <typename... Parts>
WindowError Error(std::string field, const Parts&... parts) {
  std::ostringstream problem;
  problem.precision(10);
  (problem << ... << parts);
  return {std::move(field), problem.str()};
}

bool Overlap(const UtcInterval& first, const UtcInterval& second) {
  return first.from < second.to && second.from < first.to;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Whether some name is in both lists; an empty list means every name.
bool ListsIntersect(const std::vector<std::string>& first,
                    const std::vector<std::string>& second) {
  if (first.empty() || second.empty()) return true;
  return std::any_of(first.begin(), first.end(), [&](const std::string& name) {
    return Contains(second, name);
  });
}

// Whether some work may match both selectors. Sizes are not compared.
bool MayMatchSameWork(const WorkSelector& first, const WorkSelector& second) {
  return ListsIntersect(first.classes, second.classes) &&
         ListsIntersect(first.teams, second.teams) &&
         ListsIntersect(first.tiers, second.tiers);
}

const TeamQuota* FindTeam(const Settings& settings, const std::string& name) {
  const auto it =
      std::find_if(settings.teams.begin(), settings.teams.end(),
                   [&](const TeamQuota& team) { return team.name == name; });
  return it == settings.teams.end() ? nullptr : &*it;
}

double MaximumOr(double maximum, double otherwise) {
  return maximum > 0 ? maximum : otherwise;
}

MaybeError FindUnknownName(const WorkSelector& work,
                           const WindowValidationContext& context) {
  const Settings& settings = *context.settings;
  for (const std::string& name : work.classes) {
    if (std::none_of(settings.objectives.begin(), settings.objectives.end(),
                     [&](const Objective& objective) {
                       return objective.job_class == name;
                     })) {
      return Error("work.classes", "class ", name, " is not known");
    }
  }
  for (const std::string& name : work.teams) {
    if (FindTeam(settings, name) == nullptr) {
      return Error("work.teams", "team ", name, " is not known");
    }
  }
  if (!context.tiers) return std::nullopt;
  for (const std::string& name : work.tiers) {
    if (!Contains(*context.tiers, name)) {
      return Error("work.tiers", "tier ", name, " is not known");
    }
  }
  return std::nullopt;
}

// A size criterion at or above the largest maximum of the named teams would
// never match any work.
MaybeError FindSizeError(const WorkSelector& work, const Settings& settings) {
  if (work.teams.empty() || !work.HasSizeCriteria()) return std::nullopt;
  double max_cores = 0;
  double max_accelerators = 0;
  for (const std::string& name : work.teams) {
    const TeamQuota& team = *FindTeam(settings, name);
    max_cores = std::max(max_cores, MaximumOr(team.cpus_max, kNoMaximum));
    max_accelerators =
        std::max(max_accelerators, MaximumOr(team.gpus_max, kNoMaximum));
  }
  const bool cores = work.cores_above >= 0 && work.cores_above < max_cores;
  const bool accelerators = work.accelerators_above >= 0 &&
                            work.accelerators_above < max_accelerators;
  if (cores || accelerators) return std::nullopt;
  if (work.cores_above >= 0) {
    return Error("work.cores_above", work.cores_above,
                 " is not below the teams' limit of ", max_cores);
  }
  return Error("work.accelerators_above", work.accelerators_above,
               " is not below the teams' limit of ", max_accelerators);
}

MaybeError FindWorkError(const WorkSelector& work,
                         const WindowValidationContext& context) {
  if (!work.HasCriteria()) {
    return Error("work", "names nothing, so it would apply to all work");
  }
  if (MaybeError error = FindUnknownName(work, context)) return error;
  return FindSizeError(work, *context.settings);
}

// The total share of the fleet of the windows that are open at one moment.
struct OpenShare {
  double share = 0;
  std::string last_other;  // id of one of the other windows; empty for none
};

OpenShare ShareAt(double moment, const MaintenanceWindow& window,
                  const std::vector<MaintenanceWindow>& others) {
  OpenShare open{window.capacity_share, {}};
  for (const MaintenanceWindow& other : others) {
    if (other.kind == WindowKind::kPeak) continue;
    for (const UtcInterval& time : other.times) {
      if (moment < time.from || moment >= time.to) continue;
      open.share += other.capacity_share;
      open.last_other = other.id;
    }
  }
  return open;
}

// Windows that overlap share the fleet. The total of their shares can only
// reach its maximum where one of them begins, so only these moments are
// checked.
MaybeError FindOverlapError(const MaintenanceWindow& window,
                            const std::vector<MaintenanceWindow>& others) {
  for (const UtcInterval& time : window.times) {
    std::vector<double> moments = {time.from};
    for (const MaintenanceWindow& other : others) {
      if (other.kind == WindowKind::kPeak) continue;
      for (const UtcInterval& theirs : other.times) {
        if (theirs.from > time.from && theirs.from < time.to) {
          moments.push_back(theirs.from);
        }
      }
    }
    for (const double moment : moments) {
      const OpenShare open = ShareAt(moment, window, others);
      if (open.share > 1 + kShareEpsilon) {
        return Error("room", window.capacity_share, " makes ", open.share,
                     " of the fleet together with ", open.last_other);
      }
    }
  }
  return std::nullopt;
}

MaybeError FindCapacityError(const MaintenanceWindow& window,
                             const WindowValidationContext& context) {
  if (!(window.capacity_share > 0 && window.capacity_share <= 1)) {
    return Error("room", window.capacity_share,
                 " is not above 0 and at most 1");
  }
  if (window.kind == WindowKind::kPeak) return std::nullopt;
  double limit = 0;
  for (const std::string& name : window.work.teams) {
    for (const TeamQuota& team : context.settings->teams) {
      if (team.name == name) limit += MaximumOr(team.cpus_max, kNoMaximum);
    }
  }
  const double cores = window.capacity_share * context.fleet.cpus;
  if (limit > 0 && cores > limit) {
    return Error("room", window.capacity_share, " of the fleet is ", cores,
                 " cores, over the teams' limit of ", limit);
  }
  return FindOverlapError(window, context.others);
}

// A time that begins before the end of the minimum notice must be in the
// version of the window that is already in force.
MaybeError FindNoticeError(const MaintenanceWindow& window,
                           const WindowValidationContext& context) {
  const double notice = MinimumNoticeSeconds(*context.settings);
  for (const UtcInterval& time : window.times) {
    if (time.from >= context.wall + notice) break;
    const auto same = [&](const UtcInterval& earlier) {
      return earlier.from == time.from;
    };
    const bool in_force =
        context.replaces && std::any_of(context.replaces->times.begin(),
                                        context.replaces->times.end(), same);
    if (!in_force) {
      return Error("starts", "the time at ", time.from, " begins in ",
                   std::floor(time.from - context.wall),
                   " s; a window needs a notice of ", notice, " s");
    }
  }
  return std::nullopt;
}

MaybeError FindTimesError(const MaintenanceWindow& window,
                          const WindowValidationContext& context) {
  const std::vector<UtcInterval>& times = window.times;
  if (!(window.length_seconds > 0)) {
    return Error("length_s", window.length_seconds, " is not above 0");
  }
  if (times.empty()) return Error("rule", "it never matches");
  if (times.size() > kMaxWindowTimes) {
    return Error("times", times.size(), " are more than ", kMaxWindowTimes);
  }
  for (size_t i = 0; i < times.size(); ++i) {
    if (!(times[i].from < times[i].to) ||
        (i > 0 && times[i].from < times[i - 1].to)) {
      return Error("times", "the one at ", times[i].from,
                   " is empty or out of order");
    }
  }
  if (times.back().to <= context.wall) {
    return Error("starts", window.starts, " is in the past");
  }
  return FindNoticeError(window, context);
}

// A window that lies inside a peak for the same work would never open.
MaybeError FindPeakError(const MaintenanceWindow& added,
                         const WindowValidationContext& context) {
  for (const MaintenanceWindow& other : context.others) {
    if (other.kind == added.kind || !MayMatchSameWork(other.work, added.work))
      continue;
    const bool adds_window = added.kind == WindowKind::kWindow;
    const MaintenanceWindow& window = adds_window ? added : other;
    const MaintenanceWindow& peak = adds_window ? other : added;
    for (const UtcInterval& open : window.times) {
      for (const UtcInterval& closed : peak.times) {
        if (!Overlap(open, closed) || open.from < closed.from ||
            open.to > closed.to) {
          continue;
        }
        if (adds_window) {
          return Error("times", "the one at ", open.from,
                       " lies inside the peak ", peak.id);
        }
        return Error("times", "the one at ", closed.from, " covers the window ",
                     window.id);
      }
    }
  }
  return std::nullopt;
}

}  // namespace

std::string Render(const WindowError& error) {
  return error.field + ": " + error.problem;
}

double MinimumNoticeSeconds(const Settings& settings) {
  return kNoticeLeases * settings.workers.lease_seconds +
         2 * settings.clock_error_ms / 1000;
}

std::optional<WindowError> FindWindowError(
    const MaintenanceWindow& window, const WindowValidationContext& context) {
  if (context.others.size() >= kMaxMaintenanceWindows) {
    return Error("id", kMaxMaintenanceWindows, " windows are in force already");
  }
  if (MaybeError error = FindWorkError(window.work, context)) return error;
  if (MaybeError error = FindTimesError(window, context)) return error;
  if (MaybeError error = FindPeakError(window, context)) return error;
  return FindCapacityError(window, context);
}

}  // namespace oxbow
