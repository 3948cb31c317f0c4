#include "core/read_consistency/read_consistency_gate.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using State = ReadConsistencyGate::State;

constexpr std::array kTransitions = {
    std::pair{State::kClear, State::kSent},
    std::pair{State::kSent, State::kClear},
    std::pair{State::kSent, State::kOutcomeUnknown},
    std::pair{State::kOutcomeUnknown, State::kSentWhileUnknown},
    std::pair{State::kOutcomeUnknown, State::kClear},
    std::pair{State::kSentWhileUnknown, State::kOutcomeUnknown},
    std::pair{State::kSentWhileUnknown, State::kClear},
};

}  // namespace

StatusDecision DecideStatus(const StatusEvidence& evidence) {
  if (evidence.end != TerminalState::kNone)
    return StatusDecision::kTerminalState;
  switch (evidence.read) {
    case RecordRead::kNone:
      return evidence.observation == JobObservation::kLive
                 ? StatusDecision::kLive
                 : StatusDecision::kReadFirst;
    case RecordRead::kInconclusive:
      return StatusDecision::kTryAgain;
    case RecordRead::kLive:
      return StatusDecision::kLive;
    case RecordRead::kMissing:
      break;
  }
  switch (evidence.observation) {
    case JobObservation::kUnseen:
      return StatusDecision::kNoSuchJob;
    case JobObservation::kUnrecorded:
      return StatusDecision::kLive;
    case JobObservation::kLive:
    case JobObservation::kInDoubt:
    case JobObservation::kEnded:
      break;
  }
  return StatusDecision::kTryAgain;  // a record has been lost
}

void ReadConsistencyGate::Change(const std::string& job, Event event) {
  PendingWrite& write = pending_[job];
  const bool outcome_unknown = write.state == State::kOutcomeUnknown ||
                               write.state == State::kSentWhileUnknown;
  State next = State::kClear;
  switch (event) {
    case Event::kSent:
      next = outcome_unknown ? State::kSentWhileUnknown : State::kSent;
      break;
    case Event::kRejected:
      // This one was not applied; an earlier one may still be.
      next = outcome_unknown ? State::kOutcomeUnknown : State::kClear;
      break;
    case Event::kUnanswered:
      next = State::kOutcomeUnknown;
      break;
    case Event::kConfirmed:
      break;
  }
  CheckedTransition(write.state, next, kTransitions, "read consistency gate");
  if (next == State::kClear) pending_.erase(job);
}

void ReadConsistencyGate::OnSent(
    uint64_t txn, const std::vector<TerminalStateWrite>& writes) {
  OnUnanswered(last_sent_txn_);
  last_sent_txn_ = txn;
  for (const TerminalStateWrite& write : writes) {
    // What was requeued and asked for again is twice in a transaction.
    const bool twice = std::any_of(in_flight_.begin(), in_flight_.end(),
                                   [&](const TerminalStateWrite& other) {
                                     return other.job == write.job;
                                   });
    if (twice) continue;
    const auto earlier = pending_.find(write.job);
    if (earlier != pending_.end() &&
        earlier->second.mod_revision != write.mod_revision) {
      // The record has changed since: the earlier write can't be applied.
      Change(write.job, Event::kConfirmed);
    }
    Change(write.job, Event::kSent);
    pending_.at(write.job).mod_revision = write.mod_revision;
    in_flight_.push_back(write);
  }
}

std::vector<TerminalStateWrite> ReadConsistencyGate::TakeInFlight(
    uint64_t txn) {
  if (txn != last_sent_txn_) return {};
  return std::exchange(in_flight_, {});
}

void ReadConsistencyGate::OnApplied(uint64_t txn) {
  for (const TerminalStateWrite& write : TakeInFlight(txn)) {
    Change(write.job, Event::kConfirmed);
  }
}

void ReadConsistencyGate::OnRejected(uint64_t txn,
                                     const std::set<std::string>& differing) {
  for (const TerminalStateWrite& write : TakeInFlight(txn)) {
    Change(write.job, differing.contains(write.job) ? Event::kUnanswered
                                                    : Event::kRejected);
  }
}

void ReadConsistencyGate::OnUnanswered(uint64_t txn) {
  for (const TerminalStateWrite& write : TakeInFlight(txn)) {
    Change(write.job, Event::kUnanswered);
  }
}

void ReadConsistencyGate::OnConfirmed(const std::string& job) {
  // The answer to one that is in flight does not matter any more.
  std::erase_if(in_flight_, [&](const TerminalStateWrite& write) {
    return write.job == job;
  });
  if (pending_.contains(job)) Change(job, Event::kConfirmed);
}

bool ReadConsistencyGate::InDoubt(const std::string& job,
                                  uint64_t mod_revision) const {
  const auto it = pending_.find(job);
  return it != pending_.end() && it->second.mod_revision == mod_revision;
}

ReadConsistencyGate::State ReadConsistencyGate::StateOf(
    const std::string& job) const {
  const auto it = pending_.find(job);
  return it == pending_.end() ? State::kClear : it->second.state;
}

}  // namespace oxbow
