// Whether this controller may believe what the key-value store says. Only then
// does a missing record prove anything. An indication of data loss raises a
// suspicion, which is settled by fresh checks of this and the other
// controllers. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// What the store may be believed.
enum class StoreVerificationState : uint8_t {
  kVerified,     // a record that it does not hold does not exist
  kSuspected,    // an indication of a loss is being examined
  kLost,         // it has lost data; a new epoch has to be opened
  kReconciling,  // one is open, and retained records are being written back
};

// Sent between controllers by number: new ones go to the end.
enum class DataLossIndication : uint8_t {
  kNone,
  kRevisionDecreased,  // a lower revision than in an earlier answer
  kEpochMissing,       // the epoch's records are not there, or are another's
  kRecordMissing,      // a record that nobody deleted
  kTermAbove,    // a worker shows a token that no leader here can have given
  kUnknownTask,  // a task runs whose job has no record
  kOtherEpoch,   // another controller remembers another epoch
};
// In words, for the log.
std::string_view NameOf(DataLossIndication indication);

// The result of a fresh read of what an indication is about. Sent between
// controllers by number.
enum class StoreCheck : uint8_t {
  kNoAnswer,
  kIntact,   // the store holds it
  kMissing,  // it does not, or holds an older copy
};

// What another controller that read the store at the same moment found.
enum class PeerFinding : uint8_t { kNone, kIntact };

// What changes that.
enum class StoreVerificationEvent : uint8_t {
  kIndication,
  kCleared,
  kConfirmed,
  kEpochOpened,  // a later epoch that is not yet rebuilt was observed
  kReconciliationComplete,  // one that is rebuilt
};

// The state machine; the owner carries out the checks.
class StoreVerification {
 public:
  StoreVerificationState state() const { return state_; }
  // What raised the latest suspicion.
  DataLossIndication indication() const { return indication_; }

  // True if it raises a suspicion, which then has to be settled by rounds;
  // false while one is being settled or a loss is certain.
  bool OnIndication(DataLossIndication indication);
  // A round of checks is over, while a loss is suspected, or later while nobody
  // has opened a new epoch.
  void OnRound(StoreCheck mine, PeerFinding peers);
  // The epoch as recorded now.
  void OnEpoch(uint64_t number, bool rebuilt);

  // Whether a record that nobody remembers never existed, and may be denied.
  bool MayDeny() const { return state_ == StoreVerificationState::kVerified; }
  // Whether a submission may be accepted: by anybody, or, while retained
  // records are being written back, by the leader, which has all of them.
  bool MayAccept(bool is_leading) const {
    return state_ == StoreVerificationState::kVerified ||
           (state_ == StoreVerificationState::kReconciling && is_leading);
  }
  // Whether a free leader key means that nobody leads.
  bool MayCampaign() const {
    return state_ == StoreVerificationState::kVerified ||
           state_ == StoreVerificationState::kReconciling;
  }

 private:
  // The only function that changes the state.
  void Change(StoreVerificationEvent event);

  StoreVerificationState state_ = StoreVerificationState::kVerified;
  DataLossIndication indication_ = DataLossIndication::kNone;
  uint64_t epoch_ = 0;
  bool rebuilt_ = true;
  int agreeing_rounds_ = 0;  // in a row that found something missing
};

}  // namespace oxbow
