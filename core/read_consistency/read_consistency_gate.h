// Decides what a controller may answer users about a job. All controllers use
// this one rule for every kind of answer, so that reads are monotonic: no
// answer may reflect an older state than an answer that any controller has
// given before. A terminal state may always be given as the answer. The answers
// "no such job" and a live state require a read of the key-value store that
// began after the query arrived. The leader may also answer with a live state
// without a read, since only the leader writes terminal states. This requires
// the leader to know the outcome of its own writes. While the outcome of a
// write of a terminal state is unknown, its job does not count as live: another
// controller may already have read the terminal state and answered with it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace oxbow {

// What the leader knows about a job.
enum class JobObservation : uint8_t {
  kUnseen,      // nothing; always so on a controller that does not lead
  kLive,        // the job has a record and no terminal state
  kInDoubt,     // a write of its terminal state was sent; outcome unknown
  kUnrecorded,  // tasks of the job run, but the store has no record of it
  kEnded,       // the job has a terminal state
};

// The result of a read of the job's records that began after the user's query.
enum class RecordRead : uint8_t {
  kNone,          // not read yet
  kInconclusive,  // the read failed, or its result is not reliable
  kLive,          // the job has a live record
  kMissing,  // a live record was not found, nor after that a terminal state
};

// All that an answer about a job is based on.
struct StatusEvidence {
  // The recorded terminal state, as far as this controller knows.
  TerminalState end = TerminalState::kNone;
  JobObservation observation = JobObservation::kUnseen;
  RecordRead read = RecordRead::kNone;
};

// How to answer a user.
enum class StatusDecision : uint8_t {
  kTerminalState,  // answer with the terminal state
  kLive,           // answer with the live state
  kNoSuchJob,      // answer that there is no such job
  kReadFirst,      // read the job's records, then decide again
  kTryAgain,       // answer "unavailable": the user has to ask again
};

// The rule for every answer to a user about a job.
StatusDecision DecideStatus(const StatusEvidence& evidence);

// A write of a job's terminal state. Its precondition is the mod revision of
// the job's live record.
struct TerminalStateWrite {
  std::string job;
  uint64_t mod_revision = 0;
};

// Tracks, for each job, whether a terminal state that this leader has sent to
// the key-value store may have been applied without the leader knowing. At most
// one transaction is in flight at a time.
class ReadConsistencyGate {
 public:
  enum class State : uint8_t {
    kClear,             // the outcome of every write that was sent is known
    kSent,              // a write is in flight
    kOutcomeUnknown,    // a write was not answered, and may still be applied
    kSentWhileUnknown,  // the same, and another write is in flight
  };

  // The transaction `txn` is sent with these writes. An earlier transaction
  // that has no outcome yet counts as unanswered.
  void OnSent(uint64_t txn, const std::vector<TerminalStateWrite>& writes);
  // The transaction was applied.
  void OnApplied(uint64_t txn);
  // The transaction was not applied and never will be. `differing`: the jobs
  // whose records differ from what this leader knows; they stay in doubt until
  // they have been read.
  void OnRejected(uint64_t txn, const std::set<std::string>& differing = {});
  // The outcome of the transaction is unknown.
  void OnUnanswered(uint64_t txn);
  // A read or a write has shown that the job's terminal state is recorded.
  void OnConfirmed(const std::string& job);
  // Whether a write of the job's terminal state may have been applied without
  // this leader knowing. `mod_revision`: of the job's record as this leader
  // knows it. A write whose precondition is another mod revision can't be
  // applied any more.
  bool InDoubt(const std::string& job, uint64_t mod_revision) const;
  State StateOf(const std::string& job) const;

 private:
  enum class Event : uint8_t { kSent, kRejected, kUnanswered, kConfirmed };
  struct PendingWrite {
    State state = State::kClear;
    uint64_t mod_revision = 0;  // the precondition of the write
  };
  // The one function that changes a job's state.
  void Change(const std::string& job, Event event);
  // Removes and returns the writes of the transaction in flight; none if `txn`
  // is not the transaction that was sent last.
  std::vector<TerminalStateWrite> TakeInFlight(uint64_t txn);

  // The jobs whose state is not kClear.
  std::map<std::string, PendingWrite> pending_;
  uint64_t last_sent_txn_ = 0;
  std::vector<TerminalStateWrite> in_flight_;
};

}  // namespace oxbow
