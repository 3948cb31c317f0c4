// What every module of one leadership works with: its settings, its term, the
// state that all of them read, and the output of the core. One exists per
// leadership and lives as long as the leader. Modules hold references to what
// they need of it.
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

  // The revision of the leader key; and the term of this leadership, the upper
  // part of its fencing tokens, which never occurs again even if the store has
  // lost data.
  const uint64_t revision;
  const uint64_t term;
  const Time started;
  // Added to a time of the steady clock, gives that of the wall clock, s.
  const double wall_minus_steady;
  const SilenceTimeouts timeouts;

  Catalog& catalog;
  ClusterState& cluster;
  WriteQueue& writes;
  // What the shell is to do; taken by Leader::TakeActions.
  std::vector<Action>& actions;
  TierPolicy& tiers;
  LivenessMonitor& liveness;
  FragmentationIndex& fragmentation;
  QueueRanking& queue_ranking;
  RunTimeEstimates& run_times;
  // Runs a scheduling pass at once, if one is due.
  std::function<void(Time now)> schedule_if_needed;

  FencingTokenSource token_source;
  // This leadership is over: nothing may be started or sent any more.
  bool resigned = false;
  // Whether details are logged.
  bool log_detail = false;

  // The next attempt number or fencing token. 0: the numbers of this term are
  // used up, and the leadership is over.
  uint64_t NextToken() {
    const std::optional<uint64_t> number = token_source.Next();
    if (!number) ResignLeadership("numbers of this revision are used up");
    return number.value_or(0);
  }
  // Ends this leadership; the first reason counts.
  void ResignLeadership(std::string reason) {
    if (!resigned) actions.push_back(Resign{std::move(reason)});
    resigned = true;
  }
  void Log(std::string message, LogFields fields = {}) {
    actions.push_back(LogEvent{std::move(message), std::move(fields)});
  }
  // `event`: returns a LogEvent; called only when details are logged, since
  // there is one for every task.
  template <typename Event>
  void LogDetail(const Event& event) {
    if (!log_detail) return;
    LogEvent detail{event()};
    detail.detail = true;
    actions.push_back(std::move(detail));
  }
};

}  // namespace oxbow
