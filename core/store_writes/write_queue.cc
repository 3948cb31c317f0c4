#include "core/store_writes/write_queue.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum WritePhase;

constexpr std::array kTransitions = {
    std::pair{kIdle, kWriting},
    std::pair{kWriting, kIdle},
    std::pair{kWriting, kOutcomeUnknown},
    std::pair{kOutcomeUnknown, kFencing},
    std::pair{kFencing, kOutcomeUnknown},
    std::pair{kFencing, kReading},
    std::pair{kWriting, kReading},
    std::pair{kReading, kIdle},
    std::pair{kOutcomeUnknown, kReading},
    std::pair{kOutcomeUnknown, kRefencing},
    std::pair{kRefencing, kReading},
    std::pair{kRefencing, kOutcomeUnknown},
};

// The store's protocol: preconditions per transaction, for each mutation.
constexpr size_t kPreconditionsPerMutation = 4;
// Encoded size of a transaction: the store takes 64 KiB.
constexpr size_t kMaxTransactionBytes = 48 * 1024;
// Of a record's fields whose lengths are bounded, with its precondition.
constexpr size_t kBytesPerMutation = 512;
// Free text may double when it is escaped.
constexpr size_t kBytesPerCharacter = 2;
// Quotes, a comma and a space in a list.
constexpr size_t kBytesPerListEntry = 4;
// Before the next attempt when the store did not execute a transaction, in
// heartbeat intervals.
constexpr double kPauseHeartbeats = 0.1;
// The longest pause between two fences that are not answered, in heartbeat
// intervals.
constexpr double kMaxFencePauseHeartbeats = 0.8;

// Estimates of encoded sizes; only the parts of variable length count.
size_t VariableBytes(const JobSpec& spec) {
  size_t bytes = spec.image.size() * kBytesPerCharacter;
  if (spec.types) {
    for (const std::string& type : *spec.types) {
      bytes += type.size() + kBytesPerListEntry;
    }
  }
  for (const std::string& id : spec.dependencies) {
    bytes += id.size() + kBytesPerListEntry;
  }
  return bytes;
}

size_t VariableBytes(const RolloutRecord& rollout) {
  const auto& check = rollout.spec->check;
  return kBytesPerCharacter *
         (check.expression.size() + check.path.size() + rollout.reason.size());
}

size_t VariableBytes(const OperatorRecord& record) {
  return kBytesPerCharacter *
         (record.text.size() + record.author.size() + record.note.size());
}

size_t VariableBytes(const Record& record) {
  if (const auto* rollout = std::get_if<RolloutRecord>(&record)) {
    return VariableBytes(*rollout);
  }
  if (const auto* operator_record = std::get_if<OperatorRecord>(&record)) {
    return VariableBytes(*operator_record);
  }
  if (const auto* job = std::get_if<JobRecord>(&record)) {
    return VariableBytes(*job->spec);
  }
  if (const auto* waiting = std::get_if<WaitingRecord>(&record)) {
    return VariableBytes(*waiting->spec);
  }
  return 0;
}

size_t EstimatedBytes(const CompareAndSwap& txn) {
  size_t bytes = 0;
  for (const Mutation& mutation : txn.mutations) {
    bytes += kBytesPerMutation + VariableBytes(mutation.record);
  }
  return bytes;
}

bool Contains(const std::vector<std::string>& keys, const std::string& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool IsSameChange(const StoreOperation& one, const StoreOperation& other) {
  return one.kind() == other.kind() && one.name() == other.name();
}

}  // namespace

WriteQueue::WriteQueue(const Settings& settings,
                       std::vector<Precondition> leadership_preconditions,
                       std::vector<Action>& actions)
    : settings_(settings),
      leadership_preconditions_(std::move(leadership_preconditions)),
      actions_(actions) {}

void WriteQueue::ChangePhase(WritePhase next) {
  CheckedTransition(phase_, next, kTransitions, "write queue");
}

void WriteQueue::Enqueue(Operation operation, WritePriority priority) {
  const auto is_same = [&](const Operation& other) {
    return IsSameChange(*other, *operation);
  };
  // In either queue: what was requeued waits among the urgent ones.
  for (std::deque<Operation>* queue : {&urgent_, &background_}) {
    const auto queued = std::find_if(queue->begin(), queue->end(), is_same);
    if (queued == queue->end()) continue;
    if (operation->ReplacesQueued()) *queued = std::move(operation);
    return;
  }
  const auto refused = std::find_if(
      refused_.begin(), refused_.end(),
      [&](const RefusedOperation& entry) { return is_same(entry.operation); });
  if (refused != refused_.end()) {
    if (!operation->ReplacesQueued()) return;
    refused_.erase(refused);
  }
  if (std::any_of(in_flight_.begin(), in_flight_.end(), is_same)) return;
  std::deque<Operation>& queue =
      priority == WritePriority::kUrgent ? urgent_ : background_;
  queue.push_back(std::move(operation));
}

bool WriteQueue::Fits(const CompareAndSwap& txn) const {
  const auto max_mutations = static_cast<size_t>(settings_.store.txn_ops);
  // The leadership and the fence are added by Send.
  const size_t preconditions =
      txn.preconditions.size() + leadership_preconditions_.size() + 1;
  return txn.mutations.size() <= max_mutations &&
         preconditions <= kPreconditionsPerMutation * max_mutations &&
         EstimatedBytes(txn) <= kMaxTransactionBytes;
}

void WriteQueue::Flush(Time now) {
  if (now < not_before_) return;
  if (phase_ == kOutcomeUnknown) SendFence();
  if (phase_ != kIdle) return;
  RetryRefused(now);
  CompareAndSwap txn = TakeBatch(now);
  if (in_flight_.empty()) return;
  NoteInFlightKeys(txn);
  ChangePhase(kWriting);
  Send(std::move(txn));
}

CompareAndSwap WriteQueue::TakeBatch(Time now) {
  CompareAndSwap txn;
  const auto max_mutations = static_cast<size_t>(settings_.store.txn_ops);
  for (std::deque<Operation>* queue : {&urgent_, &background_}) {
    while (!queue->empty()) {
      CompareAndSwap longer = txn;
      if (queue->front()->Build(&longer) == BuildResult::kNothingToDo) {
        const Operation done = std::move(queue->front());
        queue->pop_front();
        done->OnRecorded(0, now);
        continue;
      }
      // One that is larger than the limits goes alone rather than never.
      if (!in_flight_.empty() &&
          (in_flight_.size() >= max_operations_ || !Fits(longer))) {
        break;
      }
      txn = std::move(longer);
      in_flight_.push_back(std::move(queue->front()));
      queue->pop_front();
    }
    if (txn.mutations.size() >= max_mutations ||
        in_flight_.size() >= max_operations_) {
      break;
    }
  }
  return txn;
}

void WriteQueue::NoteInFlightKeys(const CompareAndSwap& txn) {
  in_flight_keys_.clear();
  for (const Mutation& mutation : txn.mutations) {
    if (mutation.key.starts_with(keys::kLive)) {
      in_flight_keys_.push_back(mutation.key);
    }
  }
  in_flight_creates_ =
      std::any_of(txn.preconditions.begin(), txn.preconditions.end(),
                  [](const Precondition& precondition) {
                    return precondition.mod_revision == 0;
                  });
}

void WriteQueue::Send(CompareAndSwap txn) {
  txn.id = ++request_id_;
  txn.preconditions.push_back({FenceKey(), 0});
  txn.preconditions.insert(txn.preconditions.end(),
                           leadership_preconditions_.begin(),
                           leadership_preconditions_.end());
  actions_.push_back(std::move(txn));
}

// Without it, a record that was written anew, acted upon and deleted would
// exist again once the first, unanswered write is applied (late-write-rental).
void WriteQueue::SendFence() {
  CompareAndSwap txn;
  txn.mutations.push_back({FenceKey(), WriteFence{fence_number_}});
  ChangePhase(unanswered_fences_ == 0 ? kFencing : kRefencing);
  Send(std::move(txn));
}

void WriteQueue::OnFenceStands() {
  ++fence_number_;
  unanswered_fences_ = 0;
  ChangePhase(kReading);
  ReadInFlight();
}

// Where no answer to a transaction arrives, refusals included, sending it again
// alone would never show that it was applied.
void WriteQueue::OnFenceUnanswered(Time now) {
  if (unanswered_fences_ > 0) {
    double pause = kPauseHeartbeats;
    for (uint32_t n = 1;
         n < unanswered_fences_ && pause < kMaxFencePauseHeartbeats; ++n)
      pause *= 2;
    PauseFrom(now, std::min(pause, kMaxFencePauseHeartbeats));
  }
  ++unanswered_fences_;
  actions_.push_back(ReadFence{fence_number_, FenceKey()});
}

void WriteQueue::ReadInFlight() {
  actions_.push_back(ReadKeys{++request_id_, in_flight_keys_});
}

bool WriteQueue::LeadershipLost(const std::vector<std::string>& failed) const {
  return std::any_of(leadership_preconditions_.begin(),
                     leadership_preconditions_.end(),
                     [&](const Precondition& precondition) {
                       return Contains(failed, precondition.key);
                     });
}

bool WriteQueue::FenceExists(const std::vector<std::string>& failed) const {
  return Contains(failed, FenceKey());
}

std::string WriteQueue::FenceKey() const {
  return keys::Of(
      keys::kFence,
      std::to_string(leadership_preconditions_.front().mod_revision) + "/" +
          std::to_string(fence_number_));
}

void WriteQueue::PauseFrom(Time now, double heartbeats) {
  not_before_ = now + heartbeats * settings_.workers.heartbeat_interval_seconds;
}

void WriteQueue::RequeueInFlight() {
  for (auto it = in_flight_.rbegin(); it != in_flight_.rend(); ++it) {
    urgent_.push_front(std::move(*it));
  }
  in_flight_.clear();
}

void WriteQueue::OnRefusedForSize(Time now) {
  if (in_flight_.size() > 1) {
    max_operations_ = in_flight_.size() / 2;
    RequeueInFlight();
    return;
  }
  max_operations_ = SIZE_MAX;
  Operation operation = std::move(in_flight_.front());
  in_flight_.clear();
  if (!operation->compact()) {
    operation->UseCompactForm();
    urgent_.push_front(std::move(operation));
    return;
  }
  actions_.push_back(LogEvent{
      "store refuses a record as too large",
      {{"operation", operation->kind()}, {"name", operation->name()}}});
  refused_.push_back(
      {now + settings_.workers.lease_seconds, std::move(operation)});
}

void WriteQueue::RetryRefused(Time now) {
  while (!refused_.empty() && refused_.front().retry_at <= now) {
    background_.push_back(std::move(refused_.front().operation));
    refused_.pop_front();
  }
}

bool WriteQueue::OnAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                          const std::vector<std::string>& failed, Time now) {
  const bool fencing = phase_ == kFencing || phase_ == kRefencing;
  if (id != request_id_ || (phase_ != kWriting && !fencing)) return true;
  if (outcome == WriteOutcome::kConflict && LeadershipLost(failed)) {
    return false;
  }
  if (fencing) {
    OnFenceAnswer(outcome, failed, now);
  } else {
    OnTransactionAnswer(outcome, revision, failed, now);
  }
  return true;
}

void WriteQueue::OnFenceAnswer(WriteOutcome outcome,
                               const std::vector<std::string>& failed,
                               Time now) {
  if (outcome == WriteOutcome::kApplied || FenceExists(failed)) {
    OnFenceStands();
    return;
  }
  ChangePhase(kOutcomeUnknown);
  if (outcome == WriteOutcome::kUnknown) {
    OnFenceUnanswered(now);
  } else {
    PauseFrom(now, kPauseHeartbeats);
  }
  Flush(now);
}

void WriteQueue::OnTransactionAnswer(WriteOutcome outcome, uint64_t revision,
                                     const std::vector<std::string>& failed,
                                     Time now) {
  switch (outcome) {
    case WriteOutcome::kApplied:
      CompleteInFlight(revision, now);
      break;
    case WriteOutcome::kNotExecuted:
      ChangePhase(kIdle);
      PauseFrom(now, kPauseHeartbeats);
      RequeueInFlight();
      break;
    case WriteOutcome::kRefused:
      ChangePhase(kIdle);
      OnRefusedForSize(now);
      break;
    case WriteOutcome::kConflict:
      if (FenceExists(failed)) ++fence_number_;
      ChangePhase(kReading);
      ReadInFlight();
      break;
    case WriteOutcome::kUnknown:
      // It may have been applied, or may be later. One that rests on mod
      // revisions alone fails after whatever is written next.
      ChangePhase(in_flight_creates_ ? kOutcomeUnknown : kReading);
      if (!in_flight_creates_) ReadInFlight();
      break;
  }
  Flush(now);
}

void WriteQueue::CompleteInFlight(uint64_t revision, Time now) {
  ChangePhase(kIdle);
  const std::vector<Operation> done = std::exchange(in_flight_, {});
  for (const Operation& operation : done) operation->OnRecorded(revision, now);
}

void WriteQueue::OnFenceRead(uint64_t number, FenceReadResult result,
                             Time now) {
  const bool undecided = phase_ == kOutcomeUnknown || phase_ == kRefencing;
  if (number != fence_number_ || !undecided) return;
  if (result == FenceReadResult::kExists) OnFenceStands();
  Flush(now);
}

void WriteQueue::OnRead(uint64_t id, bool succeeded, Time now) {
  if (id != request_id_ || phase_ != kReading) return;
  if (!succeeded) {
    ReadInFlight();
    return;
  }
  ChangePhase(kIdle);
  RequeueInFlight();
  Flush(now);
}

}  // namespace oxbow
