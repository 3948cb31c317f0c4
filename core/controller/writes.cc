// What each kind of the leader's writes changes, conditioned on what is known
// of the keys, and what follows once it stands.

#include <algorithm>
#include <memory>
#include <utility>

#include "core/controller/controller.h"

namespace oxbow {
namespace {

// The changes that end a job: its end is recorded, or moves to the final keys.
std::vector<EndWrite> EndsIn(const WriteTransaction& txn) {
  std::vector<EndWrite> ends;
  for (const KeyChange& change : txn.changes) {
    if (!change.key.starts_with(keys::kJob)) continue;
    const auto* job = std::get_if<JobRecord>(&change.record);
    if (job != nullptr && job->terminal_state == TerminalState::kNone) continue;
    uint64_t stamp = 0;
    for (const Condition& c : txn.conditions) {
      if (c.key == change.key) stamp = c.stamp;
    }
    ends.push_back({change.key.substr(keys::kJob.size()), stamp});
  }
  return ends;
}

}  // namespace

std::vector<Action> Controller::TakeActions() {
  for (const Action& action : actions_) {
    const auto* txn = std::get_if<WriteTransaction>(&action);
    // From here on it may be carried out.
    if (txn != nullptr) answers_.Left(txn->id, EndsIn(*txn));
  }
  return std::exchange(actions_, {});
}

bool Controller::Build(const WriteOp& op, WriteTransaction* txn) const {
  switch (op.kind) {
    case WriteKind::kFinish: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->terminal_state != TerminalState::kNone) {
        return false;
      }
      const JobRecord next =
          EndedRecord(*record, op.terminal_state, op.compact);
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
    case WriteKind::kRentedMachine: {
      // Without the rental it is a late answer to one that is settled. One
      // that has reported meanwhile is recorded with its address (kMachineUp).
      const auto rental = catalog_.rentals().find(op.reason);
      const auto index = machine_index_.find(op.name);
      if (rental == catalog_.rentals().end() || index == machine_index_.end() ||
          !machines_[index->second]->endpoint.empty() ||
          catalog_.machines().contains(op.name)) {
        return false;
      }
      const std::string key = keys::Of(keys::kMachine, op.name);
      txn->conditions.push_back(
          {keys::Of(keys::kRental, op.reason), rental->second.stamp});
      txn->conditions.push_back({key, 0});
      txn->changes.push_back(
          {key,
           RecordOfRented(rental->second, machines_[index->second]->rented)});
      return true;
    }
    case WriteKind::kRentalSettle: {
      const auto it = catalog_.rentals().find(op.name);
      if (it == catalog_.rentals().end()) return false;
      const std::string key = keys::Of(keys::kRental, op.name);
      txn->conditions.push_back({key, it->second.stamp});
      txn->changes.push_back({key, {}});
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

MachineRecord Controller::RecordOfRented(const RentalRecord& rental,
                                         Time rented) const {
  return {rental.type,
          rental.zone,
          rental.spot,
          "",
          rented + wall_minus_steady_,
          0};
}

void Controller::OnWriteAnswer(uint64_t id, WriteOutcome outcome,
                               uint64_t revision,
                               const std::vector<std::string>& failed,
                               Time now) {
  switch (outcome) {
    case WriteOutcome::kApplied:
      answers_.Applied(id);
      break;
    case WriteOutcome::kNotExecuted:
    case WriteOutcome::kRefused:
      answers_.Refused(id);
      break;
    case WriteOutcome::kConflict: {
      std::set<std::string> differing;
      for (const std::string& key : failed) {
        if (!key.starts_with(keys::kJob)) continue;
        differing.insert(key.substr(keys::kJob.size()));
      }
      answers_.Refused(id, differing);
      break;
    }
    case WriteOutcome::kUnknown:
      answers_.Unanswered(id);
      break;
  }
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
        catalog_.Put(keys::Of(keys::kJob, op.name),
                     EndedRecord(*catalog_.FindJob(op.name), op.terminal_state,
                                 op.compact),
                     revision);
      }
      const JobRecord* record = catalog_.FindJob(op.name);
      const TerminalState state =
          record ? record->terminal_state : catalog_.FindTerminalState(op.name);
      if (state != TerminalState::kNone) answers_.Stands(op.name);
      if (state != TerminalState::kNone) {
        OnTerminalStateRecorded(op.name, state, now);
      }
      break;
    }
    case WriteKind::kRetire: {
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kJob, op.name), revision);
      }
      if (catalog_.FindJob(op.name) == nullptr) answers_.Stands(op.name);
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
    case WriteKind::kRentedMachine: {
      const Machine* m = FindMachine(op.name);
      const auto rental = catalog_.rentals().find(op.reason);
      if (revision > 0 && rental != catalog_.rentals().end()) {
        catalog_.Put(keys::Of(keys::kMachine, op.name),
                     RecordOfRented(rental->second, m ? m->rented : now),
                     revision);
        // Deleted while its record was under way.
        if (m == nullptr) {
          writes_.Queue({WriteKind::kMachineForget, op.name}, /*lazy=*/true);
        }
      }
      SettleRental(op.reason);
      break;
    }
    case WriteKind::kRentalSettle:
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kRental, op.name), revision);
      }
      rentals_.erase(op.name);
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
