#include "core/scheduler/queue_ranking.h"

#include <algorithm>
#include <limits>

namespace oxbow {
namespace {

// Groups within a rank, the first to be served first.
enum Group : int {
  kMinimumShareGroup = -1,
  kLastSloNear = 0,  // the last objective that counts would soon be missed
  kInTime = 1,
  kLater = 2,
  kHopeless = 3,
};

// Ranks of jobs below production priority: those within the guaranteed quota
// of their team come before all others.
constexpr int kProductionRank = 0;
constexpr int kGuaranteedRank = 1;
constexpr int kBeyondGuaranteeRank = 10;

// Later than any due time that is set.
constexpr Time kNever = 1e17;
// A due time is near when less than this share of the time for it is left.
constexpr double kNearShare = 0.3;
// And that many times the job's own run time.
constexpr double kNearRuns = 2;

// Of the time within which every job is to begin: so long an array waits for
// its turn before a part of it starts out of turn.
constexpr double kArrayWaitShare = 0.5;
// The largest gangs get the rest of it to find their capacity.
constexpr double kGangWaitShare = 0.25;
// An array that starts out of turn starts one in so many of its tasks.
constexpr uint32_t kMinimumShareDivisor = 50;
// More than any wait: separates the largest gangs from those that are late.
constexpr double kGangKeyOffsetSeconds = 1e6;

// `span_seconds`: the time that there was for it in all.
bool IsNear(Time due, double span_seconds, double run_seconds, Time now) {
  return due - now < kNearShare * span_seconds + kNearRuns * run_seconds;
}

}  // namespace

QueueRanking::QueueRanking(const Settings& settings, const Tuning& tuning)
    : begin_within_seconds_(tuning.begin_within_seconds),
      fair_queueing_(tuning.minimum_share, tuning.begin_within_seconds > 0
                                               ? tuning.begin_within_seconds / 2
                                               : 1) {
  for (const Objective& objective : settings.objectives) {
    ClassSlos& slos = slos_[objective.job_class];
    std::vector<double>* times =
        objective.kind == "deadline"   ? &slos.deadline_times
        : objective.kind == "wait"     ? &slos.start_within
        : objective.kind == "finished" ? &slos.finish_within
                                       : nullptr;
    if (times == nullptr) continue;
    times->push_back(objective.kind == "deadline" ? objective.times
                                                  : objective.within_seconds);
    std::sort(times->begin(), times->end());
  }
}

const ClassSlos& QueueRanking::SlosOf(const JobSpec& spec) const {
  static const ClassSlos kNone;
  const auto it = slos_.find(spec.job_class);
  return it == slos_.end() ? kNone : it->second;
}

std::optional<double> QueueRanking::WaitSloSeconds(const JobSpec& spec) const {
  const std::vector<double>& within = SlosOf(spec).start_within;
  if (within.empty()) return std::nullopt;
  return within.front();
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
  return 1 + spec.tasks / kMinimumShareDivisor;
}

int QueueRanking::RankOf(const Job& job) {
  if (job.priority() == Priority::kProduction) return kProductionRank;
  return (job.within_guarantee ? kGuaranteedRank : kBeyondGuaranteeRank) +
         static_cast<int>(job.priority());
}

QueuePosition QueueRanking::PositionOf(const Job& job, double run_seconds,
                                       Time now) const {
  QueuePosition position = job.spec().kind == JobKind::kGang
                               ? GangPosition(job, run_seconds, now)
                               : ArrayPosition(job, run_seconds, now);
  position.rank = RankOf(job);
  return position;
}

// By least work first the large arrays of a flood did not begin within four
// minutes. An array begins with its first task, so one that has waited for half
// of that time starts a small part of its tasks, whatever its size, and then
// waits its turn.
bool QueueRanking::StartsOutOfTurn(const Job& job, Time now) const {
  return job.spec().kind == JobKind::kArray && begin_within_seconds_ > 0 &&
         job.placed() == 0 && job.done() == 0 &&
         now - job.queued_since() > kArrayWaitShare * begin_within_seconds_;
}

// Without deadlines: first come, first served.
QueuePosition QueueRanking::ArrayPosition(const Job& job, double run_seconds,
                                          Time now) const {
  QueuePosition position;
  if (StartsOutOfTurn(job, now)) {
    position.group = kMinimumShareGroup;
    position.key = job.queued_since();
    position.by_minimum_share = true;
    return position;
  }
  const DueTimes own = DueTimesOf(job.spec(), job.submitted());
  const DueTimes due = {std::min(own.first, job.needed_by().first),
                        std::min(own.last, job.needed_by().last)};
  if (due.last >= kNever) {
    position.group = kLater;
  } else {
    RankByDeadline(job, due, run_seconds, now, position);
  }
  return position;
}

// Earliest deadline first would make every job late once there is more work
// than capacity. So a job that can't meet its deadline any more comes after
// those that can, which are ordered by least work, until its next multiple of
// the deadline comes near.
void QueueRanking::RankByDeadline(const Job& job, const DueTimes& due,
                                  double run_seconds, Time now,
                                  QueuePosition& position) {
  const JobSpec& spec = job.spec();
  const bool makes_first = now + run_seconds <= due.first;
  const bool makes_last = now + run_seconds <= due.last;
  const bool has_dependents = job.needed_by().last < kNever;
  if (has_dependents && makes_last &&
      IsNear(due.first, due.first - job.submitted(), run_seconds, now)) {
    // What it loses here, its dependents can't make up for.
    position.group = kLastSloNear;
    position.key = due.first;
  } else if (due.last > due.first && makes_last &&
             IsNear(due.last, spec.deadline_seconds.value_or(0), run_seconds,
                    now)) {
    position.group = kLastSloNear;
    position.key = due.last;
  } else if (makes_first) {
    const double tasks_left = job.size() - job.done();
    position.group = kInTime;
    position.key = tasks_left * spec.need.cpus * run_seconds;
  } else {
    position.group = makes_last ? kLater : kHopeless;
    position.key = due.last;
  }
}

QueueRanking::StartWindow QueueRanking::StartWindowOf(
    const JobSpec& spec, double run_seconds) const {
  const ClassSlos& slos = SlosOf(spec);
  StartWindow window = {std::numeric_limits<double>::infinity(), 0};
  const auto include = [&](double start_within) {
    window.first = std::min(window.first, start_within);
    window.last = std::max(window.last, start_within);
  };
  for (const double within : slos.start_within) include(within);
  for (const double within : slos.finish_within) include(within - run_seconds);
  return window;
}

// When there is more work than capacity the small gangs come first, or one that
// needs a whole zone keeps a dozen others waiting past their objective.
QueuePosition QueueRanking::GangPosition(const Job& job, double run_seconds,
                                         Time now) const {
  const StartWindow window = StartWindowOf(job.spec(), run_seconds);
  const double waited = now - job.queued_since();
  QueuePosition position;
  position.group = window.last > 0 && waited <= window.first ? kInTime : kLater;
  position.key = window.last > 0 ? WorkOf(job) : 0;
  const DueTimes& due = job.needed_by();
  if (due.last < kNever && now + run_seconds <= due.last) {
    // Its dependents wait for it.
    const bool near =
        IsNear(due.first, due.first - job.submitted(), run_seconds, now);
    position.group = near ? kLastSloNear : kInTime;
    if (near) position.key = due.first;
    return position;
  }
  ApplyMinimumShare(job, window, now, position);
  return position;
}

// Before its last objective comes near, each gang gets its turn, and the
// largest sooner, since it takes longest to gather their capacity: in a flood
// of four times the capacity a fifth to a half of them began after four
// minutes. Both together get no more than the minimum share of the work, or in
// a flood every gang would wait that long.
void QueueRanking::ApplyMinimumShare(const Job& job, const StartWindow& window,
                                     Time now, QueuePosition& position) const {
  const JobSpec& spec = job.spec();
  const double waited = now - job.queued_since();
  const bool limited = begin_within_seconds_ > 0;
  const bool near = window.last > window.first && waited <= window.last &&
                    window.last - waited < kNearShare * window.last;
  const bool largest = limited &&
                       waited > kGangWaitShare * begin_within_seconds_ &&
                       sizes_.IsLargest(spec.job_class, spec.tasks);
  if (!near && !largest) return;
  if (limited && !fair_queueing_.MinimumShareFirst(spec.job_class, now)) return;
  // One that is late already must not make those late that are not.
  const bool late = limited && waited > begin_within_seconds_;
  position.group = kLastSloNear;
  position.key =
      (limited ? job.queued_since() : job.queued_since() + window.last) +
      (late ? kGangKeyOffsetSeconds : 0) -
      (largest && !late ? kGangKeyOffsetSeconds : 0);
  position.by_minimum_share = true;
}

void QueueRanking::RecordPlaced(const Job& job, const QueuePosition& position,
                                Time now) {
  fair_queueing_.RecordPlaced(job.spec().job_class,
                              position.by_minimum_share
                                  ? QueueOrder::kMinimumShare
                                  : QueueOrder::kLeastWorkFirst,
                              WorkOf(job), now);
}

}  // namespace oxbow
