// The queue of the leader's writes to the key-value store. It decides which
// operations go into one transaction, and handles the store's responses. It
// owns the queued operations and is independent of jobs and machines; see
// StoreOperation. Only the leader and its modules use it.
//
// One transaction is in flight at a time. Each has preconditions on the leader
// key and on the mark of the store's epoch: if it is applied late, after
// another leader has been elected, it fails instead of overwriting newer
// records.
//
// A transaction must not be applied late, either, after this leader has written
// something newer. A precondition on a mod revision prevents this by itself,
// since no mod revision occurs twice. A precondition that a key is absent does
// not: it holds again once the key has been deleted. Therefore every
// transaction also has the precondition that the current fence key is absent.
// When a transaction that creates a key is unanswered, that fence key is
// written before anything else:
// - Fence keys are written under this leadership only and have the same lease
//   as the leader key. Once a fence key exists, every transaction that was sent
//   before it fails for good: because of the fence key, or, after that has
//   expired, because of the leader key.
// - Therefore a read after the fence key is written shows the final outcome of
//   the unanswered transaction.
// - If the write of the fence key is unanswered, it is repeated, and the key is
//   read meanwhile. If the key exists already, the repeated write gets a
//   conflict. That proves as much as a success, and so does a linearizable read
//   that finds the key, since no other process writes it. A read that does not
//   find the key proves nothing: the write may still be applied.
// - The first repetition is sent at once. The pause before each later one is
//   twice as long as before the previous one, up to a limit.
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

// The state of the write queue.
enum class WritePhase : uint8_t {
  kIdle,     // nothing is in flight
  kWriting,  // a transaction is in flight
  // A transaction that creates a key is unanswered. The fence key has to be
  // written next.
  kOutcomeUnknown,
  kFencing,  // the write of the fence key is in flight
  // Like kFencing, but an earlier write of the same fence key is unanswered and
  // the key is being read.
  kRefencing,
  // The outcome of the transaction is final. The keys that it was to change are
  // being read.
  kReading,
};

// The order in which operations are sent.
enum class WritePriority : uint8_t {
  kUrgent,
  kBackground,  // fills transactions that urgent operations leave space in
};

// One exists per leadership; see above.
class WriteQueue {
 public:
  // `leadership_preconditions`: added to every transaction; the leader key
  // comes first. `settings` and `actions` must outlive the queue.
  WriteQueue(const Settings& settings,
             std::vector<Precondition> leadership_preconditions,
             std::vector<Action>& actions);

  // Queues the operation unless one of the same kind and name is queued or in
  // flight; a queued one may be replaced, see StoreOperation::ReplacesQueued.
  // Sends nothing; see Flush.
  void Enqueue(std::unique_ptr<StoreOperation> operation,
               WritePriority priority = WritePriority::kUrgent);
  // Sends the next transaction unless a request is in flight. If the outcome of
  // the last one is unknown, writes the fence key instead.
  void Flush(Time now);
  // Handles the response to the CompareAndSwap with this ID. `failed`: the keys
  // of the preconditions that did not hold. Returns false if one of them is a
  // leadership precondition: this leadership is over.
  [[nodiscard]] bool OnAnswer(uint64_t id, WriteOutcome outcome,
                              uint64_t revision,
                              const std::vector<std::string>& failed, Time now);
  // Handles the response to ReadKeys; the catalog already contains the values.
  void OnRead(uint64_t id, bool succeeded, Time now);
  // Handles the response to ReadFence.
  void OnFenceRead(uint64_t number, FenceReadResult result, Time now);

  WritePhase phase() const { return phase_; }
  // The number of operations that wait to be sent.
  size_t waiting() const { return urgent_.size() + background_.size(); }
  // The number of operations that the store has refused as too large, also in
  // their compact form. Each is retried after a worker lease.
  size_t refused_for_size() const { return refused_.size(); }

 private:
  using Operation = std::unique_ptr<StoreOperation>;
  struct RefusedOperation {
    Time retry_at = 0;
    Operation operation;
  };

  // Every change of the phase goes through this function.
  void ChangePhase(WritePhase next);

  // Moves as many operations as fit into one transaction from the queues to
  // `in_flight_`, and returns that transaction.
  CompareAndSwap TakeBatch(Time now);
  bool Fits(const CompareAndSwap& txn) const;
  void RecordInFlightKeys(const CompareAndSwap& txn);
  void Send(CompareAndSwap txn);
  void SendFence();
  // The current fence key is known to exist: the outcome of every transaction
  // that was sent before it is final.
  void OnFenceExists();
  // The write of the fence key got no response.
  void OnFenceUnanswered(Time now);
  void ReadInFlight();
  // Moves the operations in flight back to the front of the urgent queue.
  void RequeueInFlight();
  // Handles a transaction that the store has refused as too large. Repeated
  // unchanged it would be refused forever, so it is split: later transactions
  // contain fewer operations. An operation that is refused alone is retried in
  // its compact form. If that is refused, too, the operation is set aside so
  // that it does not block others.
  void OnRefusedAsTooLarge(Time now);
  // Queues refused operations again whose time to retry has come.
  void RetryRefused(Time now);
  void OnTransactionAnswer(WriteOutcome outcome, uint64_t revision,
                           const std::vector<std::string>& failed, Time now);
  void OnFenceAnswer(WriteOutcome outcome,
                     const std::vector<std::string>& failed, Time now);
  void CompleteInFlight(uint64_t revision, Time now);
  // Sends nothing for this long after `now`, in heartbeat intervals.
  void DelaySending(Time now, double heartbeats);

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
  // The live keys that the transaction in flight changes.
  std::vector<std::string> in_flight_keys_;
  // Whether the transaction in flight has a precondition that a key is absent.
  bool in_flight_creates_ = false;
  uint64_t request_id_ = 0;  // of the last write or read of keys

  WritePhase phase_ = WritePhase::kIdle;
  uint64_t fence_number_ = 0;  // of the current fence key
  // The number of unanswered writes of the current fence key.
  uint32_t unanswered_fences_ = 0;
  // The most operations in one transaction; lowered when the store refuses a
  // transaction as too large.
  size_t max_operations_ = SIZE_MAX;
  Time not_before_ = 0;  // nothing is sent before
};

}  // namespace oxbow
