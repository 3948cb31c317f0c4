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

// How many rounds in a row must find something missing: a single answer may
// come from a replica of the store that lags behind.
constexpr int kRequiredRounds = 2;

}  // namespace

std::string_view NameOf(DataLossIndication indication) {
  switch (indication) {
    case DataLossIndication::kNone:
      return "nothing";
    case DataLossIndication::kRevisionDecreased:
      return "its revision has decreased";
    case DataLossIndication::kEpochMissing:
      return "its epoch's records are missing";
    case DataLossIndication::kRecordMissing:
      return "a record that nobody deleted is missing";
    case DataLossIndication::kUnknownTerm:
      return "a worker shows a fencing token above all tokens of this epoch";
    case DataLossIndication::kOtherEpoch:
      return "another controller remembers an epoch that the store lacks";
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
  missing_rounds_ = 0;
  return true;
}

void StoreVerification::OnRound(StoreCheck mine, PeerFinding peers) {
  if (mine == StoreCheck::kNoAnswer) return;
  if (state_ == kLost && mine == StoreCheck::kIntact) {
    // The missing record is there: the store had lost nothing, this controller
    // had only read a replica that lagged behind.
    Change(StoreVerificationEvent::kCleared);
    return;
  }
  if (state_ != kSuspected) return;
  if (mine == StoreCheck::kIntact) {
    Change(StoreVerificationEvent::kCleared);
    return;
  }
  // Only this controller finds something missing, so it reads a replica that
  // lags behind. The suspicion remains until its reads agree with the others'.
  if (peers == PeerFinding::kIntact) {
    missing_rounds_ = 0;
    return;
  }
  if (++missing_rounds_ >= kRequiredRounds)
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
  // A suspicion about the present epoch is left to the rounds of checks.
  if (state_ == kReconciling && rebuilt) {
    Change(StoreVerificationEvent::kReconciliationComplete);
  }
  if (state_ == kVerified && !rebuilt)
    Change(StoreVerificationEvent::kEpochOpened);
}

}  // namespace oxbow
