// What the values of the key-value store are, by kind. The encoding is in
// wire/.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/operator_record.h"
#include "core/recovery/store_epoch.h"
#include "core/rollout/rollout.h"
#include "core/upgrade/version_gate.h"

namespace oxbow {

// Who leads; under a lease.
struct LeaderRecord {
  std::string node;
  std::string incarnation;  // of the process, which a restart changes
  uint64_t mod_revision = 0;
  // Elected to renew the workers' leases only, not to lead (Leadership).
  bool renews_only = false;
};

// How a job ended.
struct TerminalRecord {
  TerminalState state = TerminalState::kNone;
  uint32_t tasks = 0;
  uint64_t mod_revision = 0;
};

// Settles a write that is unanswered: the write is conditioned on the absence
// of a key that holds one of these. Once the key exists, the write either has
// been applied already or never will be.
struct WriteFence {
  uint64_t number = 0;
};

// monostate: the key does not exist.
using Record =
    std::variant<std::monostate, LeaderRecord, JobRecord, MachineRecord,
                 ScaleOutRecord, TerminalRecord, RolloutRecord, StoreEpoch,
                 EpochMark, OperatorRecord, WaitingRecord, VersionRecord,
                 WriteFence>;

}  // namespace oxbow
