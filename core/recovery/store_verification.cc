#include "core/recovery/store_verification.h"

#include <array>
#include <utility>

namespace oxbow {
namespace {

using enum StoreVerificationState;

constexpr std::array kChanges = {
    std::pair{kVerified, kSuspected},   std::pair{kSuspected, kVerified},
    std::pair{kSuspected, kRebuilding}, std::pair{kSuspected, kLost},
    std::pair{kVerified, kRebuilding},  std::pair{kLost, kRebuilding},
    std::pair{kLost, kVerified},        std::pair{kRebuilding, kVerified},
    std::pair{kRebuilding, kSuspected},
};

// Rounds that must agree: one answer from a stale copy is no loss.
constexpr int kRounds = 2;

}  // namespace

std::string_view NameOf(DataLossIndication sign) {
  switch (sign) {
    case DataLossIndication::kNone:
      return "nothing";
    case DataLossIndication::kStepBack:
      return "its revision has stepped back";
    case DataLossIndication::kEpochMissing:
      return "its epoch's records are missing";
    case DataLossIndication::kRecordMissing:
      return "a record that nobody deleted is missing";
    case DataLossIndication::kTermAbove:
      return "a worker has seen a token above all of this epoch";
    case DataLossIndication::kOtherEpoch:
      return "another controller remembers an epoch that is not there";
    case DataLossIndication::kUnknownTask:
      return "a task runs whose job has no record";
  }
  return "";
}

void StoreVerification::Change(StoreVerificationEvent event) {
  const StoreVerificationState settled = rebuilt_ ? kVerified : kRebuilding;
  switch (event) {
    case StoreVerificationEvent::kSign:
      return CheckedChange(state_, kSuspected, kChanges, "store verification");
    case StoreVerificationEvent::kCleared:
      return CheckedChange(state_, settled, kChanges, "store verification");
    case StoreVerificationEvent::kConfirmed:
      return CheckedChange(state_, kLost, kChanges, "store verification");
    case StoreVerificationEvent::kOpened:
      return CheckedChange(state_, kRebuilding, kChanges, "store verification");
    case StoreVerificationEvent::kCompleteReconciliation:
      return CheckedChange(state_, kVerified, kChanges, "store verification");
  }
}

bool StoreVerification::Note(DataLossIndication sign) {
  if (state_ == kSuspected || state_ == kLost) return false;
  Change(StoreVerificationEvent::kSign);
  sign_ = sign;
  agreeing_ = 0;
  return true;
}

void StoreVerification::OnRound(StoreCheck mine, bool others_stand) {
  if (mine == StoreCheck::kNoAnswer) return;
  if (state_ == kLost && mine == StoreCheck::kStands) {
    // What was missing is there: it was this controller's view that lacked it.
    Change(StoreVerificationEvent::kCleared);
    return;
  }
  if (state_ != kSuspected) return;
  if (mine == StoreCheck::kStands) {
    Change(StoreVerificationEvent::kCleared);
    return;
  }
  // Only this controller is shown a hole: it reads a stale copy, and keeps from
  // judging until it reads what the others do.
  if (others_stand) {
    agreeing_ = 0;
    return;
  }
  if (++agreeing_ >= kRounds) Change(StoreVerificationEvent::kConfirmed);
}

void StoreVerification::OnEpoch(uint64_t number, bool rebuilt) {
  if (number < epoch_) return;
  const bool later = number > epoch_;
  const bool first = epoch_ == 0;
  epoch_ = number;
  rebuilt_ = rebuilt;
  if (later && !first) {
    if (rebuilt) {
      if (state_ != kVerified)
        Change(StoreVerificationEvent::kCompleteReconciliation);
    } else if (state_ != kRebuilding) {
      Change(StoreVerificationEvent::kOpened);
    }
    return;
  }
  // A suspicion about this epoch is for the checks to settle.
  if (state_ == kRebuilding && rebuilt) {
    Change(StoreVerificationEvent::kCompleteReconciliation);
  }
  if (state_ == kVerified && !rebuilt) Change(StoreVerificationEvent::kOpened);
}

}  // namespace oxbow
