#include "core/rollout/rollout.h"

#include <algorithm>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum RolloutStep;

constexpr std::array kChanges = {
    std::pair{kDeclared, kAdvancing},  std::pair{kDeclared, kPaused},
    std::pair{kDeclared, kRolledBack}, std::pair{kDeclared, kRollingBack},
    std::pair{kDeclared, kFailed},     std::pair{kAdvancing, kBaking},
    std::pair{kAdvancing, kPaused},    std::pair{kAdvancing, kRollingBack},
    std::pair{kAdvancing, kFailed},    std::pair{kBaking, kAdvancing},
    std::pair{kBaking, kWatching},     std::pair{kBaking, kPaused},
    std::pair{kBaking, kRollingBack},  std::pair{kBaking, kFailed},
    std::pair{kWatching, kPaused},     std::pair{kWatching, kRollingBack},
    std::pair{kWatching, kDone},       std::pair{kWatching, kFailed},
    std::pair{kPaused, kDeclared},     std::pair{kPaused, kAdvancing},
    std::pair{kPaused, kBaking},       std::pair{kPaused, kWatching},
    std::pair{kPaused, kRollingBack},  std::pair{kPaused, kFailed},
    std::pair{kPaused, kRolledBack},   std::pair{kRollingBack, kRolledBack},
    std::pair{kRollingBack, kPaused},  std::pair{kRollingBack, kFailed},
};

}  // namespace

Rollout::Rollout(const RolloutRecord& record, Time now)
    : record_(record), step_since_(now) {}

void Rollout::OnRecord(const RolloutRecord& record, Time now) {
  if (record.mod_revision <= record_.mod_revision) return;
  RolloutStep step = record_.step;
  if (record.step != step) {
    CheckedChange(step, record.step, kChanges, "roll-out");
    step_since_ = now;
  }
  record_ = record;
}

double Rollout::Interval() const {
  return std::max(spec().check.interval_seconds, pace_seconds_);
}

void Rollout::ChangeHealth(Instance& instance, Health next, Time now) {
  if (instance.health == next) return;
  instance.health = next;
  if (next == Health::kHealthy) instance.healthy_since = now;
}

void Rollout::OnCheck(const TaskAttemptKey& key, const CheckOutcome& outcome,
                      Time now) {
  const auto it = instances_.find(key);
  if (it == instances_.end()) return;
  Instance& instance = it->second;
  instance.checking = false;
  instance.answered = outcome.answered;
  instance.next_check = now + Interval();
  if (outcome.good) {
    // Baking is without a gap: one that flaps never counts for the floor.
    if (instance.bad > 0) instance.healthy_since = now;
    ++instance.good;
    instance.bad = 0;
    instance.proven = false;
    instance.last_good = now;
    if (Baked(instance, now)) instance.relapses = 0;
    (instance.view.is_new ? new_latency_ : old_latency_)
        .Add(outcome.latency_seconds);
    if (instance.good >= spec().check.good_in_row) {
      ChangeHealth(instance, Health::kHealthy, now);
    }
    return;
  }
  if (instance.good > 0 && outcome.answered) ++instance.relapses;
  instance.good = 0;
  if (instance.bad++ == 0) instance.first_bad = now;
  // Silence proves nothing against the build unless its machine is heard in
  // the middle of it: behind a cut all is silent, and when the cut ends the
  // machine is heard a moment before the next check passes.
  if (outcome.answered || instance.heard_at_start > instance.first_bad)
    instance.proven = true;
  // One that has never passed gets the time to start.
  const bool starting = instance.health == Health::kUnknown &&
                        now - instance.seen_running < spec().start_seconds;
  if (instance.bad >= spec().check.bad_in_row && instance.proven && !starting) {
    ChangeHealth(instance, Health::kFailing, now);
  }
}

std::vector<TaskAttemptKey> Rollout::TakeDue(size_t most, Time now) {
  std::vector<TaskAttemptKey> due;
  for (auto& [key, i] : instances_) {
    if (due.size() >= most) break;
    if (!i.view.running || i.checking || now < i.next_check) continue;
    i.checking = true;
    i.heard_at_start = i.view.last_heard;
    due.push_back(key);
  }
  return due;
}

void Rollout::Take(const RolloutView& view, Time now) {
  std::map<TaskAttemptKey, Instance> next;
  for (const InstanceView& seen : view.instances) {
    const auto it = instances_.find(seen.key);
    Instance instance =
        it == instances_.end() ? Instance{} : std::move(it->second);
    instance.view = seen;
    if (seen.running && instance.seen_running < 0) {
      instance.seen_running = now;
      instance.next_check = now;
    }
    next.emplace(seen.key, std::move(instance));
  }
  instances_ = std::move(next);
}

bool Rollout::Healthy(const Instance& instance, Time now) const {
  const HealthCheck& check = spec().check;
  const double fresh = 2 * (Interval() + check.timeout_seconds);
  return instance.view.running && !instance.view.stopping &&
         instance.health == Health::kHealthy && instance.bad == 0 &&
         now - instance.last_good <= fresh;
}

bool Rollout::Baked(const Instance& instance, Time now) const {
  return Healthy(instance, now) &&
         now - instance.healthy_since >= spec().bake_seconds;
}

// A check that passes now and fails two minutes later: a new instance carries
// the floor only once it has baked.
bool Rollout::Counts(const Instance& instance, Time now) const {
  return instance.view.is_new ? Baked(instance, now) : Healthy(instance, now);
}

uint32_t Rollout::Counted(Time now) const {
  return static_cast<uint32_t>(
      std::count_if(instances_.begin(), instances_.end(),
                    [&](const auto& e) { return Counts(e.second, now); }));
}

RolloutCounts Rollout::Count(Time now) const {
  RolloutCounts out;
  for (const auto& [key, i] : instances_) {
    const bool healthy = Healthy(i, now);
    ++(i.view.is_new ? out.new_there : out.old_there);
    (i.view.is_new ? out.new_healthy : out.old_healthy) += healthy;
    out.old_running += !i.view.is_new && i.view.running && !i.view.stopping;
    out.new_baked += i.view.is_new && Baked(i, now);
  }
  return out;
}

bool Rollout::MayStop(const TaskAttemptKey& key, Time now) const {
  const auto it = instances_.find(key);
  // Not looked at yet, or not of this rollout's picture: no.
  if (it == instances_.end()) return false;
  const Instance& instance = it->second;
  if (instance.health == Health::kFailing) return true;
  if (!instance.view.running && !instance.view.stopping && instance.view.is_new)
    return true;
  uint32_t counted = Counted(now);
  // A build that is being taken back carries nothing that an old instance is
  // needed for: while it still passed here and there, old ones have been let
  // go from a machine that was being drained, and it failed a moment later.
  if (step() == kRollingBack && !instance.view.is_new) {
    counted -= Count(now).new_baked;
  }
  return counted >= spec().floor + (Counts(instance, now) ? 1 : 0);
}

void Rollout::NoteStopping(const TaskAttemptKey& key) {
  const auto it = instances_.find(key);
  if (it != instances_.end()) it->second.view.stopping = true;
}

bool Rollout::AllSeen() const {
  return std::all_of(instances_.begin(), instances_.end(), [](const auto& e) {
    const Instance& instance = e.second;
    return !instance.view.running || instance.view.stopping ||
           instance.good > 0 || instance.bad > 0;
  });
}

Rollout::HealthExpression Rollout::Judge(Time now) const {
  constexpr uint64_t kEnough = 100;
  constexpr double kQuantile = 0.9;
  HealthExpression out;
  bool witness = false;  // somebody passes, or answers at least
  for (const auto& [key, i] : instances_) {
    witness = witness || Healthy(i, now);
  }
  for (const auto& [key, i] : instances_) {
    if (!i.view.is_new || i.health != Health::kFailing || i.view.stopping) {
      continue;
    }
    // A machine that is silent is no fault of the build.
    if (!i.view.heard) continue;
    out.fails = true;
    out.why = "task " + std::to_string(key.task) + " of " + key.job_id +
              (i.answered ? " fails its check" : " does not answer its check");
    // The old ones fail the same check beside it: the network or the check.
    const uint32_t as_many = std::max(1U, spec().check.bad_in_row - 1);
    for (const auto& [other_key, other] : instances_) {
      if (!other.view.is_new && other.view.running && !other.view.stopping &&
          other.view.zone == i.view.zone && other.bad >= as_many) {
        out.pause = true;
        out.why += ", and so does the old task " +
                   std::to_string(other_key.task) + " in " + i.view.zone;
        return out;
      }
    }
    if (!witness && !i.answered) {
      out.pause = true;
      out.why += ", and nothing else passes it either";
      return out;
    }
    return out;
  }
  // One that passes and fails in turn holds everything up.
  constexpr uint32_t kRelapses = 3;
  for (const auto& [key, i] : instances_) {
    if (i.view.is_new && i.view.running && !i.view.stopping && i.view.heard &&
        i.relapses >= kRelapses) {
      out.fails = true;
      out.why = "task " + std::to_string(key.task) + " of " + key.job_id +
                " does not stay healthy";
      return out;
    }
  }
  const double slow = spec().check.slow_ratio;
  if (slow > 0 && old_latency_.count() >= kEnough &&
      new_latency_.count() >= kEnough &&
      new_latency_.Quantile(kQuantile) >
          slow * old_latency_.Quantile(kQuantile)) {
    out.fails = true;
    out.why = "the new instances answer too slowly";
  }
  return out;
}

// The step that should be recorded now, if it is another.
RolloutPlan Rollout::Next(const RolloutView& view, Time now) const {
  RolloutPlan plan;
  const auto go = [&](RolloutStep next, std::string why) {
    plan.next = next;
    plan.reason = std::move(why);
    return plan;
  };
  const RolloutStep at = step();
  // What its user has done to the jobs comes first.
  if (!view.from_live) {
    return go(kFailed,
              spec().from + " has ended; the new job runs unrestricted");
  }
  const RolloutCounts counts = Count(now);
  const bool to_gone = view.to_known && !view.to_live;
  if (at == kDeclared && !view.to_known) {
    if (record_.request == RolloutRequest::kAbort) {
      return go(kRolledBack, "aborted by its user before the new job came");
    }
    return plan;
  }
  if (at == kRollingBack) {
    // Where the check itself is at fault, the old ones may never pass it.
    const bool back = counts.old_healthy >= view.from_tasks ||
                      (counts.old_running >= view.from_tasks &&
                       now - step_since_ > spec().start_seconds);
    if (counts.new_there == 0 && back) return go(kRolledBack, record_.reason);
    return plan;
  }
  if (to_gone) {
    return go(kRollingBack, spec().to + " was ended by its user");
  }
  if (record_.request == RolloutRequest::kAbort) {
    return go(kRollingBack, "aborted by its user");
  }
  if (at == kPaused) {
    if (record_.request == RolloutRequest::kResume) {
      return go(record_.paused_in, "resumed by its user");
    }
    return plan;
  }
  if (record_.request == RolloutRequest::kPause) {
    return go(kPaused, "paused by its user");
  }
  if (at == kDeclared) {
    if (view.to_tasks < spec().floor) {
      return go(kRollingBack, spec().to + " has fewer replicas than the floor");
    }
    return go(kAdvancing, {});
  }
  const HealthExpression verdict = Judge(now);
  if (verdict.fails) {
    return go(verdict.pause ? kPaused : kRollingBack, verdict.why);
  }
  if (!AllSeen()) return plan;
  const bool all_healthy = counts.new_healthy >= view.to_tasks;
  if (at == kAdvancing && all_healthy) return go(kBaking, {});
  if (at == kBaking && !all_healthy) return go(kAdvancing, {});
  if (at == kBaking && counts.new_baked >= view.to_tasks &&
      counts.old_there == 0) {
    return go(kWatching, {});
  }
  if (at == kWatching && all_healthy &&
      now - step_since_ >= spec().watch_seconds) {
    return go(kDone, {});
  }
  return plan;
}

void Rollout::Limit(const RolloutView& view, Time now) {
  const RolloutCounts counts = Count(now);
  const uint32_t total = view.from_tasks + spec().surge;
  const auto less = [](uint32_t a, uint32_t b) { return a > b ? a - b : 0; };
  const bool frozen = step() == kPaused || !AllSeen();
  if (step() == kDeclared) {
    most_new_ = 0;
    most_old_ = view.from_tasks;
  } else if (step() == kRollingBack) {
    most_new_ = 0;
    most_old_ = std::min(view.from_tasks, less(total, counts.new_there));
  } else if (frozen) {
    // What is lost meanwhile may come back, nothing beyond it.
    if (!limited_) {
      most_new_ = counts.new_there;
      most_old_ =
          std::max(counts.old_there,
                   std::min(view.from_tasks, less(total, counts.new_there)));
    }
  } else if (step() == kWatching) {
    most_new_ = view.to_tasks;
    most_old_ = 0;
  } else {
    // Without a surge the first room comes from an old one.
    const uint32_t lead = spec().surge == 0 ? 1 : 0;
    const uint32_t replaced =
        view.to_tasks == 0
            ? 0
            : static_cast<uint32_t>(static_cast<uint64_t>(view.from_tasks) *
                                    counts.new_baked / view.to_tasks);
    const bool whole = counts.new_baked >= view.to_tasks;
    uint32_t old = whole ? 0 : less(view.from_tasks, replaced + lead);
    const uint32_t needed = less(spec().floor, counts.new_baked);
    old = std::min(std::max(old, needed), view.from_tasks);
    // One that was lost comes back only where no new one has its place.
    most_old_ = std::min(old, std::max(needed, less(total, counts.new_there)));
    const uint32_t step_size = std::max(1U, spec().surge);
    most_new_ = std::min({view.to_tasks, counts.new_baked + step_size,
                          less(total, counts.old_there)});
    // What is there already stays; only what comes is held to the limit.
    most_new_ = std::max(most_new_, counts.new_there);
  }
  limited_ = true;
}

std::vector<TaskAttemptKey> Rollout::Victims(Time now) const {
  std::vector<TaskAttemptKey> out;
  if (step() == kPaused || step() == kDeclared) return out;
  const bool back = step() == kRollingBack;
  const uint32_t there = static_cast<uint32_t>(
      std::count_if(instances_.begin(), instances_.end(), [&](const auto& e) {
        return e.second.view.is_new == back && !e.second.view.stopping;
      }));
  const uint32_t most = back ? 0 : most_old_;
  if (there <= most) return out;
  if (!back && !AllSeen()) return out;
  uint32_t excess = there - most;
  // First those that do nobody any good, then those that must move anyway.
  std::vector<std::pair<int, TaskAttemptKey>> order;
  for (const auto& [key, i] : instances_) {
    if (i.view.is_new != back || i.view.stopping) continue;
    const int rank = !Healthy(i, now) ? 0 : i.view.leaving ? 1 : 2;
    order.emplace_back(rank, key);
  }
  std::sort(order.begin(), order.end());
  uint32_t counted = Counted(now);
  for (const auto& [rank, key] : order) {
    if (excess == 0) break;
    const Instance& instance = instances_.at(key);
    const bool carries = Counts(instance, now);
    const bool useless =
        instance.health == Health::kFailing || !instance.view.running;
    if (!useless && counted < spec().floor + (carries ? 1 : 0)) continue;
    counted -= carries;
    --excess;
    out.push_back(key);
  }
  return out;
}

RolloutPlan Rollout::Review(const RolloutView& view, Time now) {
  Take(view, now);
  RolloutPlan plan = Next(view, now);
  Limit(view, now);
  // A step that is not recorded yet has not begun.
  if (!plan.next) plan.stop = Victims(now);
  for (const TaskAttemptKey& key : plan.stop) NoteStopping(key);
  return plan;
}

}  // namespace oxbow
