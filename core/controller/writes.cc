// What each kind of the leader's writes changes, conditioned on what is known
// of the keys, and what follows once it stands.

#include "core/controller/controller.h"

namespace oxbow {
bool Controller::Build(const WriteOp& op, WriteTransaction* txn) const {
  switch (op.kind) {
    case WriteKind::kFinish: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->terminal_state != TerminalState::kNone) {
        return false;
      }
      JobRecord next = *record;
      next.terminal_state = op.terminal_state;
      const std::string key = keys::Of(keys::kJob, op.name);
      txn->conditions.push_back({key, record->stamp});
      txn->changes.push_back({key, next});
      return true;
    }
    case WriteKind::kRetire: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->terminal_state == TerminalState::kNone) {
        return false;
      }
      const std::string key = keys::Of(keys::kJob, op.name);
      txn->conditions.push_back({key, record->stamp});
      txn->changes.push_back(
          {keys::Of(keys::kTerminal, op.name),
           TerminalRecord{record->terminal_state, record->spec->tasks, 0}});
      txn->changes.push_back({key, {}});
      return true;
    }
    case WriteKind::kMachineUp: {
      const auto index = machine_index_.find(op.name);
      if (index == machine_index_.end()) return false;
      const Machine& m = *machines_[index->second];
      if (m.state() == MachineState::kGone) return false;
      const auto it = catalog_.machines().find(op.name);
      const bool known = it != catalog_.machines().end();
      if (known && it->second.endpoint == m.endpoint) return false;
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->conditions.push_back({key, known ? it->second.stamp : 0});
      txn->changes.push_back(
          {key, MachineRecord{m.type_name, m.zone, m.spot, m.endpoint,
                              m.rented + wall_minus_steady_, 0}});
      return true;
    }
    case WriteKind::kMachineForget: {
      const auto it = catalog_.machines().find(op.name);
      if (it == catalog_.machines().end()) return false;
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->conditions.push_back({key, it->second.stamp});
      txn->changes.push_back({key, {}});
      return true;
    }
    case WriteKind::kRental: {
      if (catalog_.rentals().contains(op.name)) return false;
      const std::string key = keys::Of(keys::kRental, op.name);
      txn->conditions.push_back({key, 0});
      txn->changes.push_back({key, rentals_.at(op.name).record});
      return true;
    }
    case WriteKind::kRentalSettle: {
      const auto it = catalog_.rentals().find(op.name);
      if (it == catalog_.rentals().end()) return false;
      const std::string key = keys::Of(keys::kRental, op.name);
      txn->conditions.push_back({key, it->second.stamp});
      txn->changes.push_back({key, {}});
      for (const std::string& host : op.hosts) {
        if (catalog_.machines().contains(host)) continue;
        const std::string machine = keys::Of(keys::kMachine, host);
        const RentalRecord& rental = it->second;
        txn->conditions.push_back({machine, 0});
        const auto index = machine_index_.find(host);
        const Time rented = index == machine_index_.end()
                                ? 0
                                : machines_[index->second]->rented;
        txn->changes.push_back(
            {machine, MachineRecord{rental.type, rental.zone, rental.spot, "",
                                    rented + wall_minus_steady_, 0}});
      }
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
      txn->conditions.push_back({key, known ? it->second.stamp : 0});
      Record next;
      if (op.record != nullptr) next = *op.record;
      txn->changes.push_back({key, std::move(next)});
      return true;
    }
    case WriteKind::kRestore:
    case WriteKind::kRestoreTerminalState:
    case WriteKind::kRebuilt:
      return BuildRestore(op, txn);
    case WriteKind::kRelease:
    case WriteKind::kCancelWaiting:
    case WriteKind::kTidyWaiting:
      return BuildChainStep(op, txn);
  }
  return false;
}

void Controller::OnWriteAnswer(uint64_t id, WriteOutcome outcome,
                               uint64_t revision,
                               const std::vector<std::string>& failed,
                               Time now) {
  if (writes_.OnAnswer(id, outcome, revision, failed, now) || resigned_) return;
  actions_.push_back(Resign{"the leader key has changed"});
  resigned_ = true;
}

void Controller::OnReadAnswer(uint64_t id, bool ok, Time now) {
  writes_.OnRead(id, ok, now);
}

void Controller::Done(const WriteOp& op, uint64_t revision, Time now) {
  switch (op.kind) {
    case WriteKind::kFinish: {
      if (revision > 0) {
        JobRecord record = *catalog_.FindJob(op.name);
        record.terminal_state = op.terminal_state;
        catalog_.Put(keys::Of(keys::kJob, op.name), record, revision);
      }
      const JobRecord* record = catalog_.FindJob(op.name);
      const TerminalState state =
          record ? record->terminal_state : catalog_.FindTerminalState(op.name);
      if (state != TerminalState::kNone) {
        OnTerminalStateRecorded(op.name, state, now);
      }
      break;
    }
    case WriteKind::kRetire: {
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kJob, op.name), revision);
      }
      if (catalog_.FindTerminalState(op.name) == TerminalState::kAborted) {
        actions_.push_back(JobTerminated{op.name, TerminalState::kAborted});
      }
      const auto it = jobs_.find(op.name);
      if (it == jobs_.end()) break;
      // A start under way for minutes has turned up since the write was made:
      // the job goes once that is gone as well.
      if (it->second->holding() > 0) break;
      for (const auto& [m, key] : ResidentsOf(*it->second)) {
        m->residents.at(key).job = nullptr;
      }
      for (auto& m : machines_) {
        std::erase_if(m->reservations, [&](const Reservation& r) {
          return r.job == it->second.get();
        });
      }
      jobs_.erase(it);
      break;
    }
    case WriteKind::kMachineUp: {
      Machine* m = FindMachine(op.name);
      if (m == nullptr) break;
      if (revision > 0) {
        catalog_.Put(keys::Of(keys::kMachine, op.name),
                     MachineRecord{m->type_name, m->zone, m->spot, m->endpoint,
                                   m->rented + wall_minus_steady_, 0},
                     revision);
      }
      m->recorded_up = true;
      dirty_ = true;
      break;
    }
    case WriteKind::kMachineForget:
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kMachine, op.name), revision);
      }
      break;
    case WriteKind::kRental: {
      Rental& rental = rentals_.at(op.name);
      if (revision > 0) {
        catalog_.Put(keys::Of(keys::kRental, op.name), rental.record, revision);
      }
      if (rental.state == RentalState::kRecording) {
        rental.Change(RentalState::kRequesting);
      }
      Request(op.name, now);
      break;
    }
    case WriteKind::kRentalSettle: {
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kRental, op.name), revision);
        for (const std::string& host : op.hosts) {
          const Machine* m = FindMachine(host);
          if (m == nullptr || catalog_.machines().contains(host)) continue;
          catalog_.Put(keys::Of(keys::kMachine, host),
                       MachineRecord{m->type_name, m->zone, m->spot, "",
                                     m->rented + wall_minus_steady_, 0},
                       revision);
        }
      }
      rentals_.erase(op.name);
      break;
    }
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
    case WriteKind::kRestore:
    case WriteKind::kRestoreTerminalState:
    case WriteKind::kRebuilt:
      RestoreDone(op, revision);
      break;
    case WriteKind::kRelease:
    case WriteKind::kCancelWaiting:
    case WriteKind::kTidyWaiting:
      ChainStepDone(op, revision, now);
      break;
  }
}

}  // namespace oxbow
