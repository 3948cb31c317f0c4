// Whether this controller may believe what the key-value store says. A missing
// record proves something only while it may. Signs of a loss raise a
// suspicion, which is settled by fresh checks, this controller's and the
// others'.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

enum class StoreVerificationState : uint8_t {
  kVerified,    // what it does not hold is not there
  kSuspected,   // a sign of a loss is being looked at
  kLost,        // it has lost data; a new epoch has to be opened
  kRebuilding,  // one is open, and what is remembered is being written back
};

enum class DataLossIndication : uint8_t {
  kNone,
  kStepBack,       // a lower revision than an earlier answer's
  kEpochMissing,   // the epoch's records are not there, or are another's
  kRecordMissing,  // a record that nobody deleted
  kTermAbove,      // a worker shows a token that no leader here can have given
  kUnknownTask,    // a task runs whose job has no record
  kOtherEpoch,     // another controller remembers another epoch
};
std::string_view NameOf(DataLossIndication sign);

// What a fresh look at the key-value store says, with everything that the sign
// asks for looked at again.
enum class StoreCheck : uint8_t { kNoAnswer, kStands, kGone };

enum class StoreVerificationEvent : uint8_t {
  kSign,
  kCleared,
  kConfirmed,
  kOpened,  // a later epoch that is not yet rebuilt has been seen
  kCompleteReconciliation,  // one that is
};

class StoreVerification {
 public:
  StoreVerificationState state() const { return state_; }
  DataLossIndication sign() const { return sign_; }

  // A sign was seen. True when it is news: the suspicion has to be settled.
  bool Note(DataLossIndication sign);
  // A round of checks is over, while suspected, or later while nobody has
  // opened a new epoch. `others_stand`: another controller that looked at the
  // same moment finds nothing wrong.
  void OnRound(StoreCheck mine, bool others_stand);
  // The epoch as recorded now.
  void OnEpoch(uint64_t number, bool rebuilt);

  // A record that nobody remembers was never there, and may be denied.
  bool MayDeny() const { return state_ == StoreVerificationState::kVerified; }
  // A submission may be accepted: by anybody, or, while the memory is being
  // written back, by the leader, which holds all of it.
  bool MayAccept(bool leading) const {
    return state_ == StoreVerificationState::kVerified ||
           (state_ == StoreVerificationState::kRebuilding && leading);
  }
  // The free leader key means that nobody leads.
  bool MaySeek() const {
    return state_ == StoreVerificationState::kVerified ||
           state_ == StoreVerificationState::kRebuilding;
  }

 private:
  // The one function for a change.
  void Change(StoreVerificationEvent event);

  StoreVerificationState state_ = StoreVerificationState::kVerified;
  DataLossIndication sign_ = DataLossIndication::kNone;
  uint64_t epoch_ = 0;
  bool rebuilt_ = true;
  int agreeing_ = 0;  // rounds in a row that found it gone
};

}  // namespace oxbow
