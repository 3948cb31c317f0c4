// The messages between the leader and a worker: heartbeats with the status of
// each task, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/fencing_token.h"

namespace oxbow {

// How far a worker has got with a task.
enum class TaskPhase : uint8_t {
  kFetching,
  kWaiting,
  kRunning,
  kSaving,
  kExited
};

// Why a task is not running any more, as the worker says.
enum class ExitReason : uint8_t {
  kNone,
  kDone,
  kStopped,
  kGangPeersGone,
  kGangIncomplete,
  kError,
  kNoCapacity,
  kBusy,
  kUnknownTask,
};

// One task attempt as listed in a heartbeat.
struct TaskStatus {
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
};

// A worker's periodic message: who it is, and everything that is on its
// machine. Also the answer to a probe or to a batch of commands.
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

// What a worker is told to do with a task attempt.
enum class CommandKind : uint8_t { kStart, kStop, kForget };

// One command to a worker. Commands are idempotent per attempt.
struct WorkerCommand {
  CommandKind kind = CommandKind::kStart;
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_seconds = 0;
};

}  // namespace oxbow
