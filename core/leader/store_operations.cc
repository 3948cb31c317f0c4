// What each kind of the leader's writes changes, conditioned on what is known
// of the keys, and what follows once it stands.

#include <algorithm>
#include <memory>
#include <utility>

#include "core/leader/leader.h"

namespace oxbow {
namespace {

// The changes that end a job: its end is recorded, or moves to the final keys.
std::vector<TerminalStateWrite> TerminalStatesIn(const CompareAndSwap& txn) {
  std::vector<TerminalStateWrite> ends;
  for (const Mutation& change : txn.mutations) {
    if (!change.key.starts_with(keys::kJob)) continue;
    const auto* job = std::get_if<JobRecord>(&change.record);
    if (job != nullptr && job->terminal_state == TerminalState::kNone) continue;
    uint64_t mod_revision = 0;
    for (const Precondition& precondition : txn.preconditions) {
      if (precondition.key == change.key)
        mod_revision = precondition.mod_revision;
    }
    ends.push_back({change.key.substr(keys::kJob.size()), mod_revision});
  }
  return ends;
}

}  // namespace

std::vector<Action> Leader::TakeActions() {
  for (const Action& action : actions_) {
    const auto* txn = std::get_if<CompareAndSwap>(&action);
    // From here on it may be carried out.
    if (txn != nullptr) consistency_gate_.Left(txn->id, TerminalStatesIn(*txn));
  }
  return std::exchange(actions_, {});
}

bool Leader::Build(const WriteOp& op, CompareAndSwap* txn) const {
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
      const auto index = machine_index_.find(op.name);
      if (index == machine_index_.end()) return false;
      const Machine& machine = *machines_[index->second];
      if (machine.state() == MachineState::kGone) return false;
      const auto it = catalog_.machines().find(op.name);
      const bool known = it != catalog_.machines().end();
      if (known && it->second.endpoint == machine.endpoint) return false;
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->preconditions.push_back({key, known ? it->second.mod_revision : 0});
      txn->mutations.push_back(
          {key, MachineRecord{machine.type_name, machine.zone, machine.spot,
                              machine.endpoint,
                              machine.requested_at + wall_minus_steady_, 0}});
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
      txn->mutations.push_back({key, scale_outs_.at(op.name).record});
      return true;
    }
    case WriteKind::kScaledOutMachine: {
      // Without the rental it is a late answer to one that is settled. One
      // that has reported meanwhile is recorded with its address (kMachineUp).
      const auto scale_out = catalog_.scale_outs().find(op.reason);
      const auto index = machine_index_.find(op.name);
      if (scale_out == catalog_.scale_outs().end() ||
          index == machine_index_.end() ||
          !machines_[index->second]->endpoint.empty() ||
          catalog_.machines().contains(op.name)) {
        return false;
      }
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->preconditions.push_back({keys::Of(keys::kScaleOut, op.reason),
                                    scale_out->second.mod_revision});
      txn->preconditions.push_back({key, 0});
      txn->mutations.push_back(
          {key, RecordOfNewMachine(scale_out->second,
                                   machines_[index->second]->requested_at)});
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
      return BuildRolloutOp(op, txn);
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
      return BuildReconciliationWrite(op, txn);
    case WriteKind::kRelease:
    case WriteKind::kCancelWaiting:
    case WriteKind::kTidyWaiting:
      return BuildDependencyStep(op, txn);
  }
  return false;
}

MachineRecord Leader::RecordOfNewMachine(const ScaleOutRecord& scale_out,
                                         Time requested_at) const {
  return {scale_out.type,
          scale_out.zone,
          scale_out.spot,
          "",
          requested_at + wall_minus_steady_,
          0};
}

void Leader::OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                           const std::vector<std::string>& failed, Time now) {
  switch (outcome) {
    case WriteOutcome::kApplied:
      consistency_gate_.Applied(id);
      break;
    case WriteOutcome::kNotExecuted:
    case WriteOutcome::kRefused:
      consistency_gate_.Refused(id);
      break;
    case WriteOutcome::kConflict: {
      std::set<std::string> differing;
      for (const std::string& key : failed) {
        if (!key.starts_with(keys::kJob)) continue;
        differing.insert(key.substr(keys::kJob.size()));
      }
      consistency_gate_.Refused(id, differing);
      break;
    }
    case WriteOutcome::kUnknown:
      consistency_gate_.Unanswered(id);
      break;
  }
  if (writes_.OnAnswer(id, outcome, revision, failed, now) || resigned_) return;
  actions_.push_back(Resign{"the leader key has changed"});
  resigned_ = true;
}

void Leader::OnReadAnswer(uint64_t id, bool ok, Time now) {
  writes_.OnRead(id, ok, now);
}

void Leader::Done(const WriteOp& op, uint64_t revision, Time now) {
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
        OnTerminalStateRecorded(op.name, state, now);
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
      const auto it = jobs_.find(op.name);
      if (it == jobs_.end()) break;
      // A start under way for minutes has turned up since the write was made:
      // the job goes once that is gone as well.
      if (it->second->holding() > 0) break;
      for (const auto& [machine, key] : AttemptsOf(*it->second)) {
        machine->task_attempts.at(key).job = nullptr;
      }
      for (auto& machine : machines_) {
        std::erase_if(machine->reservations,
                      [&](const Reservation& reservation) {
                        return reservation.job == it->second.get();
                      });
      }
      jobs_.erase(it);
      break;
    }
    case WriteKind::kMachineUp: {
      Machine* machine = FindMachine(op.name);
      if (machine == nullptr) break;
      if (revision > 0) {
        catalog_.Put(
            keys::Of(keys::kMachine, op.name),
            MachineRecord{machine->type_name, machine->zone, machine->spot,
                          machine->endpoint,
                          machine->requested_at + wall_minus_steady_, 0},
            revision);
      }
      machine->recorded_up = true;
      dirty_ = true;
      break;
    }
    case WriteKind::kMachineForget:
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kMachine, op.name), revision);
      }
      break;
    case WriteKind::kScaleOut: {
      ScaleOutRequest& scale_out = scale_outs_.at(op.name);
      if (revision > 0) {
        catalog_.Put(keys::Of(keys::kScaleOut, op.name), scale_out.record,
                     revision);
      }
      if (scale_out.state == ScaleOutState::kRecording) {
        scale_out.Change(ScaleOutState::kRequesting);
      }
      Request(op.name, now);
      break;
    }
    case WriteKind::kScaledOutMachine: {
      const Machine* machine = FindMachine(op.name);
      const auto scale_out = catalog_.scale_outs().find(op.reason);
      if (revision > 0 && scale_out != catalog_.scale_outs().end()) {
        catalog_.Put(keys::Of(keys::kMachine, op.name),
                     RecordOfNewMachine(scale_out->second,
                                        machine ? machine->requested_at : now),
                     revision);
        // Deleted while its record was under way.
        if (machine == nullptr) {
          writes_.Queue({WriteKind::kMachineForget, op.name}, /*lazy=*/true);
        }
      }
      SettleScaleOut(op.reason);
      break;
    }
    case WriteKind::kSettleScaleOut:
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kScaleOut, op.name), revision);
      }
      scale_outs_.erase(op.name);
      break;
    case WriteKind::kRollout:
      RolloutOpDone(op, revision, now);
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
      OnOperatorRecord(op.name, now);
      break;
    case WriteKind::kReconcileRecord:
    case WriteKind::kReconcileTerminalState:
    case WriteKind::kCompleteReconciliation:
      OnReconciliationWritten(op, revision);
      break;
    case WriteKind::kRelease:
    case WriteKind::kCancelWaiting:
    case WriteKind::kTidyWaiting:
      OnDependencyStepWritten(op, revision, now);
      break;
  }
}

}  // namespace oxbow
