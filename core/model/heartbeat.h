// The messages between the leader and a worker: heartbeats with the status of
// each task, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/fencing_token.h"

namespace oxbow {

enum class TaskPhase : uint8_t {
  kFetching,
  kWaiting,
  kRunning,
  kSaving,
  kExited
};

enum class ExitReason : uint8_t {
  kNone,
  kDone,
  kStopped,
  kPeersGone,
  kAlone,
  kError,
  kNoRoom,
  kBusy,
  kUnknownTask,
};

struct TaskStatus {
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
};

struct Heartbeat {
  std::string host;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t incarnation = 0;
  uint64_t seq = 0;
  FencingToken token = 0;
  std::optional<double> notice_seconds;
  std::vector<TaskStatus> tasks;
  // Forwarded by another controller, which answers the worker for the leader.
  // Not part of the worker's message.
  bool forwarded = false;
};

enum class CommandKind : uint8_t { kStart, kStop, kForget };

struct WorkerCommand {
  CommandKind kind = CommandKind::kStart;
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_seconds = 0;
};

}  // namespace oxbow
