#include "core/controller/write_queue.h"

#include <algorithm>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum WritePhase;

constexpr std::array kChanges = {
    std::pair{kIdle, kWriting},
    std::pair{kWriting, kIdle},
    std::pair{kWriting, kReading},
    std::pair{kReading, kIdle},
};

size_t Weight(const WriteTransaction& txn) {
  // Only specs are of any size; their variable parts decide.
  const auto weight_of = [](const JobSpec& spec) {
    size_t weight = spec.image.size() * 2;
    if (spec.types) {
      for (const std::string& t : *spec.types) weight += t.size() + 4;
    }
    for (const std::string& id : spec.waits_on) weight += id.size() + 4;
    return weight;
  };
  size_t bytes = 0;
  for (const KeyChange& change : txn.changes) {
    bytes += 512;
    if (const auto* rollout = std::get_if<RolloutRecord>(&change.record)) {
      bytes += 2 * (rollout->spec->check.verdict.size() +
                    rollout->spec->check.path.size() + rollout->reason.size());
    }
    if (const auto* word = std::get_if<OperatorRecord>(&change.record)) {
      bytes +=
          2 * (word->text.size() + word->author.size() + word->note.size());
    }
    if (const auto* job = std::get_if<JobRecord>(&change.record)) {
      bytes += weight_of(*job->spec);
    }
    if (const auto* waiting = std::get_if<WaitingRecord>(&change.record)) {
      bytes += weight_of(*waiting->spec);
    }
  }
  return bytes;
}

constexpr size_t kMaxWeight = 48 * 1024;  // of the 64 KiB of a transaction

}  // namespace

void WriteQueue::Change(WriteEvent event) {
  switch (event) {
    case WriteEvent::kSent:
      return CheckedChange(phase_, kWriting, kChanges, "writes");
    case WriteEvent::kOutcomeUnknown:
      return CheckedChange(phase_, kReading, kChanges, "writes");
    case WriteEvent::kAnswered:
    case WriteEvent::kRead:
      return CheckedChange(phase_, kIdle, kChanges, "writes");
  }
}

void WriteQueue::Queue(WriteOp op, bool lazy) {
  std::deque<WriteOp>& queue = lazy ? lazy_ : urgent_;
  const auto same = [&](const WriteOp& o) {
    return o.kind == op.kind && o.name == op.name;
  };
  // What a roll-out or a subsystem wants may change while the state service is
  // out.
  const auto waits = std::find_if(queue.begin(), queue.end(), same);
  const bool renews =
      op.kind == WriteKind::kRollout || op.kind == WriteKind::kOperator;
  if (renews && waits != queue.end()) {
    *waits = std::move(op);
    return;
  }
  if (waits != queue.end() ||
      std::any_of(in_flight_.begin(), in_flight_.end(), same)) {
    return;
  }
  queue.push_back(std::move(op));
}

void WriteQueue::Flush(Time now) {
  if (phase_ != kIdle || now < not_before_) return;
  WriteTransaction txn;
  const auto limit = static_cast<size_t>(settings_.state.txn_ops);
  for (std::deque<WriteOp>* queue : {&urgent_, &lazy_}) {
    while (!queue->empty()) {
      WriteTransaction longer = txn;
      const WriteOp& op = queue->front();
      if (!owner_.Build(op, &longer)) {
        const WriteOp done = op;
        queue->pop_front();
        owner_.Done(done, 0, now);
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
  txn.id = ++id_;
  txn.conditions.insert(txn.conditions.end(), mandate_.begin(), mandate_.end());
  Change(WriteEvent::kSent);
  actions_.push_back(std::move(txn));
}

void WriteQueue::PutBack() {
  for (auto it = in_flight_.rbegin(); it != in_flight_.rend(); ++it) {
    urgent_.push_front(std::move(*it));
  }
  in_flight_.clear();
}

bool WriteQueue::OnAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                          const std::vector<std::string>& failed, Time now) {
  if (id != id_ || phase_ != kWriting) return true;
  switch (outcome) {
    case WriteOutcome::kApplied: {
      Change(WriteEvent::kAnswered);
      const std::vector<WriteOp> done = std::exchange(in_flight_, {});
      for (const WriteOp& op : done) owner_.Done(op, revision, now);
      break;
    }
    case WriteOutcome::kNotExecuted: {
      constexpr double kPause = 0.1;  // of a report interval
      Change(WriteEvent::kAnswered);
      not_before_ = now + kPause * settings_.workers.report_s;
      PutBack();
      break;
    }
    case WriteOutcome::kConflict:
      for (const Condition& c : mandate_) {
        if (std::find(failed.begin(), failed.end(), c.key) != failed.end()) {
          return false;
        }
      }
      [[fallthrough]];
    case WriteOutcome::kUnknown:
      // It may have been applied, or may yet be: read before anything else.
      Change(WriteEvent::kOutcomeUnknown);
      actions_.push_back(ReadKeys{++id_, in_flight_keys_});
      break;
  }
  Flush(now);
  return true;
}

void WriteQueue::OnRead(uint64_t id, bool ok, Time now) {
  if (id != id_ || phase_ != kReading) return;
  if (!ok) {
    actions_.push_back(ReadKeys{++id_, in_flight_keys_});
    return;
  }
  Change(WriteEvent::kRead);
  PutBack();
  Flush(now);
}

}  // namespace oxbow
