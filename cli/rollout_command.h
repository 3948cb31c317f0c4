// `oxbowbank rollout ...`: declares, shows and controls rollouts.
#pragma once

#include <string>

namespace oxbow::cli {

// The arguments of the command.
struct RolloutCommand {
  std::string verb;     // start, status, watch, pause, resume, abort
  std::string address;  // of any controller
  // The declaration's path for start, else the rollout's id; may be empty for
  // status.
  std::string subject;
  bool json = false;
};

// Exit codes of the command.
inline constexpr int kRolloutOk = 0;
inline constexpr int kRolloutRefused = 1;  // or no answer in time
inline constexpr int kRolloutBadUse = 2;
inline constexpr int kRolloutNotDone = 3;  // watch: rolled back or failed

// Blocks; returns the exit code.
int RunRollout(const RolloutCommand& command);

}  // namespace oxbow::cli
