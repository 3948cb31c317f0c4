// Reads the key-value store afresh to see whether it holds what it should. It
// decides nothing: what a missing record means is for the DataLossDetector.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "app/recovery/recovery_context.h"
#include "core/leader_context/actions.h"
#include "core/recovery/store_verification.h"
#include "net/task.h"

namespace oxbow::app {

// Whether the records that changed last are in the store.
struct NewestRecordsCheck {
  StoreCheck result = StoreCheck::kIntact;
  std::string missing_key;  // with kMissing
};

// Stateless; several reads may be in flight.
class StoreInspector {
 public:
  // `context` must outlive this object, and this object the event loop. Keys
  // and ids are taken by value: each coroutine owns what it reads over a
  // suspension.
  explicit StoreInspector(const RecoveryContext& context) : context_(context) {}

  // Makes a write one of the epoch that is known here.
  void AddEpochPrecondition(std::vector<Precondition>* preconditions) const;

  // Whether the store holds the epoch that is known here, or a later one, which
  // is then taken into the catalog.
  net::Task<StoreCheck> CheckEpoch();
  // kMissing: the job has neither a live record nor a terminal state, or is
  // recorded as live though its terminal state is known.
  net::Task<StoreCheck> CheckJob(std::string id);
  // Whether the store holds a record that is known here, at least as new.
  net::Task<StoreCheck> CheckRecord(std::string key);
  net::Task<NewestRecordsCheck> CheckNewestRecords();
  // Whether the store holds the record at least as new as `mod_revision`; for a
  // job also, whether it holds what became of it.
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
