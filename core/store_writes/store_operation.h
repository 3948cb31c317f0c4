// The interface of one change that the leader wants to record in the key-value
// store. Each kind of change is a class of its own, next to the module that
// requests it: it adds its preconditions and mutations to a transaction, and
// defines what follows once the change is recorded. The WriteQueue owns the
// operations that are queued or in flight and uses them through this interface
// only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/leader_context/actions.h"

namespace oxbow {

// The result of StoreOperation::Build.
enum class BuildResult : uint8_t {
  kAdded,
  // The store already holds the result of the operation, or the operation is no
  // longer needed. Whatever it added to the transaction is discarded.
  kNothingToDo,
};

// A change to be recorded; see above. Owned by the WriteQueue after Enqueue.
class StoreOperation {
 public:
  // `name`: identifies the changed object, such as a job ID; together with
  // kind() it identifies the operation.
  explicit StoreOperation(std::string name) : name_(std::move(name)) {}
  virtual ~StoreOperation() = default;
  StoreOperation(const StoreOperation&) = delete;
  StoreOperation& operator=(const StoreOperation&) = delete;

  // A short name for this class of operations. At most one operation of the
  // same kind and name is queued.
  virtual std::string_view kind() const = 0;
  const std::string& name() const { return name_; }

  // Adds the operation's preconditions and mutations to `txn`. Called again for
  // each attempt to send it. `txn` already contains what earlier operations
  // have added to the same transaction.
  virtual BuildResult Build(CompareAndSwap* txn) const = 0;
  // Called when the change is recorded: `revision` is the store revision at
  // which the operation's transaction was applied, or 0 if Build had nothing to
  // do.
  virtual void OnRecorded(uint64_t revision, Time now) = 0;

  // Whether this operation replaces a queued one of the same kind and name.
  // Otherwise it is dropped in favor of the queued one.
  virtual bool ReplacesQueued() const { return false; }

  // Called after the store has refused the operation's transaction as too
  // large: from then on the operation omits optional fields from its record.
  void UseCompactForm() { compact_ = true; }
  bool compact() const { return compact_; }

 private:
  const std::string name_;
  bool compact_ = false;
};

}  // namespace oxbow
