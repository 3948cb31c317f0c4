#include "core/store_writes/store_operations.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/autoscaler/autoscaler.h"
#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/reconciliation/reconciler.h"
#include "core/rollout/rollout_manager.h"

namespace oxbow {

StoreOperations::StoreOperations(LeaderContext& context, const Modules& modules)
    : context_(context),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      consistency_gate_(modules.consistency_gate),
      dependencies_(modules.dependencies),
      job_lifecycle_(modules.job_lifecycle),
      rollout_manager_(modules.rollout_manager),
      reconciler_(modules.reconciler),
      autoscaler_(modules.autoscaler),
      on_operator_record_(modules.on_operator_record) {}

bool StoreOperations::Build(const WriteOp& op, CompareAndSwap* txn) const {
  switch (op.kind) {
    case WriteKind::kFinish: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->terminal_state != TerminalState::kNone) {
        return false;
      }
      const JobRecord next =
          TerminatedRecord(*record, op.terminal_state, op.compact);
      const std::string key = keys::Of(keys::kJob, op.name);
      txn->preconditions.push_back({key, record->mod_revision});
      txn->mutations.push_back({key, next});
      return true;
    }
    case WriteKind::kRetire: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->terminal_state == TerminalState::kNone) {
        return false;
      }
      const std::string key = keys::Of(keys::kJob, op.name);
      txn->preconditions.push_back({key, record->mod_revision});
      txn->mutations.push_back(
          {keys::Of(keys::kTerminal, op.name),
           TerminalRecord{record->terminal_state, record->spec->tasks, 0}});
      txn->mutations.push_back({key, {}});
      return true;
    }
    case WriteKind::kMachineUp: {
      const Machine* found = cluster_.FindMachine(op.name);
      if (found == nullptr) return false;
      const Machine& machine = *found;
      if (machine.state() == MachineState::kGone) return false;
      const auto it = catalog_.machines().find(op.name);
      const bool known = it != catalog_.machines().end();
      if (known && it->second.endpoint == machine.endpoint) return false;
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->preconditions.push_back({key, known ? it->second.mod_revision : 0});
      txn->mutations.push_back(
          {key, MachineRecord{machine.type_name, machine.zone, machine.spot,
                              machine.endpoint,
                              machine.requested_at + context_.wall_minus_steady,
                              0}});
      return true;
    }
    case WriteKind::kMachineForget: {
      const auto it = catalog_.machines().find(op.name);
      if (it == catalog_.machines().end()) return false;
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->preconditions.push_back({key, it->second.mod_revision});
      txn->mutations.push_back({key, {}});
      return true;
    }
    case WriteKind::kScaleOut: {
      if (catalog_.scale_outs().contains(op.name)) return false;
      const std::string key = keys::Of(keys::kScaleOut, op.name);
      txn->preconditions.push_back({key, 0});
      txn->mutations.push_back({key, *autoscaler_.FindRecord(op.name)});
      return true;
    }
    case WriteKind::kScaledOutMachine: {
      // Without the rental it is a late answer to one that is settled. One
      // that has reported meanwhile is recorded with its address (kMachineUp).
      const auto scale_out = catalog_.scale_outs().find(op.reason);
      const Machine* machine = cluster_.FindMachine(op.name);
      if (scale_out == catalog_.scale_outs().end() || machine == nullptr ||
          !machine->endpoint.empty() || catalog_.machines().contains(op.name)) {
        return false;
      }
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->preconditions.push_back({keys::Of(keys::kScaleOut, op.reason),
                                    scale_out->second.mod_revision});
      txn->preconditions.push_back({key, 0});
      txn->mutations.push_back(
          {key, autoscaler_.RecordOfNewMachine(scale_out->second,
                                               machine->requested_at)});
      return true;
    }
    case WriteKind::kSettleScaleOut: {
      const auto it = catalog_.scale_outs().find(op.name);
      if (it == catalog_.scale_outs().end()) return false;
      const std::string key = keys::Of(keys::kScaleOut, op.name);
      txn->preconditions.push_back({key, it->second.mod_revision});
      txn->mutations.push_back({key, {}});
      return true;
    }
    case WriteKind::kRollout:
      return rollout_manager_.BuildRolloutOp(op, txn);
    case WriteKind::kOperator: {
      const auto it = catalog_.operators().find(op.name);
      const bool known = it != catalog_.operators().end();
      if (op.record == nullptr
              ? !known
              : known && it->second.version >= op.record->version) {
        return false;
      }
      const std::string key = keys::Of(keys::kOperator, op.name);
      txn->preconditions.push_back({key, known ? it->second.mod_revision : 0});
      Record next;
      if (op.record != nullptr) next = *op.record;
      txn->mutations.push_back({key, std::move(next)});
      return true;
    }
    case WriteKind::kReconcileRecord:
    case WriteKind::kReconcileTerminalState:
    case WriteKind::kCompleteReconciliation:
      return reconciler_.BuildReconciliationWrite(op, txn);
    case WriteKind::kRelease:
    case WriteKind::kCancelWaiting:
    case WriteKind::kTidyWaiting:
      return dependencies_.BuildDependencyStep(op, txn);
  }
  return false;
}

void StoreOperations::Done(const WriteOp& op, uint64_t revision, Time now) {
  switch (op.kind) {
    case WriteKind::kFinish: {
      if (revision > 0) {
        catalog_.Put(keys::Of(keys::kJob, op.name),
                     TerminatedRecord(*catalog_.FindJob(op.name),
                                      op.terminal_state, op.compact),
                     revision);
      }
      const JobRecord* record = catalog_.FindJob(op.name);
      const TerminalState state =
          record ? record->terminal_state : catalog_.FindTerminalState(op.name);
      if (state != TerminalState::kNone) consistency_gate_.Stands(op.name);
      if (state != TerminalState::kNone) {
        job_lifecycle_.OnTerminalStateRecorded(op.name, state, now);
      }
      break;
    }
    case WriteKind::kRetire: {
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kJob, op.name), revision);
      }
      if (catalog_.FindJob(op.name) == nullptr)
        consistency_gate_.Stands(op.name);
      if (catalog_.FindTerminalState(op.name) == TerminalState::kAborted) {
        actions_.push_back(JobTerminated{op.name, TerminalState::kAborted});
      }
      const Job* job = cluster_.FindJob(op.name);
      if (job == nullptr) break;
      // A start under way for minutes has turned up since the write was made:
      // the job goes once that is gone as well.
      if (job->holding() > 0) break;
      cluster_.RemoveJob(op.name);
      break;
    }
    case WriteKind::kMachineUp: {
      Machine* machine = cluster_.FindMachine(op.name);
      if (machine == nullptr) break;
      if (revision > 0) {
        catalog_.Put(keys::Of(keys::kMachine, op.name),
                     MachineRecord{
                         machine->type_name, machine->zone, machine->spot,
                         machine->endpoint,
                         machine->requested_at + context_.wall_minus_steady, 0},
                     revision);
      }
      machine->recorded_up = true;
      cluster_.MarkChanged();
      break;
    }
    case WriteKind::kMachineForget:
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kMachine, op.name), revision);
      }
      break;
    case WriteKind::kScaleOut: {
      if (revision > 0) {
        catalog_.Put(keys::Of(keys::kScaleOut, op.name),
                     *autoscaler_.FindRecord(op.name), revision);
      }
      autoscaler_.OnScaleOutRecorded(op.name, now);
      break;
    }
    case WriteKind::kScaledOutMachine: {
      const Machine* machine = cluster_.FindMachine(op.name);
      const auto scale_out = catalog_.scale_outs().find(op.reason);
      if (revision > 0 && scale_out != catalog_.scale_outs().end()) {
        catalog_.Put(
            keys::Of(keys::kMachine, op.name),
            autoscaler_.RecordOfNewMachine(
                scale_out->second, machine ? machine->requested_at : now),
            revision);
        // Deleted while its record was under way.
        if (machine == nullptr) {
          writes_.Queue({WriteKind::kMachineForget, op.name}, /*lazy=*/true);
        }
      }
      autoscaler_.SettleScaleOut(op.reason);
      break;
    }
    case WriteKind::kSettleScaleOut:
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kScaleOut, op.name), revision);
      }
      autoscaler_.RemoveScaleOut(op.name);
      break;
    case WriteKind::kRollout:
      rollout_manager_.RolloutOpDone(op, revision, now);
      break;
    case WriteKind::kOperator:
      if (revision > 0) {
        const std::string key = keys::Of(keys::kOperator, op.name);
        if (op.record != nullptr) {
          catalog_.Put(key, *op.record, revision);
        } else {
          catalog_.Erase(key, revision);
        }
      }
      on_operator_record_(op.name, now);
      break;
    case WriteKind::kReconcileRecord:
    case WriteKind::kReconcileTerminalState:
    case WriteKind::kCompleteReconciliation:
      reconciler_.OnReconciliationWritten(op, revision);
      break;
    case WriteKind::kRelease:
    case WriteKind::kCancelWaiting:
    case WriteKind::kTidyWaiting:
      dependencies_.OnDependencyStepWritten(op, revision, now);
      break;
  }
}

}  // namespace oxbow
