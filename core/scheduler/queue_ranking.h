// Positions in the queue of waiting jobs. Computed from the job, the service
// level objectives of its class, and what was placed lately; who may preempt
// whom is decided elsewhere.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/fair_queueing/fair_queueing.h"
#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// The service level objectives of one class of jobs, each list ascending.
struct ClassSlos {
  std::vector<double> deadline_times;  // multiples of the job's deadline
  std::vector<double> start_within;    // s
  std::vector<double> finish_within;   // s
};

// A job's position in the queue, the least first. Jobs with equal positions are
// ordered by age, then by id.
struct QueuePosition {
  int rank = 0;  // by priority and guaranteed quota
  // Of the operators, within the rank: a tier comes before another only where
  // neither job may preempt the other. What was started against that would be
  // preempted again at once.
  int tier = 0;
  int group = 0;   // within the tier
  double key = 0;  // within the group
  // It comes first since it has waited long: an array then starts only a small
  // part of its tasks.
  bool by_minimum_share = false;

  bool Before(const QueuePosition& other) const {
    if (rank != other.rank) return rank < other.rank;
    if (tier != other.tier) return tier < other.tier;
    if (group != other.group) return group < other.group;
    return key < other.key;
  }
};

// Computes queue positions. Owns what it has to remember for that: the
// objectives, the sizes of jobs seen, and the work placed lately per class.
class QueueRanking {
 public:
  QueueRanking(const Settings& settings, const Tuning& tuning);

  // The objectives of the job's class; empty lists if there are none.
  const ClassSlos& SlosOf(const JobSpec& spec) const;
  // How soon tasks of the class are to start, s; nothing without an objective.
  std::optional<double> WaitSloSeconds(const JobSpec& spec) const;
  // By when such a job should be complete; never, without a deadline.
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const;

  // A job was accepted, or found by a new leader.
  void OnJobAdded(const JobSpec& spec) {
    sizes_.OnJobAdded(spec.job_class, spec.tasks);
  }
  // `run_seconds`: how long a task of the job takes, as far as known. The tier
  // is left for the caller to set.
  QueuePosition PositionOf(const Job& job, double run_seconds, Time now) const;
  // The gang is about to be started whole, from that position in the queue.
  void RecordPlaced(const Job& job, const QueuePosition& position, Time now);

  // How many tasks an array may start at once when it comes first by the
  // minimum share.
  static uint32_t MinimumShareOf(const JobSpec& spec);

 private:
  // Within how many seconds in the queue a gang is to start, by the first and
  // by the last of its class's objectives. Without one, `last` is 0.
  struct StartWindow {
    double first = 0;
    double last = 0;
  };

  static int RankOf(const Job& job);
  QueuePosition ArrayPosition(const Job& job, double run_seconds,
                              Time now) const;
  QueuePosition GangPosition(const Job& job, double run_seconds,
                             Time now) const;
  // Sets the group and key of an array or service that has a deadline.
  static void RankByDeadline(const Job& job, const DueTimes& due,
                             double run_seconds, Time now,
                             QueuePosition& position);
  // Moves a gang forward that is to start by the minimum share.
  void ApplyMinimumShare(const Job& job, const StartWindow& window, Time now,
                         QueuePosition& position) const;
  StartWindow StartWindowOf(const JobSpec& spec, double run_seconds) const;
  // Whether the array has waited so long that a part of it starts out of turn.
  bool StartsOutOfTurn(const Job& job, Time now) const;
  // Of the tasks that wait, core seconds.
  static double WorkOf(const Job& job);

  const double begin_within_seconds_;      // 0: not limited
  std::map<std::string, ClassSlos> slos_;  // by class
  JobSizeTracker sizes_;
  FairQueueing fair_queueing_;
};

}  // namespace oxbow
