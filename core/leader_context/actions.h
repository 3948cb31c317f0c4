// The actions that the leader's logic requests from the application, which does
// all I/O, and the outcomes that the application reports back. Plain data, so
// that the application's clients do not depend on the leader's logic.
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

// A condition for a CompareAndSwap to be applied: the key has this mod
// revision.
struct Precondition {
  std::string key;
  uint64_t mod_revision = 0;  // 0: the key does not exist
};

// A key that a CompareAndSwap writes or deletes.
struct Mutation {
  std::string key;
  Record record;  // monostate deletes
};

// Write all mutations if all preconditions hold, and none otherwise. The
// outcome is reported to Leader::OnWriteAnswer with the same ID.
struct CompareAndSwap {
  uint64_t id = 0;
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};

// Read these keys into the catalog. Completion is reported to
// Leader::OnReadAnswer with the same ID.
struct ReadKeys {
  uint64_t id = 0;
  std::vector<std::string> keys;
};

// Read whether this fence key exists; see WriteFence. The result is reported to
// Leader::OnFenceRead.
struct ReadFence {
  uint64_t number = 0;  // of the fence key, within this leadership
  std::string key;
};

// The result of a read of a fence key.
enum class FenceReadResult : uint8_t {
  kExists,
  kNotShown,  // the key is absent or the read failed: it may yet be written
};

// Request machines from the cloud. Requests are idempotent by name: a repeated
// request grants the same machines.
struct RequestScaleOut {
  std::string name;
  ScaleOutRecord scale_out;
};

// Request the deletion of machines from the cloud.
struct DeleteMachines {
  std::vector<std::string> hosts;
};

// Notify the users that wait for the end of the job: its terminal state is
// recorded.
struct JobTerminated {
  std::string id;
  TerminalState state = TerminalState::kNone;
};

// Run the health check of a rollout on one of its replicas.
struct RunHealthCheck {
  std::string rollout;
  TaskAttemptKey key;
  // The endpoint of the replica's worker; only its address is used.
  std::string endpoint;
  std::shared_ptr<const RolloutSpec> spec;
};

// Ask every controller, including this one, which of these machines it reaches.
struct AskReach {
  uint64_t round = 0;
  // Whether the machines are a sample of all; otherwise they are silent ones.
  bool sample = false;
  std::vector<std::string> hosts;
  std::vector<std::string> endpoints;  // in the order of `hosts`
};

// Offer the leadership to another controller. If it accepts, this controller
// steps down.
struct OfferLeadershipTransfer {
  std::string to;
  std::string why;
};

// Ask these controllers to yield their delegated leases temporarily.
struct RequestLeaseYield {
  std::vector<std::string> peers;
};

// Read which controllers have a recorded delegated lease. The result is
// reported to Leader::OnDelegatesRead.
struct ReadDelegates {};

// Read the record of a job that the leader does not know although one of its
// tasks is running.
struct RequestJobRecord {
  std::string id;
};

// Read the waiting record, the live record and the terminal record, in this
// order, of a job that another job depends on and that the leader does not
// know. Completion is reported to Leader::OnTerminalStateRead.
struct ReadTerminalState {
  std::string id;
};

// Step down as the leader.
struct Resign {
  std::string reason;
  // Other controllers are fitter to lead, so this one lets them be elected
  // first.
  bool prefer_other_candidates = false;
};

using Action =
    std::variant<SendCommands, Probe, CompareAndSwap, ReadKeys, ReadFence,
                 RequestScaleOut, DeleteMachines, JobTerminated, RunHealthCheck,
                 AskReach, OfferLeadershipTransfer, RequestLeaseYield,
                 ReadDelegates, RequestJobRecord, ReadTerminalState, Resign,
                 LogEvent>;

// --- outcomes

// The outcome of a CompareAndSwap.
enum class WriteOutcome {
  kApplied,
  kConflict,     // some preconditions did not hold; nothing was changed
  kNotExecuted,  // it was not applied and never will be
  kRefused,      // larger than the store accepts; nothing was changed
  kUnknown,      // it may have been applied or may still be applied later
};
// The outcome of a batch of commands.
enum class CommandOutcome { kExecuted, kRefused, kNotSent, kUnknown };
// The outcome of a request for machines.
enum class ScaleOutOutcome { kGranted, kNoCapacity, kTryLater, kRejected };

// The response to a worker's heartbeat.
struct HeartbeatResponse {
  // The heartbeat must not be answered: it is a duplicate, or so old that its
  // worker does not wait for the response any more.
  bool refused = false;
  // The heartbeat must not be answered, so that the worker's lease expires.
  bool withheld = false;
  FencingToken token = 0;
  std::vector<WorkerCommand> commands;
};

// The leader's view of a live job, for users.
struct JobView {
  std::string_view status;
  uint32_t done = 0;     // number of tasks
  uint32_t running = 0;  // number of tasks
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
