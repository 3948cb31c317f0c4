// What the modules of one leadership share: the settings, the term, the state
// that all of them read, and the list of actions that they return. One object
// exists per leadership and lives as long as its Leader. Modules keep
// references to the members that they need.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/cluster_state/cluster_state.h"
#include "core/leader_context/actions.h"
#include "core/leader_context/command_counters.h"
#include "core/leader_context/run_time_estimates.h"
#include "core/lease/fencing_token_source.h"
#include "core/model/settings.h"
#include "core/model/timeouts.h"
#include "core/packing/fragmentation.h"
#include "core/priority_tiers/tier_policy.h"
#include "core/scheduler/queue_ranking.h"
#include "core/store_writes/write_queue.h"
#include "core/worker_sessions/liveness_monitor.h"

namespace oxbow {

// Owned by LeaderModules.
struct LeaderContext {
  const Settings& settings;
  const Tuning& tuning;

  // `revision`: the mod revision of the leader key. `term`: the upper part of
  // this leadership's fencing tokens; it never occurs again, even if the
  // key-value store has lost data.
  const uint64_t revision;
  const uint64_t term;
  const Time started;
  // The wall clock minus the steady clock, s.
  const double wall_minus_steady;
  const SilenceTimeouts timeouts;

  Catalog& catalog;
  ClusterState& cluster;
  WriteQueue& writes;
  // Actions for the application to carry out; see Leader::TakeActions.
  std::vector<Action>& actions;
  TierPolicy& tiers;
  LivenessMonitor& liveness;
  FragmentationIndex& fragmentation;
  QueueRanking& queue_ranking;
  RunTimeEstimates& run_times;
  // Runs a scheduling pass immediately if one is due.
  std::function<void(Time now)> schedule_if_needed;

  FencingTokenSource token_source;
  CommandCounters counters;
  // Whether this leadership is over. If so, nothing may be started or sent any
  // more.
  bool resigned = false;
  // Whether debug events are logged.
  bool log_detail = false;

  // The next fencing token, which also serves as an attempt number. Returns 0,
  // and resigns, if the tokens of this term are used up.
  uint64_t NextToken() {
    const std::optional<uint64_t> number = token_source.Next();
    if (!number)
      ResignLeadership("the fencing tokens of this term are used up");
    return number.value_or(0);
  }
  // Resigns the leadership. Only the first call has an effect.
  void ResignLeadership(std::string reason) {
    if (!resigned) actions.push_back(Resign{std::move(reason)});
    resigned = true;
  }
  void Log(std::string message, LogFields fields = {}) {
    actions.push_back(LogEvent{std::move(message), std::move(fields)});
  }
  // Logs an event that occurs once per task. `event` is a function that returns
  // the LogEvent; it is called only if details are logged.
  template <typename Event>
  void LogDetail(const Event& event) {
    if (!log_detail) return;
    LogEvent detail{event()};
    detail.level = LogLevel::kDebug;
    actions.push_back(std::move(detail));
  }
  // Logs a violated invariant.
  void LogError(std::string message, LogFields fields) {
    actions.push_back(
        LogEvent{std::move(message), std::move(fields), LogLevel::kError});
  }
};

}  // namespace oxbow
