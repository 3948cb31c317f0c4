// Whose turn it is among the jobs that wait. A pure function of the jobs, the
// users' aims and what was placed lately; preemption is decided elsewhere.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/fair_queueing/fair_queueing.h"
#include "core/model/job.h"
#include "core/model/settings.h"

namespace oxbow {

// What the users expect of a class, each ascending.
struct ClassSlos {
  std::vector<double> deadline_times;  // multiples of the job's deadline
  std::vector<double> start_within;    // s
  std::vector<double> finish_within;   // s
};

// A job's place in the queue, least first; then by age, then by id.
struct QueuePosition {
  int rank = 0;  // by priority and guarantee
  // Of the operators, within the rank: a tier comes before another where
  // neither job could stop the other. What was started against that would be
  // stopped again at once.
  int tier = 0;
  int group = 0;   // within the tier
  double key = 0;  // within the group
  // It goes first since it has waited for long: an array then starts only as
  // much as shows that it has begun.
  bool by_minimum_share = false;

  bool Before(const QueuePosition& position) const {
    if (rank != position.rank) return rank < position.rank;
    if (tier != position.tier) return tier < position.tier;
    if (group != position.group) return group < position.group;
    return key < position.key;
  }
};

class QueueRanking {
 public:
  QueueRanking(const Settings& settings, const Tuning& tuning);

  const ClassSlos& SlosOf(const JobSpec& spec) const;
  // How soon the class's tasks are to start, s; for ever if nobody has said.
  double WaitSloSeconds(const JobSpec& spec) const;

  // By when such a job should be complete; never, without a deadline.
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const;

  void Seen(const JobSpec& spec) { sizes_.Seen(spec.job_class, spec.tasks); }
  // `run_s`: what a task of it takes, as far as known.
  QueuePosition PositionOf(const Job& job, double run_seconds, Time now) const;
  // A gang has been placed whole, from that place in the queue.
  void Placed(const Job& job, const QueuePosition& from, Time now);

  // How many tasks an array may start at once when it goes first by the minimum
  // share.
  static uint32_t MinimumShareOf(const JobSpec& spec);

 private:
  // By the rules' four minutes, 0 when they are not asked for.
  bool HasMinimumShare(const Job& job, Time now) const;
  void ArrayPlace(const Job& job, double run_seconds, Time now,
                  QueuePosition* out) const;
  void GangPlace(const Job& job, double run_seconds, Time now,
                 QueuePosition* out) const;
  static double WorkOf(const Job& job);

  const double begin_within_seconds_;
  std::map<std::string, ClassSlos> slos_;  // by class
  LargestSizes sizes_;
  FairQueueing fair_queueing_;
};

}  // namespace oxbow
