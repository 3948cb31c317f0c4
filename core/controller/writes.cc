// The leader's writes to the state service. One transaction at a time, each
// conditioned on the leader key and on what is known of the keys it changes:
// one that is applied late, after another leader or this one has gone on,
// fails instead of undoing newer facts.

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"

namespace oxbow {
namespace {

size_t Weight(const WriteTransaction& txn) {
  // Only specs are of any size; their variable parts decide.
  size_t bytes = 0;
  for (const KeyChange& change : txn.changes) {
    bytes += 512;
    if (const auto* rollout = std::get_if<RolloutRecord>(&change.record)) {
      bytes += 2 * (rollout->spec->check.verdict.size() +
                    rollout->spec->check.path.size() + rollout->reason.size());
    }
    if (const auto* job = std::get_if<JobRecord>(&change.record)) {
      bytes += job->spec->image.size() * 2;
      if (job->spec->types) {
        for (const std::string& t : *job->spec->types) bytes += t.size() + 4;
      }
    }
  }
  return bytes;
}

constexpr size_t kMaxWeight = 48 * 1024;  // of the 64 KiB of a transaction

}  // namespace

void Controller::QueueWrite(WriteOp op, bool lazy) {
  std::deque<WriteOp>& queue = lazy ? lazy_ : urgent_;
  const auto same = [&](const WriteOp& o) {
    return o.kind == op.kind && o.name == op.name;
  };
  // What a roll-out wants may change while the state service is out.
  const auto waits = std::find_if(queue.begin(), queue.end(), same);
  if (op.kind == WriteKind::kRollout && waits != queue.end()) {
    *waits = std::move(op);
    return;
  }
  if (std::any_of(queue.begin(), queue.end(), same) ||
      std::any_of(in_flight_.begin(), in_flight_.end(), same)) {
    return;
  }
  queue.push_back(std::move(op));
}

// Adds the op's changes; false when what it wants is already so.
bool Controller::BuildOp(const WriteOp& op, WriteTransaction* txn) const {
  switch (op.kind) {
    case WriteKind::kFinish: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->final_state != FinalState::kNone) {
        return false;
      }
      JobRecord next = *record;
      next.final_state = op.final_state;
      const std::string key = keys::Of(keys::kJob, op.name);
      txn->conditions.push_back({key, record->stamp});
      txn->changes.push_back({key, next});
      return true;
    }
    case WriteKind::kRetire: {
      const JobRecord* record = catalog_.FindJob(op.name);
      if (record == nullptr || record->final_state == FinalState::kNone) {
        return false;
      }
      const std::string key = keys::Of(keys::kJob, op.name);
      txn->conditions.push_back({key, record->stamp});
      txn->changes.push_back(
          {keys::Of(keys::kFinal, op.name),
           FinalRecord{record->final_state, record->spec->tasks, 0}});
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
  }
  return false;
}

void Controller::FlushWrites(Time now) {
  if (write_phase_ != WritePhase::kIdle || now < writes_not_before_) return;
  WriteTransaction txn;
  const auto limit = static_cast<size_t>(settings_.state.txn_ops);
  for (std::deque<WriteOp>* queue : {&urgent_, &lazy_}) {
    while (!queue->empty()) {
      WriteTransaction longer = txn;
      const WriteOp& op = queue->front();
      if (!BuildOp(op, &longer)) {
        const WriteOp done = op;
        queue->pop_front();
        OpDone(done, 0, now);
        continue;
      }
      if (!in_flight_.empty() &&
          (longer.changes.size() > limit || Weight(longer) > kMaxWeight)) {
        break;
      }
      txn = std::move(longer);
      in_flight_.push_back(op);
      queue->pop_front();
    }
    if (txn.changes.size() >= limit) break;
  }
  if (in_flight_.empty()) return;
  in_flight_keys_.clear();
  for (const KeyChange& change : txn.changes) {
    if (change.key.starts_with(keys::kLive)) {
      in_flight_keys_.push_back(change.key);
    }
  }
  txn.id = ++write_id_;
  txn.conditions.push_back({std::string(keys::kLeader), revision_});
  write_phase_ = WritePhase::kWriting;
  actions_.push_back(std::move(txn));
}

void Controller::OnWriteAnswer(uint64_t id, WriteOutcome outcome,
                               uint64_t revision,
                               const std::vector<std::string>& failed,
                               Time now) {
  if (id != write_id_ || write_phase_ != WritePhase::kWriting) return;
  const double pause = 0.1 * settings_.workers.report_s;
  switch (outcome) {
    case WriteOutcome::kApplied: {
      write_phase_ = WritePhase::kIdle;
      const std::vector<WriteOp> done = std::exchange(in_flight_, {});
      for (const WriteOp& op : done) OpDone(op, revision, now);
      break;
    }
    case WriteOutcome::kNotExecuted:
      write_phase_ = WritePhase::kIdle;
      writes_not_before_ = now + pause;
      for (auto it = in_flight_.rbegin(); it != in_flight_.rend(); ++it) {
        urgent_.push_front(std::move(*it));
      }
      in_flight_.clear();
      break;
    case WriteOutcome::kConflict:
      if (std::find(failed.begin(), failed.end(), keys::kLeader) !=
          failed.end()) {
        if (!resigned_)
          actions_.push_back(Resign{"the leader key has changed"});
        resigned_ = true;
        return;
      }
      [[fallthrough]];
    case WriteOutcome::kUnknown:
      // It may have been applied, or may yet be: read before anything else.
      write_phase_ = WritePhase::kReading;
      actions_.push_back(ReadKeys{++write_id_, in_flight_keys_});
      break;
  }
  FlushWrites(now);
}

void Controller::OnReadAnswer(uint64_t id, bool ok, Time now) {
  if (id != write_id_ || write_phase_ != WritePhase::kReading) return;
  if (!ok) {
    actions_.push_back(ReadKeys{++write_id_, in_flight_keys_});
    return;
  }
  write_phase_ = WritePhase::kIdle;
  for (auto it = in_flight_.rbegin(); it != in_flight_.rend(); ++it) {
    urgent_.push_front(std::move(*it));
  }
  in_flight_.clear();
  FlushWrites(now);
}

// The op's aim is reached: by its transaction, at `revision`, or, when that is
// 0, because the state service already holds what it wanted.
void Controller::OpDone(const WriteOp& op, uint64_t revision, Time now) {
  switch (op.kind) {
    case WriteKind::kFinish: {
      if (revision > 0) {
        JobRecord record = *catalog_.FindJob(op.name);
        record.final_state = op.final_state;
        catalog_.Put(keys::Of(keys::kJob, op.name), record, revision);
      }
      const JobRecord* record = catalog_.FindJob(op.name);
      const FinalState state =
          record ? record->final_state : catalog_.FindFinal(op.name);
      if (state != FinalState::kNone) OnFinalRecorded(op.name, state, now);
      break;
    }
    case WriteKind::kRetire: {
      if (revision > 0) {
        catalog_.Erase(keys::Of(keys::kJob, op.name), revision);
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
  }
}

}  // namespace oxbow
