// The leader's writes on their way to the key-value store: which operations
// wait, which go into one transaction, and what an answer means. Knows nothing
// of jobs or machines; see StoreOperation. Owns the queued operations. Called
// by the leader and its modules alone.
//
// One transaction is in flight at a time. Each is conditioned on the leadership
// (the leader key and the mark of the store's epoch): one that is applied late,
// after another leader has been elected, fails instead of undoing newer facts.
//
// Nor may one be applied late after this leader has written something newer. A
// precondition on a mod revision rules that out by itself, since no mod
// revision occurs twice. A precondition that a key is absent holds again once
// the key has been deleted. Therefore every transaction is also conditioned on
// the absence of the current fence key, and after an unanswered transaction
// that creates a key, that fence key is written before anything else:
// - Each fence key is written under this leadership alone and has the same
//   lease as the leader key. Once it exists, whatever was sent before fails for
//   good: because of the fence, or because of the leader key.
// - What is read after the fence is written is therefore the outcome of the
//   unanswered transaction, not a state before it.
// - An unanswered fence is sent again, and its key is read meanwhile. If it has
//   been written already, the next one gets a conflict, which is just as good,
//   and so is a linearizable read that finds the key: nobody else writes it. A
//   read that does not find it proves nothing: the fence may be applied later.
// - Only the first repetition is sent at once; each later one waits twice as
//   long as the one before, up to a bound.
// A transaction that was answered is not applied again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/model/settings.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

// What the queue waits for.
enum class WritePhase : uint8_t {
  kIdle,
  kWriting,         // a transaction is in flight
  kOutcomeUnknown,  // a creating transaction is unanswered: the fence is next
  kFencing,         // the fence is in flight
  kRefencing,  // as kFencing; an earlier one is unanswered, its key is read
  kReading,    // the outcome is final: the changed keys are being read
};

// The order in which operations are sent.
enum class WritePriority : uint8_t {
  kUrgent,
  kBackground,  // fills transactions that urgent operations leave space in
};

// See above.
class WriteQueue {
 public:
  // `leadership_preconditions`: what every transaction is conditioned on; the
  // leader key comes first. `actions` must outlive the queue.
  WriteQueue(const Settings& settings,
             std::vector<Precondition> leadership_preconditions,
             std::vector<Action>& actions);

  // Takes the operation unless one of the same kind and name is queued or in
  // flight; see StoreOperation::ReplacesQueued. Sends nothing.
  void Enqueue(std::unique_ptr<StoreOperation> operation,
               WritePriority priority = WritePriority::kUrgent);
  // Sends queued operations unless something is in flight; a fence first.
  void Flush(Time now);
  // The answer to the CompareAndSwap with this id. `failed`: the keys of the
  // preconditions that did not hold. False when one of them was of the
  // leadership: this leadership is over.
  [[nodiscard]] bool OnAnswer(uint64_t id, WriteOutcome outcome,
                              uint64_t revision,
                              const std::vector<std::string>& failed, Time now);
  // The answer to ReadKeys; the catalog holds what was read.
  void OnRead(uint64_t id, bool succeeded, Time now);
  // The answer to ReadFence.
  void OnFenceRead(uint64_t number, FenceReadResult result, Time now);

  WritePhase phase() const { return phase_; }
  // Operations that wait to be sent.
  size_t waiting() const { return urgent_.size() + background_.size(); }
  // Operations that the store refuses for their size; each is tried again now
  // and then.
  size_t refused_for_size() const { return refused_.size(); }

 private:
  using Operation = std::unique_ptr<StoreOperation>;
  struct RefusedOperation {
    Time retry_at = 0;
    Operation operation;
  };

  // The one function that changes the phase.
  void ChangePhase(WritePhase next);

  // Moves as many operations as fit from the queues into flight, and returns
  // their transaction.
  CompareAndSwap TakeBatch(Time now);
  bool Fits(const CompareAndSwap& txn) const;
  void NoteInFlightKeys(const CompareAndSwap& txn);
  void Send(CompareAndSwap txn);
  void SendFence();
  // The current fence key exists: whatever was sent before is decided.
  void OnFenceStands();
  // The fence in flight has not been answered.
  void OnFenceUnanswered(Time now);
  void ReadInFlight();
  // The operations in flight wait again, in front of all others.
  void RequeueInFlight();
  // Sent again as it is, the same transaction would be refused for ever: fewer
  // operations go at once. One that is refused alone goes in its compact form.
  // Refused in that form too, it is set aside, so that it blocks no other.
  void OnRefusedForSize(Time now);
  void RetryRefused(Time now);
  void OnTransactionAnswer(WriteOutcome outcome, uint64_t revision,
                           const std::vector<std::string>& failed, Time now);
  void OnFenceAnswer(WriteOutcome outcome,
                     const std::vector<std::string>& failed, Time now);
  void CompleteInFlight(uint64_t revision, Time now);
  void PauseFrom(Time now, double heartbeats);

  bool LeadershipLost(const std::vector<std::string>& failed) const;
  bool FenceExists(const std::vector<std::string>& failed) const;
  std::string FenceKey() const;

  const Settings& settings_;
  const std::vector<Precondition> leadership_preconditions_;
  std::vector<Action>& actions_;

  std::deque<Operation> urgent_;
  std::deque<Operation> background_;
  std::deque<RefusedOperation> refused_;

  std::vector<Operation> in_flight_;
  std::vector<std::string> in_flight_keys_;  // live keys that it changes
  bool in_flight_creates_ = false;           // a key that has to be absent
  uint64_t request_id_ = 0;                  // of the last write or read

  WritePhase phase_ = WritePhase::kIdle;
  uint64_t fence_number_ = 0;         // of the current fence key
  uint32_t unanswered_fences_ = 0;    // with that number
  size_t max_operations_ = SIZE_MAX;  // in one transaction; lowered by refusals
  Time not_before_ = 0;
};

}  // namespace oxbow
