#include "core/read_consistency/read_consistency_gate.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using State = ReadConsistencyGate::State;

constexpr std::array kChanges = {
    std::pair{State::kClear, State::kSent},
    std::pair{State::kSent, State::kClear},
    std::pair{State::kSent, State::kLoose},
    std::pair{State::kLoose, State::kSentAgain},
    std::pair{State::kLoose, State::kClear},
    std::pair{State::kSentAgain, State::kLoose},
    std::pair{State::kSentAgain, State::kClear},
};

}  // namespace

StatusDecision Decide(const StatusEvidence& evidence) {
  if (evidence.end != TerminalState::kNone) return StatusDecision::kEnd;
  switch (evidence.read) {
    case RecordRead::kNone:
      return evidence.observation == JobObservation::kLive
                 ? StatusDecision::kLive
                 : StatusDecision::kReadFirst;
    case RecordRead::kUnclear:
      return StatusDecision::kNothing;
    case RecordRead::kLive:
      return StatusDecision::kLive;
    case RecordRead::kMissing:
      break;
  }
  switch (evidence.observation) {
    case JobObservation::kUnseen:
      return StatusDecision::kDenial;
    case JobObservation::kUnrecorded:
      return StatusDecision::kLive;
    case JobObservation::kLive:
    case JobObservation::kInDoubt:
    case JobObservation::kEnded:
      break;
  }
  return StatusDecision::kNothing;  // a record has been lost
}

void ReadConsistencyGate::Change(const std::string& job, Event event) {
  Write& write = writes_[job];
  const bool loose =
      write.state == State::kLoose || write.state == State::kSentAgain;
  State next = State::kClear;
  switch (event) {
    case Event::kLeaves:
      next = loose ? State::kSentAgain : State::kSent;
      break;
    case Event::kRefused:
      // This one was not carried out; an earlier one may still be.
      next = loose ? State::kLoose : State::kClear;
      break;
    case Event::kUnanswered:
      next = State::kLoose;
      break;
    case Event::kStands:
      break;
  }
  CheckedChange(write.state, next, kChanges, "answer gate");
  if (next == State::kClear) writes_.erase(job);
}

void ReadConsistencyGate::Left(uint64_t txn,
                               const std::vector<TerminalStateWrite>& ends) {
  Unanswered(txn_);
  txn_ = txn;
  for (const TerminalStateWrite& end : ends) {
    // What was put back and is asked for again stands twice in a transaction.
    const bool twice = std::any_of(
        under_way_.begin(), under_way_.end(),
        [&](const TerminalStateWrite& e) { return e.job == end.job; });
    if (twice) continue;
    const auto earlier = writes_.find(end.job);
    if (earlier != writes_.end() &&
        earlier->second.mod_revision != end.mod_revision) {
      Change(end.job, Event::kStands);  // void: the record has changed since
    }
    Change(end.job, Event::kLeaves);
    writes_.at(end.job).mod_revision = end.mod_revision;
    under_way_.push_back(end);
  }
}

std::vector<TerminalStateWrite> ReadConsistencyGate::Take(uint64_t txn) {
  return txn == txn_ ? std::exchange(under_way_, {})
                     : std::vector<TerminalStateWrite>{};
}

void ReadConsistencyGate::Applied(uint64_t txn) {
  for (const TerminalStateWrite& end : Take(txn))
    Change(end.job, Event::kStands);
}

void ReadConsistencyGate::Refused(uint64_t txn,
                                  const std::set<std::string>& differing) {
  for (const TerminalStateWrite& end : Take(txn)) {
    // What is not as it is known here has to be read.
    Change(end.job,
           differing.contains(end.job) ? Event::kUnanswered : Event::kRefused);
  }
}

void ReadConsistencyGate::Unanswered(uint64_t txn) {
  for (const TerminalStateWrite& end : Take(txn))
    Change(end.job, Event::kUnanswered);
}

void ReadConsistencyGate::Stands(const std::string& job) {
  // The answer to one that is under way does not matter any more.
  std::erase_if(under_way_,
                [&](const TerminalStateWrite& e) { return e.job == job; });
  if (writes_.contains(job)) Change(job, Event::kStands);
}

bool ReadConsistencyGate::InDoubt(const std::string& job,
                                  uint64_t mod_revision) const {
  const auto it = writes_.find(job);
  return it != writes_.end() && it->second.mod_revision == mod_revision;
}

ReadConsistencyGate::State ReadConsistencyGate::StateOf(
    const std::string& job) const {
  const auto it = writes_.find(job);
  return it == writes_.end() ? State::kClear : it->second.state;
}

}  // namespace oxbow
