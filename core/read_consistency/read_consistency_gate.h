// What a controller may answer users about a job, decided in one place for
// every controller and every kind of answer, so that reads are monotonic: no
// answer may be older than one that any controller has given. A terminal state
// is always true. A denial and a live state are true as of a read that began
// after the question. A live state is also true as of the leader's view, since
// nobody but the leader writes terminal states. That last rule needs the leader
// to know what it has written itself: while the outcome of a write is unknown,
// its jobs do not count as live, because others may have read the terminal
// state, and answered with it, already.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace oxbow {

// What the leader's view says about a job.
enum class JobObservation : uint8_t {
  kUnseen,
  kLive,
  kInDoubt,     // a write that ends it was sent, and its outcome is unknown
  kUnrecorded,  // tasks of it run, but it has no record
  kEnded,
};

// A record as found by a read that began after the user's question.
enum class RecordRead : uint8_t {
  kNone,          // not read yet
  kInconclusive,  // the read failed, or its result is not reliable
  kLive,
  kMissing,  // neither among the live records nor then among the terminal ones
};

// All that an answer is based on.
struct StatusEvidence {
  // Recorded, as far as this controller knows.
  TerminalState end = TerminalState::kNone;
  // kUnseen also on a controller that does not lead.
  JobObservation observation = JobObservation::kUnseen;
  RecordRead read = RecordRead::kNone;
};

// How to answer a user.
enum class StatusDecision : uint8_t {
  kTerminalState,  // answer with the terminal state
  kLive,           // answer with the live state
  kNoSuchJob,      // there is no such job
  kReadFirst,      // decide again after a read
  kTryAgain,       // unavailable: the user has to ask again
};

// The one rule for every answer about a job.
StatusDecision DecideStatus(const StatusEvidence& evidence);

// A write that ends a job, conditioned on the mod revision of its record.
struct TerminalStateWrite {
  std::string job;
  uint64_t mod_revision = 0;
};

// The state of a leader's writes of terminal states, by job. One transaction is
// in flight at a time.
class ReadConsistencyGate {
 public:
  enum class State : uint8_t {
    kClear,             // every write that was sent has an outcome
    kSent,              // one is in flight
    kOutcomeUnknown,    // one is unanswered, and may be applied even now
    kSentWhileUnknown,  // the same, and another one is in flight
  };

  // The transaction is sent. An earlier one without an outcome counts as
  // unanswered.
  void OnSent(uint64_t txn, const std::vector<TerminalStateWrite>& writes);
  void OnApplied(uint64_t txn);
  // Not applied, and it never will be. `differing`: jobs whose records are not
  // as this leader knows them; these have to be read.
  void OnRejected(uint64_t txn, const std::set<std::string>& differing = {});
  void OnUnanswered(uint64_t txn);
  // A read or a write has shown that the job's terminal state is recorded.
  void OnConfirmed(const std::string& job);
  // Whether a write that ends the job may have been applied unnoticed.
  // `mod_revision`: of the job's record as this leader knows it. A write that
  // is conditioned on another one can't be applied any more.
  bool InDoubt(const std::string& job, uint64_t mod_revision) const;
  State StateOf(const std::string& job) const;

 private:
  enum class Event : uint8_t { kSent, kRejected, kUnanswered, kConfirmed };
  struct PendingWrite {
    State state = State::kClear;
    uint64_t mod_revision = 0;  // that it is conditioned on
  };
  // The one function that changes a job's state.
  void Change(const std::string& job, Event event);
  // The writes of the transaction in flight; none if `txn` is another one.
  std::vector<TerminalStateWrite> TakeInFlight(uint64_t txn);

  std::map<std::string, PendingWrite> pending_;  // those that are not clear
  uint64_t last_sent_txn_ = 0;
  std::vector<TerminalStateWrite> in_flight_;
};

}  // namespace oxbow
