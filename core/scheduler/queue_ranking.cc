#include "core/scheduler/queue_ranking.h"

#include <algorithm>

namespace oxbow {
namespace {

// Groups within a rank.
constexpr int kMinimumShareGroup = -1;
constexpr int kLastAim = 0;  // the last aim that counts comes near
constexpr int kInTime = 1;
constexpr int kLater = 2;
constexpr int kHopeless = 3;

// Later than any time that is due.
constexpr Time kNever = 1e17;

// Of the time within which every job is to begin: so long an array waits for
// its turn before it is begun out of turn.
constexpr double kArrayWaitShare = 0.5;
// The largest gangs are given as much of it to find their room.
constexpr double kGangWaitShare = 0.25;

}  // namespace

QueueRanking::QueueRanking(const Settings& settings, const Tuning& tuning)
    : begin_within_seconds_(tuning.begin_within_seconds),
      fair_queueing_(tuning.minimum_share, tuning.begin_within_seconds > 0
                                               ? tuning.begin_within_seconds / 2
                                               : 1) {
  for (const Objective& objective : settings.objectives) {
    ClassSlos& aims = slos_[objective.job_class];
    std::vector<double>* times =
        objective.kind == "deadline"   ? &aims.deadline_times
        : objective.kind == "wait"     ? &aims.start_within
        : objective.kind == "finished" ? &aims.finish_within
                                       : nullptr;
    if (times == nullptr) continue;
    times->push_back(objective.kind == "deadline" ? objective.times
                                                  : objective.within_seconds);
    std::sort(times->begin(), times->end());
  }
}

const ClassSlos& QueueRanking::SlosOf(const JobSpec& spec) const {
  static const ClassSlos none;
  const auto it = slos_.find(spec.job_class);
  return it == slos_.end() ? none : it->second;
}

double QueueRanking::WaitSloSeconds(const JobSpec& spec) const {
  const std::vector<double>& within = SlosOf(spec).start_within;
  return within.empty() ? 1e18 : within.front();
}

DueTimes QueueRanking::DueTimesOf(const JobSpec& spec, Time submitted) const {
  if (!spec.deadline_seconds) return {};
  const std::vector<double>& times = SlosOf(spec).deadline_times;
  const double first = times.empty() ? 1 : times.front();
  const double last = times.empty() ? 1 : times.back();
  return {submitted + first * *spec.deadline_seconds,
          submitted + last * *spec.deadline_seconds};
}

double QueueRanking::WorkOf(const Job& job) {
  return job.unplaced() * job.spec().need.cpus *
         std::max(1.0, job.spec().estimate_seconds);
}

uint32_t QueueRanking::MinimumShareOf(const JobSpec& spec) {
  constexpr uint32_t kOneIn = 50;
  return 1 + spec.tasks / kOneIn;
}

QueuePosition QueueRanking::PositionOf(const Job& job, double run_seconds,
                                       Time now) const {
  const JobSpec& spec = job.spec();
  QueuePosition place;
  const bool first = job.priority() == Priority::kProduction;
  place.rank = first ? 0
                     : (job.within_guarantee ? 1 : 10) +
                           static_cast<int>(job.priority());
  if (spec.kind == JobKind::kGang) {
    GangPlace(job, run_seconds, now, &place);
  } else {
    ArrayPlace(job, run_seconds, now, &place);
  }
  return place;
}

// Without deadlines, first come, first served. With them, earliest deadline
// first would make every job late once there is more work than room, so a job
// that can't make its deadline any more steps back behind those that can, the
// least work first, until its next multiple of the deadline comes near.
//
// By least work first the large arrays of a flood did not begin within four
// minutes. An array begins with a task, so one that has waited for half of that
// is begun with a small part of it, whatever its size, and then waits its turn.
void QueueRanking::ArrayPlace(const Job& job, double run_seconds, Time now,
                              QueuePosition* out) const {
  const JobSpec& spec = job.spec();
  const double waited = now - job.queued_since();
  if (spec.kind == JobKind::kArray && begin_within_seconds_ > 0 &&
      job.placed() == 0 && job.done() == 0 &&
      waited > kArrayWaitShare * begin_within_seconds_) {
    out->group = kMinimumShareGroup;
    out->key = job.queued_since();
    out->by_minimum_share = true;
    return;
  }
  const DueTimes own = DueTimesOf(spec, job.submitted());
  const DueTimes due = {std::min(own.first, job.needed_by().first),
                        std::min(own.last, job.needed_by().last)};
  if (due.last >= kNever) {
    out->group = kLater;
    return;
  }
  const double left = job.size() - job.done();
  // The last time that counts: from here on nothing may come between.
  const double last = due.last;
  constexpr double kNear = 0.3;
  if (job.needed_by().last < kNever && now + run_seconds <= last &&
      due.first - now <
          kNear * (due.first - job.submitted()) + 2 * run_seconds) {
    // Others wait for it: what it loses here no later step makes good.
    out->group = kLastAim;
    out->key = due.first;
  } else if (last > due.first && now + run_seconds <= last &&
             last - now <
                 kNear * spec.deadline_seconds.value_or(0) + 2 * run_seconds) {
    out->group = kLastAim;
    out->key = last;
  } else if (now + run_seconds <= due.first) {
    out->group = kInTime;
    out->key = left * spec.need.cpus * run_seconds;
  } else {
    out->group = now + run_seconds <= last ? kLater : kHopeless;
    out->key = last;
  }
}

// Gangs likewise, by the times that their class is to start within: when there
// is more work than room the small ones go first, or one that needs a whole
// zone keeps a dozen others waiting past their aim. Before its last aim comes
// near, each gets its turn, and the largest sooner, since their room takes
// longest to come together: in a flood of four times a fifth to a half of them
// began after four minutes. Both together get no more than the minimum share of
// the work, or in a flood every gang would wait that long.
void QueueRanking::GangPlace(const Job& job, double run_seconds, Time now,
                             QueuePosition* out) const {
  const JobSpec& spec = job.spec();
  const ClassSlos& aims = SlosOf(spec);
  double first = 1e18;
  double last = 0;
  for (const double within : aims.start_within) {
    first = std::min(first, within);
    last = std::max(last, within);
  }
  for (const double within : aims.finish_within) {
    first = std::min(first, within - run_seconds);
    last = std::max(last, within - run_seconds);
  }
  const double waited = now - job.queued_since();
  out->group = kLater;
  out->key = last > 0 ? WorkOf(job) : 0;
  if (last > 0 && waited <= first) out->group = kInTime;
  constexpr double kNear = 0.3;
  const DueTimes& due = job.needed_by();
  if (due.last < kNever && now + run_seconds <= due.last) {
    // Others wait for it.
    const bool soon = due.first - now <
                      kNear * (due.first - job.submitted()) + 2 * run_seconds;
    out->group = soon ? kLastAim : kInTime;
    out->key = soon ? due.first : out->key;
    return;
  }
  const bool near =
      last > first && waited <= last && last - waited < kNear * last;
  const bool largest = begin_within_seconds_ > 0 &&
                       waited > kGangWaitShare * begin_within_seconds_ &&
                       sizes_.IsLargest(spec.job_class, spec.tasks);
  if (!near && !largest) return;
  const bool bounded = begin_within_seconds_ > 0;
  if (bounded && !fair_queueing_.MinimumShareFirst(spec.job_class, now)) return;
  // One that is late already does not make those late that are not.
  const bool late = bounded && waited > begin_within_seconds_;
  constexpr double kBehind = 1e6;  // s
  out->group = kLastAim;
  out->key = (bounded ? job.queued_since() : job.queued_since() + last) +
             (late ? kBehind : 0) - (largest && !late ? kBehind : 0);
  out->by_minimum_share = true;
}

void QueueRanking::Placed(const Job& job, const QueuePosition& from, Time now) {
  fair_queueing_.Placed(
      job.spec().job_class,
      from.by_minimum_share ? QueueSide::kMinimumShare : QueueSide::kQuickest,
      WorkOf(job), now);
}

}  // namespace oxbow
