// What the leader's core asks of the shell, and what the shell answers: plain
// data, so that clients need not know the core that decides.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/model/fencing_token.h"
#include "core/model/heartbeat.h"
#include "core/model/log_event.h"
#include "core/model/machine.h"
#include "core/rollout/rollout.h"

namespace oxbow {

// --- actions

struct SendCommands {  // POST to the worker's command path
  std::string host;
  std::string endpoint;
  uint64_t batch = 0;
  FencingToken token = 0;
  uint64_t incarnation = 0;
  std::vector<WorkerCommand> commands;
};

struct Probe {  // ask the worker for a heartbeat
  std::string host;
  std::string endpoint;
};

struct Precondition {
  std::string key;
  uint64_t mod_revision = 0;
};

struct Mutation {
  std::string key;
  Record record;  // monostate deletes
};

struct CompareAndSwap {
  uint64_t id = 0;
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};

struct ReadKeys {
  uint64_t id = 0;
  std::vector<std::string> keys;
};

struct RequestScaleOut {
  std::string name;
  ScaleOutRecord scale_out;
};

struct DeleteMachines {
  std::vector<std::string> hosts;
};

struct JobTerminated {  // recorded: whoever waits for it can be answered
  std::string id;
  TerminalState state = TerminalState::kNone;
};

// Ask an instance of a rollout whether it is well.
struct CheckInstance {
  std::string rollout;
  TaskAttemptKey key;
  std::string endpoint;  // of its machine's worker: the address counts
  std::shared_ptr<const RolloutSpec> spec;
};

// Ask every controller, this one too, which of these machines it reaches.
struct AskReach {
  uint64_t round = 0;
  bool sample = false;  // of all machines; else those that are silent
  std::vector<std::string> hosts;
  std::vector<std::string> endpoints;  // of the same
};

// Ask another controller to take over; if it agrees, this one steps down.
struct OfferLeadershipTransfer {
  std::string to;
  std::string why;
};

// Ask these controllers not to keep the workers of their zone for a moment.
struct RequestLeaseYield {
  std::vector<std::string> peers;
};

// Read again whose right to keep a zone's workers is recorded.
struct ReadDelegates {};

// A task runs whose job is not known here: read how it stands.
struct RequestJobRecord {
  std::string id;
};

// Another job waits for this one, and nobody here knows how it stands: read its
// waiting record, its live one and its end, in this order.
struct ReadTerminalState {
  std::string id;
};

struct Resign {
  std::string reason;
  bool unfit = false;  // others should go first
};

using Action =
    std::variant<SendCommands, Probe, CompareAndSwap, ReadKeys, RequestScaleOut,
                 DeleteMachines, JobTerminated, CheckInstance, AskReach,
                 OfferLeadershipTransfer, RequestLeaseYield, ReadDelegates,
                 RequestJobRecord, ReadTerminalState, Resign, LogEvent>;

// --- answers

enum class WriteOutcome {
  kApplied,
  kConflict,
  kNotExecuted,
  kRefused,  // larger than the key-value store takes; nothing was changed
  kUnknown,
};
enum class CommandOutcome { kExecuted, kRefused, kNotSent, kUnknown };
enum class ScaleOutOutcome { kGranted, kNoCapacity, kTryLater, kRejected };

struct HeartbeatResponse {
  // Not to be answered: the heartbeat is a copy or so old that its worker does
  // not wait any more.
  bool refused = false;
  // Not to be answered: its machine's lease is let run out.
  bool withheld = false;
  FencingToken token = 0;
  std::vector<WorkerCommand> commands;
};

struct JobView {
  std::string_view status;
  uint32_t done = 0;
  uint32_t running = 0;
};

struct ListedMachine {
  std::string host;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  std::string state;
  double age_seconds = 0;
};

}  // namespace oxbow
