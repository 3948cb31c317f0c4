// Computes the order of the queue of waiting jobs from the jobs, the service
// level objectives of their classes, and the work placed recently. Which job
// may preempt which is decided by PreemptionPlanner.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/fair_queueing/fair_queueing.h"
#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// The service level objectives of one class of jobs. Each list is ascending.
struct ClassSlos {
  std::vector<double> deadline_times;  // multiples of the job's deadline
  std::vector<double> start_within;    // seconds in the queue
  std::vector<double> finish_within;   // seconds from queueing to completion
};

// A job's position in the queue. Positions are compared field by field, and the
// job with the smallest one is served first. Jobs with equal positions are
// ordered by the time they were queued, then by id.
struct QueuePosition {
  int rank = 0;  // by priority and guaranteed quota
  // By the operators' priority tiers. The rank is compared first, so the tiers
  // order only jobs that may not preempt one another: a job started before one
  // that may preempt it would be preempted at once.
  int tier = 0;
  int group = 0;   // within the tier
  double key = 0;  // within the group
  // The job comes early because it is entitled to the minimum share of the work
  // (see FairQueueing). An array then starts only a small part of its tasks.
  bool by_minimum_share = false;

  bool Before(const QueuePosition& other) const {
    if (rank != other.rank) return rank < other.rank;
    if (tier != other.tier) return tier < other.tier;
    if (group != other.group) return group < other.group;
    return key < other.key;
  }
};

// Computes queue positions. Owns the state that this needs: the objectives, the
// sizes of the jobs seen, and the work placed recently per class.
class QueueRanking {
 public:
  QueueRanking(const Settings& settings, const Tuning& tuning);

  // The objectives of the job's class. The lists are empty if it has none.
  const ClassSlos& SlosOf(const JobSpec& spec) const;
  // The strictest objective for the wait before a start, in seconds. Nullopt if
  // the job's class has no such objective.
  std::optional<double> WaitSloSeconds(const JobSpec& spec) const;
  // The times by which the job should be complete, by its deadline and the
  // objectives of its class. Later than any real time without a deadline.
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const;

  // Records a job that was accepted, or that a new leader has found.
  void OnJobAdded(const JobSpec& spec) {
    sizes_.OnJobAdded(spec.job_class, spec.tasks);
  }
  // The job's position, except for the tier, which the caller sets.
  // `run_seconds` is the estimated run time of one task of the job.
  QueuePosition PositionOf(const Job& job, double run_seconds, Time now) const;
  // Records that all tasks of the gang are about to be started from `position`.
  void RecordPlaced(const Job& job, const QueuePosition& position, Time now);

  // How many tasks an array may start at once when its position is by minimum
  // share.
  static uint32_t MinimumShareOf(const JobSpec& spec);

 private:
  // The time in the queue, in seconds, within which a gang has to start by the
  // strictest (`first`) and the loosest (`last`) objective of its class.
  // Without an objective `first` is infinite and `last` is 0.
  struct StartWindow {
    double first = 0;
    double last = 0;
  };

  static int RankOf(const Job& job);
  QueuePosition ArrayPosition(const Job& job, double run_seconds,
                              Time now) const;
  QueuePosition GangPosition(const Job& job, double run_seconds,
                             Time now) const;
  // Sets the group and key of an array or service that has a due time, either
  // its own or that of jobs that depend on it.
  static void RankByDeadline(const Job& job, const DueTimes& due,
                             double run_seconds, Time now,
                             QueuePosition& position);
  // Moves a gang forward in the queue if it is entitled to the minimum share.
  void ApplyMinimumShare(const Job& job, const StartWindow& window, Time now,
                         QueuePosition& position) const;
  StartWindow StartWindowOf(const JobSpec& spec, double run_seconds) const;
  // Whether the array has waited so long that some of its tasks start ahead of
  // the jobs before it.
  bool StartsOutOfTurn(const Job& job, Time now) const;
  // The estimated work of the job's waiting tasks, in core seconds.
  static double WorkOf(const Job& job);

  // The time in the queue within which every job should begin; 0: no limit.
  const double begin_within_seconds_;
  std::map<std::string, ClassSlos> slos_;  // by class
  JobSizeTracker sizes_;
  FairQueueing fair_queueing_;
};

}  // namespace oxbow
