// What a worker says and what it is told.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

struct TaskReport {
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
};

struct WorkerReport {
  std::string host;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t session = 0;
  uint64_t seq = 0;
  uint64_t token = 0;
  std::optional<double> notice_s;
  std::vector<TaskReport> tasks;
  // By way of another controller, which answers the worker for the leader. Not
  // said by the worker itself.
  bool relayed = false;
};

enum class OrderKind : uint8_t { kStart, kStop, kForget };

struct Order {
  OrderKind kind = OrderKind::kStart;
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;
};

}  // namespace oxbow
