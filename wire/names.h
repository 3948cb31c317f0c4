// The names of enum values in JSON messages and records. They are defined only
// here.
#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/rollout/rollout.h"

namespace oxbow::wire {

template <typename Term, size_t N>
constexpr std::string_view NameOf(
    const std::array<std::pair<Term, std::string_view>, N>& names, Term term) {
  for (const auto& [t, name] : names) {
    if (t == term) return name;
  }
  return {};
}

template <typename Term, size_t N>
constexpr bool TermOf(
    const std::array<std::pair<Term, std::string_view>, N>& names,
    std::string_view name, Term* out) {
  for (const auto& [t, n] : names) {
    if (n == name) {
      *out = t;
      return true;
    }
  }
  return false;
}

using Kind = std::pair<JobKind, std::string_view>;
inline constexpr std::array kJobKinds = {Kind{JobKind::kArray, "batch"},
                                         Kind{JobKind::kGang, "ensemble"},
                                         Kind{JobKind::kService, "service"}};

using Rank = std::pair<Priority, std::string_view>;
inline constexpr std::array kPriorities = {
    Rank{Priority::kProduction, "production"}, Rank{Priority::kHigh, "urgent"},
    Rank{Priority::kNormal, "standard"}, Rank{Priority::kLow, "best_effort"}};

using Phase = std::pair<TaskPhase, std::string_view>;
inline constexpr std::array kPhases = {Phase{TaskPhase::kFetching, "pulling"},
                                       Phase{TaskPhase::kWaiting, "gathering"},
                                       Phase{TaskPhase::kRunning, "running"},
                                       Phase{TaskPhase::kSaving, "saving"},
                                       Phase{TaskPhase::kExited, "exited"}};

using Reason = std::pair<ExitReason, std::string_view>;
inline constexpr std::array kReasons = {
    Reason{ExitReason::kDone, "done"},
    Reason{ExitReason::kStopped, "halted"},
    Reason{ExitReason::kGangPeersGone, "mates_gone"},
    Reason{ExitReason::kGangIncomplete, "alone"},
    Reason{ExitReason::kError, "error"},
    Reason{ExitReason::kNoCapacity, "full"},
    Reason{ExitReason::kBusy, "in_use"},
    Reason{ExitReason::kUnknownTask, "no_such"}};

using Op = std::pair<CommandKind, std::string_view>;
inline constexpr std::array kCommands = {Op{CommandKind::kStart, "run"},
                                         Op{CommandKind::kStop, "kill"},
                                         Op{CommandKind::kForget, "clear"}};

using Terminal = std::pair<TerminalState, std::string_view>;
inline constexpr std::array kTerminalStates = {
    Terminal{TerminalState::kDone, "done"},
    Terminal{TerminalState::kAborted, "aborted"}};

using Step = std::pair<RolloutStep, std::string_view>;
inline constexpr std::array kRolloutStepNames = {
    Step{RolloutStep::kDeclared, "declared"},
    Step{RolloutStep::kAdvancing, "advancing"},
    Step{RolloutStep::kBaking, "baking"},
    Step{RolloutStep::kWatching, "watching"},
    Step{RolloutStep::kPaused, "paused"},
    Step{RolloutStep::kRollingBack, "rolling_back"},
    Step{RolloutStep::kDone, "done"},
    Step{RolloutStep::kRolledBack, "rolled_back"},
    Step{RolloutStep::kFailed, "failed"}};

using Wish = std::pair<RolloutRequest, std::string_view>;
inline constexpr std::array kRolloutRequests = {
    Wish{RolloutRequest::kNone, "none"}, Wish{RolloutRequest::kPause, "pause"},
    Wish{RolloutRequest::kResume, "resume"},
    Wish{RolloutRequest::kAbort, "abort"}};

}  // namespace oxbow::wire
