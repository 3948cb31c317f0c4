#include "core/recovery/trust.h"

#include <array>
#include <utility>

namespace oxbow {
namespace {

using enum TrustState;

constexpr std::array kChanges = {
    std::pair{kSound, kDoubt},      std::pair{kDoubt, kSound},
    std::pair{kDoubt, kRebuilding}, std::pair{kDoubt, kLost},
    std::pair{kSound, kRebuilding}, std::pair{kLost, kRebuilding},
    std::pair{kLost, kSound},       std::pair{kRebuilding, kSound},
    std::pair{kRebuilding, kDoubt},
};

// Rounds that must agree: one answer from a stale copy is no loss.
constexpr int kRounds = 2;

}  // namespace

std::string_view NameOf(LossSign sign) {
  switch (sign) {
    case LossSign::kNone:
      return "nothing";
    case LossSign::kStepBack:
      return "its revision has stepped back";
    case LossSign::kEpochMissing:
      return "its epoch's records are missing";
    case LossSign::kRecordMissing:
      return "a record that nobody deleted is missing";
    case LossSign::kTermAbove:
      return "a worker has seen a token above all of this epoch";
    case LossSign::kOtherEpoch:
      return "another controller remembers an epoch that is not there";
    case LossSign::kUnknownTask:
      return "a task runs whose job has no record";
  }
  return "";
}

void Trust::Change(TrustEvent event) {
  const TrustState settled = rebuilt_ ? kSound : kRebuilding;
  switch (event) {
    case TrustEvent::kSign:
      return CheckedChange(state_, kDoubt, kChanges, "trust");
    case TrustEvent::kCleared:
      return CheckedChange(state_, settled, kChanges, "trust");
    case TrustEvent::kConfirmed:
      return CheckedChange(state_, kLost, kChanges, "trust");
    case TrustEvent::kOpened:
      return CheckedChange(state_, kRebuilding, kChanges, "trust");
    case TrustEvent::kRebuilt:
      return CheckedChange(state_, kSound, kChanges, "trust");
  }
}

bool Trust::Note(LossSign sign) {
  if (state_ == kDoubt || state_ == kLost) return false;
  Change(TrustEvent::kSign);
  sign_ = sign;
  agreeing_ = 0;
  return true;
}

void Trust::OnRound(CheckSays mine, bool others_stand) {
  if (mine == CheckSays::kNoAnswer) return;
  if (state_ == kLost && mine == CheckSays::kStands) {
    // What was missing is there: it was this controller's view that lacked it.
    Change(TrustEvent::kCleared);
    return;
  }
  if (state_ != kDoubt) return;
  if (mine == CheckSays::kStands) {
    Change(TrustEvent::kCleared);
    return;
  }
  // Only this controller is shown a hole: it reads a stale copy, and keeps from
  // judging until it reads what the others do.
  if (others_stand) {
    agreeing_ = 0;
    return;
  }
  if (++agreeing_ >= kRounds) Change(TrustEvent::kConfirmed);
}

void Trust::OnEpoch(uint64_t number, bool rebuilt) {
  if (number < epoch_) return;
  const bool later = number > epoch_;
  const bool first = epoch_ == 0;
  epoch_ = number;
  rebuilt_ = rebuilt;
  if (later && !first) {
    if (rebuilt) {
      if (state_ != kSound) Change(TrustEvent::kRebuilt);
    } else if (state_ != kRebuilding) {
      Change(TrustEvent::kOpened);
    }
    return;
  }
  // A doubt about this epoch is for the checks to settle.
  if (state_ == kRebuilding && rebuilt) Change(TrustEvent::kRebuilt);
  if (state_ == kSound && !rebuilt) Change(TrustEvent::kOpened);
}

}  // namespace oxbow
