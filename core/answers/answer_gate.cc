#include "core/answers/answer_gate.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using State = AnswerGate::State;

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

Telling Decide(const Evidence& evidence) {
  if (evidence.end != TerminalState::kNone) return Telling::kEnd;
  switch (evidence.read) {
    case RecordRead::kNone:
      return evidence.sight == JobSight::kLive ? Telling::kLive
                                               : Telling::kReadFirst;
    case RecordRead::kUnclear:
      return Telling::kNothing;
    case RecordRead::kLive:
      return Telling::kLive;
    case RecordRead::kMissing:
      break;
  }
  switch (evidence.sight) {
    case JobSight::kUnseen:
      return Telling::kDenial;
    case JobSight::kUnrecorded:
      return Telling::kLive;
    case JobSight::kLive:
    case JobSight::kInDoubt:
    case JobSight::kEnded:
      break;
  }
  return Telling::kNothing;  // a record has been lost
}

void AnswerGate::Change(const std::string& job, Event event) {
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

void AnswerGate::Left(uint64_t txn, std::vector<EndWrite> ends) {
  Unanswered(txn_);
  txn_ = txn;
  for (const EndWrite& end : ends) {
    // What was put back and is asked for again stands twice in a transaction.
    const bool twice =
        std::any_of(under_way_.begin(), under_way_.end(),
                    [&](const EndWrite& e) { return e.job == end.job; });
    if (twice) continue;
    const auto earlier = writes_.find(end.job);
    if (earlier != writes_.end() && earlier->second.stamp != end.stamp) {
      Change(end.job, Event::kStands);  // void: the record has changed since
    }
    Change(end.job, Event::kLeaves);
    writes_.at(end.job).stamp = end.stamp;
    under_way_.push_back(end);
  }
}

std::vector<EndWrite> AnswerGate::Take(uint64_t txn) {
  return txn == txn_ ? std::exchange(under_way_, {}) : std::vector<EndWrite>{};
}

void AnswerGate::Applied(uint64_t txn) {
  for (const EndWrite& end : Take(txn)) Change(end.job, Event::kStands);
}

void AnswerGate::Refused(uint64_t txn, const std::set<std::string>& differing) {
  for (const EndWrite& end : Take(txn)) {
    // What is not as it is known here has to be read.
    Change(end.job,
           differing.contains(end.job) ? Event::kUnanswered : Event::kRefused);
  }
}

void AnswerGate::Unanswered(uint64_t txn) {
  for (const EndWrite& end : Take(txn)) Change(end.job, Event::kUnanswered);
}

void AnswerGate::Stands(const std::string& job) {
  // The answer to one that is under way does not matter any more.
  std::erase_if(under_way_, [&](const EndWrite& e) { return e.job == job; });
  if (writes_.contains(job)) Change(job, Event::kStands);
}

bool AnswerGate::InDoubt(const std::string& job, uint64_t stamp) const {
  const auto it = writes_.find(job);
  return it != writes_.end() && it->second.stamp == stamp;
}

AnswerGate::State AnswerGate::StateOf(const std::string& job) const {
  const auto it = writes_.find(job);
  return it == writes_.end() ? State::kClear : it->second.state;
}

}  // namespace oxbow
