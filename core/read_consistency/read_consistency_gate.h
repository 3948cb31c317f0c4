// What a controller may tell users about a job, decided in one place for every
// controller and every kind of answer. No answer may be older than one that
// any controller has given: an end is always true, a denial and a live state
// are true as of a read that began after the question, and a live state also
// as of the leader's picture, because nobody but the leader writes how jobs
// end. That last one needs the leader to know what it has written itself, so
// a write whose outcome is not known takes its jobs out of the picture: others
// may have read it, and told it, already.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace oxbow {

// What the leader's picture is worth to whoever asks about a job.
enum class JobObservation : uint8_t {
  kUnseen,
  kLive,
  kInDoubt,     // a write that ends it has left, and its outcome is not known
  kUnrecorded,  // only its tasks are seen
  kEnded,
};

// A record as a read has found it that began after the user's question.
enum class RecordRead : uint8_t {
  kNone,     // not read yet
  kUnclear,  // read in vain, or not to be believed
  kLive,
  kMissing,  // among the live ones, and then among the ends
};

// All that a controller has to go by.
struct StatusEvidence {
  TerminalState end =
      TerminalState::kNone;  // recorded, as far as is known here
  JobObservation observation =
      JobObservation::kUnseen;  // kUnseen too where it does not lead
  RecordRead read = RecordRead::kNone;
};

enum class StatusDecision : uint8_t {
  kEnd,
  kLive,
  kDenial,
  kReadFirst,
  kNothing,  // the user is to come again
};

StatusDecision Decide(const StatusEvidence& evidence);

// A change of a job's record that ends the job, resting on the record's stamp.
struct TerminalStateWrite {
  std::string job;
  uint64_t mod_revision = 0;
};

// How a leader's writes of jobs' ends stand, by job. One transaction is under
// way at a time.
class ReadConsistencyGate {
 public:
  enum class State : uint8_t {
    kClear,      // every write that has left has an outcome
    kSent,       // one is under way
    kLoose,      // one has stayed unanswered and may be carried out even now
    kSentAgain,  // the same, and another one is under way
  };

  // The transaction leaves; one that has no outcome yet counts as unanswered.
  void Left(uint64_t txn, const std::vector<TerminalStateWrite>& ends);
  // Its outcome.
  void Applied(uint64_t txn);
  // Not carried out, and it never will be. `differing`: those jobs' records
  // are not as they are known here.
  void Refused(uint64_t txn, const std::set<std::string>& differing = {});
  void Unanswered(uint64_t txn);
  // What was to be written stands, as a read or a write has shown.
  void Stands(const std::string& job);
  // `stamp`: of the job's record as it is known here. A write that rests on
  // another one can't be carried out any more.
  bool InDoubt(const std::string& job, uint64_t mod_revision) const;
  State StateOf(const std::string& job) const;

 private:
  enum class Event : uint8_t { kLeaves, kRefused, kUnanswered, kStands };
  struct Write {
    State state = State::kClear;
    uint64_t mod_revision = 0;  // that it rests on
  };
  // The one function for a change.
  void Change(const std::string& job, Event event);
  // The jobs of the transaction under way, if it is that one.
  std::vector<TerminalStateWrite> Take(uint64_t txn);

  std::map<std::string, Write> writes_;  // those that are not clear
  uint64_t txn_ = 0;                     // the last that has left
  std::vector<TerminalStateWrite> under_way_;
};

}  // namespace oxbow
