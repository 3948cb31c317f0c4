// The leader's writes on their way to the state service: what waits, what goes
// into one transaction, and what an answer means. Knows nothing of jobs or
// machines; what a write changes, and what follows once it stands, its owner
// says. One transaction at a time, each conditioned on the mandate: one that
// is applied late, after another leader or this one has gone on, fails instead
// of undoing newer facts.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/controller/actions.h"
#include "core/model/settings.h"
#include "core/rollout/rollout.h"

namespace oxbow {

enum class WriteKind : uint8_t {
  kFinish,
  kRetire,
  kMachineUp,
  kMachineForget,
  kRental,
  kRentalSettle,
  kRollout,
  kOperator,              // a record of a subsystem's own, see OperatorRecord
  kRestore,               // a record that is owed to the state service
  kRestoreTerminalState,  // how a job ended, likewise
  kRebuilt,               // nothing is owed any more
  kRelease,        // a job that waited for others becomes an ordinary one
  kCancelWaiting,  // one that waits ends
  kTidyWaiting,    // an older copy of a waiting record goes
};

// What the leader wants recorded. Of the same kind and name, one waits at most.
struct WriteOp {
  WriteKind kind;
  std::string name;
  TerminalState terminal_state = TerminalState::kNone;
  std::vector<std::string> hosts = {};
  // Of a roll-out: the step to record, why, and the wish that it fulfils.
  RolloutStep step = RolloutStep::kDeclared;
  std::string reason = {};
  RolloutWish wish = RolloutWish::kNone;
  // Of an operators' record: what is to stand; null deletes it.
  std::shared_ptr<const OperatorRecord> record = {};
  double released_wall = 0;  // of a release
};

enum class WritePhase : uint8_t {
  kIdle,
  kWriting,  // a transaction is under way
  kReading,  // its outcome is not known: what it changes is read afresh
};

enum class WriteEvent : uint8_t { kSent, kAnswered, kOutcomeUnknown, kRead };

class WriteQueue {
 public:
  // Whose writes they are.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Adds the op's conditions and changes; false when what it wants is
    // already so.
    virtual bool Build(const WriteOp& op, WriteTransaction* txn) const = 0;
    // The op's aim is reached: by its transaction, at `revision`, or, when that
    // is 0, because the state service already holds what it wanted.
    virtual void Done(const WriteOp& op, uint64_t revision, Time now) = 0;
  };

  // `mandate`: what this leadership rests on, the leader key and the mark of
  // the epoch; every write is conditioned on it.
  WriteQueue(const Settings& settings, std::vector<Condition> mandate,
             Owner& owner, std::vector<Action>& actions)
      : settings_(settings),
        mandate_(std::move(mandate)),
        owner_(owner),
        actions_(actions) {}

  // A lazy one goes when there is room beside the others.
  void Queue(WriteOp op, bool lazy = false);
  // Sends what waits, if nothing is under way.
  void Flush(Time now);
  // False when the mandate does not stand: this leadership is over.
  [[nodiscard]] bool OnAnswer(uint64_t id, WriteOutcome outcome,
                              uint64_t revision,
                              const std::vector<std::string>& failed, Time now);
  // The keys asked for have been read and taken in.
  void OnRead(uint64_t id, bool ok, Time now);

  WritePhase phase() const { return phase_; }
  size_t waiting() const { return urgent_.size() + lazy_.size(); }

 private:
  // The one function for a change.
  void Change(WriteEvent event);
  // What was under way waits again, in front.
  void PutBack();

  const Settings& settings_;
  const std::vector<Condition> mandate_;
  Owner& owner_;
  std::vector<Action>& actions_;
  std::deque<WriteOp> urgent_;
  std::deque<WriteOp> lazy_;
  std::vector<WriteOp> in_flight_;
  std::vector<std::string> in_flight_keys_;
  WritePhase phase_ = WritePhase::kIdle;
  uint64_t id_ = 0;  // of the transaction or the read under way
  Time not_before_ = 0;
};

}  // namespace oxbow
