#include "core/rollout/rollout.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum RolloutStep;

constexpr std::array kTransitions = {
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

// The order in which replicas are stopped: first those that do not serve, then
// those that must leave their machine anyway.
enum class StopRank : uint8_t { kUnhealthy, kOnDrainingMachine, kHealthy };

uint32_t SubtractOrZero(uint32_t value, uint32_t less) {
  return value > less ? value - less : 0;
}

// The replica limits while new replicas replace old ones.
RolloutReplicaLimits LimitsWhileAdvancing(const RolloutSpec& spec,
                                          const RolloutObservation& observation,
                                          const RolloutCounts& counts) {
  const uint32_t from_tasks = observation.from_tasks;
  const uint32_t to_tasks = observation.to_tasks;
  const uint32_t total = from_tasks + spec.surge;
  // Without a surge one old replica must stop before the first new replica can
  // start.
  const uint32_t freed_first = spec.surge == 0 ? 1 : 0;
  const uint32_t replaced =
      to_tasks == 0 ? 0
                    : static_cast<uint32_t>(static_cast<uint64_t>(from_tasks) *
                                            counts.new_baked / to_tasks);
  const bool all_baked = counts.new_baked >= to_tasks;
  const uint32_t wanted_old =
      all_baked ? 0 : SubtractOrZero(from_tasks, replaced + freed_first);
  const uint32_t floor_old = SubtractOrZero(spec.floor, counts.new_baked);
  const uint32_t max_old =
      std::min(std::max(wanted_old, floor_old), from_tasks);
  const uint32_t step_size = std::max(1U, spec.surge);
  const uint32_t max_new =
      std::min({to_tasks, counts.new_baked + step_size,
                SubtractOrZero(total, counts.old_present)});
  RolloutReplicaLimits limits;
  // A lost old replica is started again only if no new replica has taken its
  // place.
  limits.max_old = std::min(
      max_old, std::max(floor_old, SubtractOrZero(total, counts.new_present)));
  // The limit restricts starts only, so it is never below the number of new
  // replicas that exist already.
  limits.max_new = std::max(max_new, counts.new_present);
  return limits;
}

}  // namespace

Rollout::Rollout(const RolloutRecord& record, Time now)
    : record_(record), step_since_(now) {}

void Rollout::OnRecord(const RolloutRecord& record, Time now) {
  if (record.mod_revision <= record_.mod_revision) return;
  RolloutStep step = record_.step;
  if (record.step != step) {
    CheckedTransition(step, record.step, kTransitions, "rollout");
    step_since_ = now;
  }
  record_ = record;
}

CheckPolicy Rollout::Policy() const {
  return {spec(),
          std::max(spec().check.interval_seconds, min_check_interval_seconds_)};
}

void Rollout::OnCheck(const TaskAttemptKey& key, const CheckOutcome& outcome,
                      Time now) {
  const auto it = replicas_.find(key);
  if (it == replicas_.end()) return;
  ReplicaHealth& replica = it->second;
  replica.OnCheck(outcome, Policy(), now);
  if (!outcome.good) return;
  LatencyHistogram& latencies =
      replica.observed().is_new ? latencies_.new_build : latencies_.old_build;
  latencies.Add(outcome.latency_seconds);
}

std::vector<TaskAttemptKey> Rollout::TakeDueChecks(size_t most, Time now) {
  std::vector<TaskAttemptKey> due;
  for (auto& [key, replica] : replicas_) {
    if (due.size() >= most) break;
    if (!replica.IsDue(now)) continue;
    replica.BeginCheck();
    due.push_back(key);
  }
  return due;
}

void Rollout::UpdateReplicas(const RolloutObservation& observation, Time now) {
  ReplicaHealthMap next;
  for (const ReplicaObservation& observed : observation.replicas) {
    const auto it = replicas_.find(observed.key);
    ReplicaHealth replica =
        it == replicas_.end() ? ReplicaHealth{} : std::move(it->second);
    replica.Observe(observed, now);
    next.emplace(observed.key, std::move(replica));
  }
  replicas_ = std::move(next);
}

uint32_t Rollout::FloorCount(Time now) const {
  const CheckPolicy policy = Policy();
  return static_cast<uint32_t>(
      std::count_if(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        return entry.second.CountsForFloor(policy, now);
      }));
}

RolloutCounts Rollout::Count(Time now) const {
  const CheckPolicy policy = Policy();
  RolloutCounts counts;
  for (const auto& [key, replica] : replicas_) {
    const ReplicaObservation& observed = replica.observed();
    const bool healthy = replica.Healthy(policy, now);
    if (observed.is_new) {
      ++counts.new_present;
      if (healthy) ++counts.new_healthy;
      if (replica.Baked(policy, now)) ++counts.new_baked;
    } else {
      ++counts.old_present;
      if (healthy) ++counts.old_healthy;
      if (observed.running && !observed.stopping) ++counts.old_running;
    }
  }
  return counts;
}

bool Rollout::MayStop(const TaskAttemptKey& key, Time now) const {
  const auto it = replicas_.find(key);
  if (it == replicas_.end()) return false;  // no review has seen it yet
  const ReplicaHealth& replica = it->second;
  const ReplicaObservation& observed = replica.observed();
  if (replica.failing()) return true;
  if (!observed.running && !observed.stopping && observed.is_new) return true;
  uint32_t count = FloorCount(now);
  // During a rollback new replicas do not count when an old replica is to be
  // stopped. The new build may still pass some checks and then fail right after
  // old replicas were stopped because of these.
  if (step() == kRollingBack && !observed.is_new) {
    count -= Count(now).new_baked;
  }
  return count >=
         spec().floor + (replica.CountsForFloor(Policy(), now) ? 1 : 0);
}

void Rollout::MarkStopping(const TaskAttemptKey& key) {
  const auto it = replicas_.find(key);
  if (it != replicas_.end()) it->second.MarkStopping();
}

bool Rollout::AllChecked() const {
  return std::all_of(replicas_.begin(), replicas_.end(), [](const auto& entry) {
    const ReplicaHealth& replica = entry.second;
    return !replica.observed().running || replica.observed().stopping ||
           replica.checked();
  });
}

std::optional<Rollout::StepChange> Rollout::StepWhileRollingBack(
    const RolloutObservation& observation, Time now) const {
  const RolloutCounts counts = Count(now);
  // If the check itself is faulty, the old replicas may never pass it. The
  // rollback then ends once they all run and the allowed start time has passed.
  const bool restored = counts.old_healthy >= observation.from_tasks ||
                        (counts.old_running >= observation.from_tasks &&
                         now - step_since_ > spec().start_seconds);
  if (counts.new_present > 0 || !restored) return std::nullopt;
  return StepChange{kRolledBack, record_.reason};
}

std::optional<Rollout::StepChange> Rollout::StepOnRequest(
    const RolloutObservation& observation) const {
  if (observation.to_known && !observation.to_live) {
    return StepChange{kRollingBack, spec().to + " was ended by its user"};
  }
  switch (record_.request) {
    case RolloutRequest::kAbort:
      return StepChange{kRollingBack, "aborted by its user"};
    case RolloutRequest::kResume:
      if (step() != kPaused) return std::nullopt;
      return StepChange{record_.paused_in, "resumed by its user"};
    case RolloutRequest::kPause:
      if (step() == kPaused) return std::nullopt;
      return StepChange{kPaused, "paused by its user"};
    case RolloutRequest::kNone:
      break;
  }
  return std::nullopt;
}

Rollout::StepChange Rollout::FirstStep(
    const RolloutObservation& observation) const {
  if (observation.to_tasks < spec().floor) {
    return {kRollingBack, spec().to + " has fewer replicas than the floor"};
  }
  return {kAdvancing, {}};
}

std::optional<Rollout::StepChange> Rollout::StepByHealth(
    const RolloutObservation& observation, Time now) const {
  BuildAssessment assessment =
      AssessBuild(replicas_, latencies_, Policy(), now);
  if (assessment.verdict == BuildVerdict::kUnclear) {
    return StepChange{kPaused, std::move(assessment.reason)};
  }
  if (assessment.verdict == BuildVerdict::kBad) {
    return StepChange{kRollingBack, std::move(assessment.reason)};
  }
  if (!AllChecked()) return std::nullopt;
  const RolloutCounts counts = Count(now);
  const bool all_healthy = counts.new_healthy >= observation.to_tasks;
  const bool replaced =
      counts.new_baked >= observation.to_tasks && counts.old_present == 0;
  if (step() == kAdvancing && all_healthy) return StepChange{kBaking, {}};
  if (step() == kBaking && !all_healthy) return StepChange{kAdvancing, {}};
  if (step() == kBaking && replaced) return StepChange{kWatching, {}};
  if (step() == kWatching && all_healthy &&
      now - step_since_ >= spec().watch_seconds) {
    return StepChange{kDone, {}};
  }
  return std::nullopt;
}

// In order of precedence: the user has ended or not yet submitted a job, the
// user's request, the results of the checks.
std::optional<Rollout::StepChange> Rollout::NextStep(
    const RolloutObservation& observation, Time now) const {
  if (!observation.from_live) {
    return StepChange{
        kFailed, spec().from + " has ended; the new job runs unrestricted"};
  }
  if (step() == kDeclared && !observation.to_known) {
    if (record_.request != RolloutRequest::kAbort) return std::nullopt;
    return StepChange{kRolledBack,
                      "aborted by its user before the new job was submitted"};
  }
  if (step() == kRollingBack) return StepWhileRollingBack(observation, now);
  if (std::optional<StepChange> change = StepOnRequest(observation)) {
    return change;
  }
  if (step() == kPaused) return std::nullopt;
  if (step() == kDeclared) return FirstStep(observation);
  return StepByHealth(observation, now);
}

RolloutReplicaLimits Rollout::LimitsNow(const RolloutObservation& observation,
                                        Time now) const {
  const RolloutCounts counts = Count(now);
  const uint32_t from_tasks = observation.from_tasks;
  const uint32_t old_beside_new =
      std::min(from_tasks,
               SubtractOrZero(from_tasks + spec().surge, counts.new_present));
  if (step() == kDeclared) return {0, from_tasks};
  if (step() == kRollingBack) return {0, old_beside_new};
  if (step() == kPaused || !AllChecked()) {
    // Keep the limits: replicas that are lost meanwhile may be replaced, but no
    // others may start.
    if (limits_) return *limits_;
    return {counts.new_present, std::max(counts.old_present, old_beside_new)};
  }
  if (step() == kWatching) return {observation.to_tasks, 0};
  return LimitsWhileAdvancing(spec(), observation, counts);
}

std::vector<TaskAttemptKey> Rollout::StopOrder(bool is_new, Time now) const {
  struct Candidate {
    StopRank rank;
    TaskAttemptKey key;
    auto operator<=>(const Candidate&) const = default;
  };
  const CheckPolicy policy = Policy();
  std::vector<Candidate> candidates;
  for (const auto& [key, replica] : replicas_) {
    const ReplicaObservation& observed = replica.observed();
    if (observed.is_new != is_new || observed.stopping) continue;
    const StopRank rank = !replica.Healthy(policy, now) ? StopRank::kUnhealthy
                          : observed.machine_draining
                              ? StopRank::kOnDrainingMachine
                              : StopRank::kHealthy;
    candidates.push_back({rank, key});
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<TaskAttemptKey> keys;
  keys.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    keys.push_back(std::move(candidate.key));
  }
  return keys;
}

std::vector<TaskAttemptKey> Rollout::ReplicasToStop(Time now) const {
  if (step() == kPaused || step() == kDeclared) return {};
  const bool rolling_back = step() == kRollingBack;
  const std::vector<TaskAttemptKey> candidates = StopOrder(rolling_back, now);
  const auto present = static_cast<uint32_t>(candidates.size());
  const uint32_t most = rolling_back ? 0 : MaxOldReplicas();
  if (present <= most) return {};
  if (!rolling_back && !AllChecked()) return {};
  uint32_t excess = present - most;
  uint32_t floor_count = FloorCount(now);
  std::vector<TaskAttemptKey> stop;
  for (const TaskAttemptKey& key : candidates) {
    if (excess == 0) break;
    const ReplicaHealth& replica = replicas_.at(key);
    const uint32_t counted = replica.CountsForFloor(Policy(), now) ? 1 : 0;
    const bool not_serving = replica.failing() || !replica.observed().running;
    if (!not_serving && floor_count < spec().floor + counted) continue;
    floor_count -= counted;
    --excess;
    stop.push_back(key);
  }
  return stop;
}

RolloutPlan Rollout::Review(const RolloutObservation& observation, Time now) {
  UpdateReplicas(observation, now);
  RolloutPlan plan;
  if (std::optional<StepChange> change = NextStep(observation, now)) {
    plan.next = change->next;
    plan.reason = std::move(change->reason);
  }
  limits_ = LimitsNow(observation, now);
  // No replica is stopped while a step change is pending: a step takes effect
  // only after it has been recorded.
  if (!plan.next) plan.stop = ReplicasToStop(now);
  for (const TaskAttemptKey& key : plan.stop) MarkStopping(key);
  return plan;
}

}  // namespace oxbow
