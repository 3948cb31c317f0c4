#include "core/store_writes/write_queue.h"

#include <algorithm>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum WritePhase;

constexpr std::array kChanges = {
    std::pair{kIdle, kWriting},     std::pair{kWriting, kIdle},
    std::pair{kWriting, kDoubtful}, std::pair{kDoubtful, kFencing},
    std::pair{kFencing, kDoubtful}, std::pair{kFencing, kReading},
    std::pair{kWriting, kReading},  std::pair{kReading, kIdle},
};

size_t Weight(const CompareAndSwap& txn) {
  // Only specs are of any size; their variable parts decide.
  const auto weight_of = [](const JobSpec& spec) {
    size_t weight = spec.image.size() * 2;
    if (spec.types) {
      for (const std::string& t : *spec.types) weight += t.size() + 4;
    }
    for (const std::string& id : spec.dependencies) weight += id.size() + 4;
    return weight;
  };
  size_t bytes = 0;
  for (const Mutation& change : txn.mutations) {
    bytes += 512;
    if (const auto* rollout = std::get_if<RolloutRecord>(&change.record)) {
      bytes += 2 * (rollout->spec->check.expression.size() +
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
    case WriteEvent::kFenceFailed:
      return CheckedChange(phase_, kDoubtful, kChanges, "writes");
    case WriteEvent::kFenceSent:
      return CheckedChange(phase_, kFencing, kChanges, "writes");
    case WriteEvent::kFixed:
      return CheckedChange(phase_, kReading, kChanges, "writes");
    case WriteEvent::kAnswered:
    case WriteEvent::kRead:
      return CheckedChange(phase_, kIdle, kChanges, "writes");
  }
}

void WriteQueue::Queue(WriteOp op, bool lazy) {
  const auto same = [&](const WriteOp& o) {
    return o.kind == op.kind && o.name == op.name;
  };
  // What a rollout or a subsystem wants may change while the key-value store is
  // out.
  const bool renews =
      op.kind == WriteKind::kRollout || op.kind == WriteKind::kOperator;
  // In either: what was put back waits among the urgent ones.
  for (std::deque<WriteOp>* queue : {&urgent_, &lazy_}) {
    const auto waits = std::find_if(queue->begin(), queue->end(), same);
    if (waits == queue->end()) continue;
    if (renews) *waits = std::move(op);
    return;
  }
  const auto aside = std::find_if(aside_.begin(), aside_.end(),
                                  [&](const Aside& a) { return same(a.op); });
  if (aside != aside_.end()) {
    if (!renews) return;
    aside_.erase(aside);
  }
  if (std::any_of(in_flight_.begin(), in_flight_.end(), same)) return;
  (lazy ? lazy_ : urgent_).push_back(std::move(op));
}

bool WriteQueue::Fits(const CompareAndSwap& txn) const {
  // "Four times that many conditions", as the protocol says.
  constexpr size_t kConditionsEach = 4;
  const auto limit = static_cast<size_t>(settings_.store.txn_ops);
  const size_t always = leadership_preconditions_.size() + 1;  // the fence
  return txn.mutations.size() <= limit &&
         txn.preconditions.size() + always <= kConditionsEach * limit &&
         Weight(txn) <= kMaxWeight;
}

void WriteQueue::Flush(Time now) {
  if (now < not_before_) return;
  if (phase_ == kDoubtful) SendFence();
  if (phase_ != kIdle) return;
  TakeUpAside(now);
  CompareAndSwap txn;
  const auto limit = static_cast<size_t>(settings_.store.txn_ops);
  for (std::deque<WriteOp>* queue : {&urgent_, &lazy_}) {
    while (!queue->empty()) {
      CompareAndSwap longer = txn;
      const WriteOp& op = queue->front();
      if (!owner_.Build(op, &longer)) {
        const WriteOp done = op;
        queue->pop_front();
        owner_.Done(done, 0, now);
        continue;
      }
      if (!in_flight_.empty() &&
          (in_flight_.size() >= most_ops_ || !Fits(longer))) {
        break;
      }
      txn = std::move(longer);
      in_flight_.push_back(op);
      queue->pop_front();
    }
    if (txn.mutations.size() >= limit || in_flight_.size() >= most_ops_) break;
  }
  if (in_flight_.empty()) return;
  in_flight_keys_.clear();
  for (const Mutation& change : txn.mutations) {
    if (change.key.starts_with(keys::kLive)) {
      in_flight_keys_.push_back(change.key);
    }
  }
  in_flight_creates_ =
      std::any_of(txn.preconditions.begin(), txn.preconditions.end(),
                  [](const Precondition& precondition) {
                    return precondition.mod_revision == 0;
                  });
  Change(WriteEvent::kSent);
  Send(std::move(txn));
}

void WriteQueue::Send(CompareAndSwap txn) {
  txn.id = ++id_;
  txn.preconditions.push_back({FenceKey(), 0});
  txn.preconditions.insert(txn.preconditions.end(),
                           leadership_preconditions_.begin(),
                           leadership_preconditions_.end());
  actions_.push_back(std::move(txn));
}

// Without it, a record that was written anew, acted upon and deleted is there
// again once the first write is carried out (`late-write-rental`).
void WriteQueue::SendFence() {
  CompareAndSwap txn;
  txn.mutations.push_back({FenceKey(), WriteFence{fence_}});
  Change(WriteEvent::kFenceSent);
  Send(std::move(txn));
}

bool WriteQueue::OnFenceAnswer(WriteOutcome outcome,
                               const std::vector<std::string>& failed,
                               Time now) {
  if (outcome == WriteOutcome::kApplied || FenceStands(failed)) {
    ++fence_;
    Change(WriteEvent::kFixed);
    ReadInFlight();
    return true;
  }
  Change(WriteEvent::kFenceFailed);
  if (outcome != WriteOutcome::kUnknown) PauseFrom(now);
  Flush(now);
  return true;
}

void WriteQueue::ReadInFlight() {
  actions_.push_back(ReadKeys{++id_, in_flight_keys_});
}

bool WriteQueue::LeadershipLost(const std::vector<std::string>& failed) const {
  return std::any_of(leadership_preconditions_.begin(),
                     leadership_preconditions_.end(),
                     [&](const Precondition& precondition) {
                       return std::find(failed.begin(), failed.end(),
                                        precondition.key) != failed.end();
                     });
}

bool WriteQueue::FenceStands(const std::vector<std::string>& failed) const {
  return std::find(failed.begin(), failed.end(), FenceKey()) != failed.end();
}

std::string WriteQueue::FenceKey() const {
  return keys::Of(
      keys::kFence,
      std::to_string(leadership_preconditions_.front().mod_revision) + "/" +
          std::to_string(fence_));
}

void WriteQueue::PauseFrom(Time now) {
  constexpr double kPause = 0.1;  // of a heartbeat interval
  not_before_ = now + kPause * settings_.workers.heartbeat_interval_seconds;
}

void WriteQueue::PutBack() {
  for (auto it = in_flight_.rbegin(); it != in_flight_.rend(); ++it) {
    urgent_.push_front(std::move(*it));
  }
  in_flight_.clear();
}

void WriteQueue::Split(Time now) {
  if (in_flight_.size() > 1) {
    most_ops_ = in_flight_.size() / 2;
    PutBack();
    return;
  }
  most_ops_ = SIZE_MAX;
  WriteOp op = std::move(in_flight_.front());
  in_flight_.clear();
  if (!op.compact) {
    op.compact = true;
    urgent_.push_front(std::move(op));
    return;
  }
  actions_.push_back(LogEvent{"the state service does not take a write about " +
                              op.name + ": too large"});
  aside_.push_back({now + settings_.workers.lease_seconds, std::move(op)});
}

void WriteQueue::TakeUpAside(Time now) {
  while (!aside_.empty() && aside_.front().until <= now) {
    lazy_.push_back(std::move(aside_.front().op));
    aside_.pop_front();
  }
}

bool WriteQueue::OnAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                          const std::vector<std::string>& failed, Time now) {
  if (id != id_ || (phase_ != kWriting && phase_ != kFencing)) return true;
  if (outcome == WriteOutcome::kConflict && LeadershipLost(failed))
    return false;
  if (phase_ == kFencing) return OnFenceAnswer(outcome, failed, now);
  switch (outcome) {
    case WriteOutcome::kApplied: {
      Change(WriteEvent::kAnswered);
      const std::vector<WriteOp> done = std::exchange(in_flight_, {});
      for (const WriteOp& op : done) owner_.Done(op, revision, now);
      break;
    }
    case WriteOutcome::kNotExecuted:
      Change(WriteEvent::kAnswered);
      PauseFrom(now);
      PutBack();
      break;
    case WriteOutcome::kRefused:
      Change(WriteEvent::kAnswered);
      Split(now);
      break;
    case WriteOutcome::kConflict:
      if (FenceStands(failed)) ++fence_;
      Change(WriteEvent::kFixed);
      ReadInFlight();
      break;
    case WriteOutcome::kUnknown:
      // It may have been applied, or may yet be. What rests on stamps alone is
      // refused by them after whatever is written next.
      Change(in_flight_creates_ ? WriteEvent::kOutcomeUnknown
                                : WriteEvent::kFixed);
      if (!in_flight_creates_) ReadInFlight();
      break;
  }
  Flush(now);
  return true;
}

void WriteQueue::OnRead(uint64_t id, bool ok, Time now) {
  if (id != id_ || phase_ != kReading) return;
  if (!ok) {
    ReadInFlight();
    return;
  }
  Change(WriteEvent::kRead);
  PutBack();
  Flush(now);
}

}  // namespace oxbow
