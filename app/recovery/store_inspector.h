// Makes fresh reads of the key-value store to check whether it holds the
// records that it should. What a missing record means is decided by the
// DataLossDetector.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "app/recovery/recovery_context.h"
#include "core/leader_context/actions.h"
#include "core/recovery/store_verification.h"
#include "net/task.h"

namespace oxbow::app {

// The result of checking whether the records that changed last are in the
// store.
struct NewestRecordsCheck {
  StoreCheck result = StoreCheck::kIntact;
  std::string missing_key;  // if the result is kMissing
};

// Stateless; several reads may be in flight.
class StoreInspector {
 public:
  // `context` must outlive this object, and this object the event loop. Keys
  // and ids are taken by value, since the coroutines use them across
  // suspensions.
  explicit StoreInspector(const RecoveryContext& context) : context_(context) {}

  // Adds the precondition that the store holds the epoch that is known here.
  void AddEpochPrecondition(std::vector<Precondition>* preconditions) const;

  // Whether the store holds the epoch that is known here or a later one. A
  // later epoch is taken into the catalog.
  net::Task<StoreCheck> CheckEpoch();
  // Whether the store holds the job's live record or its terminal state.
  // kMissing also if the job is recorded as live though its terminal state is
  // known here.
  net::Task<StoreCheck> CheckJob(std::string id);
  // Whether the store holds a version of the record that is at least as new as
  // the version known here.
  net::Task<StoreCheck> CheckRecord(std::string key);
  // Whether the store holds the records that changed last, as far as known
  // here.
  net::Task<NewestRecordsCheck> CheckNewestRecords();
  // Whether the store holds the record with `mod_revision` or a later one. For
  // a job, a later record of the job (live after waiting, or terminal) counts
  // too.
  net::Task<bool> Contains(std::string key, uint64_t mod_revision);

  // The key of a job that is recorded as live though its terminal state is
  // known; empty if there is none.
  std::string RevivedJobKey() const;

 private:
  // Takes the store's epoch into the catalog if it is later than
  // `known_number`.
  net::Task<StoreCheck> AdoptLaterEpoch(uint64_t known_number);
  net::Task<StoreCheck> CheckTerminalState(std::string id);

  const RecoveryContext& context_;
};

}  // namespace oxbow::app
