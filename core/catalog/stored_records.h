// The kinds of records that the key-value store holds. Their encoding is in
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

// The record of the leader key, which is attached to the leader's lease.
struct LeaderRecord {
  std::string node;
  std::string incarnation;  // of the process; changes with each restart
  uint64_t mod_revision = 0;
  // The controller was elected only to renew the workers' leases, not to lead;
  // see Leadership.
  bool renews_only = false;
};

// How a job ended.
struct TerminalRecord {
  TerminalState state = TerminalState::kNone;
  uint32_t tasks = 0;
  uint64_t mod_revision = 0;
};

// The record of a fence key, which makes the outcome of an unanswered write
// final. The write has the precondition that the fence key is absent, so once
// the key exists, the write either has been applied or never will be.
struct WriteFence {
  uint64_t number = 0;
};

// Any kind of record; monostate if the key does not exist.
using Record =
    std::variant<std::monostate, LeaderRecord, JobRecord, MachineRecord,
                 ScaleOutRecord, TerminalRecord, RolloutRecord, StoreEpoch,
                 EpochMark, OperatorRecord, WaitingRecord, VersionRecord,
                 WriteFence>;

}  // namespace oxbow
