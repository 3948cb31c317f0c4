// The messages between the leader and a worker: heartbeats with the status of
// each task, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/fencing_token.h"

namespace oxbow {

// The phase of a task attempt on its worker.
enum class TaskPhase : uint8_t {
  kFetching,  // the image is being downloaded
  kWaiting,   // for the other tasks of its gang
  kRunning,
  kSaving,  // the state is being saved before the stop
  kExited
};

// Why a task attempt has exited, according to the worker.
enum class ExitReason : uint8_t {
  kNone,  // it has not
  kDone,
  kStopped,
  kGangPeersGone,   // other tasks of its gang ended before it was done
  kGangIncomplete,  // the other tasks of its gang did not start in time
  kError,
  kNoCapacity,  // the machine lacks capacity for it
  kBusy,
  kUnknownTask,
};

// The status of one task attempt in a heartbeat.
struct TaskStatus {
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;  // its state was saved before it exited
};

// A worker's periodic message: its identity and all task attempts on its
// machine. The response to a probe or to a batch of commands has the same form.
struct Heartbeat {
  std::string host;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t incarnation = 0;  // of the worker; increases with each new one
  uint64_t seq = 0;          // increases with each message
  FencingToken token = 0;    // the highest that the worker has seen
  // The time until the cloud reclaims the spot machine, if it has announced
  // that.
  std::optional<double> notice_seconds;
  std::vector<TaskStatus> tasks;
  // Another controller has forwarded the heartbeat and answers the worker on
  // the leader's behalf. Not part of the worker's message.
  bool forwarded = false;
};

// What a worker has to do with a task attempt. After kForget it does not report
// the exit of the attempt any more.
enum class CommandKind : uint8_t { kStart, kStop, kForget };

// One command to a worker. Commands are idempotent for each attempt.
struct WorkerCommand {
  CommandKind kind = CommandKind::kStart;
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_seconds = 0;  // for kStop: time to save the task's state
};

}  // namespace oxbow
