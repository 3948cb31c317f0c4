// What the leader's core asks of the shell, and what the shell answers: plain
// data, so that the shell's clients do not depend on the core that decides.
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

// Send a batch of commands to a worker.
struct SendCommands {
  std::string host;
  std::string endpoint;
  uint64_t batch = 0;
  FencingToken token = 0;
  uint64_t incarnation = 0;
  std::vector<WorkerCommand> commands;
};

// Ask a worker for a heartbeat.
struct Probe {
  std::string host;
  std::string endpoint;
};

// What has to hold for a CompareAndSwap to be applied.
struct Precondition {
  std::string key;
  uint64_t mod_revision = 0;  // 0: the key does not exist
};

// A key that a CompareAndSwap writes or deletes.
struct Mutation {
  std::string key;
  Record record;  // monostate deletes
};

// Write all mutations if all preconditions hold, else none. Answered by
// Leader::OnWriteAnswer under the same id.
struct CompareAndSwap {
  uint64_t id = 0;
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};

// Read these keys into the catalog. Answered by Leader::OnReadAnswer.
struct ReadKeys {
  uint64_t id = 0;
  std::vector<std::string> keys;
};

// Whether this key of a write fence exists. Answered by Leader::OnFenceRead.
struct ReadFence {
  uint64_t number = 0;  // of the fence, within this leadership
  std::string key;
};

// What a read of a fence key has shown.
enum class FenceReadResult : uint8_t {
  kExists,
  kNotShown,  // not there, or not read: it may yet be written
};

// Request machines of the cloud. Repeated under the same name, the request
// grants the same machines.
struct RequestScaleOut {
  std::string name;
  ScaleOutRecord scale_out;
};

// Delete machines of the cloud.
struct DeleteMachines {
  std::vector<std::string> hosts;
};

// The job's terminal state is recorded: users that wait for it can be answered.
struct JobTerminated {
  std::string id;
  TerminalState state = TerminalState::kNone;
};

// Run the health check of a rollout on one of its replicas.
struct RunHealthCheck {
  std::string rollout;
  TaskAttemptKey key;
  std::string endpoint;  // of its machine's worker; its address is used
  std::shared_ptr<const RolloutSpec> spec;
};

// Ask every controller, this one too, which of these machines it reaches.
struct AskReach {
  uint64_t round = 0;
  bool sample = false;  // of all machines; else those that are silent
  std::vector<std::string> hosts;
  std::vector<std::string> endpoints;  // of the same
};

// Ask another controller to lead; if it agrees, this one steps down.
struct OfferLeadershipTransfer {
  std::string to;
  std::string why;
};

// Ask these controllers to yield their delegated leases for a moment.
struct RequestLeaseYield {
  std::vector<std::string> peers;
};

// Read again which controllers have a recorded delegated lease.
struct ReadDelegates {};

// A task runs whose job is unknown here: read the job's record.
struct RequestJobRecord {
  std::string id;
};

// Another job depends on this one, which is unknown here: read its waiting
// record, its live record and its terminal record, in this order.
struct ReadTerminalState {
  std::string id;
};

// Step down as the leader.
struct Resign {
  std::string reason;
  bool prefer_other_candidates =
      false;  // other controllers should be elected first
};

using Action =
    std::variant<SendCommands, Probe, CompareAndSwap, ReadKeys, ReadFence,
                 RequestScaleOut, DeleteMachines, JobTerminated, RunHealthCheck,
                 AskReach, OfferLeadershipTransfer, RequestLeaseYield,
                 ReadDelegates, RequestJobRecord, ReadTerminalState, Resign,
                 LogEvent>;

// --- answers

// Of a CompareAndSwap.
enum class WriteOutcome {
  kApplied,
  kConflict,     // some preconditions did not hold; nothing was changed
  kNotExecuted,  // it never will be
  kRefused,      // larger than the store accepts; nothing was changed
  kUnknown,      // may have been applied, or may be later
};
// Of a batch of commands.
enum class CommandOutcome { kExecuted, kRefused, kNotSent, kUnknown };
// Of a request for machines.
enum class ScaleOutOutcome { kGranted, kNoCapacity, kTryLater, kRejected };

// The answer to a worker's heartbeat.
struct HeartbeatResponse {
  // Not to be answered: the heartbeat is a copy or so old that its worker does
  // not wait any more.
  bool refused = false;
  // Not to be answered: its machine's lease is allowed to expire.
  bool withheld = false;
  FencingToken token = 0;
  std::vector<WorkerCommand> commands;
};

// A live job as the leader sees it.
struct JobView {
  std::string_view status;
  uint32_t done = 0;     // tasks
  uint32_t running = 0;  // tasks
};

// An entry of the cloud's list of machines.
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
