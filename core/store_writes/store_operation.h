// One change that the leader wants recorded in the key-value store. Each kind
// of change is a class of its own, next to the module that asks for it: it adds
// its preconditions and mutations to a transaction, and says what follows once
// the change is recorded. The WriteQueue owns the operations that are queued or
// in flight and knows nothing else of them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/leader_context/actions.h"

namespace oxbow {

// Of StoreOperation::Build.
enum class BuildResult : uint8_t {
  kAdded,
  // The store already holds what the operation wants, or the reason for it is
  // gone. What was added to the transaction is discarded.
  kNothingToDo,
};

// See above. Owned by the WriteQueue from Enqueue on.
class StoreOperation {
 public:
  // `name`: of what is changed; unique within the kind.
  explicit StoreOperation(std::string name) : name_(std::move(name)) {}
  virtual ~StoreOperation() = default;
  StoreOperation(const StoreOperation&) = delete;
  StoreOperation& operator=(const StoreOperation&) = delete;

  // One word for this class of operations. Of the same kind and name, at most
  // one is queued.
  virtual std::string_view kind() const = 0;
  const std::string& name() const { return name_; }

  // Adds the operation's preconditions and mutations. Called anew for each
  // attempt, with what earlier operations have added to the same transaction.
  virtual BuildResult Build(CompareAndSwap* txn) const = 0;
  // The aim is reached: by the operation's own transaction, applied at
  // `revision`, or, when that is 0, because Build had nothing to do.
  virtual void OnRecorded(uint64_t revision, Time now) = 0;

  // Whether a newer operation of the same kind and name takes the place of a
  // queued one. Otherwise the newer one is dropped.
  virtual bool ReplacesQueued() const { return false; }

  // After the store has refused the transaction for its size: the operation
  // leaves out of its record whatever can be spared.
  void UseCompactForm() { compact_ = true; }
  bool compact() const { return compact_; }

 private:
  const std::string name_;
  bool compact_ = false;
};

}  // namespace oxbow
