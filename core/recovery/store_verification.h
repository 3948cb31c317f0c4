// Whether this controller may rely on the contents of the key-value store. Only
// if it may does a missing record prove that the record does not exist. An
// indication of data loss raises a suspicion, which is confirmed or cleared by
// fresh reads by this and the other controllers. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// How far the contents of the store may be relied on.
enum class StoreVerificationState : uint8_t {
  kVerified,     // a record that the store does not hold does not exist
  kSuspected,    // an indication of data loss is being examined
  kLost,         // the store has lost data; a new epoch has to be opened
  kReconciling,  // a new epoch is open; retained records are being written back
};

// The indications of data loss. They are sent between controllers by number, so
// new ones are added at the end.
enum class DataLossIndication : uint8_t {
  kNone,
  kRevisionDecreased,  // an answer had a lower revision than an earlier answer
  kEpochMissing,   // the epoch's records are missing, or are of another epoch
  kRecordMissing,  // a record is missing that no controller deleted
  kUnknownTerm,  // a worker shows a fencing token whose term is higher than any
                 // leader known to this controller can have
  kUnknownTask,  // a task runs whose job has no record
  kOtherEpoch,   // another controller remembers a different epoch
};
// The indication in words, for the log.
std::string_view NameOf(DataLossIndication indication);

// The result of a fresh read of the record that an indication is about. Sent
// between controllers by number.
enum class StoreCheck : uint8_t {
  kNoAnswer,
  kIntact,   // the store holds the record
  kMissing,  // the store does not hold the record, or holds an older copy
};

// What the other controllers have found in reads of their own at the same time:
// kIntact if at least one of them found the store intact.
enum class PeerFinding : uint8_t { kNone, kIntact };

// The events that may change the state.
enum class StoreVerificationEvent : uint8_t {
  kIndication,              // an indication of data loss
  kCleared,                 // the checks found that no data was lost
  kConfirmed,               // the checks found that data was lost
  kEpochOpened,             // an epoch whose records are still being written
                            // back was observed
  kReconciliationComplete,  // an epoch was observed whose retained records have
                            // all been written back
};

// The state machine. It makes no requests; its owner carries out the checks.
class StoreVerification {
 public:
  StoreVerificationState state() const { return state_; }
  // The indication that raised the latest suspicion.
  DataLossIndication indication() const { return indication_; }

  // Returns true if the indication raises a suspicion, which then has to be
  // confirmed or cleared by rounds of checks; false if a suspicion is being
  // examined already or data loss is certain.
  bool OnIndication(DataLossIndication indication);
  // A round of checks has ended. Rounds are made while data loss is suspected,
  // and after it is certain until a new epoch has been opened. `mine`: the
  // result of this controller's own read.
  void OnRound(StoreCheck mine, PeerFinding peers);
  // The epoch as it is recorded now. `rebuilt`: see StoreEpoch.
  void OnEpoch(uint64_t number, bool rebuilt);

  // Whether this controller may answer that a job does not exist if neither the
  // store nor a controller has a record of it.
  bool MayDeny() const { return state_ == StoreVerificationState::kVerified; }
  // Whether a submission may be accepted. While retained records are being
  // written back only the leader may, since it has all of them.
  bool MayAccept(bool is_leading) const {
    return state_ == StoreVerificationState::kVerified ||
           (state_ == StoreVerificationState::kReconciling && is_leading);
  }
  // Whether a controller may campaign for the leader key: only if the store is
  // relied on does a missing key prove that no controller leads by it.
  bool MayCampaign() const {
    return state_ == StoreVerificationState::kVerified ||
           state_ == StoreVerificationState::kReconciling;
  }

 private:
  // The only function that changes the state.
  void Change(StoreVerificationEvent event);

  StoreVerificationState state_ = StoreVerificationState::kVerified;
  DataLossIndication indication_ = DataLossIndication::kNone;
  uint64_t epoch_ = 0;      // the number of the latest epoch observed
  bool rebuilt_ = true;     // whether that epoch is rebuilt
  int missing_rounds_ = 0;  // rounds in a row that found something missing
};

}  // namespace oxbow
