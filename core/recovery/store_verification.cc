#include "core/recovery/store_verification.h"

#include <array>
#include <utility>

namespace oxbow {
namespace {

using enum StoreVerificationState;

constexpr std::array kChanges = {
    std::pair{kVerified, kSuspected},    std::pair{kSuspected, kVerified},
    std::pair{kSuspected, kReconciling}, std::pair{kSuspected, kLost},
    std::pair{kVerified, kReconciling},  std::pair{kLost, kReconciling},
    std::pair{kLost, kVerified},         std::pair{kReconciling, kVerified},
    std::pair{kReconciling, kSuspected},
};

// Rounds that must agree: one answer from a stale copy is no loss.
constexpr int kRequiredRounds = 2;

}  // namespace

std::string_view NameOf(DataLossIndication indication) {
  switch (indication) {
    case DataLossIndication::kNone:
      return "nothing";
    case DataLossIndication::kRevisionDecreased:
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
  const StoreVerificationState settled = rebuilt_ ? kVerified : kReconciling;
  switch (event) {
    case StoreVerificationEvent::kIndication:
      return CheckedTransition(state_, kSuspected, kChanges,
                               "store verification");
    case StoreVerificationEvent::kCleared:
      return CheckedTransition(state_, settled, kChanges, "store verification");
    case StoreVerificationEvent::kConfirmed:
      return CheckedTransition(state_, kLost, kChanges, "store verification");
    case StoreVerificationEvent::kEpochOpened:
      return CheckedTransition(state_, kReconciling, kChanges,
                               "store verification");
    case StoreVerificationEvent::kReconciliationComplete:
      return CheckedTransition(state_, kVerified, kChanges,
                               "store verification");
  }
}

bool StoreVerification::OnIndication(DataLossIndication indication) {
  if (state_ == kSuspected || state_ == kLost) return false;
  Change(StoreVerificationEvent::kIndication);
  indication_ = indication;
  agreeing_rounds_ = 0;
  return true;
}

void StoreVerification::OnRound(StoreCheck mine, PeerFinding peers) {
  if (mine == StoreCheck::kNoAnswer) return;
  if (state_ == kLost && mine == StoreCheck::kIntact) {
    // What was missing is there: it was this controller's view that lacked it.
    Change(StoreVerificationEvent::kCleared);
    return;
  }
  if (state_ != kSuspected) return;
  if (mine == StoreCheck::kIntact) {
    Change(StoreVerificationEvent::kCleared);
    return;
  }
  // Only this controller misses something: it reads a stale copy, and stays
  // undecided until it reads what the others do.
  if (peers == PeerFinding::kIntact) {
    agreeing_rounds_ = 0;
    return;
  }
  if (++agreeing_rounds_ >= kRequiredRounds)
    Change(StoreVerificationEvent::kConfirmed);
}

void StoreVerification::OnEpoch(uint64_t number, bool rebuilt) {
  if (number < epoch_) return;
  const bool is_later = number > epoch_;
  const bool is_first = epoch_ == 0;
  epoch_ = number;
  rebuilt_ = rebuilt;
  if (is_later && !is_first) {
    if (rebuilt) {
      if (state_ != kVerified)
        Change(StoreVerificationEvent::kReconciliationComplete);
    } else if (state_ != kReconciling) {
      Change(StoreVerificationEvent::kEpochOpened);
    }
    return;
  }
  // A suspicion about this epoch is for the checks to settle.
  if (state_ == kReconciling && rebuilt) {
    Change(StoreVerificationEvent::kReconciliationComplete);
  }
  if (state_ == kVerified && !rebuilt)
    Change(StoreVerificationEvent::kEpochOpened);
}

}  // namespace oxbow
